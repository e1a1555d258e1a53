#include "Submissions.h"

#include "StoreRows.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace oriolespread::internal {

Submissions::Submissions(BookState& aState, CatchUp& aCatchUp)
  : state(&aState)
  , catchUp(&aCatchUp)
{
}

void Submissions::Submit(Instant aNow, const SubmitTicket& aEvent, TicketEffects& aEffects)
{
  Pending pending{ aEvent.call, aEvent.ticket, aNow + this->state->options.submitTimeout, false };
  // The ticket may have been built without Parse.
  Findings findings;
  if (!ChangeTicket::FromJson(aEvent.ticket.ToJson(), findings).has_value()) {
    SubmitAnswer answer = this->AnswerFor(pending, SubmitOutcome::Invalid);
    answer.findings = std::move(findings);
    this->state->Count("tickets_submitted_total", "invalid");
    aEffects.submitAnswers.push_back(std::move(answer));
    return;
  }
  if (this->queue.size() >= this->state->options.maxWaitingTickets) {
    this->state->Count("tickets_submitted_total", "busy");
    aEffects.submitAnswers.push_back(this->AnswerFor(pending, SubmitOutcome::Busy));
    return;
  }
  this->queue.push_back(std::move(pending));
}

void Submissions::Advance(Instant aNow, TicketEffects& aEffects)
{
  this->ExpireWaiting(aNow, aEffects);
  while (!this->queue.empty() && this->AdvanceFront(aNow, aEffects)) {
  }
}

Instant Submissions::NextWakeup() const
{
  Instant next = kNever;
  for (const Pending& pending : this->queue) {
    next = pending.answered ? next : std::min(next, pending.deadline);
  }
  if (this->queue.empty()) {
    return next;
  }
  switch (this->step) {
    case Step::AwaitCommit:
    case Step::AwaitFate:
    case Step::AwaitIdRow:
    case Step::AwaitLogRow:
      return std::min(next, this->callDeadline);
    case Step::Retry:
    case Step::RetryFate:
      return std::min(next, this->retryAt);
    default:
      return next;
  }
}

// Returns whether the front may be able to take another step at once.
bool Submissions::AdvanceFront(Instant aNow, TicketEffects& aEffects)
{
  switch (this->step) {
    case Step::Ready:
      return this->Check(aNow, aEffects);
    case Step::AwaitCycle:
      if (this->catchUp->LatestSuccess() >= this->cycle) {
        this->step = Step::Ready;
        return true;
      }
      if (this->catchUp->LatestFailure() >= this->cycle) {
        this->RetryLater(aNow, Step::Retry);
      }
      return false;
    case Step::Retry:
      if (aNow >= this->retryAt) {
        this->step = Step::Ready;
        return true;
      }
      return false;
    case Step::RetryFate:
      if (aNow >= this->retryAt) {
        this->ReadFate(aNow, aEffects);
      }
      return false;
    default:
      return aNow >= this->callDeadline && this->OnCallTimeout(aNow, aEffects);
  }
}

bool Submissions::Check(Instant aNow, TicketEffects& aEffects)
{
  const ChangeTicket& ticket = this->queue.front().ticket;
  const TicketNumber number = this->state->view.Number();
  const bool freshCycle = this->cycle != 0 && this->catchUp->LatestSuccess() >= this->cycle;
  if (!this->state->synced || (ticket.basedOn > number && !freshCycle)) {
    this->AwaitNewCycle();
    return false;
  }
  if (ticket.basedOn > number) {
    this->FinishInvalid("$.based_on",
                        absl::StrCat("is ", ticket.basedOn.Value()),
                        absl::StrCat("at most the newest number ", number.Value()),
                        aEffects);
    return true;
  }
  if (this->conflictUnexplained && this->conflictAt == number) {
    // No ticket explains the conflict, so the versions that this process holds must be wrong, or
    // the rows are damaged.
    this->conflictUnexplained = false;
    this->catchUp->RequestReload();
    this->RetryLater(aNow, Step::Retry);
    return false;
  }
  if (!this->ConflictsOf(ticket).empty()) {
    // The later ticket may be this very one, accepted before through another submission.
    this->ReadIdRow(aNow, aEffects);
    return false;
  }
  if (this->state->view.StateBytes() + ticket.ToJson().dump().size() >
      this->state->options.maxStateBytes) {
    this->FinishInvalid("$.changes", "leaves no room for more state", "a smaller state", aEffects);
    return true;
  }
  this->Commit(aNow, aEffects);
  return false;
}

void Submissions::Commit(Instant aNow, TicketEffects& aEffects)
{
  const ChangeTicket& ticket = this->queue.front().ticket;
  BookState& book = *this->state;
  this->attempted = TicketNumber{ book.view.Number().Value() + 1 };
  const TransactionId id{ absl::StrCat("ticket-",
                                       book.options.entry.Value(),
                                       "-",
                                       book.options.incarnation.Value(),
                                       "-",
                                       ++this->attempts) };
  Transaction transaction =
    TicketTransaction(id, { this->attempted, ticket }, book.versions, book.headVersion);
  this->transaction = transaction.id;
  this->step = Step::AwaitCommit;
  this->call = book.NextCall();
  this->callDeadline = aNow + book.options.callTimeout;
  aEffects.storeCalls.emplace_back(TicketCommitCall{ this->call, std::move(transaction) });
}

void Submissions::OnCommit(Instant aNow, const TicketCommitResult& aResult, TicketEffects& aEffects)
{
  if (this->step != Step::AwaitCommit || aResult.call != this->call) {
    return;
  }
  this->state->Count("ticket_commits_total", ToString(aResult.outcome.status));
  switch (aResult.outcome.status) {
    case CommitStatus::Committed:
      this->Accept(aResult.outcome.version, aEffects);
      return;
    case CommitStatus::Unknown:
      this->ReadFate(aNow, aEffects);
      return;
    case CommitStatus::Unavailable:
      this->state->storeReachable = false;
      this->RetryLater(aNow, Step::Retry);
      return;
    case CommitStatus::Conflict:
      break;
  }
  if (this->queue.front().answered) {
    this->Finish(this->AnswerFor(this->queue.front(), SubmitOutcome::Unknown), aEffects);
  } else if (aResult.outcome.conflictKey == TicketIdKey(this->queue.front().ticket.id)) {
    this->ReadIdRow(aNow, aEffects);
  } else {
    this->conflictAt = this->state->view.Number();
    this->conflictUnexplained = true;
    this->AwaitNewCycle();
  }
}

void Submissions::ReadFate(Instant aNow, TicketEffects& aEffects)
{
  this->step = Step::AwaitFate;
  this->call = this->state->NextCall();
  this->callDeadline = aNow + this->state->options.callTimeout;
  aEffects.storeCalls.emplace_back(TicketFateCall{ this->call, this->transaction });
}

void Submissions::OnFate(Instant aNow, const TicketFateResult& aResult, TicketEffects& aEffects)
{
  if (this->step != Step::AwaitFate || aResult.call != this->call) {
    return;
  }
  this->state->Count("ticket_fates_total", ToString(aResult.outcome.fate));
  switch (aResult.outcome.fate) {
    case TransactionFate::Committed:
      this->Accept(aResult.outcome.version, aEffects);
      return;
    case TransactionFate::Unknown:
      this->RetryLater(aNow, Step::RetryFate);
      return;
    case TransactionFate::NotCommitted:
      break;
  }
  if (this->queue.front().answered) {
    this->Finish(this->AnswerFor(this->queue.front(), SubmitOutcome::Unknown), aEffects);
  } else {
    // A conflict is likely, because reading the fate took time.
    this->AwaitNewCycle();
  }
}

void Submissions::Accept(RowVersion aVersion, TicketEffects& aEffects)
{
  const Pending& front = this->queue.front();
  BookState& book = *this->state;
  if (book.synced && book.view.Number().Value() + 1 == this->attempted.Value()) {
    book.ApplyTicket({ this->attempted, front.ticket }, aVersion, aEffects);
  } else if (book.view.Number() < this->attempted) {
    this->catchUp->Request();
  }
  aEffects.notifyEntries = std::max(aEffects.notifyEntries, this->attempted);
  SubmitAnswer answer = this->AnswerFor(front, SubmitOutcome::Accepted);
  answer.number = this->attempted;
  this->Finish(std::move(answer), aEffects);
}

void Submissions::ReadIdRow(Instant aNow, TicketEffects& aEffects)
{
  this->step = Step::AwaitIdRow;
  this->call = this->state->NextCall();
  this->callDeadline = aNow + this->state->options.callTimeout;
  aEffects.storeCalls.emplace_back(
    TicketScanCall{ this->call, TicketIdKey(this->queue.front().ticket.id), "", 1 });
}

void Submissions::OnScan(Instant aNow, const TicketScanResult& aResult, TicketEffects& aEffects)
{
  const bool awaited = this->step == Step::AwaitIdRow || this->step == Step::AwaitLogRow;
  if (!awaited || aResult.call != this->call) {
    return;
  }
  this->state->storeReachable = aResult.page.ok();
  if (!aResult.page.ok()) {
    this->RetryLater(aNow, Step::Retry);
  } else if (this->step == Step::AwaitIdRow) {
    this->OnIdRow(aNow, *aResult.page, aEffects);
  } else {
    this->OnLogRow(*aResult.page, aEffects);
  }
}

void Submissions::OnIdRow(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects)
{
  const Pending& front = this->queue.front();
  if (!aPage.rows.empty() && aPage.rows.front().key == TicketIdKey(front.ticket.id)) {
    this->existing = NumberOfRow(aPage.rows.front()).value_or(TicketNumber{});
    this->step = Step::AwaitLogRow;
    this->call = this->state->NextCall();
    this->callDeadline = aNow + this->state->options.callTimeout;
    aEffects.storeCalls.emplace_back(TicketScanCall{ this->call, LogKey(this->existing), "", 1 });
    return;
  }
  SubmitAnswer answer = this->AnswerFor(front, SubmitOutcome::Conflict);
  answer.conflicts = this->ConflictsOf(front.ticket);
  if (answer.conflicts.empty()) {
    // The commit met the id's row, but it is gone; only a damaged table shows this.
    this->RetryLater(aNow, Step::Retry);
    return;
  }
  this->Finish(std::move(answer), aEffects);
}

void Submissions::OnLogRow(const ScanPage& aPage, TicketEffects& aEffects)
{
  const Pending& front = this->queue.front();
  const auto accepted = aPage.rows.empty() ? std::nullopt : TicketOfRow(aPage.rows.front());
  const bool same = accepted.has_value() && accepted->ticket == front.ticket;
  SubmitAnswer answer =
    this->AnswerFor(front, same ? SubmitOutcome::Accepted : SubmitOutcome::IdReused);
  answer.number = this->existing;
  if (this->existing > this->state->view.Number()) {
    this->catchUp->Request();
  }
  this->Finish(std::move(answer), aEffects);
}

bool Submissions::OnCallTimeout(Instant aNow, TicketEffects& aEffects)
{
  this->state->storeReachable = false;
  this->state->Count("ticket_calls_lost_total", "");
  if (this->step == Step::AwaitCommit) {
    this->ReadFate(aNow, aEffects);
  } else if (this->step == Step::AwaitFate) {
    this->RetryLater(aNow, Step::RetryFate);
  } else {
    this->RetryLater(aNow, Step::Retry);
  }
  return true;
}

void Submissions::AwaitNewCycle()
{
  this->step = Step::AwaitCycle;
  this->cycle = this->catchUp->StartedCycles() + 1;
  this->catchUp->Request();
}

void Submissions::RetryLater(Instant aNow, Step aStep)
{
  this->step = aStep;
  this->retryAt = aNow + this->state->options.retryInterval;
}

void Submissions::ExpireWaiting(Instant aNow, TicketEffects& aEffects)
{
  for (std::size_t i = this->queue.size(); i-- > 1;) {
    if (aNow >= this->queue[i].deadline) {
      this->state->Count("tickets_submitted_total", "store_unavailable");
      aEffects.submitAnswers.push_back(
        this->AnswerFor(this->queue[i], SubmitOutcome::StoreUnavailable));
      this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  if (this->queue.empty() || this->queue.front().answered || aNow < this->queue.front().deadline) {
    return;
  }
  Pending& front = this->queue.front();
  if (!this->FateIsOpen()) {
    this->Finish(this->AnswerFor(front, SubmitOutcome::StoreUnavailable), aEffects);
    return;
  }
  front.answered = true;
  this->state->Count("tickets_submitted_total", "unknown");
  aEffects.submitAnswers.push_back(this->AnswerFor(front, SubmitOutcome::Unknown));
}

std::vector<TicketConflict> Submissions::ConflictsOf(const ChangeTicket& aTicket) const
{
  std::vector<TicketConflict> conflicts;
  for (const auto& [key, value] : aTicket.changes) {
    const ConfigState* current = this->state->view.FindState(key);
    if (current != nullptr && current->number > aTicket.basedOn) {
      conflicts.push_back({ key, current->number });
    }
  }
  return conflicts;
}

SubmitAnswer Submissions::AnswerFor(const Pending& aPending, SubmitOutcome aOutcome) const
{
  SubmitAnswer answer;
  answer.call = aPending.call;
  answer.ticket = aPending.ticket.id;
  answer.outcome = aOutcome;
  return answer;
}

void Submissions::Finish(SubmitAnswer aAnswer, TicketEffects& aEffects)
{
  if (!this->queue.front().answered) {
    this->state->Count("tickets_submitted_total", ToString(aAnswer.outcome));
    aEffects.submitAnswers.push_back(std::move(aAnswer));
  }
  this->queue.pop_front();
  this->step = Step::Ready;
  this->cycle = 0;
  this->conflictUnexplained = false;
}

void Submissions::FinishInvalid(std::string aPath,
                                std::string aProblem,
                                std::string aExpected,
                                TicketEffects& aEffects)
{
  SubmitAnswer answer = this->AnswerFor(this->queue.front(), SubmitOutcome::Invalid);
  answer.findings.Add(
    { "ticket", 0, 0, std::move(aPath) }, std::move(aProblem), std::move(aExpected));
  this->Finish(std::move(answer), aEffects);
}

bool Submissions::FateIsOpen() const
{
  return this->step == Step::AwaitCommit || this->step == Step::AwaitFate ||
         this->step == Step::RetryFate;
}

} // namespace oriolespread::internal
