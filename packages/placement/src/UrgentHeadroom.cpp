#include "UrgentHeadroom.h"

#include <algorithm>
#include <limits>

namespace oriolespread::internal {

namespace {

using std::chrono::seconds;

constexpr Duration kKeepFor = seconds(3);
// Without a preemption for so long there is room enough for urgent tasks anyway.
constexpr Duration kContention = seconds(60);

} // namespace

UrgentHeadroom::UrgentHeadroom(CapacityIndex& aCapacity, Counters& aCounters)
  : capacity(aCapacity)
  , counters(aCounters)
  , lastPreemption(Instant::min() + 2 * kContention)
{
}

void UrgentHeadroom::Keep(Instant aNow, WorkerIndex aWorker, const Resources& aAmount)
{
  const WorkerRecord& worker = this->capacity.At(aWorker);
  if (aNow >= this->lastPreemption + kContention || !worker.TakesTasks()) {
    return;
  }
  const Resources amount = Greatest(Least(aAmount, worker.Free()), Resources{});
  if (amount == Resources{}) {
    return;
  }
  if (DominantShare(this->total + amount, this->capacity.Total()) > kMaxShare) {
    this->counters.Add("placement_headroom_refused_total", "share_of_capacity");
    return;
  }
  if (this->capacity.Reserve(aWorker, amount)) {
    this->total += amount;
    this->kept.push_back({ aWorker, amount, aNow + kKeepFor });
    this->counters.Add("placement_headroom_total", "kept");
  }
}

WorkerIndex UrgentHeadroom::Release(const Resources& aDemand)
{
  auto best = this->kept.end();
  std::int64_t bestLeft = std::numeric_limits<std::int64_t>::max();
  for (auto it = this->kept.begin(); it != this->kept.end(); ++it) {
    const Resources room = this->capacity.At(it->worker).Free() + it->amount;
    const std::int64_t left = room.milliCores - aDemand.milliCores;
    if (aDemand.FitsIn(room) && left < bestLeft) {
      best = it;
      bestLeft = left;
    }
  }
  if (best == this->kept.end()) {
    return kNone;
  }
  const WorkerIndex worker = best->worker;
  this->Free(*best);
  this->kept.erase(best);
  this->counters.Add("placement_headroom_total", "used");
  return worker;
}

std::vector<WorkerIndex> UrgentHeadroom::Expire(Instant aNow)
{
  std::vector<WorkerIndex> freed;
  std::erase_if(this->kept, [&](const Entry& aEntry) {
    if (aEntry.until > aNow) {
      return false;
    }
    this->Free(aEntry);
    freed.push_back(aEntry.worker);
    return true;
  });
  return freed;
}

void UrgentHeadroom::Drop(WorkerIndex aWorker)
{
  std::erase_if(this->kept, [&](const Entry& aEntry) {
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
