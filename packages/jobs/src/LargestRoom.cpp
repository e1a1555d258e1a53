#include "oriolespread/jobs/LargestRoom.h"

#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

void LargestRoom::Add(const Worker& aWorker, bool aMayOvercommit)
{
  const Resources& capacity = aWorker.state.capacity;
  const Resources unreserved = capacity - aWorker.reserved;
  this->room.milliCores = std::max(this->room.milliCores, unreserved.milliCores);
  this->room.memoryMiB =
    std::max(this->room.memoryMiB, capacity.memoryMiB - aWorker.demanded.memoryMiB);
  this->room.accelerators = std::max(this->room.accelerators, unreserved.accelerators);
  this->bestEffortMilliCores =
    std::max(this->bestEffortMilliCores, capacity.milliCores - ExpectedMilliCores(aWorker));
  if (aMayOvercommit) {
    ++this->overcommittable;
    Resources& overcommit = this->overcommitRoom;
    overcommit.milliCores = std::max(overcommit.milliCores, capacity.milliCores);
    overcommit.memoryMiB =
      std::max(overcommit.memoryMiB, capacity.memoryMiB - aWorker.demanded.memoryMiB);
    overcommit.accelerators = std::max(overcommit.accelerators, unreserved.accelerators);
  }
}

void LargestRoom::OnOvercommitted()
{
  this->overcommittable -= this->overcommittable > 0 ? 1 : 0;
}

bool LargestRoom::MayFit(const StepSpec& aStep, bool aAllowOvercommit) const
{
  Resources largest = this->room;
  if (aStep.fillsUnused) {
    if (aAllowOvercommit && this->overcommittable > 0 &&
        aStep.demand.FitsIn(this->overcommitRoom)) {
      return true;
    }
    largest.milliCores = this->bestEffortMilliCores;
  }
  return aStep.demand.FitsIn(largest);
}

} // namespace oriolespread::jobs
