// Input events and output effects of a shard owner. Every effect that calls a service carries a
// call id; the driver passes the result back in exactly one event with the same id.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/platform/CommitOutcome.h"
#include "oriolespread/platform/TableServicePort.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

using CallId = StrongType<struct CallIdTag, std::uint64_t>;

struct OwnerOptions
{
  ShardId shard;
  EntryId entry;
  // Address of the entry, published in the owner row.
  std::string address;
  // Makes transaction ids distinct from those that earlier runs of the process used.
  Incarnation incarnation;
  // Duration of the ownership lease and how often it is renewed.
  Duration ownershipLease = std::chrono::seconds(3);
  Duration renewalPeriod = std::chrono::seconds(1);
  // Extra time to wait before claiming a shard that another entry is preferred for.
  Duration claimDelay{};
  // Duration of the lease that an agent is granted for the attempts on its worker.
  Duration taskLease = std::chrono::seconds(10);
  // How long after its last renewal an owner may go on extending task leases.
  Duration horizon = std::chrono::seconds(600);
  // Largest relative error assumed for the rate of a machine's clock.
  double driftMargin = 0.02;
  Duration journalPeriod = std::chrono::milliseconds(100);
  Duration inboxPeriod = std::chrono::milliseconds(200);
  std::uint64_t recordsPerSnapshot = 10'000;
  // How often running batch attempts are checkpointed; zero disables periodic checkpoints. At 300 s
  // the 57,000 batch tasks of the target size add 190 journal records a second over all shards.
  Duration checkpointPeriod = std::chrono::seconds(300);
  // Maximum number of placement actions in one journal period.
  std::size_t maxPlacementsPerPeriod = 200;
};

struct OwnerTick
{};
struct CommitResult
{
  CallId call;
  CommitOutcome outcome;
};
struct FateResult
{
  CallId call;
  FateOutcome outcome;
};
struct ScanResult
{
  CallId call;
  absl::StatusOr<ScanPage> page;
};
// Result of a PutObjectCall or a DeleteObjectCall.
struct ObjectWriteResult
{
  CallId call;
  absl::Status status;
};
struct ObjectReadResult
{
  CallId call;
  absl::StatusOr<std::string> content;
};
// A link to an agent of this shard is established and the agent has sent its announcement.
struct AgentConnected
{
  Announce announce;
};
struct AgentDisconnected
{
  AgentId agent;
};
struct AgentMessage
{
  AgentId agent;
  LinkMessage message;
};

using OwnerEvent = std::variant<OwnerTick,
                                CommitResult,
                                FateResult,
                                ScanResult,
                                ObjectWriteResult,
                                ObjectReadResult,
                                AgentConnected,
                                AgentDisconnected,
                                AgentMessage>;

struct CommitCall
{
  CallId call;
  Transaction transaction;
};
struct FateCall
{
  CallId call;
  TransactionId transaction;
};
struct ScanCall
{
  CallId call;
  std::string prefix;
  std::string after;
  std::size_t limit = 0;
};
struct PutObjectCall
{
  CallId call;
  std::string name;
  std::string content;
};
struct GetObjectCall
{
  CallId call;
  std::string name;
};
struct DeleteObjectCall
{
  CallId call;
  std::string name;
};
// The message is dropped if there is no link to the agent.
struct SendToAgent
{
  AgentId agent;
  LinkMessage message;
};

using OwnerEffect = std::variant<CommitCall,
                                 FateCall,
                                 ScanCall,
                                 PutObjectCall,
                                 GetObjectCall,
                                 DeleteObjectCall,
                                 SendToAgent>;
using OwnerEffects = std::vector<OwnerEffect>;

enum class OwnerRole
{
  // Another entry owns the shard, or no entry owns it yet.
  Observing,
  Claiming,
  // Owns the shard and is reading its state.
  Loading,
  Owning,
  // The ownership lease has expired without being renewed. Leases of running attempts are still
  // extended until the horizon, but no new decisions are made.
  Sustaining,
};

std::string_view ToString(OwnerRole aRole);

} // namespace oriolespread
