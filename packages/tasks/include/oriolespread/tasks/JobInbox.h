// Submissions and cancellations, as inbox rows that any entry writes and the shard's owner
// processes:
//
//   Transaction submit = MakeSubmitTransaction(transactionId, shard, spec);
//   // Commit it. A conflict on JobKey(spec.job) means that the job was submitted before.
#pragma once

#include "oriolespread/platform/Transaction.h"
#include "oriolespread/tasks/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

// Cancels the listed tasks of a job, or all its tasks if the list is empty.
struct CancelRequest
{
  // Chosen by the caller; a repeated request with the same id has no further effect.
  std::string id;
  JobId job;
  std::vector<std::uint32_t> tasks;
};

using InboxItem = std::variant<JobSpec, CancelRequest>;

// Return transactions that are idempotent under any transaction id: they require that the rows do
// not exist, so a conflict means that an earlier one took effect.
Transaction MakeSubmitTransaction(const TransactionId& aId, ShardId aShard, const JobSpec& aSpec);
Transaction MakeCancelTransaction(const TransactionId& aId,
                                  ShardId aShard,
                                  const CancelRequest& aRequest);

// Returns the item of an inbox row, or nothing if the row is malformed.
std::optional<InboxItem> ParseInboxItem(const nlohmann::json& aValue);

// Returns the shard that a job's row names, or nothing if the row is malformed.
std::optional<ShardId> ParseJobRow(const nlohmann::json& aValue);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelRequest, id, job, tasks)

} // namespace oriolespread
