// Runs that a restarted worker has begun by calls to its earlier process, and that no report has
// told a leader of.
#include "WorkerDriverFixture.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/jobs/SchedulerSettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMaxLease = std::chrono::seconds(6);
constexpr Duration kLongRunTime = std::chrono::seconds(60);
constexpr Duration kDownTime = 100 * kMillisecond;
// The longest time that the platform allows for a stop.
constexpr Duration kLongestStop = 900 * kMillisecond;
constexpr double kLeaderClockRatio = 1.02;

// Returns the longest time from the last report that a leader has answered until a stop has to
// reach the worker, so that the run has ended when the leader starts its task elsewhere.
Duration LatestStop()
{
  jobs::SchedulerSettings settings;
  settings.workerLease = WorkerLease(kMaxLease);
  return std::chrono::duration_cast<Duration>(settings.LeaseBound() / kLeaderClockRatio) -
         kLongestStop;
}

// Replaces the worker's process by one that begins a run by a start of an earlier process of the
// agent, before the present one reaches it.
std::unique_ptr<platformwire::WorkerClient> RestartWithLateStart(WorkerDriverFixture& aFixture)
{
  auto client = *platformwire::WorkerClient::Create(
    aFixture.context, "127.0.0.1:" + std::to_string(aFixture.worker->Port()), aFixture.counters);
  const std::size_t before = aFixture.started.size();
  aFixture.worker->Crash(kDownTime, Duration::zero());
  StartRun start;
  start.ref = { "late.0.0." + std::to_string(before), 1 };
  // A deadline on the clock of the earlier process, beyond the longest lease on that of the next.
  client->Start(start,
                WorkerDriverFixture::TokenOfAgent(-std::chrono::seconds(10)),
                60'000,
                500 * kMillisecond,
                [](const platformwire::WorkerAnswer&) {});
  REQUIRE(aFixture.RunUntil([&] { return aFixture.started.size() > before; }));
  return client;
}

// Runs the event loop until this time after the last answered report.
void RunUntilAfterAnswer(WorkerDriverFixture& aFixture, Duration aTime)
{
  while (BootClock::now() < aFixture.lastAnsweredAt + aTime) {
    aFixture.RunFor(10 * kMillisecond);
  }
}

} // namespace

// Guards against two runs of a task: the leader has heard of the earlier process only, and replaces
// its runs after one lease, while the late run has the longest one.
TEST_CASE("WorkerDriver StopsALateRunBeforeALeaderThatDoesNotKnowOfItReplacesIt")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  fixture.extendLeases = false;
  const auto earlierAgent = RestartWithLateStart(fixture);
  RunUntilAfterAnswer(fixture, LatestStop());
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].second == "stopped");
  CHECK(fixture.counters.Get("runs_stopped_unreported_total", "worker_restarted") == 1);
}

// Guards against a late run that is not stopped as the agent waits for a heartbeat of its process.
TEST_CASE("WorkerDriver StopsALateRunWhenTheHeartbeatsOfItsIncarnationDoNotArrive")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  fixture.control.reset();
  const auto earlierAgent = RestartWithLateStart(fixture);
  RunUntilAfterAnswer(fixture, LatestStop());
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].second == "stopped");
  CHECK(fixture.counters.Get("runs_stopped_unreported_total", "other_incarnation") == 1);
}

// Guards against a late run that begins when a leader may have replaced it already.
TEST_CASE("WorkerDriver StopsALateRunAtOnceWhenNoReportHasBeenAnsweredForALongTime")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.extendLeases = false;
  RunUntilAfterAnswer(fixture, LatestStop());
  for (std::size_t count = 1; count <= 2; ++count) {
    const auto earlierAgent = RestartWithLateStart(fixture);
    fixture.RunFor(800 * kMillisecond);
    CHECK(fixture.ended.size() == count);
  }
}

// Guards against a late run that goes on as a new process of the agent has no answer to count from.
TEST_CASE("WorkerDriver StopsALateRunAtOnceWhenItHasHadNoAnswerYet")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const auto earlierAgent = RestartWithLateStart(fixture);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.ended.size() == 1);
}

// Guards against a late run that is lost although the leader learns of it in time and keeps it.
TEST_CASE("WorkerDriver KeepsALateRunWhenAReportOfItsIncarnationIsAnsweredInTime")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  fixture.extendLeases = false;
  const auto earlierAgent = RestartWithLateStart(fixture);
  fixture.RunFor(2500 * kMillisecond);
  fixture.extendLeases = true;
  fixture.RunFor(1000 * kMillisecond);
  fixture.extendLeases = false;
  RunUntilAfterAnswer(fixture, LatestStop());
  CHECK(fixture.ended.empty());
}

// Guards against runs that a worker loses before its lease ends, although a leader knows of them.
TEST_CASE("WorkerDriver KeepsRunsOfAReportedIncarnationWhenNoReportIsAnswered")
{
  const bool hasRestarted = GENERATE(true, false);
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  if (hasRestarted) {
    const std::int64_t before = fixture.reports.back().worker.born;
    fixture.worker->Restart();
    REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  }
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.extendLeases = false;
  RunUntilAfterAnswer(fixture, LatestStop());
  INFO("restarted: " << hasRestarted);
  CHECK(fixture.ended.empty());
}

// Guards against runs that are lost with each restart of an agent that is cut off.
TEST_CASE("WorkerDriver KeepsTheRunsOfAnEarlierAgentWhenItHasHadNoAnswerYet")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.extendLeases = false;
  fixture.driver = fixture.MakeDriver(kMaxLease);
  fixture.driver->FollowLeader(Epoch{ 1 });
  RunUntilAfterAnswer(fixture, LatestStop());
  CHECK(fixture.ended.empty());
}

// Guards against runs that are lost as a new process of the agent takes a delayed heartbeat of an
// ended process for the worker's present one.
TEST_CASE("WorkerDriver KeepsTheRunsOfAnEarlierAgentWhenItsFirstHeartbeatIsDelayed")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  platformwire::WorkerHeartbeat delayed;
  delayed.worker = fixture.reports.back().worker;
  delayed.worker.born -= 5000;
  delayed.sequence = 1;
  fixture.driver = fixture.MakeDriver(kMaxLease);
  fixture.driver->OnHeartbeat(delayed);
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0"));
  CHECK(fixture.counters.Get("runs_stopped_unreported_total", "worker_restarted") == 0);
  CHECK(fixture.counters.Get("runs_stopped_unreported_total", "other_incarnation") == 0);
}

// Guards against two runs of a task: an agent that was restarted and follows no leader has no token
// above those of its earlier process, so that the worker carries out a late start and refuses the
// agent's calls, while the leader starts the task elsewhere.
TEST_CASE("WorkerDriver BarsLateStartsOfAnEarlierProcessWhenItFollowsNoLeader")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 7 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(500 * kMillisecond);
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0", Epoch{ 7 });
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.driver = fixture.MakeDriver(kMaxLease);
  fixture.worker->Restart();
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.counters.Get("looks_fenced_total", "worker") == 0);
}

// Guards against a late start of an earlier process of the agent that a worker carries out because
// the present process waits for a heartbeat before it calls the worker.
TEST_CASE("WorkerDriver BarsLateStartsOfAnEarlierProcessWhenNoHeartbeatArrives")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 7 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(500 * kMillisecond);
  const auto earlierAgent = fixture.SendDelayedStart("j.0.0.0");
  fixture.control.reset();
  fixture.driver = fixture.MakeDriver(kMaxLease);
  fixture.worker->Restart();
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against two runs of a task: a worker restarts and carries out a late start before a new
// process of its agent reaches it, and that process can not report the run to a leader.
TEST_CASE("WorkerDriver StopsALateRunOfAWorkerThatStartedAfterItWhenItFollowsNoLeader")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 7 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.driver = fixture.MakeDriver(kMaxLease);
  const auto earlierAgent = RestartWithLateStart(fixture);
  fixture.RunFor(1500 * kMillisecond);
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].second == "stopped");
}

// Guards against runs that are lost with each restart of an agent that can not reach a leader.
TEST_CASE("WorkerDriver KeepsTheRunsOfAWorkerThatStartedBeforeItWhenItFollowsNoLeader")
{
  WorkerDriverFixture fixture(kMaxLease, kLongRunTime);
  fixture.driver->FollowLeader(Epoch{ 7 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0", Epoch{ 7 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.driver = fixture.MakeDriver(kMaxLease);
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.ended.empty());
}
