// What a placer is told about workers and tasks, and what it decides.
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

// One task that is to be placed.
struct PlacementRequest
{
  TaskId task;
  OrganisationId organisation;
  // Team whose quota the task counts against; empty when there is none.
  TeamId team;
  TaskClass taskClass = TaskClass::Batch;
  // Whether the task may preempt batch tasks to start within the urgent bound.
  bool urgent = false;
  // Tasks of one kind use resources alike; the job's program name by default.
  std::string kind;
  // Set for replicas of a service.
  ServiceName service;
  // First estimate of what the task needs.
  Resources declared;
};

// The task is to start on the worker; its grant is reserved from now on.
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

// The running task is to be checkpointed and stopped. Its grant stays reserved until Release.
struct EvictTask
{
  TaskId task;
  EvictionReason reason = EvictionReason::Preempted;
};

// The running task's grant changes; the new grant is reserved from now on.
struct RegrantTask
{
  TaskId task;
  Resources grant;
};

// No worker could ever hold the task; every reason is a finding. It is set aside until workers or
// quotas change.
struct ReportUnplaceable
{
  TaskId task;
  Findings findings;
};

using PlacementAction = std::variant<PlaceTask, EvictTask, RegrantTask, ReportUnplaceable>;

} // namespace oriolespread
