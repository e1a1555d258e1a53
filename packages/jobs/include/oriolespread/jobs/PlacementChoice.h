// Chooses the worker for a task. Serves loads of many small tasks beside few large ones: the least
// loaded fitting worker is taken, so that tasks on one worker disturb one another least and no
// worker is filled while another is free.
#pragma once

#include "oriolespread/jobs/JobModel.h"

#include <map>

namespace oriolespread::jobs {

struct PlacementRequest
{
  const StepSpec* step = nullptr;
  std::string service;
  // A worker to be avoided while another one fits; empty for none.
  std::string lastFailedWorker;
  // Workers, by id, that already run tasks of the step, and how many.
  std::map<std::string, std::uint32_t> sameStepTasks;
  // For a step that uses unused capacity: the weight of its image by the number of the serving
  // image, and whether a worker may be chosen although its serving runs would miss their targets.
  std::vector<double> weights;
  bool allowInterference = false;
  // Workers that must not be chosen, by id.
  std::set<std::string> excluded;
};

// Returns whether the worker may take new runs at all.
bool AcceptsRuns(const Worker& aWorker, Instant aNow);

// Returns the share of the worker's cores that a task which uses unused capacity takes.
double BestEffortCoreShare(const Worker& aWorker, const StepSpec& aStep);

// Returns whether the worker has the resources for one more task of the step.
bool HasCapacityFor(const Worker& aWorker, const StepSpec& aStep);

// Returns the chosen worker, or null when none fits now.
Worker* ChooseWorker(std::map<WorkerKey, Worker>& aWorkers,
                     const PlacementRequest& aRequest,
                     Instant aNow);

} // namespace oriolespread::jobs
