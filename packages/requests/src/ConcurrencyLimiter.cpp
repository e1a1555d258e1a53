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
  DequeuedCalls dequeued;
  std::deque<WaitingCall> remaining;
  for (const WaitingCall& waitingCall : this->waiting) {
    if (waitingCall.deadline <= aNow) {
      dequeued.expired.push_back(waitingCall.call);
    } else if (this->running < this->slots) {
      ++this->running;
      dequeued.start.push_back(waitingCall.call);
    } else {
      remaining.push_back(waitingCall);
    }
  }
  this->waiting = std::move(remaining);
  return dequeued;
}

} // namespace oriolespread
