// Limits the number of calls that run in one upstream to its slots. Further calls wait at the
// agent, so that a slot is reused without a round trip to an entry:
//
//   switch (limiter.Offer(call, deadline)) { ... }
//   for (std::uint64_t next : limiter.Finish(now).start) { /* send it to the upstream */ }
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace oriolespread {

enum class CallAdmission
{
  // Send the call to the upstream now. It occupies a slot until Finish.
  Start,
  // The call is queued. Exactly one later DequeuedCalls contains it.
  Wait,
  // The queue is full.
  Refused,
};

// Calls that have left the queue.
struct DequeuedCalls
{
  // To be sent to the upstream now; each occupies a slot.
  std::vector<std::uint64_t> start;
  // Their deadline has passed, and the upstream has not received them.
  std::vector<std::uint64_t> expired;
};

// The queue is first-in first-out. Not thread-safe.
class ConcurrencyLimiter
{
public:
  ConcurrencyLimiter(std::size_t aSlots, std::size_t aWaitingLimit);

  CallAdmission Offer(std::uint64_t aCall, Instant aDeadline);
  // Frees the slot of a call that has ended.
  DequeuedCalls Finish(Instant aNow);
  // Returns the calls whose deadline has passed in the queue, and starts others when slots are
  // free.
  DequeuedCalls Expire(Instant aNow);
  // A lower number takes effect as running calls end.
  void SetSlots(std::size_t aSlots) { this->slots = aSlots; }

  std::size_t Running() const { return this->running; }
  std::size_t Waiting() const { return this->waiting.size(); }

private:
  struct WaitingCall
  {
    std::uint64_t call = 0;
    Instant deadline;
  };

  std::size_t slots;
  std::size_t waitingLimit;
  std::size_t running = 0;
  std::deque<WaitingCall> waiting;
};

} // namespace oriolespread
