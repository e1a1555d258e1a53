#include "VictimSelector.h"

#include <algorithm>
#include <limits>

namespace oriolespread::internal {

namespace {

// Cost of one eviction: stopping the task, fetching its checkpoint and starting it again.
constexpr double kEvictionCostCoreSeconds = 30.0;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the sum over the three resources of the fraction of the missing amount that the grant
// covers, from 0 to 3.
double Coverage(const Resources& aMissing, const Resources& aGrant)
{
  const auto fraction = [](std::int64_t aNeeded, std::int64_t aGiven) {
    return aNeeded <= 0
             ? 0.0
             : static_cast<double>(std::min(aNeeded, aGiven)) / static_cast<double>(aNeeded);
  };
  return fraction(aMissing.milliCores, aGrant.milliCores) +
         fraction(aMissing.memoryMiB, aGrant.memoryMiB) +
         fraction(aMissing.accelerators, aGrant.accelerators);
}

bool IsCovered(const Resources& aMissing)
{
  return aMissing.FitsIn(Resources{});
}

} // namespace

VictimSelector::VictimSelector(const std::vector<TaskRecord>& aTasks)
  : tasks(aTasks)
{
}

double VictimSelector::Cost(Instant aNow, const TaskRecord& aTask)
{
  const Instant lastCheckpoint = std::max(aTask.placedAt, aTask.checkpointedAt);
  const double lostCoreSeconds = Seconds(std::max(aNow - lastCheckpoint, Duration::zero())) *
                                 static_cast<double>(aTask.grant.milliCores) / 1000.0;
  const double evictionFactor = 1.0 + aTask.evictions;
  return lostCoreSeconds + kEvictionCostCoreSeconds * evictionFactor * evictionFactor;
}

std::optional<VictimSet> VictimSelector::Choose(Instant aNow,
                                                const Resources& aDemand,
                                                WorkerIndex aIndex,
                                                const WorkerRecord& aWorker) const
{
  const Resources missing = aDemand - aWorker.Free();
  std::vector<Candidate> rarelyEvicted;
  std::vector<Candidate> all;
  for (const TaskIndex index : aWorker.tasks) {
    const TaskRecord& task = this->tasks[index];
    if (task.phase != TaskPhase::Placed || !IsPreemptible(task.shape)) {
      continue;
    }
    all.push_back({ index, Cost(aNow, task), task.grant });
    if (task.evictions < kMaxEvictions) {
      rarelyEvicted.push_back(all.back());
    }
  }
  std::optional<VictimSet> chosen = this->ChooseFrom(rarelyEvicted, missing);
  if (!chosen.has_value() && rarelyEvicted.size() < all.size()) {
    chosen = this->ChooseFrom(all, missing);
  }
  if (chosen.has_value()) {
    chosen->worker = aIndex;
  }
  return chosen;
}

std::optional<VictimSet> VictimSelector::ChooseFrom(const std::vector<Candidate>& aCandidates,
                                                    const Resources& aMissing) const
{
  std::vector<Candidate> remaining = aCandidates;
  std::vector<Candidate> chosen;
  Resources missing = aMissing;
  while (!IsCovered(missing) && chosen.size() < kMaxVictims && !remaining.empty()) {
    // Greedy choice: the task with the lowest cost per covered fraction.
    auto best = remaining.end();
    double bestCostPerCoverage = std::numeric_limits<double>::infinity();
    for (auto it = remaining.begin(); it != remaining.end(); ++it) {
      const double coverage = Coverage(missing, it->grant);
      const double costPerCoverage = it->cost / std::max(coverage, 1e-9);
      if (coverage > 0 && costPerCoverage < bestCostPerCoverage) {
        best = it;
        bestCostPerCoverage = costPerCoverage;
      }
    }
    if (best == remaining.end()) {
      return std::nullopt;
    }
    missing -= best->grant;
    chosen.push_back(*best);
    remaining.erase(best);
  }
  if (!IsCovered(missing)) {
    return std::nullopt;
  }
  std::sort(chosen.begin(), chosen.end(), [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.cost > aRight.cost;
  });
  VictimSet set;
  for (const Candidate& candidate : chosen) {
    // Later choices may have made an earlier one unnecessary.
    if (IsCovered(missing + candidate.grant)) {
      missing += candidate.grant;
      continue;
    }
    set.victims.push_back(candidate.task);
    set.cost += candidate.cost;
  }
  // A single task that covers the demand may cost less than the set that was chosen greedily.
  const auto cheapestSingle = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      const bool first = IsCovered(aMissing - aLeft.grant);
      const bool second = IsCovered(aMissing - aRight.grant);
      return first != second ? first : aLeft.cost < aRight.cost;
    });
  if (cheapestSingle != aCandidates.end() && IsCovered(aMissing - cheapestSingle->grant) &&
      cheapestSingle->cost < set.cost) {
    return VictimSet{ kNone, { cheapestSingle->task }, cheapestSingle->cost };
  }
  return set;
}

} // namespace oriolespread::internal
