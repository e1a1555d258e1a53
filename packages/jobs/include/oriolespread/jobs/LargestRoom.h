// The most room that any single worker of a service has, in each dimension of its capacity.
//
// A task that needs more fits on no worker. With a backlog this is known without a look at each
// worker, so that a decision does not become slower the more steps wait.
#pragma once

#include "oriolespread/jobs/JobModel.h"

namespace oriolespread::jobs {

class LargestRoom
{
public:
  // Counts a worker that may take tasks, and whether it may be overcommitted.
  void Add(const Worker& aWorker, bool aMayOvercommit);
  // Counts that a worker was overcommitted and may not be again.
  void OnOvercommitted();

  // Returns false only if no counted worker has room for a task of the step, or for a best-effort
  // task beyond the unused cores if `aAllowOvercommit`. Rooms of different workers are not told
  // apart, so that true does not mean that one has room.
  bool MayFit(const StepSpec& aStep, bool aAllowOvercommit) const;

private:
  // The milli-cores are those that are not reserved.
  Resources room;
  // The milli-cores that best-effort tasks may use.
  std::int64_t bestEffortMilliCores = 0;
  // What best-effort tasks may use of the workers that may be overcommitted: all their cores.
  Resources overcommitRoom;
  // The number of workers that may be overcommitted.
  std::size_t overcommittable = 0;
};

} // namespace oriolespread::jobs
