#include "CapacityIndex.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace oriolespread::internal {

CapacityIndex::CapacityIndex(Counters& aCounters)
  : counters(aCounters)
{
}

std::pair<WorkerIndex, bool> CapacityIndex::SetWorker(const WorkerSpec& aSpec)
{
  const WorkerIndex index = this->FindOrAdd(aSpec.worker);
  WorkerRecord& worker = this->workers[index];
  const bool changed = !worker.registered || worker.spec.capacity != aSpec.capacity ||
                       worker.spec.dataCentre != aSpec.dataCentre || worker.spec.rack != aSpec.rack;
  if (worker.removing) {
    worker.removing = false;
    worker.available = true;
    this->Reindex(index);
  }
  if (!changed) {
    return { index, false };
  }
  if (worker.registered) {
    this->CountCapacity(worker.spec.capacity, false);
    this->grids[worker.dataCentre].Remove(index);
  }
  this->CountCapacity(aSpec.capacity, true);
  worker.spec = aSpec;
  worker.registered = true;
  worker.dataCentre = this->DataCentreOf(aSpec.dataCentre);
  worker.rack = this->RackOf(aSpec);
  this->Reindex(index);
  return { index, true };
}

WorkerIndex CapacityIndex::FindOrAdd(const WorkerId& aWorker)
{
  const WorkerIndex known = this->Find(aWorker);
  if (known != kNone) {
    return known;
  }
  WorkerIndex index = kNone;
  if (this->unused.empty()) {
    index = static_cast<WorkerIndex>(this->workers.size());
    this->workers.emplace_back();
  } else {
    index = this->unused.back();
    this->unused.pop_back();
  }
  this->workers[index].spec.worker = aWorker;
  this->indexes.emplace(aWorker, index);
  return index;
}

WorkerIndex CapacityIndex::Find(const WorkerId& aWorker) const
{
  const auto it = this->indexes.find(aWorker);
  return it == this->indexes.end() ? kNone : it->second;
}

void CapacityIndex::SetAvailable(WorkerIndex aWorker, bool aAvailable)
{
  this->workers[aWorker].available = aAvailable;
  this->Reindex(aWorker);
}

void CapacityIndex::SetHealthy(WorkerIndex aWorker, bool aHealthy)
{
  this->workers[aWorker].healthy = aHealthy;
  this->Reindex(aWorker);
}

void CapacityIndex::Remove(WorkerIndex aWorker)
{
  WorkerRecord& worker = this->workers[aWorker];
  if (worker.registered) {
    this->CountCapacity(worker.spec.capacity, false);
    this->grids[worker.dataCentre].Remove(aWorker);
    this->preemptible.Remove(aWorker);
  }
  this->indexes.erase(worker.spec.worker);
  worker = WorkerRecord{};
  this->unused.push_back(aWorker);
}

bool CapacityIndex::Reserve(WorkerIndex aWorker, const Resources& aAmount)
{
  WorkerRecord& worker = this->workers[aWorker];
  if (!aAmount.IsNonNegative() || !(worker.allocated + aAmount).FitsIn(worker.spec.capacity)) {
    this->counters.Add("placement_reserve_refused_total", "overcommit");
    return false;
  }
  worker.allocated += aAmount;
  this->Reindex(aWorker);
  return true;
}

void CapacityIndex::Restore(WorkerIndex aWorker, const Resources& aAmount)
{
  WorkerRecord& worker = this->workers[aWorker];
  worker.allocated += aAmount;
  if (worker.registered && !worker.allocated.FitsIn(worker.spec.capacity)) {
    this->counters.Add("placement_restored_total", "beyond_capacity");
  }
  this->Reindex(aWorker);
}

void CapacityIndex::Free(WorkerIndex aWorker, const Resources& aAmount)
{
  this->workers[aWorker].allocated -= aAmount;
  this->Reindex(aWorker);
}

void CapacityIndex::AddPreemptible(WorkerIndex aWorker, const Resources& aAmount)
{
  this->workers[aWorker].preemptible += aAmount;
  this->Reindex(aWorker);
}

void CapacityIndex::RemovePreemptible(WorkerIndex aWorker, const Resources& aAmount)
{
  this->workers[aWorker].preemptible -= aAmount;
  this->Reindex(aWorker);
}

void CapacityIndex::Collect(const Resources& aDemand,
                            std::size_t aLimit,
                            FitOrder aOrder,
                            std::vector<WorkerIndex>& aFound)
{
  for (CapacityGrid& grid : this->grids) {
    grid.Collect(aDemand, aLimit, aOrder, aFound);
  }
}

void CapacityIndex::CollectPreemptible(const Resources& aDemand,
                                       std::size_t aLimit,
                                       FitOrder aOrder,
                                       std::vector<WorkerIndex>& aFound)
{
  this->preemptible.Collect(aDemand, aLimit, aOrder, aFound);
}

void CapacityIndex::ExplainUnplaceable(const Resources& aDemand,
                                       const std::string& aPath,
                                       Findings& aFindings) const
{
  Resources largest;
  for (const auto& [capacityKey, count] : this->workersByCapacity) {
    const Resources capacity{ std::get<0>(capacityKey),
                              std::get<1>(capacityKey),
                              std::get<2>(capacityKey) };
    if (aDemand.FitsIn(capacity)) {
      return;
    }
    largest = ElementwiseMax(largest, capacity);
  }
  if (this->workersByCapacity.empty()) {
    return;
  }
  const auto check = [&](const char* aName, std::int64_t aAsked, std::int64_t aMax) {
    if (aAsked > aMax) {
      aFindings.Add({ "", 0, 0, absl::StrCat(aPath, ".", aName) },
                    absl::StrCat("is ", aAsked),
                    absl::StrCat("at most ", aMax, ", the largest capacity of any worker"));
    }
  };
  check("milliCores", aDemand.milliCores, largest.milliCores);
  check("memoryMiB", aDemand.memoryMiB, largest.memoryMiB);
  check("accelerators", aDemand.accelerators, largest.accelerators);
  if (aDemand.FitsIn(largest)) {
    aFindings.Add({ "", 0, 0, aPath },
                  "requests a combination of amounts that no single worker has",
                  "amounts that fit on one worker");
  }
}

bool CapacityIndex::FitsAnyWorker(const Resources& aDemand) const
{
  return std::any_of(
    this->workersByCapacity.begin(), this->workersByCapacity.end(), [&](const auto& aEntry) {
      const auto& [milliCores, memoryMiB, accelerators] = aEntry.first;
      return aDemand.FitsIn({ milliCores, memoryMiB, accelerators });
    });
}

void CapacityIndex::Reindex(WorkerIndex aWorker)
{
  const WorkerRecord& worker = this->workers[aWorker];
  if (!worker.registered) {
    return;
  }
  const Resources free = worker.Free();
  if (worker.AcceptsTasks() && free.IsNonNegative()) {
    this->grids[worker.dataCentre].Put(aWorker, free);
    this->preemptible.Put(aWorker, free + worker.preemptible);
  } else {
    this->grids[worker.dataCentre].Remove(aWorker);
    this->preemptible.Remove(aWorker);
  }
}

void CapacityIndex::CountCapacity(const Resources& aCapacity, bool aAdded)
{
  const CapacityKey capacityKey{ aCapacity.milliCores,
                                 aCapacity.memoryMiB,
                                 aCapacity.accelerators };
  if (aAdded) {
    ++this->workersByCapacity[capacityKey];
    this->total += aCapacity;
    return;
  }
  this->total -= aCapacity;
  const auto it = this->workersByCapacity.find(capacityKey);
  if (--it->second == 0) {
    this->workersByCapacity.erase(it);
  }
}

std::uint32_t CapacityIndex::DataCentreOf(const DataCentreId& aId)
{
  const auto next = static_cast<std::uint32_t>(this->grids.size());
  const auto [it, added] = this->dataCentres.try_emplace(aId.Value(), next);
  if (added) {
    this->grids.emplace_back();
  }
  return it->second;
}

std::uint32_t CapacityIndex::RackOf(const WorkerSpec& aSpec)
{
  const auto next = static_cast<std::uint32_t>(this->racks.size());
  const std::string name = absl::StrCat(aSpec.dataCentre.Value(), "/", aSpec.rack.Value());
  return this->racks.try_emplace(name, next).first->second;
}

} // namespace oriolespread::internal
