// Chooses which batch tasks of a worker yield to an urgent task, at the least cost.
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
  // Core-seconds of work lost, with a charge for each eviction.
  double cost = 0.0;
};

// Stateless apart from its view of the tasks.
class VictimSelector
{
public:
  explicit VictimSelector(const std::vector<TaskRecord>& aTasks);

  // Returns the cheapest set of at most kMaxVictims tasks of the worker whose grants together with
  // its free amounts hold the demand. Tasks evicted kMaxEvictions times are chosen only when the
  // others do not suffice.
  std::optional<VictimSet> Choose(Instant aNow,
                                  const Resources& aDemand,
                                  WorkerIndex aIndex,
                                  const WorkerRecord& aWorker) const;

  // Returns what evicting the task costs: core-seconds since its last checkpoint, plus a charge
  // that grows with the square of its earlier evictions.
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
