// A queue of the engine's timers, ordered by time.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <optional>
#include <queue>
#include <vector>

namespace oriolespread::internal {

enum class TimerKind
{
  // The deadline of a request.
  Deadline,
  // The hedge delay of a call.
  Hedge,
  // The end of an ejection, after which queued requests are dispatched.
  DispatchQueued,
};

struct Timer
{
  Instant at;
  TimerKind kind = TimerKind::DispatchQueued;
  RequestId request;
  CallId call;
};

// Timers are not cancelled when their request or call ends, but then have no effect when due.
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

  // Returns the time of the earliest timer, or Instant::max() when there is none.
  Instant NextDue() const { return this->timers.empty() ? Instant::max() : this->timers.top().at; }

private:
  struct Later
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const { return aLeft.at > aRight.at; }
  };
  std::priority_queue<Timer, std::vector<Timer>, Later> timers;
};

} // namespace oriolespread::internal
