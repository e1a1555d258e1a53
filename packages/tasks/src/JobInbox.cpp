#include "oriolespread/tasks/JobInbox.h"

#include "oriolespread/tasks/ShardRows.h"

namespace oriolespread {

namespace {

constexpr const char* kSubmit = "submit";
constexpr const char* kCancel = "cancel";
constexpr const char* kShard = "shard";

Transaction MakeInsert(const TransactionId& aId, const std::string& aKey, nlohmann::json aValue)
{
  Transaction transaction{ aId, {}, {} };
  transaction.conditions.push_back({ aKey, RowVersion{} });
  transaction.writes.push_back({ aKey, std::move(aValue) });
  return transaction;
}

} // namespace

Transaction MakeSubmitTransaction(const TransactionId& aId, ShardId aShard, const JobSpec& aSpec)
{
  const std::string key = InboxPrefix(aShard) + "submit-" + aSpec.job.Value();
  Transaction transaction = MakeInsert(aId, key, { { kSubmit, aSpec } });
  // The job's row outlives the inbox row, so that a repeated submission is detected even after the
  // owner has processed the first one.
  transaction.conditions.push_back({ JobKey(aSpec.job), RowVersion{} });
  transaction.writes.push_back({ JobKey(aSpec.job), nlohmann::json{ { kShard, aShard } } });
  return transaction;
}

Transaction MakeCancelTransaction(const TransactionId& aId,
                                  ShardId aShard,
                                  const CancelRequest& aRequest)
{
  const std::string key = InboxPrefix(aShard) + "cancel-" + aRequest.id;
  return MakeInsert(aId, key, { { kCancel, aRequest } });
}

std::optional<InboxItem> ParseInboxItem(const nlohmann::json& aValue)
{
  try {
    if (aValue.contains(kSubmit)) {
      return aValue.at(kSubmit).get<JobSpec>();
    }
    return aValue.at(kCancel).get<CancelRequest>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<ShardId> ParseJobRow(const nlohmann::json& aValue)
{
  try {
    return aValue.at(kShard).get<ShardId>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace oriolespread
