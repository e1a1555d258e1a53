#include "WorkerDriverFixture.h"

#include "oriolespread/daemon/ClusterSettings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

TEST_CASE("WorkerDriver StartsARunAndReportsItsEndUntilItIsAcknowledged")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil(
    [&] { return !fixture.reports.back().ended.empty() && fixture.reports.back().full; }));
  CHECK(fixture.reports.back().ended[0].how == RunEnd::Done);
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.acknowledgedEnds.push_back(fixture.reports.back().ended[0].number);
  fixture.driver->OnOrders(orders);
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
}

// Guards against placement and paces that follow the interference on a worker too late: with a
// report each 600 ms, serving runs missed their targets for a tenth longer.
TEST_CASE("WorkerDriver ReportsItsRunsSeveralTimesASecond")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(10));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().running.empty(); }));
  const std::size_t reportsBefore = fixture.reports.size();
  fixture.RunFor(2000 * kMillisecond);
  const auto reports =
    std::count_if(fixture.reports.begin() + static_cast<std::ptrdiff_t>(reportsBefore),
                  fixture.reports.end(),
                  [](const WorkerReport& aReport) { return aReport.full; });
  CHECK(reports >= 4);
}

// Guards against soaks in which the scheduler sees runs advance at speeds that no worker has.
TEST_CASE("WorkerDriver ReportsTheProgressOfARunOfTheStandInWorker")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), 2000 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
  std::vector<int> percents;
  for (const WorkerReport& report : fixture.reports) {
    for (const RunningRun& running : report.running) {
      percents.push_back(running.percent);
    }
  }
  INFO("reported percents: " << Catch::Detail::stringify(percents));
  REQUIRE(percents.size() >= 3);
  CHECK(std::is_sorted(percents.begin(), percents.end()));
  CHECK(percents.back() >= percents.front() + 25);
  CHECK(percents.back() <= 99);
}

// Guards against a start whose deadline has passed before it is sent: until the leader has extended
// the lease of this incarnation of the worker, there is no lease to grant, and the worker rejects
// the start.
TEST_CASE("WorkerDriver DelaysAStartUntilTheWorkerHasALease")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
  CHECK(fixture.started.empty());
  fixture.extendLeases = true;
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against carrying out orders of a leader that has been replaced.
TEST_CASE("WorkerDriver IgnoresOrdersOfAnEarlierEpoch")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().epoch == Epoch{ 2 }; }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against two faults after an agent has restarted: no run is paced in favour of the
// latency-critical runs that the agent does not know, and runs that are already running are started
// a second time.
TEST_CASE("WorkerDriver ReportsRunsAsUndescribedWhenItDidNotStartThem")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  const std::size_t before = fixture.reports.size();
  // Kept alive because its calls are still in progress; it no longer sends reports.
  const std::unique_ptr<WorkerDriver> earlierDriver = std::move(fixture.driver);
  earlierDriver->OnLeaderLost();
  fixture.driver = *WorkerDriver::Create(
    fixture.context,
    "127.0.0.1:" + std::to_string(fixture.worker->Port()),
    std::chrono::seconds(6),
    fixture.counters,
    [&](const WorkerReport& aReport) {
      fixture.reports.push_back(aReport);
      fixture.driver->OnLeaseExtension({ aReport.epoch, aReport.sequence, {} });
    });
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] {
    return fixture.reports.size() > before && !fixture.reports.back().undescribed.empty();
  }));
  CHECK(fixture.reports.back().undescribed[0].task == "j.0.0.0");
  // An order that only describes a running run is accepted by a draining worker.
  fixture.worker->SetDraining(true);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.draining; }));
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().undescribed.empty(); }));
  CHECK(fixture.reports.back().running.size() == 1);
  CHECK(fixture.started.size() == 1);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
}

// Guards against a second run of a task that is done. The worker executes the run without answering
// the start, and then refuses the repeated start because the run has ended.
TEST_CASE("WorkerDriver ReportsTheEndOfARunWhenItsStartWasNotAnswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetAnswersLost(true);
  // The poll in flight is answered before, so that it does not report the end of the run.
  REQUIRE(fixture.LosePolls());
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetAnswersLost(false);
  fixture.RunFor(800 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
  fixture.worker->SetPollsUnanswered(false);
  CHECK(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  CHECK(fixture.started.size() == 1);
}

// Guards against a task that starts after its job was cancelled (soak seed 949): an agent that
// resumes after a pause finds the order to start and the order to stop both queued, and acts on the
// first one.
TEST_CASE("WorkerDriver DoesNotStartARunWhenItWasStoppedDuringAPause")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  std::this_thread::sleep_for(2500 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(5 * kMillisecond);
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.stops.push_back({ "j.0.0.0", 1 });
  fixture.driver->OnOrders(orders);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.started.empty());
  // Orders that come after the next extension are carried out.
  fixture.StartTask("k.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that exists twice: the leader gives up the runs of a worker whose lease has
// expired, and starts them elsewhere.
TEST_CASE("WorkerDriver DoesNotStartARunWhenTheLeaseExpiredAfterItsOrder")
{
  // Leases last 3.6 s. Starts wait once the last answer of the leader is older than 2 s.
  WorkerDriverFixture fixture(4000 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.extendLeases = false;
  fixture.RunFor(2300 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1700 * kMillisecond);
  CHECK(fixture.started.empty());
  fixture.extendLeases = true;
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(
    std::any_of(fixture.reports.begin(), fixture.reports.end(), [](const WorkerReport& aReport) {
      return !aReport.rejected.empty() && aReport.rejected.front().ref.task == "j.0.0.0";
    }));
  fixture.StartTask("k.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  CHECK(fixture.started.front() == "k.0.0.0");
}

// Guards against a run that exists twice: after the loss of the link, only the leader knows which
// orders still hold.
TEST_CASE("WorkerDriver ForgetsUnsentStartsWhenItFollowsALeaderAgain")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.driver->OnLeaderLost();
  fixture.extendLeases = true;
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.started.empty());
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that starts after the leader has given it up: a refusal of the repeated
// start says nothing about the first one, which the worker has not answered and executes later.
TEST_CASE("WorkerDriver PreventsAnUnansweredStartWhenItsRepetitionIsRefused")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(200 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->SetOverloaded(true);
  fixture.RunFor(600 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.worker->SetOverloaded(false);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a second run of a task: an unanswered start took effect, and the run is reported
// as rejected because its repetition was refused.
TEST_CASE("WorkerDriver ReportsTheEndOfARunThatBeganBeforeItsStopArrived")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), 300 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetAnswersLost(true);
  // The poll in flight is answered before, so that it does not show the run.
  REQUIRE(fixture.LosePolls());
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.RunFor(700 * kMillisecond);
  fixture.worker->SetAnswersLost(false);
  fixture.worker->SetOverloaded(false);
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetPollsUnanswered(false);
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  CHECK(fixture.reports.back().ended[0].how == RunEnd::Done);
  fixture.RunFor(500 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
}

// Guards against a run that goes on after its job was cancelled, because a worker that was
// overloaded for a moment refused the order to stop it.
TEST_CASE("WorkerDriver StopsARunWhenTheWorkerFirstRefusedTheOrder")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetOverloaded(false);
  CHECK(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
}

// Guards against a leader that takes a run for gone, and starts its task elsewhere, while the order
// that prevents a start of an earlier agent process has not been answered.
TEST_CASE("WorkerDriver ListsARunUntilItsStopIsAnswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(1200 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.worker->SetDelayedCallShare(0);
  CHECK(fixture.RunUntil([&] { return !fixture.IsListed("j.0.0.0"); }));
}

// Guards against a run that goes on after its job was cancelled: an order to stop it was not
// answered when a new leader took over, and the new leader does not know the run.
TEST_CASE("WorkerDriver RepeatsAnUnansweredStopWhenItFollowsANewLeader")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.StopTask("j.0.0.0");
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetOverloaded(false);
  CHECK(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
}

// Guards against a task that starts seconds after its job was cancelled: a start that was not
// answered is repeated with the token of a new leader, before that leader's order to stop arrives.
TEST_CASE("WorkerDriver RepeatsAStartOfAnEarlierLeaderOnlyWhenTheNewLeaderOrdersIt")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.StartTask("j.0.0.0", Epoch{ 2 });
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that is never reported as running because its start was not answered before
// the link to the leader was lost.
TEST_CASE("WorkerDriver ReportsARunThatAnUnansweredStartOfAnEarlierLinkBegan")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetUnansweredCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().running.size() == 1; }));
  fixture.RunFor(700 * kMillisecond);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().full; }));
  CHECK(fixture.reports.back().starting.empty());
  CHECK(fixture.started.size() == 1);
}

// Guards against a second run of a task: an order to start it was under way when the agent reported
// all runs of the worker as lost, so that the leader starts the task elsewhere.
TEST_CASE("WorkerDriver RejectsStartsThatWereOrderedBeforeTheLeaderLearnedOfTheLoss")
{
  WorkerDriverFixture fixture(500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.extendLeases = false;
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  fixture.StartTask("j.0.0.0");
  fixture.worker->SetPollsUnanswered(false);
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().allLost; }));
  fixture.StartTask("j.0.0.1");
  fixture.extendLeases = true;
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.IsRejected("j.0.0.0"));
  CHECK(fixture.IsRejected("j.0.0.1"));
  fixture.StartTask("j.0.0.2");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against leases that end because the leader answers after many later reports were sent.
TEST_CASE("WorkerDriver AcceptsAnExtensionWhenManyLaterReportsWereSent")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::uint64_t first = fixture.reports.back().sequence;
  platformwire::WorkerHeartbeat heartbeat;
  heartbeat.worker = fixture.reports.back().worker;
  heartbeat.sequence = 1000000;
  for (int index = 1; index <= 100; ++index) {
    ++heartbeat.sequence;
    heartbeat.worker.remainingMs = index;
    fixture.driver->OnHeartbeat(heartbeat);
  }
  REQUIRE(fixture.reports.back().sequence >= first + 100);
  fixture.driver->OnLeaseExtension({ Epoch{ 1 }, first, {} });
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a crash when the driver is destroyed after the time of its next poll has come, and
// before the event loop has run the handler.
TEST_CASE("WorkerDriver RunsNoQueuedHandlerWhenItIsDestroyed")
{
  WorkerDriverFixture fixture;
  // The heartbeat and the answer to the first poll arrive; the next poll is due 150 ms later.
  fixture.RunFor(50 * kMillisecond);
  fixture.context.poll();
  std::this_thread::sleep_for(300 * kMillisecond);
  // Runs the timer of the worker, which expires first, and queues the one of the driver.
  REQUIRE(fixture.context.run_one() == 1);
  fixture.driver.reset();
  fixture.RunFor(50 * kMillisecond);
  CHECK(fixture.reports.empty());
}

// Guards against calls without a pause to a worker that fails or resets them.
TEST_CASE("WorkerDriver RepeatsAFailedStopAfterADelay")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetFailing(true);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.counters.Total("stops_retried_total") >= 5);
  CHECK(fixture.counters.Total("stops_retried_total") <= 11);
}

// Guards against a start that waits for good, as nothing tells that it does not happen.
TEST_CASE("WorkerDriver RejectsAStartThatWaitsForLongerThanALease")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1000 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
  CHECK(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  CHECK(fixture.started.empty());
}

// Guards against a run that the leader does not know: it takes a rejection that is reported late
// for one of the order that came after it.
TEST_CASE("WorkerDriver ReportsNoRejectionOfARunThatIsOrderedAgainBeforeTheReport")
{
  constexpr Duration kMaxLease = 1500 * kMillisecond;
  WorkerDriverFixture fixture(kMaxLease, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.extendLeases = false;
  fixture.worker->SetPollsUnanswered(true);
  // The next start waits for an answer of the worker.
  fixture.RunFor(700 * kMillisecond);
  fixture.StartTask("k.0.0.0");
  const Duration lease = WorkerLease(kMaxLease);
  fixture.RunFor(fixture.lastAnsweredAt + lease + 50 * kMillisecond - BootClock::now());
  REQUIRE(fixture.started.size() == 1);
  // The extension raises the token, so that the rejection is not reported at once.
  const WorkerReport last = fixture.reports.back();
  REQUIRE_FALSE(last.allLost);
  fixture.driver->OnLeaseExtension({ last.epoch, last.sequence, {} });
  fixture.StartTask("k.0.0.0");
  fixture.extendLeases = true;
  fixture.worker->SetPollsUnanswered(false);
  REQUIRE(fixture.RunUntil([&] { return fixture.started.size() == 2; }));
  fixture.RunFor(500 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("k.0.0.0"));
}
