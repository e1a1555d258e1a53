#include "UrgentHeadroom.h"

#include <algorithm>
#include <limits>

namespace oriolespread::internal {

namespace {

using std::chrono::seconds;

constexpr Duration kHoldDuration = seconds(3);
// Without a preemption for this time there is enough free capacity for urgent tasks.
constexpr Duration kContentionWindow = seconds(60);

} // namespace

UrgentHeadroom::UrgentHeadroom(CapacityIndex& aCapacity, Counters& aCounters)
  : capacity(aCapacity)
  , counters(aCounters)
  , lastPreemption(Instant::min() + 2 * kContentionWindow)
{
}

void UrgentHeadroom::Hold(Instant aNow, WorkerIndex aWorker, const Resources& aAmount)
{
  const WorkerRecord& worker = this->capacity.At(aWorker);
  if (aNow >= this->lastPreemption + kContentionWindow || !worker.AcceptsTasks()) {
    return;
  }
  const Resources amount = ElementwiseMax(ElementwiseMin(aAmount, worker.Free()), Resources{});
  if (amount == Resources{}) {
    return;
  }
  if (DominantShare(this->total + amount, this->capacity.Total()) > kMaxCapacityShare) {
    this->counters.Add("placement_headroom_refused_total", "share_of_capacity");
    return;
  }
  if (this->capacity.Reserve(aWorker, amount)) {
    this->total += amount;
    this->entries.push_back({ aWorker, amount, aNow + kHoldDuration });
    this->counters.Add("placement_headroom_total", "kept");
  }
}

WorkerIndex UrgentHeadroom::Release(const Resources& aDemand)
{
  auto best = this->entries.end();
  std::int64_t bestRemaining = std::numeric_limits<std::int64_t>::max();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    const Resources available = this->capacity.At(it->worker).Free() + it->amount;
    const std::int64_t remaining = available.milliCores - aDemand.milliCores;
    if (aDemand.FitsIn(available) && remaining < bestRemaining) {
      best = it;
      bestRemaining = remaining;
    }
  }
  if (best == this->entries.end()) {
    return kNone;
  }
  const WorkerIndex worker = best->worker;
  this->Free(*best);
  this->entries.erase(best);
  this->counters.Add("placement_headroom_total", "used");
  return worker;
}

std::vector<WorkerIndex> UrgentHeadroom::Expire(Instant aNow)
{
  std::vector<WorkerIndex> freed;
  std::erase_if(this->entries, [&](const Entry& aEntry) {
    if (aEntry.until > aNow) {
      return false;
    }
    this->Free(aEntry);
    freed.push_back(aEntry.worker);
    return true;
  });
  return freed;
}

void UrgentHeadroom::ReleaseAll(WorkerIndex aWorker)
{
  std::erase_if(this->entries, [&](const Entry& aEntry) {
    if (aEntry.worker != aWorker) {
      return false;
    }
    this->Free(aEntry);
    return true;
  });
}

void UrgentHeadroom::Free(const Entry& aEntry)
{
  this->capacity.Free(aEntry.worker, aEntry.amount);
  this->total -= aEntry.amount;
}

} // namespace oriolespread::internal
