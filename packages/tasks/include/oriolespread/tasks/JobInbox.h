// Submissions and cancellations as rows that any entry writes and the shard's owner takes:
//
//   Transaction submit = MakeSubmitTransaction(transactionId, shard, spec);
//   // commit it; a conflict on JobKey(spec.job) means that the job was submitted before
#pragma once

#include "oriolespread/platform/Transaction.h"
#include "oriolespread/tasks/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

// Cancels the named tasks of a job, or all of it when none is named.
struct CancelRequest
{
  // Chosen by the caller; a repeat with the same id has no further effect.
  std::string id;
  JobId job;
  std::vector<std::uint32_t> tasks;
};

using InboxItem = std::variant<JobSpec, CancelRequest>;

// Return transactions that are safe to repeat under any id: the rows are conditional on absence, so
// a conflict says that the first one took effect.
Transaction MakeSubmitTransaction(const TransactionId& aId, ShardId aShard, const JobSpec& aSpec);
Transaction MakeCancelTransaction(const TransactionId& aId,
                                  ShardId aShard,
                                  const CancelRequest& aRequest);

// Returns the item of an inbox row, or nothing when it is not well formed.
std::optional<InboxItem> ParseInboxItem(const nlohmann::json& aValue);

// Returns the shard named by a job's row, or nothing when it is not well formed.
std::optional<ShardId> ParseJobRow(const nlohmann::json& aValue);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelRequest, id, job, tasks)

} // namespace oriolespread
