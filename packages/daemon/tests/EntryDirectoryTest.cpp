#include "oriolespread/daemon/EntryDirectory.h"

#include "EventLoop.h"
#include "StoreFixture.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

struct DirectoryFixture : StoreFixture
{
  EntryDirectory directory{ this->context, *this->client, this->counters };
  EntryDirectory::Entries entries;

  DirectoryFixture()
  {
    this->PutMember("!link-key", "secret");
    this->PutMember("a", "10.0.0.1:7000");
  }

  void PutMember(const std::string& aName, const std::string& aAddress)
  {
    cluster::StoreTransaction transaction;
    transaction.changes.push_back({ { "members", aName }, aAddress, false });
    bool stored = false;
    this->client->Commit(
      transaction, 1000 * kMillisecond, [&](const cluster::CommitResult& aResult) {
        stored = aResult.end == cluster::CommitEnd::Applied;
      });
    REQUIRE(this->RunUntil([&] { return stored; }));
  }

  void Subscribe()
  {
    this->directory.Subscribe([this](const std::string&, const EntryDirectory::Entries& aEntries) {
      this->entries = aEntries;
    });
  }

  // Replaces the Base64 text "b2Rk" of the value "odd" in all responses.
  void ReplaceOddValues(const std::string& aJson)
  {
    this->store.onAnswer = [aJson](std::string aBody) {
      const std::string odd = R"("b2Rk")";
      for (std::size_t at = aBody.find(odd); at != std::string::npos; at = aBody.find(odd)) {
        aBody.replace(at, odd.size(), aJson);
      }
      return aBody;
    };
  }
};

} // namespace

// Guards against an agent that stops following the table of entries because of one malformed row.
TEST_CASE("EntryDirectory FollowsTheOtherEntriesWhenARowIsMalformed")
{
  const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd : { std::string("\"*\""),
                                  std::string("7"),
                                  std::string("1e999"),
                                  nested,
                                  std::string("null") }) {
    INFO(odd.substr(0, 20));
    DirectoryFixture fixture;
    fixture.ReplaceOddValues(odd);
    fixture.PutMember("odd1", "odd");
    fixture.Subscribe();
    REQUIRE(fixture.RunUntil([&] { return fixture.entries.contains("a"); }, 2000 * kMillisecond));
    fixture.PutMember("odd2", "odd");
    fixture.PutMember("b", "10.0.0.2:7000");
    CHECK(fixture.RunUntil([&] { return fixture.entries.contains("b"); }, 2000 * kMillisecond));
    fixture.store.ForgetHistory();
    fixture.PutMember("c", "10.0.0.3:7000");
    CHECK(fixture.RunUntil([&] { return fixture.entries.contains("c"); }, 2000 * kMillisecond));
    CHECK(fixture.entries.size() == 3);
  }
}

// Guards against links to addresses that cannot exist, and against the loss of an entry whose row
// is overwritten by another program.
TEST_CASE("EntryDirectory IgnoresAddressesThatAreNotValid")
{
  DirectoryFixture fixture;
  fixture.Subscribe();
  REQUIRE(fixture.RunUntil([&] { return fixture.entries.contains("a"); }));
  for (const char* address : { "",
                               "x",
                               "10.0.0.9",
                               "10.0.0.9:",
                               "10.0.0.9:0",
                               "10.0.0.9:65536",
                               "10.0.0.9:99999999999999999999",
                               "10.0.0.9:-1",
                               "[::1:7000",
                               "\xff\xfe:1" }) {
    fixture.PutMember("odd", address);
    fixture.PutMember("a", address);
  }
  fixture.PutMember("b", "10.0.0.2:65535");
  REQUIRE(fixture.RunUntil([&] { return fixture.entries.contains("b"); }));
  CHECK(fixture.entries ==
        EntryDirectory::Entries{ { "a", "10.0.0.1:7000" }, { "b", "10.0.0.2:65535" } });
  CHECK(fixture.counters.Get("directory_rows_invalid_total", "address") == 20);
}

// Guards against a process that never learns of later entries because its handler failed once.
TEST_CASE("EntryDirectory FollowsTheTableWhenItsSubscriberThrows")
{
  DirectoryFixture fixture;
  int calls = 0;
  fixture.directory.Subscribe([&](const std::string&, const EntryDirectory::Entries& aEntries) {
    ++calls;
    if (!aEntries.contains("c")) {
      throw std::runtime_error("cannot use the entries");
    }
    fixture.context.stop();
  });
  const auto write = [&](const std::string& aName, Duration aDelay) {
    auto timer = std::make_shared<asio::steady_timer>(fixture.context, aDelay);
    timer->async_wait([&fixture, timer, aName](asio::error_code) {
      cluster::StoreTransaction transaction;
      transaction.changes.push_back({ { "members", aName }, "10.0.0.4:7000", false });
      fixture.client->Commit(transaction, 1000 * kMillisecond, [](const cluster::CommitResult&) {});
    });
  };
  write("b", 200 * kMillisecond);
  write("c", 400 * kMillisecond);
  asio::steady_timer limit(fixture.context, std::chrono::seconds(5));
  limit.async_wait([&](asio::error_code) { fixture.context.stop(); });
  RunEventLoop(fixture.context, fixture.counters);
  CHECK(calls >= 3);
  CHECK(fixture.counters.Get("handler_errors_total", "exception") >= 2);
}

// Guards against entries that use up the store's calls for rows that it never takes.
TEST_CASE("EntryDirectory RegistersAgainRarelyWhenTheStoreRefusesItsRow")
{
  DirectoryFixture fixture;
  fixture.store.SetFault(
    fixture.server,
    { .refuses = [](const std::string&, const std::string& aKey) { return aKey == "b"; } });
  fixture.directory.Register("b", "10.0.0.2:7000");
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.counters.Get("directory_retries_total", "register") == 2);
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.RunUntil([&] { return fixture.store.CountRows("members") == 3; }));
}

// Guards against processes that know the entries of the first page only, and none that is alive,
// after many entries were replaced.
TEST_CASE("EntryDirectory KnowsAllEntriesWhenTheyAreMoreThanAPageHolds")
{
  constexpr int kEntries = 520;
  DirectoryFixture fixture;
  for (int index = 0; index < kEntries; ++index) {
    fixture.PutMember("m" + std::to_string(index), "10.0.1.1:" + std::to_string(1000 + index));
  }
  fixture.PutMember("z", "10.0.0.2:7000");
  fixture.Subscribe();
  REQUIRE(fixture.RunUntil([&] { return !fixture.entries.empty(); }));
  CHECK(fixture.entries.size() == kEntries + 2);
  CHECK(fixture.entries.contains("z"));
  fixture.store.ForgetHistory();
  fixture.PutMember("z2", "10.0.0.3:7000");
  CHECK(fixture.RunUntil([&] { return fixture.entries.contains("z2"); }, std::chrono::seconds(10)));
  CHECK(fixture.entries.contains("z"));
}
