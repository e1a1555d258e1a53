// Holds the capacity that a released urgent task frees, for a short time, so that the next urgent
// task can use it. Otherwise batch tasks would take it and be preempted soon after.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"

#include "oriolespread/base/Counters.h"

#include <vector>

namespace oriolespread::internal {

// Not thread-safe. Holds capacity only if urgent tasks preempted others recently, and at most
// kMaxCapacityShare of the total capacity. Held capacity counts as allocated in the capacity index.
class UrgentHeadroom
{
public:
  UrgentHeadroom(CapacityIndex& aCapacity, Counters& aCounters);

  void RecordPreemption(Instant aNow) { this->lastPreemption = aNow; }
  // Holds the part of the amount that is free on the worker.
  void Hold(Instant aNow, WorkerIndex aWorker, const Resources& aAmount);
  // Frees the held capacity of one worker on which the demand then fits, and returns that worker;
  // kNone if there is none. Of several, chooses the one with the fewest processors left.
  WorkerIndex Release(const Resources& aDemand);
  // Frees capacity whose hold has expired; returns the workers on which capacity became free.
  std::vector<WorkerIndex> Expire(Instant aNow);
  // Frees all capacity held on the worker.
  void ReleaseAll(WorkerIndex aWorker);
  std::size_t size() const { return this->entries.size(); }

  static constexpr double kMaxCapacityShare = 0.02;

private:
  struct Entry
  {
    WorkerIndex worker = kNone;
    Resources amount;
    Instant until;
  };

  void Free(const Entry& aEntry);

  CapacityIndex& capacity;
  Counters& counters;
  std::vector<Entry> entries;
  Resources total;
  Instant lastPreemption;
};

} // namespace oriolespread::internal
