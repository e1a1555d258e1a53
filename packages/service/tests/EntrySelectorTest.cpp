#include "oriolespread/service/EntrySelector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace oriolespread;

namespace {

EntryDirectory MakeDirectory(int aEntries)
{
  EntryDirectory directory;
  directory.shardCount = 1;
  for (int index = 0; index < aEntries; ++index) {
    directory.entries.push_back({ EntryId{ "e" + std::to_string(index) },
                                  DataCentreId{ index % 2 == 0 ? "dc1" : "dc2" },
                                  "127.0.0.1:" + std::to_string(1000 + index) });
  }
  return directory;
}

std::set<std::string> NamesOf(const std::vector<EntryInfo>& aEntries)
{
  std::set<std::string> names;
  for (const EntryInfo& entry : aEntries) {
    names.insert(entry.entry.Value());
  }
  return names;
}

EntrySelector MakeSelector(const std::string& aAgent)
{
  return { AgentId{ aAgent }, WorkerId{ "w" }, DataCentreId{ "dc1" }, 4 };
}

} // namespace

// Guards against an agent's cost growing with the number of entries.
TEST_CASE("EntrySelector KeepsToItsNumberOfLinksWithTheShardsOwnerFirst")
{
  EntrySelector selector = MakeSelector("a1");
  EntryDirectory directory = MakeDirectory(12);
  directory.owners.push_back({ ShardId{ 0 }, Epoch{ 5 }, EntryId{ "e7" } });
  selector.SetDirectory(directory);
  const auto wanted = selector.Wanted();
  REQUIRE(wanted.size() == 4);
  CHECK(wanted.front().entry == EntryId{ "e7" });
  CHECK(std::any_of(wanted.begin(), wanted.end(), [](const EntryInfo& aEntry) {
    return aEntry.dataCentre == DataCentreId{ "dc1" };
  }));
}

// Guards against going back to an old owner because its directory arrives late.
TEST_CASE("EntrySelector IgnoresAnOwnerOfALowerEpoch")
{
  EntrySelector selector = MakeSelector("a1");
  EntryDirectory directory = MakeDirectory(12);
  directory.owners.push_back({ ShardId{ 0 }, Epoch{ 6 }, EntryId{ "e3" } });
  selector.SetDirectory(directory);
  directory.owners.front() = { ShardId{ 0 }, Epoch{ 5 }, EntryId{ "e7" } };
  selector.SetDirectory(directory);
  CHECK(selector.Wanted().front().entry == EntryId{ "e3" });
}

// Guards against all agents reconnecting when one entry is replaced.
TEST_CASE("EntrySelector MovesOnlyTheLinksOfAnEntryThatIsGone")
{
  for (int agent = 0; agent < 50; ++agent) {
    EntrySelector selector = MakeSelector("a" + std::to_string(agent));
    EntryDirectory directory = MakeDirectory(12);
    selector.SetDirectory(directory);
    const auto before = NamesOf(selector.Wanted());
    const std::string gone = "e3";
    directory.entries.erase(directory.entries.begin() + 3);
    selector.SetDirectory(directory);
    const auto after = NamesOf(selector.Wanted());
    std::vector<std::string> lost;
    std::set_difference(
      before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(lost));
    INFO("agent " << agent);
    CHECK(lost.size() <= 1);
    CHECK((lost.empty() || lost.front() == gone || before.count(gone) == 0));
  }
}
