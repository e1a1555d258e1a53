// Accounts for the capacity of all workers and finds workers by their free amounts.
//
//   capacity.Collect(demand, 8, FitOrder::BestFit, candidates);
//   if (capacity.Reserve(candidates.front(), demand)) { ... }
#pragma once

#include "CapacityGrid.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"

#include <map>
#include <tuple>
#include <vector>

namespace oriolespread::internal {

struct WorkerRecord
{
  WorkerSpec spec;
  Resources allocated;
  // The part of `allocated` that preemption could free.
  Resources preemptible;
  std::uint32_t dataCentre = kNone;
  std::uint32_t rack = kNone;
  std::vector<TaskIndex> tasks;
  // Whether the owner reports the worker as in service.
  bool available = true;
  // False while the worker is in quarantine, where it gets only probe tasks.
  bool healthy = true;
  // Whether SetWorker was called for the worker. A worker known only from restored tasks has no
  // capacity.
  bool registered = false;
  bool removing = false;

  Resources Free() const { return this->spec.capacity - this->allocated; }
  bool AcceptsTasks() const { return this->available && this->healthy && this->registered; }
};

// Not thread-safe. Reserve is the only call that allocates new capacity, and it refuses to exceed
// the capacity of a worker.
class CapacityIndex
{
public:
  explicit CapacityIndex(Counters& aCounters);

  // Adds or updates a worker. Returns its index and whether anything changed.
  std::pair<WorkerIndex, bool> SetWorker(const WorkerSpec& aSpec);
  // Returns the index of the worker; an unknown worker is added without capacity.
  WorkerIndex FindOrAdd(const WorkerId& aWorker);
  // Returns kNone if the worker is unknown.
  WorkerIndex Find(const WorkerId& aWorker) const;
  void SetAvailable(WorkerIndex aWorker, bool aAvailable);
  void SetHealthy(WorkerIndex aWorker, bool aHealthy);
  // Removes the worker, which must hold no task. Its index may be reused.
  void Remove(WorkerIndex aWorker);

  // Allocates the amount if it is free; returns whether it was. Does not check AcceptsTasks.
  bool Reserve(WorkerIndex aWorker, const Resources& aAmount);
  // Records an amount that is already in use, even if it exceeds the capacity.
  void Restore(WorkerIndex aWorker, const Resources& aAmount);
  void Free(WorkerIndex aWorker, const Resources& aAmount);
  void AddPreemptible(WorkerIndex aWorker, const Resources& aAmount);
  void RemovePreemptible(WorkerIndex aWorker, const Resources& aAmount);

  // Appends up to `aLimit` workers of each data centre on which the demand fits.
  void Collect(const Resources& aDemand,
               std::size_t aLimit,
               FitOrder aOrder,
               std::vector<WorkerIndex>& aFound);
  // Appends up to `aLimit` workers in total on which the demand would fit after preemption.
  void CollectPreemptible(const Resources& aDemand,
                          std::size_t aLimit,
                          FitOrder aOrder,
                          std::vector<WorkerIndex>& aFound);
  // Adds a finding for each reason why no known worker could ever hold the demand. Adds none while
  // no worker is registered, because workers are still expected to register then.
  void ExplainUnplaceable(const Resources& aDemand,
                          const std::string& aPath,
                          Findings& aFindings) const;

  // Returns whether the total capacity of at least one worker holds the demand.
  bool FitsAnyWorker(const Resources& aDemand) const;

  WorkerRecord& At(WorkerIndex aWorker) { return this->workers[aWorker]; }
  const WorkerRecord& At(WorkerIndex aWorker) const { return this->workers[aWorker]; }
  // Returns the sum of the capacities of all workers.
  const Resources& Total() const { return this->total; }
  std::size_t WorkerCount() const { return this->indexes.size(); }
  std::size_t DataCentreCount() const { return this->grids.size(); }

private:
  using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

  void Reindex(WorkerIndex aWorker);
  void CountCapacity(const Resources& aCapacity, bool aAdded);
  std::uint32_t DataCentreOf(const DataCentreId& aId);
  std::uint32_t RackOf(const WorkerSpec& aSpec);

  Counters& counters;
  std::vector<WorkerRecord> workers;
  std::vector<WorkerIndex> unused;
  absl::flat_hash_map<WorkerId, WorkerIndex> indexes;
  absl::flat_hash_map<std::string, std::uint32_t> dataCentres;
  absl::flat_hash_map<std::string, std::uint32_t> racks;
  // Number of workers by capacity.
  std::map<CapacityKey, std::size_t> workersByCapacity;
  // Free capacity, one grid for each data centre.
  std::vector<CapacityGrid> grids;
  // Sum of free and preemptible capacity.
  CapacityGrid preemptible;
  Resources total;
};

} // namespace oriolespread::internal
