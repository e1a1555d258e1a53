// Follows the log of accepted tickets. One cycle reads the head and then, if it has moved, the log
// after the view's number in pages, or the whole state when there is none yet or the log does not
// reach far enough back.
#pragma once

#include "BookState.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolespread::internal {

class CatchUp
{
public:
  explicit CatchUp(BookState& aState);

  void Tick(Instant aNow, TicketEffects& aEffects);
  void OnScan(Instant aNow, const TicketScanResult& aResult, TicketEffects& aEffects);
  // Starts a cycle at once, or another one after the running cycle.
  void Request() { this->requested = true; }
  // As Request; the next cycle reads the whole state.
  void RequestReload();
  Instant NextWakeup() const;

  // Cycles are numbered from 1. A cycle that starts after some moment has a number above
  // StartedCycles() at that moment.
  std::uint64_t StartedCycles() const { return this->startedCycles; }
  std::uint64_t LatestSuccess() const { return this->latestSuccess; }
  std::uint64_t LatestFailure() const { return this->latestFailure; }

private:
  enum class Phase
  {
    Idle,
    Head,
    Config,
    Log,
  };

  // A whole state that is being read. Rows are read one page after another, so it may mix the
  // states at several numbers until the log has been applied up to the highest one.
  struct Staging
  {
    std::map<std::string, ConfigState> states;
    absl::flat_hash_map<std::string, RowVersion> versions;
    RowVersion headVersion;
    TicketNumber number;
    TicketNumber highest;
  };

  void StartCycle(Instant aNow, TicketEffects& aEffects);
  void Scan(Instant aNow, std::string aPrefix, std::string aAfter, TicketEffects& aEffects);
  void OnHead(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects);
  void OnConfig(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects);
  void OnLog(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects);
  // Returns false when the row does not directly follow what has been applied.
  bool ApplyLogRow(const Row& aRow, TicketEffects& aEffects);
  void ReadLog(Instant aNow, TicketEffects& aEffects);
  void Adopt(Instant aNow, TicketEffects& aEffects);
  TicketNumber Reached() const;
  void Succeed(Instant aNow);
  void Fail(Instant aNow, const char* aReason);

  BookState* state;
  Phase phase = Phase::Idle;
  TicketCallId call = 0;
  Instant callDeadline = kNever;
  Instant nextPoll = Instant::min();
  bool requested = false;
  bool reloadNeeded = true;
  TicketNumber head;
  std::optional<Staging> staging;
  std::uint64_t startedCycles = 0;
  std::uint64_t latestSuccess = 0;
  std::uint64_t latestFailure = 0;
};

} // namespace oriolespread::internal
