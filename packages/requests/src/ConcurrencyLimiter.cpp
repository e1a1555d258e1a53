#include "oriolespread/requests/ConcurrencyLimiter.h"

namespace oriolespread {

ConcurrencyLimiter::ConcurrencyLimiter(std::size_t aSlots, std::size_t aWaitingLimit)
  : slots(aSlots)
  , waitingLimit(aWaitingLimit)
{
}

CallAdmission ConcurrencyLimiter::Offer(std::uint64_t aCall, Instant aDeadline)
{
  if (this->running < this->slots && this->waiting.empty()) {
    ++this->running;
    return CallAdmission::Start;
  }
  if (this->waiting.size() >= this->waitingLimit) {
    return CallAdmission::Refused;
  }
  this->waiting.push_back({ aCall, aDeadline });
  return CallAdmission::Wait;
}

DequeuedCalls ConcurrencyLimiter::Finish(Instant aNow)
{
  --this->running;
  return this->Expire(aNow);
}

DequeuedCalls ConcurrencyLimiter::Expire(Instant aNow)
{
  DequeuedCalls turn;
  std::deque<Waiter> remaining;
  for (const Waiter& waiter : this->waiting) {
    if (waiter.deadline <= aNow) {
      turn.expired.push_back(waiter.call);
    } else if (this->running < this->slots) {
      ++this->running;
      turn.start.push_back(waiter.call);
    } else {
      remaining.push_back(waiter);
    }
  }
  this->waiting = std::move(remaining);
  return turn;
}

} // namespace oriolespread
