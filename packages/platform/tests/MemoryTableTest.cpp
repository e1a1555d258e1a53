#include "oriolespread/platform/MemoryTable.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

Transaction Put(const std::string& aId, const std::string& aKey, RowVersion aVersion, int aValue)
{
  return { TransactionId{ aId }, { { aKey, aVersion } }, { { aKey, aValue } } };
}

} // namespace

// Guards against two writers both believing that they created the same row.
TEST_CASE("MemoryTable RefusesASecondCreationOfTheSameRow")
{
  MemoryTable table;
  REQUIRE(table.Commit(Put("t1", "a", {}, 1)).status == CommitStatus::Committed);
  const CommitOutcome second = table.Commit(Put("t2", "a", {}, 2));
  CHECK(second.status == CommitStatus::Conflict);
  CHECK(second.conflictKey == "a");
  REQUIRE(table.Find("a") != nullptr);
  CHECK(table.Find("a")->value == 1);
}

// Guards against applying a transaction twice when its writer repeats it after a lost answer.
TEST_CASE("MemoryTable AppliesARepeatedTransactionOnce")
{
  MemoryTable table;
  const CommitOutcome first = table.Commit(Put("t1", "a", {}, 1));
  REQUIRE(table.Commit(Put("t2", "a", first.version, 2)).status == CommitStatus::Committed);
  const CommitOutcome repeated = table.Commit(Put("t1", "a", {}, 1));
  CHECK(repeated.status == CommitStatus::Committed);
  CHECK(repeated.version == first.version);
  CHECK(table.Find("a")->value == 2);
}

// Guards against a delayed transaction committing after its writer was told that it had not.
TEST_CASE("MemoryTable BlocksATransactionWhoseFateWasReadAsNotCommitted")
{
  MemoryTable table;
  REQUIRE(table.ReadFate(TransactionId{ "t1" }).fate == TransactionFate::NotCommitted);
  CHECK(table.Commit(Put("t1", "a", {}, 1)).status == CommitStatus::Conflict);
  CHECK(table.Find("a") == nullptr);
}

TEST_CASE("MemoryTable ScansAPrefixInPages")
{
  MemoryTable table;
  for (const char* key : { "a/1", "a/2", "a/3", "b/1" }) {
    table.Commit({ TransactionId{ key }, {}, { { key, 0 } } });
  }
  const ScanPage first = table.Scan("a/", "", 2);
  REQUIRE(first.rows.size() == 2);
  CHECK(first.more);
  const ScanPage second = table.Scan("a/", first.rows.back().key, 2);
  REQUIRE(second.rows.size() == 1);
  CHECK(second.rows.front().key == "a/3");
  CHECK_FALSE(second.more);
}
