// Events and effects of the agent's task side.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/platform/WorkerPort.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

using WorkerCallId = StrongType<struct WorkerCallIdTag, std::uint64_t>;

struct RunnerOptions
{
  AgentId agent;
  Incarnation incarnation;
  WorkerId worker;
  // What attempts may hold together.
  Resources capacity;
  Duration heartbeatPeriod = std::chrono::seconds(2);
  Duration eventRetryPeriod = std::chrono::seconds(1);
  Duration usagePeriod = std::chrono::seconds(10);
  Duration listPeriod = std::chrono::seconds(2);
  // Longest time from a decision until the worker has carried it out; the worker adapter's call
  // timeout must be shorter. Leases handed to the worker end this much before the agent's own, and
  // after a restart the worker is first listed after twice this time, when the calls of the
  // previous life have taken effect.
  Duration maxWorkerCallTime = std::chrono::milliseconds(500);
  // Clocks of two machines may differ in rate by this share each.
  double driftMargin = 0.02;
};

struct RunnerTick
{};
// A link to an entry is up or down.
struct EntryConnected
{
  EntryId entry;
};
struct EntryDisconnected
{
  EntryId entry;
};
struct EntryMessage
{
  EntryId entry;
  LinkMessage message;
};
// Result of Start, Renew, Pause, Resume, Throttle, Stop or Forget.
struct WorkerCallResult
{
  WorkerCallId call;
  absl::Status status;
};
struct WorkerCheckpointResult
{
  WorkerCallId call;
  absl::StatusOr<std::string> checkpoint;
};
struct WorkerListResult
{
  WorkerCallId call;
  absl::StatusOr<std::vector<WorkerTask>> tasks;
};
struct WorkerUsageResult
{
  WorkerCallId call;
  absl::StatusOr<std::vector<WorkerTaskUsage>> usage;
};

using RunnerEvent = std::variant<RunnerTick,
                                 EntryConnected,
                                 EntryDisconnected,
                                 EntryMessage,
                                 WorkerCallResult,
                                 WorkerCheckpointResult,
                                 WorkerListResult,
                                 WorkerUsageResult>;

// `leaseUntil` is an instant instead of a length, so that a delay between the decision and the call
// never lengthens the lease: the driver passes leaseUntil - now, and does not call when that is not
// positive but answers WorkerCallResult with Aborted.
struct WorkerStartCall
{
  WorkerTaskStart start;
  Instant leaseUntil;
};
struct WorkerRenewCall
{
  std::vector<AttemptId> attempts;
  Instant leaseUntil;
};
struct WorkerPauseCall
{
  AttemptId attempt;
};
struct WorkerResumeCall
{
  AttemptId attempt;
  Instant leaseUntil;
};
struct WorkerCheckpointCall
{
  AttemptId attempt;
};
struct WorkerThrottleCall
{
  AttemptId attempt;
  Resources grant;
};
struct WorkerStopCall
{
  AttemptId attempt;
};
struct WorkerForgetCall
{
  AttemptId attempt;
};
struct WorkerListCall
{};
struct WorkerUsageCall
{};

using WorkerCallBody = std::variant<WorkerStartCall,
                                    WorkerRenewCall,
                                    WorkerPauseCall,
                                    WorkerResumeCall,
                                    WorkerCheckpointCall,
                                    WorkerThrottleCall,
                                    WorkerStopCall,
                                    WorkerForgetCall,
                                    WorkerListCall,
                                    WorkerUsageCall>;

// Calls of one agent reach the worker in the order of their effects.
struct WorkerCall
{
  WorkerCallId call;
  WorkerCallBody body;
};
// Sent if the entry is linked, dropped otherwise.
struct SendToEntry
{
  EntryId entry;
  LinkMessage message;
};

using RunnerEffect = std::variant<WorkerCall, SendToEntry>;
using RunnerEffects = std::vector<RunnerEffect>;

} // namespace oriolespread
