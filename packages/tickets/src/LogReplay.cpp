#include "LogReplay.h"

#include "StoreRows.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace oriolespread::internal {

LogReplay::LogReplay(BookState& aState)
  : state(&aState)
{
}

void LogReplay::Read(const ReadTicketLog& aEvent, TicketEffects& aEffects)
{
  if (!this->Enqueue(aEvent)) {
    this->Refuse(aEvent, absl::ResourceExhaustedError("too many reads are waiting"), aEffects);
  }
}

void LogReplay::Replay(const ReplayTickets& aEvent, TicketEffects& aEffects)
{
  if (!this->Enqueue(aEvent)) {
    this->Refuse(aEvent, absl::ResourceExhaustedError("too many reads are waiting"), aEffects);
  }
}

void LogReplay::Advance(Instant aNow, TicketEffects& aEffects)
{
  this->now = aNow;
  if (aNow >= this->callDeadline) {
    this->Refuse(
      this->jobs.front(), absl::UnavailableError("the table service does not answer"), aEffects);
    this->FinishFront();
  }
  if (this->call != 0 || this->jobs.empty()) {
    return;
  }
  const auto* read = std::get_if<ReadTicketLog>(&this->jobs.front());
  if (read != nullptr) {
    const std::size_t limit =
      std::clamp<std::size_t>(read->limit, 1, this->state->options.pageRows);
    this->Scan(read->after, limit, aEffects);
  } else {
    this->Scan(TicketNumber{}, this->state->options.pageRows, aEffects);
  }
}

void LogReplay::OnScan(const TicketScanResult& aResult, TicketEffects& aEffects)
{
  if (this->call == 0 || aResult.call != this->call) {
    return;
  }
  const Job& job = this->jobs.front();
  if (!aResult.page.ok()) {
    this->Refuse(job, absl::UnavailableError(aResult.page.status().message()), aEffects);
    this->FinishFront();
  } else if (const auto* read = std::get_if<ReadTicketLog>(&job); read != nullptr) {
    this->OnReadPage(*read, *aResult.page, aEffects);
    this->FinishFront();
  } else {
    this->OnReplayPage(std::get<ReplayTickets>(job), *aResult.page, aEffects);
  }
}

bool LogReplay::Enqueue(Job aJob)
{
  if (this->jobs.size() >= this->state->options.maxWaitingReplays) {
    return false;
  }
  this->jobs.push_back(std::move(aJob));
  return true;
}

void LogReplay::Scan(TicketNumber aAfter, std::size_t aLimit, TicketEffects& aEffects)
{
  this->call = this->state->NextCall();
  this->callDeadline = this->now + this->state->options.callTimeout;
  aEffects.storeCalls.emplace_back(
    TicketScanCall{ this->call, kLogPrefix, LogKey(aAfter), aLimit });
}

void LogReplay::OnReadPage(const ReadTicketLog& aJob,
                           const ScanPage& aPage,
                           TicketEffects& aEffects)
{
  std::vector<NumberedTicket> tickets;
  for (const Row& row : aPage.rows) {
    auto ticket = TicketOfRow(row);
    if (!ticket.has_value()) {
      this->Refuse(aJob, absl::DataLossError(absl::StrCat(row.key, " is unreadable")), aEffects);
      return;
    }
    tickets.push_back(*std::move(ticket));
  }
  aEffects.logAnswers.push_back({ aJob.call, std::move(tickets) });
}

void LogReplay::OnReplayPage(const ReplayTickets& aJob,
                             const ScanPage& aPage,
                             TicketEffects& aEffects)
{
  for (const Row& row : aPage.rows) {
    if (this->reached >= aJob.number) {
      break;
    }
    const auto ticket = TicketOfRow(row);
    if (!ticket.has_value() || ticket->number.Value() != this->reached.Value() + 1) {
      this->Refuse(aJob,
                   absl::DataLossError(absl::StrCat(
                     "ticket ", this->reached.Value() + 1, " is missing or unreadable")),
                   aEffects);
      this->FinishFront();
      return;
    }
    this->reached = ticket->number;
    for (const auto& [key, value] : ticket->ticket.changes) {
      this->states[key] = { key, ticket->number, value };
    }
  }
  if (this->reached < aJob.number && aPage.more) {
    this->Scan(this->reached, this->state->options.pageRows, aEffects);
    return;
  }
  if (this->reached < aJob.number) {
    this->Refuse(
      aJob,
      absl::OutOfRangeError(absl::StrCat("the newest ticket is ", this->reached.Value())),
      aEffects);
  } else {
    std::vector<ConfigState> result;
    for (auto& [key, value] : this->states) {
      result.push_back(std::move(value));
    }
    aEffects.stateAnswers.push_back({ aJob.call, std::move(result) });
  }
  this->FinishFront();
}

void LogReplay::Refuse(const Job& aJob, const absl::Status& aStatus, TicketEffects& aEffects) const
{
  if (const auto* read = std::get_if<ReadTicketLog>(&aJob); read != nullptr) {
    aEffects.logAnswers.push_back({ read->call, aStatus });
  } else {
    aEffects.stateAnswers.push_back({ std::get<ReplayTickets>(aJob).call, aStatus });
  }
}

void LogReplay::FinishFront()
{
  this->jobs.pop_front();
  this->call = 0;
  this->callDeadline = kNever;
  this->states.clear();
  this->reached = TicketNumber{};
}

} // namespace oriolespread::internal
