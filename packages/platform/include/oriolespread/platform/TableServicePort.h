// Port to the platform's transactional table service, the only place where agreement is made.
//
// Calls return at once; the callback runs later on the caller's event loop, exactly once, never
// from within the call. No call throws.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/platform/CommitOutcome.h"

#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace oriolespread {

// Rows of one scan in ascending order of key.
struct ScanPage
{
  std::vector<Row> rows;
  // Whether rows with greater keys of the same prefix were left out because of the limit.
  bool more = false;
};

using CommitCallback = std::function<void(const CommitOutcome&)>;
using FateCallback = std::function<void(const FateOutcome&)>;
// An error status means that nothing was read; it is always worth asking again.
using ScanCallback = std::function<void(const absl::StatusOr<ScanPage>&)>;

// Commit: applies a transaction. ReadFate: tells whether a transaction committed and blocks it from
// committing later if it has not. Scan: reads up to `limit` rows whose keys start with `prefix` and
// are greater than `after`.
template<typename T>
concept TableServicePort = requires(T& aTable,
                                    const Transaction& aTransaction,
                                    const TransactionId& aId,
                                    const std::string& aText,
                                    std::size_t aLimit,
                                    CommitCallback aOnCommit,
                                    FateCallback aOnFate,
                                    ScanCallback aOnScan)
{
  aTable.Commit(aTransaction, aOnCommit);
  aTable.ReadFate(aId, aOnFate);
  aTable.Scan(aText, aText, aLimit, aOnScan);
};

} // namespace oriolespread
