// Keys and values of the rows that a shard keeps in the table service.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/platform/Transaction.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

// Value of "shard/<n>/owner".
struct OwnerRow
{
  EntryId entry;
  std::string address;
  Epoch epoch;
  std::uint64_t renewal = 0;
  std::uint64_t leaseMs = 0;
  // For how long after this row was written its writer or an earlier owner may still extend task
  // leases.
  std::uint64_t horizonMs = 0;
  std::uint64_t taskLeaseMs = 0;
};

// Value of "shard/<n>/snapshot".
struct SnapshotRow
{
  std::string object;
  std::uint64_t throughSeq = 0;
};

std::string OwnerKey(ShardId aShard);
std::string JournalPrefix(ShardId aShard);
std::string JournalKey(ShardId aShard, std::uint64_t aSeq);
// Returns the sequence number in a journal key, or nothing if it is not a journal key of the shard.
std::optional<std::uint64_t> JournalSeq(ShardId aShard, std::string_view aKey);
std::string SnapshotKey(ShardId aShard);
std::string InboxPrefix(ShardId aShard);
// Key of the row that names the shard of a job, by which a repeated submission is detected.
std::string JobKey(const JobId& aJob);

// Return the parsed value, or nothing if it is malformed.
std::optional<OwnerRow> ParseOwnerRow(const nlohmann::json& aValue);
std::optional<SnapshotRow> ParseSnapshotRow(const nlohmann::json& aValue);
nlohmann::json ToJson(const OwnerRow& aRow);
nlohmann::json ToJson(const SnapshotRow& aRow);

// The hash behind the following functions must not change: all processes and versions must agree.
//
// Returns the shard of a worker.
ShardId ShardOfWorker(const WorkerId& aWorker, std::uint32_t aShardCount);
// Returns the two candidate shards of a job, which differ if there is more than one shard.
std::pair<ShardId, ShardId> ShardsOfJob(const JobId& aJob, std::uint32_t aShardCount);

} // namespace oriolespread
