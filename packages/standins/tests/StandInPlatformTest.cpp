#include "oriolespread/standins/StandInPlatform.h"

#include "oriolespread/platform/HttpObjects.h"
#include "oriolespread/platform/HttpTable.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

Transaction Create(const std::string& aId, const std::string& aKey)
{
  return { TransactionId{ aId },
           { { aKey, {} } },
           { { aKey, nlohmann::json::object({ { "n", 1 } }) } } };
}

} // namespace

TEST_CASE("HttpTable CommitsReadsAndScansOverHttp")
{
  StandInPlatform platform;
  REQUIRE(platform.Start({ "127.0.0.1", 0 }).ok());
  HttpTable table(platform.Address(), kTimeout);
  CHECK(table.Commit(Create("t1", "a/1")).status == CommitStatus::Committed);
  const CommitOutcome again = table.Commit(Create("t2", "a/1"));
  CHECK(again.status == CommitStatus::Conflict);
  CHECK(again.conflictKey == "a/1");
  const auto page = table.Scan("a/", "", 10);
  REQUIRE(page.ok());
  REQUIRE(page->rows.size() == 1);
  CHECK(page->rows[0].value["n"] == 1);
}

// Guards against taking a lost answer for a failed write.
TEST_CASE("HttpTable ReportsUnknownWhenTheAnswerIsLostAfterTheCommit")
{
  StandInPlatform platform;
  REQUIRE(platform.Start({ "127.0.0.1", 0 }).ok());
  platform.Faults().loseAnswers = 1;
  HttpTable table(platform.Address(), kTimeout);
  CHECK(table.Commit(Create("t1", "a")).status == CommitStatus::Unknown);
  CHECK(table.ReadFate(TransactionId{ "t1" }).fate == TransactionFate::Committed);
}

TEST_CASE("HttpTable ReportsUnavailableWhenTheServiceIsDownOrAbsent")
{
  StandInPlatform platform;
  REQUIRE(platform.Start({ "127.0.0.1", 0 }).ok());
  platform.Faults().down = true;
  HttpTable table(platform.Address(), kTimeout);
  CHECK(table.Commit(Create("t1", "a")).status == CommitStatus::Unavailable);
  CHECK_FALSE(table.Scan("", "", 1).ok());
  const SocketAddress address = platform.Address();
  platform.Stop();
  HttpTable absent(address, kTimeout);
  CHECK(absent.Commit(Create("t2", "a")).status == CommitStatus::Unavailable);
}

TEST_CASE("HttpObjects ReturnsWhatWasPut")
{
  StandInPlatform platform;
  REQUIRE(platform.Start({ "127.0.0.1", 0 }).ok());
  HttpObjects objects(platform.Address(), kTimeout);
  const std::string content("a\0b", 3);
  REQUIRE(objects.Put("shard-0-1", content).ok());
  CHECK(objects.Get("shard-0-1").value_or("") == content);
  REQUIRE(objects.Delete("shard-0-1").ok());
  CHECK(absl::IsNotFound(objects.Get("shard-0-1").status()));
}
