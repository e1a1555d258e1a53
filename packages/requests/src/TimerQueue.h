// The timers of the engine's requests and calls.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <optional>
#include <queue>
#include <vector>

namespace oriolespread::internal {

enum class TimerKind
{
  Deadline,
  SlowCall,
  DispatchQueued,
};

struct Timer
{
  Instant at;
  TimerKind kind = TimerKind::DispatchQueued;
  RequestId request;
  CallId call;
};

// Timers are not cancelled when their request or call ends; they then have no effect.
class TimerQueue
{
public:
  void Add(const Timer& aTimer) { this->timers.push(aTimer); }

  // Returns the earliest timer that is due and removes it.
  std::optional<Timer> PopDue(Instant aNow)
  {
    if (this->timers.empty() || this->timers.top().at > aNow) {
      return std::nullopt;
    }
    const Timer due = this->timers.top();
    this->timers.pop();
    return due;
  }

  Instant Next() const { return this->timers.empty() ? Instant::max() : this->timers.top().at; }

private:
  struct Later
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const { return aLeft.at > aRight.at; }
  };
  std::priority_queue<Timer, std::vector<Timer>, Later> timers;
};

} // namespace oriolespread::internal
