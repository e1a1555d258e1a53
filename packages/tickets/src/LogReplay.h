// Reads the log for operators: accepted tickets, and the state that they amount to at a number.
#pragma once

#include "BookState.h"

#include <deque>
#include <map>
#include <variant>

namespace oriolespread::internal {

class LogReplay
{
public:
  explicit LogReplay(BookState& aState);

  void Read(const ReadTicketLog& aEvent, TicketEffects& aEffects);
  void Replay(const ReplayTickets& aEvent, TicketEffects& aEffects);
  void OnScan(const TicketScanResult& aResult, TicketEffects& aEffects);
  // Starts the next waiting call; to be called after each event.
  void Advance(Instant aNow, TicketEffects& aEffects);
  Instant NextWakeup() const { return this->callDeadline; }

private:
  using Job = std::variant<ReadTicketLog, ReplayTickets>;

  bool Enqueue(Job aJob);
  void Scan(TicketNumber aAfter, std::size_t aLimit, TicketEffects& aEffects);
  void OnReadPage(const ReadTicketLog& aJob, const ScanPage& aPage, TicketEffects& aEffects);
  void OnReplayPage(const ReplayTickets& aJob, const ScanPage& aPage, TicketEffects& aEffects);
  void Refuse(const Job& aJob, const absl::Status& aStatus, TicketEffects& aEffects) const;
  void FinishFront();

  BookState* state;
  std::deque<Job> jobs;
  TicketCallId call = 0;
  Instant callDeadline = kNever;
  Instant now;
  std::map<std::string, ConfigState> states;
  TicketNumber reached;
};

} // namespace oriolespread::internal
