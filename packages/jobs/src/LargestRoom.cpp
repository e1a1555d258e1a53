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
  this->capacityMilliCores = std::max(this->capacityMilliCores, capacity.milliCores);
  this->overcommittable += aMayOvercommit ? 1 : 0;
}

void LargestRoom::OnOvercommitted()
{
  this->overcommittable -= this->overcommittable > 0 ? 1 : 0;
}

bool LargestRoom::MayFit(const StepSpec& aStep, bool aAllowOvercommit) const
{
  Resources largest = this->room;
  if (aStep.fillsUnused) {
    const bool mayOvercommit = aAllowOvercommit && this->overcommittable > 0;
    largest.milliCores = mayOvercommit ? this->capacityMilliCores : this->bestEffortMilliCores;
  }
  return aStep.demand.FitsIn(largest);
}

} // namespace oriolespread::jobs
