#include "oriolespread/service/EntryDirectoryKeeper.h"

#include "oriolespread/platform/MemoryTable.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

EntryDirectoryKeeper MakeKeeper(const std::string& aId)
{
  return { { { EntryId{ aId }, DataCentreId{ "dc1" }, "127.0.0.1:1" }, "127.0.0.1:2" },
           Incarnation{ 1 } };
}

Instant At(std::int64_t aSeconds)
{
  return Instant(std::chrono::seconds(aSeconds));
}

} // namespace

// Guards against agents being sent to an entry that is gone, and against losing one that is back.
TEST_CASE("EntryDirectoryKeeper DropsAnEntryWhoseRowNoLongerChanges")
{
  MemoryTable table;
  EntryDirectoryKeeper first = MakeKeeper("e1");
  EntryDirectoryKeeper second = MakeKeeper("e2");
  table.Commit(second.Renew());
  CHECK(first.OnRows(At(0), table.Scan("entry/", "", 100).rows));
  CHECK(first.Live().size() == 2);
  CHECK(first.OnRows(At(20), table.Scan("entry/", "", 100).rows));
  CHECK(first.Live().size() == 1);
  table.Commit(second.Renew());
  CHECK(first.OnRows(At(21), table.Scan("entry/", "", 100).rows));
  CHECK(first.Live().size() == 2);
  CHECK_FALSE(first.OnRows(At(22), table.Scan("entry/", "", 100).rows));
}

// Guards against deleting the new row of an entry that has come back.
TEST_CASE("EntryDirectoryKeeper SweepsOnlyRowsThatHaveNotChanged")
{
  MemoryTable table;
  EntryDirectoryKeeper first = MakeKeeper("e1");
  EntryDirectoryKeeper second = MakeKeeper("e2");
  table.Commit(second.Renew());
  first.OnRows(At(0), table.Scan("entry/", "", 100).rows);
  table.Commit(second.Renew());
  const Transaction sweep = first.Sweep(At(3600));
  REQUIRE(sweep.writes.size() == 1);
  CHECK(table.Commit(sweep).status == CommitStatus::Conflict);
  CHECK(table.Find("entry/e2") != nullptr);
}
