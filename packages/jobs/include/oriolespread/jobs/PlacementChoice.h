// Selects the worker for a task: the one with the lowest cost among those with capacity for it. The
// cost is the worker's load plus penalties, such as for interference. Suited to many small tasks
// with a few large ones: spreading the load limits interference between tasks, and no worker fills
// up while another is idle.
#pragma once

#include "oriolespread/jobs/JobModel.h"

#include <map>
#include <string_view>

namespace oriolespread::jobs {

// Why a worker cannot take a task now.
enum class PlacementObstacle
{
  None,
  OtherService,
  // The worker's data centre is evacuated.
  Evacuated,
  // The agent is not connected, or its last report does not list all runs.
  NotReporting,
  Draining,
  // Runs failed, were slow or were rejected there a short while ago.
  Avoided,
  // The worker lacks the label that the step requires.
  Label,
  Capacity,
  // The worker has as many tasks of the step as it may have.
  SameStep,
  // The task would make serving runs miss their latency targets.
  Interference,
};

// Returns the name of the obstacle in logs.
std::string_view PlacementObstacleName(PlacementObstacle aObstacle);

struct PlacementRequest
{
  const StepSpec* step = nullptr;
  std::string service;
  // The worker on which the task last failed, used only if no other worker fits; empty for none.
  std::string lastFailedWorker;
  // The number of tasks of the step that already run on each worker, by worker id.
  std::map<std::string, std::uint32_t> sameStepTasks;
  // For best-effort steps: the interference weights of the image by index of the serving image, and
  // whether a worker may be chosen although its serving runs would miss their latency targets.
  std::vector<double> weights;
  bool allowInterference = false;
  // Whether an avoided worker may be chosen if no other has room. Long-running tasks always may.
  bool allowAvoided = false;
  // Whether a worker that is avoided for failures may be chosen as well.
  bool allowFailing = false;
  // For best-effort steps: whether a worker may be chosen although too few of its cores are unused,
  // unless it was chosen so a short while ago.
  bool allowOvercommit = false;
};

// Returns the milli-cores that all runs on the worker are expected to use.
std::int64_t ExpectedMilliCores(const Worker& aWorker);

// Returns the share of the worker's cores that a best-effort task of the step is expected to use.
double BestEffortCoreShare(const Worker& aWorker, const StepSpec& aStep);

// Returns whether the worker has the resources for one more task of the step.
bool HasCapacityFor(const Worker& aWorker, const StepSpec& aStep);

// Returns whether the worker takes one more task of the step even if a best-effort one finds too
// few unused cores. Workers refuse best-effort tasks for want of memory or accelerators only.
bool CanOvercommit(const Worker& aWorker, const StepSpec& aStep);

// Returns whether the worker could take a task of the step if nothing else ran there.
bool CanEverTake(const Worker& aWorker, const StepSpec& aStep);

// Returns the worker with the lowest cost, or null if no worker can take the task now.
Worker* ChooseWorker(std::map<WorkerKey, Worker>& aWorkers,
                     const PlacementRequest& aRequest,
                     Instant aNow);

// Returns how many workers cannot take the task now, by obstacle.
std::map<PlacementObstacle, std::size_t> CountObstacles(const std::map<WorkerKey, Worker>& aWorkers,
                                                        const PlacementRequest& aRequest,
                                                        Instant aNow);

} // namespace oriolespread::jobs
