// Events and effects of a shard owner. Every call effect carries an id; the driver passes the
// call's result back in one event with the same id.
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
  // Address of the entry, written into the owner row.
  std::string address;
  // Keeps transaction ids of this life of the process apart from those of earlier ones.
  Incarnation incarnation;
  // Ownership lease and the period of its renewal.
  Duration lease = std::chrono::seconds(3);
  Duration renewalPeriod = std::chrono::seconds(1);
  // Added to the wait of a shard that another entry should rather claim.
  Duration claimDelay{};
  Duration taskLease = std::chrono::seconds(10);
  Duration horizon = std::chrono::seconds(600);
  // Clocks of two machines may differ in rate by this share each.
  double driftMargin = 0.02;
  Duration journalPeriod = std::chrono::milliseconds(100);
  Duration inboxPeriod = std::chrono::milliseconds(200);
  std::uint64_t recordsPerSnapshot = 10'000;
  // Running batch attempts are checkpointed this often; zero never asks for it. At 300 s the
  // 57,000 batch tasks of the target size add 190 journal records a second over all shards.
  Duration checkpointPeriod = std::chrono::seconds(300);
  // Placement actions taken in one journal period.
  std::size_t placementLimit = 200;
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
// Result of a put or a delete.
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
// A link to an agent of this shard is up and the agent has announced itself.
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
// Sent if the agent is linked, dropped otherwise.
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
  // Another entry owns the shard, or nobody does yet.
  Observing,
  Claiming,
  // Owns the shard and reads its state.
  Loading,
  Owning,
  // The ownership lease has lapsed: leases of running attempts are extended until the horizon and
  // nothing new is decided.
  Sustaining,
};

std::string_view ToString(OwnerRole aRole);

} // namespace oriolespread
