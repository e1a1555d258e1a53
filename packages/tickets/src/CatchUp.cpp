#include "CatchUp.h"

#include "StoreRows.h"

#include <algorithm>
#include <utility>

namespace oriolespread::internal {

CatchUp::CatchUp(BookState& aState)
  : state(&aState)
{
}

void CatchUp::RequestReload()
{
  this->reloadNeeded = true;
  this->Request();
}

Instant CatchUp::NextWakeup() const
{
  if (this->phase != Phase::Idle) {
    return this->callDeadline;
  }
  return this->requested ? Instant::min() : this->nextPoll;
}

void CatchUp::Tick(Instant aNow, TicketEffects& aEffects)
{
  if (this->phase != Phase::Idle && aNow >= this->callDeadline) {
    this->state->storeReachable = false;
    this->Fail(aNow, "timeout");
  }
  if (this->phase == Phase::Idle && (this->requested || aNow >= this->nextPoll)) {
    this->StartCycle(aNow, aEffects);
  }
}

void CatchUp::OnScan(Instant aNow, const TicketScanResult& aResult, TicketEffects& aEffects)
{
  if (this->phase == Phase::Idle || aResult.call != this->call) {
    return;
  }
  this->state->storeReachable = aResult.page.ok();
  if (!aResult.page.ok()) {
    this->Fail(aNow, "unavailable");
    return;
  }
  switch (this->phase) {
    case Phase::Head:
      this->OnHead(aNow, *aResult.page, aEffects);
      break;
    case Phase::Config:
      this->OnConfig(aNow, *aResult.page, aEffects);
      break;
    case Phase::Log:
      this->OnLog(aNow, *aResult.page, aEffects);
      break;
    case Phase::Idle:
      break;
  }
}

void CatchUp::StartCycle(Instant aNow, TicketEffects& aEffects)
{
  this->requested = false;
  this->staging.reset();
  ++this->startedCycles;
  this->phase = Phase::Head;
  this->Scan(aNow, kHeadKey, "", aEffects);
}

void CatchUp::Scan(Instant aNow, std::string aPrefix, std::string aAfter, TicketEffects& aEffects)
{
  this->call = this->state->NextCall();
  this->callDeadline = aNow + this->state->options.callTimeout;
  // The head's key sorts before all keys that it is a prefix of.
  const std::size_t limit = this->phase == Phase::Head ? 1 : this->state->options.pageRows;
  aEffects.storeCalls.emplace_back(
    TicketScanCall{ this->call, std::move(aPrefix), std::move(aAfter), limit });
}

void CatchUp::OnHead(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects)
{
  this->head = TicketNumber{};
  RowVersion version;
  if (!aPage.rows.empty() && aPage.rows.front().key == kHeadKey) {
    const auto number = NumberOfRow(aPage.rows.front());
    if (!number.has_value()) {
      this->Fail(aNow, "head_unreadable");
      return;
    }
    this->head = *number;
    version = aPage.rows.front().version;
  }
  const TicketNumber number = this->state->view.Number();
  if (this->head < number) {
    // Either an older read or a table service that lost rows; the number must not go back.
    this->Fail(aNow, "store_behind");
    return;
  }
  const std::uint64_t distance = this->head.Value() - number.Value();
  if (!this->state->synced || this->reloadNeeded ||
      distance > this->state->options.maxLogDistance) {
    this->staging.emplace();
    this->staging->number = this->head;
    this->staging->highest = this->head;
    this->staging->headVersion = version;
    this->phase = Phase::Config;
    this->Scan(aNow, kConfigPrefix, "", aEffects);
  } else if (distance == 0) {
    this->Succeed(aNow);
  } else {
    this->ReadLog(aNow, aEffects);
  }
}

void CatchUp::OnConfig(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects)
{
  for (const Row& row : aPage.rows) {
    const auto value = ConfigStateOfRow(row);
    if (!value.has_value()) {
      this->state->Count("ticket_rows_unreadable_total", "config");
      continue;
    }
    this->staging->versions[value->key] = row.version;
    this->staging->highest = std::max(this->staging->highest, value->number);
    this->staging->states.insert_or_assign(value->key, *value);
  }
  if (aPage.more && !aPage.rows.empty()) {
    this->Scan(aNow, kConfigPrefix, aPage.rows.back().key, aEffects);
  } else if (this->staging->highest > this->staging->number) {
    this->ReadLog(aNow, aEffects);
  } else {
    this->Adopt(aNow, aEffects);
  }
}

void CatchUp::ReadLog(Instant aNow, TicketEffects& aEffects)
{
  this->phase = Phase::Log;
  this->Scan(aNow, kLogPrefix, LogKey(this->Reached()), aEffects);
}

void CatchUp::OnLog(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects)
{
  for (const Row& row : aPage.rows) {
    if (!this->ApplyLogRow(row, aEffects)) {
      this->reloadNeeded = true;
      this->Fail(aNow, "log_gap");
      return;
    }
  }
  if (aPage.more && !aPage.rows.empty()) {
    this->ReadLog(aNow, aEffects);
  } else if (this->Reached() < (this->staging ? this->staging->highest : this->head)) {
    this->reloadNeeded = true;
    this->Fail(aNow, "log_gap");
  } else if (this->staging.has_value()) {
    this->Adopt(aNow, aEffects);
  } else {
    this->Succeed(aNow);
  }
}

bool CatchUp::ApplyLogRow(const Row& aRow, TicketEffects& aEffects)
{
  const auto ticket = TicketOfRow(aRow);
  if (!ticket.has_value()) {
    this->state->Count("ticket_rows_unreadable_total", "log");
    return false;
  }
  if (ticket->number <= this->Reached()) {
    // Accepted by this entry while the page was read.
    return true;
  }
  if (ticket->number.Value() != this->Reached().Value() + 1) {
    return false;
  }
  if (!this->staging.has_value()) {
    this->state->ApplyTicket(*ticket, aRow.version, aEffects);
    return true;
  }
  for (const auto& [key, value] : ticket->ticket.changes) {
    ConfigState& current = this->staging->states[key];
    if (current.number < ticket->number) {
      current = { key, ticket->number, value };
      this->staging->versions[key] = aRow.version;
    }
  }
  this->staging->number = ticket->number;
  this->staging->headVersion = aRow.version;
  return true;
}

void CatchUp::Adopt(Instant aNow, TicketEffects& aEffects)
{
  BookState& book = *this->state;
  if (this->staging->number < book.view.Number()) {
    this->Fail(aNow, "overtaken");
    return;
  }
  if (this->staging->number > book.view.Number()) {
    TicketUpdate update{ TicketNumber{}, this->staging->number, {} };
    for (auto& [key, value] : this->staging->states) {
      update.states.push_back(std::move(value));
    }
    book.Apply(update, aEffects);
  }
  book.headVersion = this->staging->headVersion;
  book.versions = std::move(this->staging->versions);
  book.known = true;
  book.synced = true;
  this->reloadNeeded = false;
  this->Succeed(aNow);
}

TicketNumber CatchUp::Reached() const
{
  return this->staging.has_value() ? this->staging->number : this->state->view.Number();
}

void CatchUp::Succeed(Instant aNow)
{
  this->phase = Phase::Idle;
  this->staging.reset();
  this->latestSuccess = this->startedCycles;
  this->nextPoll = aNow + this->state->options.pollInterval;
}

void CatchUp::Fail(Instant aNow, const char* aReason)
{
  this->state->Count("ticket_polls_failed_total", aReason);
  this->phase = Phase::Idle;
  this->staging.reset();
  // What was requested is retried by this cycle's successor; starting it at once would spin.
  this->requested = false;
  this->latestFailure = this->startedCycles;
  const TicketBookOptions& options = this->state->options;
  this->nextPoll =
    aNow + (this->state->storeReachable ? options.retryInterval : options.pollInterval);
}

} // namespace oriolespread::internal
