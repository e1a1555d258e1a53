// Requests to the row store and their results.
#pragma once

#include "oriolespread/jobs/JobRows.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread::cluster {

using jobs::RowChange;
using jobs::RowKey;

struct StoredRow
{
  RowKey row;
  std::string value;
  // Taken from one counter of the store, which increases with each transaction.
  std::uint64_t version = 0;
  bool removed = false;
};

// Requires that a row has this version; 0 requires that it does not exist.
struct RowCondition
{
  RowKey row;
  std::uint64_t version = 0;
};

// Changes that are applied atomically. All rows must be in one part.
struct StoreTransaction
{
  std::vector<RowCondition> conditions;
  std::vector<RowChange> changes;
};

enum class CommitEnd
{
  Applied,
  // A condition did not hold; nothing was applied.
  Conflict,
  // The transaction was not applied, and will certainly not be applied later.
  Refused,
  // The store takes no transaction with this content: it was not applied, and repeating it
  // unchanged cannot succeed. An earlier attempt without an answer may have been applied
  // nevertheless.
  Invalid,
  // The transaction may have been applied, or may be applied later while the conditions still hold.
  Unknown,
};

struct CommitResult
{
  CommitEnd end = CommitEnd::Unknown;
  // The new version, for CommitEnd::Applied.
  std::uint64_t version = 0;
  // The current rows of the conditions, for CommitEnd::Conflict; rows that do not exist are
  // omitted.
  std::vector<StoredRow> current;
  std::string reason;
};

enum class ReadEnd
{
  Done,
  // A watch requested changes that are no longer in the store's change history.
  HistoryGone,
  Failed,
};

struct ReadResult
{
  ReadEnd end = ReadEnd::Failed;
  std::vector<StoredRow> rows;
  // The number of rows that were omitted because they could not be decoded.
  std::size_t unreadableRows = 0;
  // The result was limited; more rows follow the one with the key `lastKey`, which may have been
  // omitted.
  bool more = false;
  std::string lastKey;
  // The store version at which the rows were read.
  std::uint64_t version = 0;
  std::string reason;
};

// The keys in [from, to); an empty `to` means no upper bound.
struct RowRange
{
  std::string table;
  std::string from;
  std::string to;
  // Maximum number of rows; 0 for the store's default.
  std::uint32_t limit = 0;
  std::string part = std::string(jobs::kSharedPart);
};

} // namespace oriolespread::cluster
