// Chooses the batch tasks of a worker to evict for an urgent task, at the lowest cost.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"

#include <optional>
#include <vector>

namespace oriolespread::internal {

struct VictimSet
{
  WorkerIndex worker = kNone;
  std::vector<TaskIndex> victims;
  // Core-seconds of lost work plus a fixed cost for each eviction.
  double cost = 0.0;
};

// Stateless apart from a reference to the task records.
class VictimSelector
{
public:
  explicit VictimSelector(const std::vector<TaskRecord>& aTasks);

  // Returns a low-cost set of at most kMaxVictims tasks of the worker whose grants, together with
  // its free capacity, cover the demand. Tasks that were evicted kMaxEvictions times or more are
  // chosen only if the others are not sufficient.
  std::optional<VictimSet> Choose(Instant aNow,
                                  const Resources& aDemand,
                                  WorkerIndex aIndex,
                                  const WorkerRecord& aWorker) const;

  // Returns the cost of evicting the task: the core-seconds since its last checkpoint, plus a cost
  // that grows with the square of the number of its earlier evictions.
  static double Cost(Instant aNow, const TaskRecord& aTask);
  static bool IsPreemptible(const TaskShape& aShape)
  {
    return aShape.taskClass == TaskClass::Batch && !aShape.urgent;
  }

  static constexpr std::size_t kMaxVictims = 8;
  static constexpr int kMaxEvictions = 3;

private:
  struct Candidate
  {
    TaskIndex task;
    double cost;
    Resources grant;
  };

  std::optional<VictimSet> ChooseFrom(const std::vector<Candidate>& aCandidates,
                                      const Resources& aMissing) const;

  const std::vector<TaskRecord>& tasks;
};

} // namespace oriolespread::internal
