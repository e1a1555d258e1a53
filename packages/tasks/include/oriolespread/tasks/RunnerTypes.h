// Input events and output effects of a task runner.
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
  // Resources that all attempts together may hold.
  Resources capacity;
  Duration heartbeatPeriod = std::chrono::seconds(2);
  Duration eventRetryPeriod = std::chrono::seconds(1);
  Duration usagePeriod = std::chrono::seconds(10);
  Duration listPeriod = std::chrono::seconds(2);
  // Longest time from a decision until the worker has carried it out; the call timeout of the
  // worker adapter must be shorter. Leases passed to the worker end this much earlier than the
  // agent's own. After a restart the worker's tasks are first listed after twice this time, when
  // calls of the previous incarnation have taken effect.
  Duration maxWorkerCallTime = std::chrono::milliseconds(500);
  // Largest relative error assumed for the rate of a machine's clock.
  double driftMargin = 0.02;
};

struct RunnerTick
{};
// A link to an entry is established.
struct EntryConnected
{
  EntryId entry;
};
// The link to an entry is lost.
struct EntryDisconnected
{
  EntryId entry;
};
struct EntryMessage
{
  EntryId entry;
  LinkMessage message;
};
// Result of a start, renew, pause, resume, throttle, stop or forget call.
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

// `leaseUntil` is an instant rather than a duration, so that a delay between the decision and the
// call never extends the lease. The driver passes leaseUntil - now to the worker; if that is not
// positive, it does not make the call and returns a WorkerCallResult with Aborted.
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

// Calls of one agent must reach the worker in the order of their effects.
struct WorkerCall
{
  WorkerCallId call;
  WorkerCallBody body;
};
// The message is dropped if there is no link to the entry.
struct SendToEntry
{
  EntryId entry;
  LinkMessage message;
};

using RunnerEffect = std::variant<WorkerCall, SendToEntry>;
using RunnerEffects = std::vector<RunnerEffect>;

} // namespace oriolespread
