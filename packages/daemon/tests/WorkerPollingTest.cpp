#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::daemon;

// Guards against a worker that counts as silent, or whose acknowledged ends stop, because of one
// malformed entry in its lists.
TEST_CASE("WorkerDriver ReportsEndsWhenAnEntryIsMalformed")
{
  WorkerDriverFixture fixture;
  fixture.worker->AddListedEntries(
    nlohmann::json::array(),
    { "odd", { -1, "j.0.0.7", 1, "done", "" }, { 1e300, "j.0.0.8", 1, "done", "" } });
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  for (const char* task : { "j.0.0.0", "j.0.0.1" }) {
    fixture.StartTask(task);
    REQUIRE(fixture.RunUntil(
      [&] { return !fixture.reports.back().ended.empty() && fixture.reports.back().full; }));
    CHECK(fixture.reports.back().ended[0].ref.task == task);
    WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
    orders.acknowledgedEnds.push_back(fixture.reports.back().ended[0].number);
    fixture.driver->OnOrders(orders);
    REQUIRE(fixture.RunUntil(
      [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  }
}

// Guards against a run that is started a second time because the entry that lists it is malformed:
// the leader takes a run that a full report does not list for gone.
TEST_CASE("WorkerDriver SendsNoFullReportWhenARunningEntryIsMalformed")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(30));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().running.empty(); }));
  fixture.worker->AddListedEntries(nlohmann::json::array({ nlohmann::json::array({ 7, 7 }) }),
                                   nlohmann::json::array());
  fixture.RunFor(400 * kMillisecond);
  const std::size_t before = fixture.reports.size();
  fixture.RunFor(1500 * kMillisecond);
  // Reports continue, so that the lease is extended.
  CHECK(fixture.reports.size() >= before + 3);
  for (std::size_t index = before; index < fixture.reports.size(); ++index) {
    CHECK_FALSE(fixture.reports[index].full);
    CHECK_FALSE(fixture.reports[index].allLost);
  }
  fixture.worker->AddListedEntries(nlohmann::json::array(), nlohmann::json::array());
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().full; }));
  CHECK(fixture.reports.back().running.size() == 1);
}

// Guards against an end that keeps all later ends on the worker because its entry is malformed.
TEST_CASE("WorkerDriver AcknowledgesEndsAfterOneThatIsMalformed")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  // The stand-in numbers ends from 1, so the malformed one takes the place of the second.
  fixture.worker->SkipEndNumber();
  fixture.worker->AddListedEntries(nlohmann::json::array(), { { 2, 7, 7, 7, 7 } });
  fixture.StartTask("j.0.0.1");
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.size() == 2; }));
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.acknowledgedEnds = { 1, 3 };
  fixture.driver->OnOrders(orders);
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  CHECK(fixture.worker->AcknowledgedUpTo() == 3);
}

// Guards against leases that end, or a loss that stays unreported, because a report failed.
TEST_CASE("WorkerDriver PollsTheWorkerAfterAReportHasFailed")
{
  const bool isPresent = GENERATE(true, false);
  WorkerDriverFixture fixture(1500 * kMillisecond);
  if (!isPresent) {
    fixture.worker.reset();
  }
  fixture.failReports = true;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE_THROWS(fixture.RunFor(2000 * kMillisecond));
  fixture.failReports = false;
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost != isPresent);
}

// Guards against an agent that polls its worker without a pause while no entry leads.
TEST_CASE("WorkerDriver PollsAtIntervalsWhenItFollowsNoLeader")
{
  WorkerDriverFixture fixture;
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.worker->PollCount() >= 1);
  CHECK(fixture.worker->PollCount() <= 25);
  // The first leader does not wait for the next interval.
  fixture.driver->FollowLeader(Epoch{ 1 });
  CHECK(fixture.RunUntil([&] { return !fixture.reports.empty() && fixture.reports.back().full; }));
}

// Guards against work that runs again, as its end is behind the ends that the worker lists at once.
TEST_CASE("WorkerDriver SendsNoFullReportWhileTheWorkerMayHaveMoreEnds")
{
  constexpr std::uint64_t kListedEnds = 500;
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  nlohmann::json ends = nlohmann::json::array();
  for (std::uint64_t number = 1; number <= kListedEnds; ++number) {
    ends.push_back({ number, "k.0.0." + std::to_string(number), 1, "done", "" });
    fixture.worker->SkipEndNumber();
  }
  fixture.worker->AddListedEntries(nlohmann::json::array(), ends);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
  fixture.reports.clear();
  fixture.RunFor(1000 * kMillisecond);
  CHECK(std::none_of(fixture.reports.begin(),
                     fixture.reports.end(),
                     [](const WorkerReport& aReport) { return aReport.full; }));
  // The ends are repeated, so that the leader can acknowledge those that it left at first.
  CHECK(
    std::count_if(fixture.reports.begin(), fixture.reports.end(), [](const WorkerReport& aReport) {
      return aReport.ended.size() == kListedEnds;
    }) >= 2);
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  for (std::uint64_t number = 1; number <= kListedEnds; ++number) {
    orders.acknowledgedEnds.push_back(number);
  }
  fixture.worker->AddListedEntries(nlohmann::json::array(), nlohmann::json::array());
  fixture.driver->OnOrders(orders);
  CHECK(fixture.RunUntil([&] { return fixture.IsListed("j.0.0.0"); }));
}
