#include "oriolespread/requests/SlotGate.h"

namespace oriolespread {

SlotGate::SlotGate(std::size_t aSlots, std::size_t aWaitingLimit)
  : slots(aSlots)
  , waitingLimit(aWaitingLimit)
{
}

SlotAdmission SlotGate::Offer(std::uint64_t aCall, Instant aDeadline)
{
  if (this->running < this->slots && this->waiting.empty()) {
    ++this->running;
    return SlotAdmission::Start;
  }
  if (this->waiting.size() >= this->waitingLimit) {
    return SlotAdmission::Refused;
  }
  this->waiting.push_back({ aCall, aDeadline });
  return SlotAdmission::Wait;
}

SlotTurn SlotGate::Finish(Instant aNow)
{
  --this->running;
  return this->Expire(aNow);
}

SlotTurn SlotGate::Expire(Instant aNow)
{
  SlotTurn turn;
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
