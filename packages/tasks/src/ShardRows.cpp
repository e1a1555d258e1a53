#include "oriolespread/tasks/ShardRows.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <xxhash.h>

namespace oriolespread {

// Found by argument-dependent lookup, so not in the unnamed namespace.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnerRow,
                                   entry,
                                   address,
                                   epoch,
                                   renewal,
                                   leaseMs,
                                   horizonMs,
                                   taskLeaseMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotRow, object, throughSeq)

namespace {

// Enough for every 64-bit number, so that the order of the keys is the order of the numbers.
constexpr std::size_t kSeqDigits = 20;

std::string ShardPrefix(ShardId aShard)
{
  return absl::StrCat("shard/", aShard.Value(), "/");
}

template<typename T>
std::optional<T> Parse(const nlohmann::json& aValue)
{
  try {
    return aValue.get<T>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::uint32_t HashToIndex(const std::string& aText, std::uint64_t aSeed, std::uint32_t aCount)
{
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed) %
                                    aCount);
}

} // namespace

std::string OwnerKey(ShardId aShard)
{
  return ShardPrefix(aShard) + "owner";
}

std::string JournalPrefix(ShardId aShard)
{
  return ShardPrefix(aShard) + "journal/";
}

std::string JournalKey(ShardId aShard, std::uint64_t aSeq)
{
  const std::string digits = absl::StrCat(aSeq);
  return JournalPrefix(aShard) + std::string(kSeqDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> JournalSeq(ShardId aShard, std::string_view aKey)
{
  const std::string prefix = JournalPrefix(aShard);
  std::uint64_t seq = 0;
  if (!aKey.starts_with(prefix) ||
      !absl::SimpleAtoi(std::string(aKey.substr(prefix.size())), &seq)) {
    return std::nullopt;
  }
  return seq;
}

std::string SnapshotKey(ShardId aShard)
{
  return ShardPrefix(aShard) + "snapshot";
}

std::string InboxPrefix(ShardId aShard)
{
  return ShardPrefix(aShard) + "inbox/";
}

std::string JobKey(const JobId& aJob)
{
  return "job/" + aJob.Value();
}

std::optional<OwnerRow> ParseOwnerRow(const nlohmann::json& aValue)
{
  return Parse<OwnerRow>(aValue);
}

std::optional<SnapshotRow> ParseSnapshotRow(const nlohmann::json& aValue)
{
  return Parse<SnapshotRow>(aValue);
}

nlohmann::json ToJson(const OwnerRow& aRow)
{
  return aRow;
}

nlohmann::json ToJson(const SnapshotRow& aRow)
{
  return aRow;
}

ShardId ShardOfWorker(const WorkerId& aWorker, std::uint32_t aShardCount)
{
  return ShardId{ HashToIndex(aWorker.Value(), 0, aShardCount) };
}

std::pair<ShardId, ShardId> ShardsOfJob(const JobId& aJob, std::uint32_t aShardCount)
{
  const std::uint32_t first = HashToIndex(aJob.Value(), 1, aShardCount);
  if (aShardCount == 1) {
    return { ShardId{ first }, ShardId{ first } };
  }
  // Chosen among the other shards, so that the two always differ.
  const std::uint32_t step = 1 + HashToIndex(aJob.Value(), 2, aShardCount - 1);
  return { ShardId{ first }, ShardId{ (first + step) % aShardCount } };
}

} // namespace oriolespread
