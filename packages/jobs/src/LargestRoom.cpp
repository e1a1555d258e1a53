#include "oriolespread/jobs/LargestRoom.h"

#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

void LargestRoom::Add(const Worker& aWorker)
{
  const Resources& capacity = aWorker.state.capacity;
  const Resources unreserved = capacity - aWorker.reserved;
  this->room.milliCores = std::max(this->room.milliCores, unreserved.milliCores);
  this->room.memoryMiB =
    std::max(this->room.memoryMiB, capacity.memoryMiB - aWorker.demanded.memoryMiB);
  this->room.accelerators = std::max(this->room.accelerators, unreserved.accelerators);
  this->bestEffortMilliCores =
    std::max(this->bestEffortMilliCores, capacity.milliCores - ExpectedMilliCores(aWorker));
}

bool LargestRoom::MayFit(const StepSpec& aStep) const
{
  Resources largest = this->room;
  if (aStep.fillsUnused) {
    largest.milliCores = this->bestEffortMilliCores;
  }
  return aStep.demand.FitsIn(largest);
}

} // namespace oriolespread::jobs
