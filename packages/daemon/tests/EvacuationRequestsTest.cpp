// Guards against evacuations that are missed, invented or kept after their removal.
#include "LeaderDriverFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

using DataCentres = std::set<std::string>;

// A store with a watcher that records the evacuations that it tells.
struct EvacuationsFixture : StoreFixture
{
  std::vector<DataCentres> told;

  explicit EvacuationsFixture(DataCentres aKnown = {})
  {
    this->config.SubscribeToEvacuations(std::move(aKnown), [this](const DataCentres& aDataCentres) {
      this->told.push_back(aDataCentres);
    });
  }

  void Request(const std::string& aDataCentre, const std::string& aValue = "{}")
  {
    this->store.Put(std::string(platformwire::kOperatorTable),
                    std::string(platformwire::kEvacuationKeyPrefix) + aDataCentre,
                    aValue);
  }

  void Remove(const std::string& aDataCentre)
  {
    cluster::StoreTransaction transaction;
    transaction.changes.push_back({ { std::string(platformwire::kOperatorTable),
                                      std::string(platformwire::kEvacuationKeyPrefix) + aDataCentre,
                                      std::string(platformwire::kOperatorPart) },
                                    {},
                                    true });
    bool removed = false;
    this->client->Commit(
      transaction, 1000 * kMillisecond, [&](const cluster::CommitResult& aResult) {
        removed = aResult.end == cluster::CommitEnd::Applied;
      });
    REQUIRE(this->RunUntil([&] { return removed; }));
  }

  bool Tells(const DataCentres& aDataCentres)
  {
    return this->RunUntil([&] { return !this->told.empty() && this->told.back() == aDataCentres; });
  }
};

} // namespace

TEST_CASE("ConfigWatcher TellsEvacuationsWhenTheyAreRequestedAndRemoved")
{
  EvacuationsFixture fixture;
  fixture.PutConfig(1);
  fixture.Request("d1");
  fixture.config.Start();
  REQUIRE(fixture.Tells({ "d1" }));
  CHECK(fixture.told.size() == 1);
  CHECK(fixture.config.Config()->version == 1);
  const Instant writtenAt = BootClock::now();
  fixture.Request("d2");
  REQUIRE(fixture.Tells({ "d1", "d2" }));
  CHECK(BootClock::now() - writtenAt < 500 * kMillisecond);
  fixture.Remove("d1");
  CHECK(fixture.Tells({ "d2" }));
}

// Guards against a leader that waits for good in a deployment without evacuations, and without a
// configuration.
TEST_CASE("ConfigWatcher TellsThatNothingIsEvacuatedOnceItHasReadTheRows")
{
  EvacuationsFixture fixture;
  fixture.store.SetFault(fixture.server, { .busy = true });
  fixture.config.Start();
  fixture.RunFor(300 * kMillisecond);
  CHECK(fixture.told.empty());
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.Tells({}));
  fixture.PutConfig(1);
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
  CHECK(fixture.told.size() == 1);
}

// Guards against a malformed row that evacuates a data centre or hides the requests of others, and
// against a log line at each read of it.
TEST_CASE("ConfigWatcher IgnoresMalformedEvacuationsAndThoseOfUnknownDataCentres")
{
  EvacuationsFixture fixture({ "d1", "d2", "d3" });
  for (const std::string value : { "", "[]", "{", "true" }) {
    fixture.Request("d1", value);
  }
  fixture.Request("");
  fixture.Request("d2");
  fixture.Request("d9");
  fixture.config.Start();
  REQUIRE(fixture.Tells({ "d2" }));
  CHECK(fixture.counters.Get("evacuation_rows_ignored_total", "malformed") == 2);
  CHECK(fixture.counters.Get("evacuation_rows_ignored_total", "unknown_data_centre") == 1);
  fixture.store.ForgetHistory();
  fixture.Request("d3");
  REQUIRE(fixture.Tells({ "d2", "d3" }));
  CHECK(fixture.counters.Total("evacuation_rows_ignored_total") == 3);
  // A request that becomes malformed requests nothing any more.
  fixture.Request("d2", "[]");
  CHECK(fixture.Tells({ "d3" }));
}

// Guards against an evacuation that is missed or kept when the store has dropped the changes around
// it.
TEST_CASE("ConfigWatcher ReadsTheEvacuationsAgainWhenTheWatchHistoryIsGone")
{
  EvacuationsFixture fixture;
  fixture.Request("d1");
  fixture.config.Start();
  REQUIRE(fixture.Tells({ "d1" }));
  fixture.store.SetFault(fixture.server, { .silent = true });
  fixture.RunFor(100 * kMillisecond);
  fixture.Request("d2");
  fixture.Request("d1", "null");
  fixture.store.ForgetHistory();
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.Tells({ "d2" }));
}

// Guards against requests that are missed because they do not fit into one answer of the store.
TEST_CASE("ConfigWatcher ReadsAllEvacuationsWhenTheyNeedSeveralPages")
{
  EvacuationsFixture fixture;
  DataCentres expected;
  for (int index = 0; index < 1200; ++index) {
    const std::string dataCentre = "d" + std::to_string(index);
    fixture.Request(dataCentre);
    expected.insert(dataCentre);
  }
  fixture.config.Start();
  CHECK(fixture.Tells(expected));
  CHECK(fixture.told.size() == 1);
}

// Guards against starts that a new leader orders, or repeats for the leader before it, before its
// entry knows which data centres are evacuated.
TEST_CASE("LeaderDriver DecidesNothingBeforeTheEvacuationsAreRead")
{
  StoreFixture fixture;
  TestEntry entry(fixture, "a", std::chrono::seconds(5), std::chrono::seconds(5), nullptr, false);
  entry.driver->Start();
  SubmitJob(fixture, "j");
  REQUIRE(fixture.RunUntil([&] { return !entry.claims.empty(); }));
  entry.SendReport("w", "agent", true, 0, "d1");
  fixture.RunFor(1500 * kMillisecond);
  entry.SendReport("w", "agent", true, 0, "d1");
  fixture.RunFor(300 * kMillisecond);
  CHECK(entry.orders.empty());
  CHECK(entry.claims.size() == 1);
  // The leader answers reports and renews its leadership meanwhile.
  CHECK(entry.extensions == 2);
  CHECK(fixture.counters.Get("leadership_total", "lost") == 0);
  entry.driver->SetEvacuatedDataCentres({ "d1" });
  REQUIRE(entry.claims.size() == 2);
  entry.SendReport("w", "agent", true, 0, "d1");
  fixture.RunFor(500 * kMillisecond);
  CHECK(entry.orders.empty());
  entry.driver->SetEvacuatedDataCentres({});
  CHECK(fixture.RunUntil([&] { return entry.CountStarts("j") == 1; }));
}

// Guards against agents that are not told, and so send starts that they have received.
TEST_CASE("LeaderDriver TellsAgentsWhetherTheirDataCentreIsEvacuated")
{
  StoreFixture fixture;
  TestEntry entry(fixture, "a");
  entry.driver->Start();
  REQUIRE(fixture.RunUntil([&] { return entry.claims.size() >= 2; }));
  entry.SendReport("w", "agent", true, 0, "d1");
  CHECK_FALSE(entry.lastExtension.evacuated);
  entry.driver->SetEvacuatedDataCentres({ "d1" });
  CHECK(entry.driver->Gauges().at("data_centres_evacuated") == 1);
  entry.SendReport("w", "agent", true, 0, "d1");
  CHECK(entry.lastExtension.evacuated);
  entry.SendReport("w", "agent", true, 0, "d2");
  CHECK_FALSE(entry.lastExtension.evacuated);
}

// Guards against a new leader that starts tasks in a data centre that was evacuated while another
// entry led.
TEST_CASE("LeaderDriver KnowsTheEvacuationsWhenItTakesOver")
{
  StoreFixture fixture;
  TestEntry first(fixture, "a");
  first.driver->Start();
  REQUIRE(fixture.RunUntil([&] { return first.claims.size() >= 2; }));
  TestEntry second(fixture, "b");
  second.driver->Start();
  second.driver->SetEvacuatedDataCentres({ "d1" });
  fixture.RunFor(500 * kMillisecond);
  bool released = false;
  first.driver->Release([&] { released = true; });
  REQUIRE(fixture.RunUntil([&] { return released && second.claims.size() >= 2; }));
  SubmitJob(fixture, "j");
  second.SendReport("w", "agent", true, 0, "d1");
  CHECK(second.lastExtension.evacuated);
  fixture.RunFor(500 * kMillisecond);
  CHECK(second.CountStarts("j") == 0);
  second.driver->SetEvacuatedDataCentres({});
  CHECK(fixture.RunUntil([&] { return second.CountStarts("j") == 1; }));
}
