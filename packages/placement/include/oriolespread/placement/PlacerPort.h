// What a shard owner expects of a placer. A placer keeps the queue of waiting tasks, the expected
// use of each worker, and decides which task starts, yields or changes its grant.
#pragma once

#include "oriolespread/placement/PlacementTypes.h"

#include <concepts>
#include <vector>

namespace oriolespread {

// SetWorker: adds a worker or changes its capacity. SetAvailable: an unavailable worker keeps its
// tasks and gets no new ones. RemoveWorker: forgets a worker that holds no task. Submit: queues a
// task. Restore: records a task that already runs or is starting on a worker with a grant. Release:
// forgets a task, queued or placed, and frees its grant. RecordCheckpoint: the task has just been
// checkpointed. RecordFailure: the task failed on the worker. RecordUsage: the task was measured to
// use so much. RecordLatency: whether a service on a worker suffers. Schedule: returns at most
// `limit` actions that are due. All calls cost time independent of the number of workers, or
// logarithmic in it.
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
