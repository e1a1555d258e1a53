// Keeps what an urgent task frees for the next urgent one for a short while, so that batch does not
// take it only to be preempted again.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"

#include "oriolespread/base/Counters.h"

#include <vector>

namespace oriolespread::internal {

// Not thread-safe. Keeps nothing unless urgent tasks had to preempt lately, and at most
// kMaxCapacityShare of all capacity. What is kept counts as used in the capacity index.
class UrgentHeadroom
{
public:
  UrgentHeadroom(CapacityIndex& aCapacity, Counters& aCounters);

  void RecordPreemption(Instant aNow) { this->lastPreemption = aNow; }
  // Keeps as much of the amount as is free on the worker.
  void Hold(Instant aNow, WorkerIndex aWorker, const Resources& aAmount);
  // Frees what is kept on one worker where the demand then fits, and returns that worker; kNone
  // when there is none. Of several the one with the least left over is taken.
  WorkerIndex Release(const Resources& aDemand);
  // Frees what was kept too long; returns the workers where something became free.
  std::vector<WorkerIndex> Expire(Instant aNow);
  // Frees everything that is kept on the worker.
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
