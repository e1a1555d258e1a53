// Keeps the number of calls that run in one upstream within its slots; further calls wait at the
// agent, so that a freed slot is used again without a round trip to an entry:
//
//   switch (gate.Offer(call, deadline)) { ... }
//   for (std::uint64_t next : gate.Finish(now).start) { /* send it to the upstream */ }
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace oriolespread {

enum class CallAdmission
{
  // Send the call to the upstream now; it holds a slot until Finish.
  Start,
  // The call waits; a later DequeuedCalls names it once.
  Wait,
  // Too many calls wait.
  Refused,
};

// What becomes of waiting calls. Both kinds have left the queue.
struct DequeuedCalls
{
  // To be sent now, each holding a slot.
  std::vector<std::uint64_t> start;
  // Their deadline has passed before the upstream has seen them.
  std::vector<std::uint64_t> expired;
};

// First in, first out. Not thread-safe.
class ConcurrencyLimiter
{
public:
  ConcurrencyLimiter(std::size_t aSlots, std::size_t aWaitingLimit);

  CallAdmission Offer(std::uint64_t aCall, Instant aDeadline);
  // A call that held a slot has ended.
  DequeuedCalls Finish(Instant aNow);
  // Returns the calls that have waited beyond their deadline, and starts others when slots are
  // free.
  DequeuedCalls Expire(Instant aNow);
  // Takes effect as calls end when it lowers the number.
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
