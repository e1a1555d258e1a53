// Transactions of the table service: conditions on rows and writes that apply all together or not
// at all.
#pragma once

#include "oriolespread/base/Ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread {

// Version of a row; every write of the row raises it. 0 stands for an absent row.
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;

// Holds when the row has exactly this version; version 0 requires that the row is absent.
struct RowCondition
{
  std::string key;
  RowVersion version;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// Puts `value`, or deletes the row when there is none.
struct RowWrite
{
  std::string key;
  std::optional<nlohmann::json> value;

  friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

// A transaction is identified by an id chosen by its writer. Committing the same id again never
// applies the writes twice.
struct Transaction
{
  TransactionId id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

struct Row
{
  std::string key;
  RowVersion version;
  nlohmann::json value;
};

} // namespace oriolespread
