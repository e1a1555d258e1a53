// Calls to the store of rows and their results, as the cluster's processes use them.
#pragma once

#include "oriolespread/jobs/JobRows.h"

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
  // Taken from one counter of the store, which rises with each transaction.
  std::uint64_t version = 0;
  bool removed = false;
};

// A row must have this version; 0 means that it must not exist.
struct RowCondition
{
  RowKey row;
  std::uint64_t version = 0;
};

// All changes are applied, or none of them. All rows are in one part.
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
  // Certainly not applied, now or later.
  Refused,
  // May have been applied, or may be later while the conditions still hold.
  Unknown,
};

struct CommitResult
{
  CommitEnd end = CommitEnd::Unknown;
  // The new version, for Applied.
  std::uint64_t version = 0;
  // The rows of the conditions as they are, for Conflict; rows that do not exist are left out.
  std::vector<StoredRow> current;
  std::string reason;
};

enum class ReadEnd
{
  Done,
  // A watch asked for changes that the store does not remember any more.
  HistoryGone,
  Failed,
};

struct ReadResult
{
  ReadEnd end = ReadEnd::Failed;
  std::vector<StoredRow> rows;
  // More rows follow the last one.
  bool more = false;
  // The version at which the rows were read.
  std::uint64_t version = 0;
  std::string reason;
};

// Keys from `from` up to and without `to`; an empty `to` is no bound.
struct RowRange
{
  std::string table;
  std::string from;
  std::string to;
  // 0 leaves the bound to the store.
  std::uint32_t limit = 0;
  std::string part = std::string(jobs::kSharedPart);
};

} // namespace oriolespread::cluster
