// The capacity ledger of all workers with an index over their free amounts:
//
//   capacity.Collect(demand, 8, FitOrder::Tightest, candidates);
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
  // Part of `used` that could be freed by preemption.
  Resources preemptible;
  std::uint32_t dataCentre = kNone;
  std::uint32_t rack = kNone;
  std::vector<TaskIndex> tasks;
  // Told to be in service by the owner.
  bool available = true;
  // Takes ordinary new tasks; false in quarantine.
  bool healthy = true;
  // Whether SetWorker was called for it; a worker known only from restored tasks has no capacity.
  bool registered = false;
  bool removing = false;

  Resources Free() const { return this->spec.capacity - this->allocated; }
  bool AcceptsTasks() const { return this->available && this->healthy && this->registered; }
};

// Not thread-safe. Reserve is the only call that grants new capacity, and it refuses an overcommit.
class CapacityIndex
{
public:
  explicit CapacityIndex(Counters& aCounters);

  // Adds a worker or changes it. Returns its index and whether anything changed.
  std::pair<WorkerIndex, bool> SetWorker(const WorkerSpec& aSpec);
  // Returns the worker, adding it without capacity when it is unknown.
  WorkerIndex FindOrAdd(const WorkerId& aWorker);
  // Returns kNone when the worker is unknown.
  WorkerIndex Find(const WorkerId& aWorker) const;
  void SetAvailable(WorkerIndex aWorker, bool aAvailable);
  void SetHealthy(WorkerIndex aWorker, bool aHealthy);
  // Forgets the worker; its index may be reused. The worker must hold nothing.
  void Remove(WorkerIndex aWorker);

  // Takes the amount when it is free; returns whether it was. Does not depend on AcceptsTasks.
  bool Reserve(WorkerIndex aWorker, const Resources& aAmount);
  // Records an amount that is already in use, also beyond the capacity.
  void Restore(WorkerIndex aWorker, const Resources& aAmount);
  void Free(WorkerIndex aWorker, const Resources& aAmount);
  void AddPreemptible(WorkerIndex aWorker, const Resources& aAmount);
  void RemovePreemptible(WorkerIndex aWorker, const Resources& aAmount);

  // Appends up to `aLimit` workers of each data centre whose free amount holds the demand.
  void Collect(const Resources& aDemand,
               std::size_t aLimit,
               FitOrder aOrder,
               std::vector<WorkerIndex>& aFound);
  // Appends up to `aLimit` workers in all that could hold the demand after preemption.
  void CollectPreemptible(const Resources& aDemand,
                          std::size_t aLimit,
                          FitOrder aOrder,
                          std::vector<WorkerIndex>& aFound);
  // Adds a finding for each reason for which no known worker could ever hold the demand. Adds none
  // while no worker is known, because workers are then still to be announced.
  void ExplainUnplaceable(const Resources& aDemand,
                          const std::string& aPath,
                          Findings& aFindings) const;

  // Returns whether some worker is large enough for the demand.
  bool FitsAnyWorker(const Resources& aDemand) const;

  WorkerRecord& At(WorkerIndex aWorker) { return this->workers[aWorker]; }
  const WorkerRecord& At(WorkerIndex aWorker) const { return this->workers[aWorker]; }
  // Sum of the capacities of all workers.
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
  // Free amounts, one grid for each data centre.
  std::vector<CapacityGrid> grids;
  // Free and preemptible amounts together.
  CapacityGrid preemptible;
  Resources total;
};

} // namespace oriolespread::internal
