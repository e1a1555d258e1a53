// A first-fit placer: takes tasks in order of submission and places each on the first worker with
// enough free capacity. It is the baseline for benchmarks and a simple placer for the tests of
// other packages.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/placement/PlacementTypes.h"

#include <deque>
#include <map>
#include <vector>

namespace oriolespread {

// Satisfies PlacerPort. Never preempts a task and never changes a grant. Not thread-safe.
class FirstFitPlacer
{
public:
  void SetWorker(const WorkerSpec& aSpec);
  void SetAvailable(const WorkerId& aWorker, bool aAvailable);
  void RemoveWorker(const WorkerId& aWorker);
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  void Restore(Instant aNow,
               const PlacementRequest& aRequest,
               const WorkerId& aWorker,
               const Resources& aGrant);
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant, const TaskId&) {}
  void RecordFailure(Instant, const TaskId&, const WorkerId&) {}
  void RecordUsage(Instant, const TaskId&, const Resources&) {}
  void RecordLatency(Instant, const ServiceLatencyReport&) {}
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);

private:
  struct Worker
  {
    WorkerSpec spec;
    Resources allocated;
    bool available = true;
  };
  struct Grant
  {
    WorkerId worker;
    Resources amount;
  };

  bool TryPlace(const PlacementRequest& aRequest, std::vector<PlacementAction>& aActions);

  std::map<WorkerId, Worker> workers;
  std::deque<PlacementRequest> queue;
  absl::flat_hash_map<TaskId, Grant> grants;
};

} // namespace oriolespread
