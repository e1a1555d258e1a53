// Port to the worker beside an agent: runs tasks under leases.
//
// Calls return at once; the callback runs later on the caller's event loop, exactly once, never
// from within the call. An error status other than Unavailable means that the call had no effect;
// Unavailable means that its effect is not known and List tells. No call throws.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "oriolespread/base/AttemptId.h"
#include "oriolespread/base/Resources.h"
#include "oriolespread/base/Time.h"

#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace oriolespread {

enum class WorkerTaskState
{
  Running,
  Paused,
  Completed,
  Failed,
  Stopped,
};

// What the worker knows of one attempt. Ended attempts stay listed until Forget.
struct WorkerTask
{
  AttemptId attempt;
  WorkerTaskState state = WorkerTaskState::Running;
  Resources grant;
  // Last checkpoint of the task, empty when there is none.
  std::string checkpoint;
  // Why it failed; empty otherwise.
  std::string reason;
};

// Use of one attempt, measured by the worker some time ago.
struct WorkerTaskUsage
{
  AttemptId attempt;
  Resources used;
  Duration age{};
};

struct WorkerTaskStart
{
  AttemptId attempt;
  // Names the program that the worker runs.
  std::string program;
  std::string arguments;
  // Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  Resources grant;
};

using WorkerCallback = std::function<void(const absl::Status&)>;
using CheckpointCallback = std::function<void(const absl::StatusOr<std::string>&)>;
using WorkerListCallback = std::function<void(const absl::StatusOr<std::vector<WorkerTask>>&)>;
using WorkerUsageCallback =
  std::function<void(const absl::StatusOr<std::vector<WorkerTaskUsage>>&)>;

// Start: begins an attempt under a lease of the given length, AlreadyExists when it is known.
// Renew: extends the lease of the named attempts to the given length from now; an attempt whose
// lease has ended is paused by the worker itself with its memory kept, and only Resume continues
// it. Checkpoint: stores the task's progress and returns its reference; the task goes on.
// Throttle: changes the grant. Stop: ends the attempt for good. Forget: drops an ended attempt.
template<typename T>
concept WorkerPort = requires(T& aWorker,
                              const WorkerTaskStart& aStart,
                              const AttemptId& aAttempt,
                              const std::vector<AttemptId>& aAttempts,
                              const Resources& aGrant,
                              Duration aLease,
                              WorkerCallback aDone,
                              CheckpointCallback aOnCheckpoint,
                              WorkerListCallback aOnList,
                              WorkerUsageCallback aOnUsage)
{
  aWorker.Start(aStart, aLease, aDone);
  aWorker.Renew(aAttempts, aLease, aDone);
  aWorker.Pause(aAttempt, aDone);
  aWorker.Resume(aAttempt, aLease, aDone);
  aWorker.Checkpoint(aAttempt, aOnCheckpoint);
  aWorker.Throttle(aAttempt, aGrant, aDone);
  aWorker.Stop(aAttempt, aDone);
  aWorker.Forget(aAttempt, aDone);
  aWorker.List(aOnList);
  aWorker.Usage(aOnUsage);
};

} // namespace oriolespread
