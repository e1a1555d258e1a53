// The interface through which a shard owner uses a placer. A placer keeps the queue of waiting
// tasks and the resources allocated on each worker, and decides which tasks start, are evicted or
// get a different grant.
#pragma once

#include "oriolespread/placement/PlacementTypes.h"

#include <concepts>
#include <vector>

namespace oriolespread {

// SetWorker: adds a worker or changes its capacity.
// SetAvailable: marks a worker as available or not; an unavailable worker keeps its tasks and gets
// no new ones.
// RemoveWorker: removes a worker that holds no task.
// Submit: queues a task.
// Restore: records a task that is already running or starting on a worker, with its grant.
// Release: removes a queued or placed task and frees its grant.
// RecordCheckpoint: records that the task has just been checkpointed.
// RecordFailure: records that the task failed on the worker.
// RecordUsage: records the measured resource usage of the task.
// RecordLatency: records whether a service on a worker misses its latency target.
// Schedule: returns the actions that are due, at most `aLimit`.
// The cost of every call is independent of the number of workers or logarithmic in it.
template<typename T>
concept PlacerPort = requires(T& aPlacer,
                              Instant aNow,
                              const WorkerSpec& aSpec,
                              const WorkerId& aWorker,
                              const TaskId& aTask,
                              const PlacementRequest& aRequest,
                              const Resources& aAmount,
                              const ServiceLatencyReport& aReport,
                              std::size_t aLimit)
{
  aPlacer.SetWorker(aSpec);
  aPlacer.SetAvailable(aWorker, true);
  aPlacer.RemoveWorker(aWorker);
  aPlacer.Submit(aNow, aRequest);
  aPlacer.Restore(aNow, aRequest, aWorker, aAmount);
  aPlacer.Release(aTask);
  aPlacer.RecordCheckpoint(aNow, aTask);
  aPlacer.RecordFailure(aNow, aTask, aWorker);
  aPlacer.RecordUsage(aNow, aTask, aAmount);
  aPlacer.RecordLatency(aNow, aReport);
  {
    aPlacer.Schedule(aNow, aLimit)
    } -> std::same_as<std::vector<PlacementAction>>;
};

} // namespace oriolespread
