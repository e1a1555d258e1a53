// A table service in memory, the core of the embedded platform and of the stand-in service:
//
//   MemoryTable table;
//   CommitOutcome outcome = table.Commit({TransactionId{"t1"}, {}, {{"key", 1}}});
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/platform/CommitOutcome.h"
#include "oriolespread/platform/TableServicePort.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace oriolespread {

// Keeps all rows and the fates of the latest kMaxFates transactions. Not thread-safe.
class MemoryTable
{
public:
  // Beyond this number the oldest fates are dropped, so that memory stays bounded.
  static constexpr std::size_t kMaxFates = 100'000;

  // Returns Committed or Conflict. A transaction id that has committed before returns its first
  // outcome and changes nothing; one whose fate was read as NotCommitted returns Conflict with an
  // empty key.
  CommitOutcome Commit(const Transaction& aTransaction);
  // Returns the fate of a transaction and blocks it when it has not committed.
  FateOutcome ReadFate(const TransactionId& aId);
  ScanPage Scan(std::string_view aPrefix, std::string_view aAfter, std::size_t aLimit) const;
  // Returns the row, or null when it is absent; valid until the next Commit.
  const Row* Find(std::string_view aKey) const;

  std::size_t size() const { return this->rows.size(); }

private:
  void Remember(const TransactionId& aId, const FateOutcome& aFate);

  std::map<std::string, Row, std::less<>> rows;
  absl::flat_hash_map<TransactionId, FateOutcome> fates;
  std::deque<TransactionId> fateOrder;
  std::uint64_t lastVersion = 0;
};

} // namespace oriolespread
