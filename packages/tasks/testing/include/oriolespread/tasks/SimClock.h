// A simulated clock with an event queue, and local clocks that run faster or slower than it.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace oriolespread::sim {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs functions in the order of their times; those with equal times in the order of scheduling.
class EventQueue
{
public:
  Duration Now() const { return this->now; }
  void At(Duration aTime, std::function<void()> aRun)
  {
    this->events.push({ std::max(aTime, this->now), ++this->sequence, std::move(aRun) });
  }
  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->At(this->now + aDelay, std::move(aRun));
  }
  // Runs all events up to `aEnd`, or until `aStop` returns true.
  void RunUntil(Duration aEnd, const std::function<bool()>& aStop)
  {
    while (!this->events.empty() && this->events.top().time <= aEnd && !aStop()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.run();
    }
    if (!aStop()) {
      this->now = std::max(this->now, aEnd);
    }
  }

private:
  struct Event
  {
    Duration time;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return time != aOther.time ? time > aOther.time : sequence > aOther.sequence;
    }
  };
  std::priority_queue<Event> events;
  Duration now{};
  std::uint64_t sequence = 0;
};

// The clock of a machine: `rate` local seconds pass in each second of the event queue.
struct LocalClock
{
  double rate = 1.0;
  Duration offset = seconds(1000);

  Instant At(Duration aTime) const
  {
    return Instant(this->offset + std::chrono::duration_cast<Duration>(aTime * this->rate));
  }
  // Returns the first queue time, rounded up, at which this clock shows at least `aInstant`.
  Duration QueueTimeAt(Instant aInstant) const
  {
    const Duration local = aInstant.time_since_epoch() - this->offset;
    return std::chrono::duration_cast<Duration>(local / this->rate) + std::chrono::microseconds(1);
  }
};

} // namespace oriolespread::sim
