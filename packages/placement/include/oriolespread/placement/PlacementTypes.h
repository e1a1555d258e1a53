// The inputs of a placer (workers and tasks) and the actions that it returns.
#pragma once

#include "oriolespread/base/AttemptId.h"
#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Resources.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/messages/RequestMessages.h"
#include "oriolespread/messages/TaskMessages.h"

#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

struct WorkerSpec
{
  WorkerId worker;
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;
};

// A task to place.
struct PlacementRequest
{
  TaskId task;
  OrganisationId organisation;
  // The team whose quota the task counts against; empty if there is none.
  TeamId team;
  TaskClass taskClass = TaskClass::Batch;
  // Whether the task may preempt batch tasks, so that it starts within the time bound for urgent
  // tasks.
  bool urgent = false;
  // Tasks of one kind are expected to use similar resources; the job's program name by default.
  std::string kind;
  // Set only for replicas of a service.
  ServiceName service;
  // The resources that the job declared; the demand until usage has been measured.
  Resources declared;
};

// Starts the task on the worker. The grant is allocated from now on.
struct PlaceTask
{
  TaskId task;
  WorkerId worker;
  Resources grant;
};

enum class EvictionReason
{
  Preempted,
  Interference,
  MemoryExceeded,
};

// Checkpoints and stops the running task. Its grant stays allocated until Release.
struct EvictTask
{
  TaskId task;
  EvictionReason reason = EvictionReason::Preempted;
};

// Changes the grant of the running task. The new grant is allocated from now on.
struct RegrantTask
{
  TaskId task;
  Resources grant;
};

// Reports a task that fits no worker or exceeds the quota of its team, with one finding for each
// reason. The task is set aside until workers or quotas change.
struct ReportUnplaceable
{
  TaskId task;
  Findings findings;
};

using PlacementAction = std::variant<PlaceTask, EvictTask, RegrantTask, ReportUnplaceable>;

} // namespace oriolespread
