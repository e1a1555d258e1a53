// The placer used in simulations.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/placement/FirstFitPlacer.h"

#include <map>

namespace oriolespread::sim {

// A first-fit placer that also evicts tasks and changes grants at random, to exercise the actions
// that other placers take for preemption and interference.
class RandomEvictionPlacer : public FirstFitPlacer
{
public:
  RandomEvictionPlacer(std::uint64_t aSeed, double aRate)
    : random(aSeed)
    , rate(aRate)
  {
  }
  void Restore(Instant aNow,
               const PlacementRequest& aRequest,
               const WorkerId& aWorker,
               const Resources& aGrant)
  {
    FirstFitPlacer::Restore(aNow, aRequest, aWorker, aGrant);
    this->placed[aRequest.task] = aGrant;
  }
  void Release(const TaskId& aTask)
  {
    FirstFitPlacer::Release(aTask);
    this->placed.erase(aTask);
  }
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit)
  {
    std::vector<PlacementAction> actions = FirstFitPlacer::Schedule(aNow, aLimit);
    for (const PlacementAction& action : actions) {
      const auto& place = std::get<PlaceTask>(action);
      this->placed[place.task] = place.grant;
    }
    if (!this->placed.empty() && this->random.Chance(this->rate)) {
      const auto victim = std::next(
        this->placed.begin(), static_cast<std::ptrdiff_t>(this->random.Below(this->placed.size())));
      if (this->random.Chance(0.5)) {
        actions.emplace_back(EvictTask{ victim->first, EvictionReason::Preempted });
      } else {
        Resources less = victim->second;
        less.milliCores = 1 + less.milliCores / 2;
        actions.emplace_back(RegrantTask{ victim->first, less });
      }
    }
    return actions;
  }

private:
  RandomSource random;
  double rate;
  std::map<TaskId, Resources> placed;
};

} // namespace oriolespread::sim
