#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::daemon;

TEST_CASE("WorkerDriver ReportsTheNewIncarnationWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->Restart();
  CHECK(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
}

// Guards against two runs of a task: the new process may have taken a deadline on its earlier
// process's clock for the longest lease.
TEST_CASE("WorkerDriver ReportsTheLongestLeaseWhenTheWorkerRestarts")
{
  constexpr std::int64_t kMaxLeaseMs = 20'000;
  WorkerDriverFixture fixture(kMaxLeaseMs * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->Restart();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  CHECK(fixture.reports.back().leasesEndInMs > kMaxLeaseMs);
  CHECK(fixture.reports.back().leasesEndInMs < kMaxLeaseMs * 11 / 10);
}

// Guards against a worker that is never used again because its clock was set back before it
// restarted, so that its new incarnation seems to have started before the earlier one.
TEST_CASE("WorkerDriver AcceptsANewIncarnationWhenTheClockWasSetBack")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->Restart(-5000);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born < before; }));
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a delayed heartbeat of an earlier incarnation that replaces the current one.
TEST_CASE("WorkerDriver KeepsTheIncarnationThatAnswersWhenAnEarlierHeartbeatArrives")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const WorkerState currentState = fixture.reports.back().worker;
  platformwire::WorkerHeartbeat delayedHeartbeat;
  delayedHeartbeat.worker = currentState;
  delayedHeartbeat.worker.born = currentState.born - 5000;
  delayedHeartbeat.sequence = 1;
  fixture.driver->OnHeartbeat(delayedHeartbeat);
  fixture.RunFor(1500 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.worker.born == currentState.born);
  }
}

// Guards against losing sight of the worker's runs because of a heartbeat of another writer.
TEST_CASE("WorkerDriver KeepsTheWorkerWhenAHeartbeatNamesOneThatDoesNotExist")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  platformwire::WorkerHeartbeat foreign;
  foreign.worker = fixture.reports.back().worker;
  foreign.worker.born += 1000000;
  foreign.sequence = 1;
  fixture.driver->OnHeartbeat(foreign);
  fixture.RunFor(600 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0"));
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.worker.born < foreign.worker.born);
  }
}

// Guards against treating a worker as alive, and its runs as running, when nothing listens on its
// address, and against a second run before the lease of the first one has expired.
TEST_CASE("WorkerDriver ReportsAllRunsLostWhenTheWorkerRefusesConnectionsUntilTheirLeaseExpires")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetListening(false);
  const Instant refusedSince = BootClock::now();
  CHECK(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  CHECK(BootClock::now() - refusedSince < 2500 * kMillisecond);
  CHECK(fixture.ended.size() == 1);
}

// Guards against a second run of a task that runs on behind an address that refuses connections for
// a moment.
TEST_CASE("WorkerDriver KeepsTheRunsOfAWorkerThatRefusesConnectionsForAWhile")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return fixture.IsListed("j.0.0.0"); }));
  fixture.reports.clear();
  fixture.worker->SetListening(false);
  fixture.RunFor(1000 * kMillisecond);
  fixture.worker->SetListening(true);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsListed("j.0.0.0"); }));
  CHECK(fixture.ended.empty());
  CHECK(std::none_of(fixture.reports.begin(),
                     fixture.reports.end(),
                     [](const WorkerReport& aReport) { return aReport.allLost; }));
}

// Guards against a task that waits for a worker on whose address nothing listens.
TEST_CASE("WorkerDriver RejectsAStartWhenTheWorkerRefusesConnections")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetListening(false);
  // A call on a connection that was open before may have been carried out.
  fixture.RunFor(300 * kMillisecond);
  const Instant orderedAt = BootClock::now();
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  CHECK(BootClock::now() - orderedAt < 500 * kMillisecond);
}

// Guards against a new leader that waits for the leases of a worker that no longer exists.
TEST_CASE("WorkerDriver ReportsAWorkerThatIsGoneToANewLeader")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker.reset();
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunUntil([&] { return fixture.reports.back().allLost; });
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().epoch == Epoch{ 2 });
}

// Guards against a new leader that waits for leases although all of them have expired.
TEST_CASE("WorkerDriver ReportsASilentWorkerAsLostToANewLeaderWhenAllItsLeasesHaveExpired")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunUntil([&] { return fixture.reports.back().allLost; });
  REQUIRE(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().epoch == Epoch{ 2 });
  CHECK(fixture.ended.size() == 1);
}

// Guards against a leader that waits for the leases of a worker that ended with its agent's
// process.
TEST_CASE("WorkerDriver ReportsThatNoWorkerIsLeftWhenNothingListensAfterARestart")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.worker.reset();
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().worker.id.empty());
}

// Guards against a second run of a task whose worker executes it before its first heartbeat
// arrives.
TEST_CASE("WorkerDriver ReportsNothingWhileAWorkerThatItDoesNotKnowAnswers")
{
  WorkerDriverFixture fixture;
  fixture.control.reset();
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1000 * kMillisecond);
  fixture.worker->SetPollsUnanswered(true);
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.reports.empty());
}

// Guards against two runs of one task. A worker that answers nothing still carries out starts,
// whose deadlines extend its lease, so it must not be reported as lost before all of them have
// passed.
TEST_CASE("WorkerDriver ReportsASilentWorkerAsLostOnlyWhenAllItsLeasesHaveExpired")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.worker->SetUnansweredCallShare(1.0);
  for (int index = 1; index <= 30 && !fixture.reports.back().allLost; ++index) {
    fixture.StartTask("k.0.0." + std::to_string(index));
    fixture.RunFor(200 * kMillisecond);
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  CHECK(fixture.ended.size() == fixture.started.size());
}

// Guards against a second run of a task: the worker restarts under its id and carries out a start
// that its earlier process had not answered, after the leader has given the run up.
TEST_CASE("WorkerDriver PreventsUnansweredStartsWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(700 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->Restart();
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a second run of a task: the worker was silent until all its leases had expired, so
// that the leader has started the task elsewhere, and then carries out a start with a new lease.
TEST_CASE("WorkerDriver PreventsUnansweredStartsWhenTheWorkerWasLost")
{
  WorkerDriverFixture fixture(600 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  REQUIRE(fixture.LosePolls());
  fixture.worker->SetDelayedCallShare(1.0);
  // Sent while the last lease is valid, and executed 1.5 s later, after the loss.
  const Instant orderedAt = BootClock::now();
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.counters.Total("starts_delayed_total") == 0);
  // Reports of heartbeats keep the leader's lease, so that only the loss supersedes the start.
  platformwire::WorkerHeartbeat heartbeat;
  heartbeat.worker = fixture.reports.back().worker;
  heartbeat.sequence = 1000000;
  while (!fixture.reports.back().allLost && BootClock::now() - orderedAt < 1400 * kMillisecond) {
    ++heartbeat.sequence;
    ++heartbeat.worker.remainingMs;
    fixture.driver->OnHeartbeat(heartbeat);
    const Instant next = BootClock::now() + 100 * kMillisecond;
    fixture.RunUntil([&] { return fixture.reports.back().allLost || BootClock::now() >= next; });
  }
  REQUIRE(fixture.reports.back().allLost);
  REQUIRE(BootClock::now() - orderedAt < 1400 * kMillisecond);
  REQUIRE(fixture.started.empty());
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->SetPollsUnanswered(false);
  fixture.RunFor(2000 * kMillisecond);
  CHECK_FALSE(fixture.reports.back().allLost);
  CHECK(fixture.started.empty());
  CHECK_FALSE(fixture.IsListed("j.0.0.0"));
}

// Guards against a second run of a task: the worker and its agent restart together, and the new
// worker carries out a start that the earlier agent had sent, after the leader has given it up.
TEST_CASE("WorkerDriver PreventsStartsOfAnEarlierAgentWhenTheWorkerHasRestartedAsWell")
{
  WorkerDriverFixture fixture;
  const auto earlier = fixture.SendDelayedStart("j.0.0.0");
  fixture.worker->Restart();
  fixture.driver = fixture.MakeDriver(std::chrono::seconds(6));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(
    fixture.RunUntil([&] { return !fixture.reports.empty() && fixture.reports.back().full; }));
  REQUIRE(fixture.started.empty());
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against an agent that its worker refuses after a restart because the clock was set back.
TEST_CASE("WorkerDriver ReportsItsWorkerWhenAnEarlierAgentHasUsedHigherTokens")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  const auto earlier = *platformwire::WorkerClient::Create(
    fixture.context, "127.0.0.1:" + std::to_string(fixture.worker->Port()), fixture.counters);
  platformwire::WorkerPoll poll;
  poll.fence = WorkerDriverFixture::TokenOfAgent(std::chrono::seconds(20));
  earlier->Poll(poll, 500 * kMillisecond, [](const platformwire::WorkerAnswer&) {});
  fixture.RunFor(100 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.StopTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
}

// Guards against a second run of a task: a start that was not answered is carried out with a lease
// that was granted after the leader had given the run up, before the stop, which is late as well.
TEST_CASE("WorkerDriver PreventsUnansweredStartsWhenTheLeaseHasExpired")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.extendLeases = false;
  fixture.RunFor(1450 * kMillisecond);
  REQUIRE(fixture.started.empty());
  fixture.extendLeases = true;
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a second run of a task (soak seed 6050): an agent that resumes after a pause sends
// starts to a new incarnation of the worker, and the leader starts the runs elsewhere as soon as it
// knows of that incarnation.
TEST_CASE("WorkerDriver ReportsANewIncarnationOnlyWhenItStartsNoEarlierRun")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->Restart();
  fixture.RunFor(900 * kMillisecond);
  CHECK(fixture.reports.back().worker.born == before);
  fixture.worker->SetDelayedCallShare(0);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  const std::size_t startedBefore = fixture.started.size();
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.size() == startedBefore);
}

// Guards against a leader that waits for leases although all of an earlier agent have expired.
TEST_CASE("WorkerDriver ReportsThatNoWorkerIsLeftWhenTheWorkerIsSilentAfterARestart")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.control.reset();
  fixture.worker->SetPollsUnanswered(true);
  const std::unique_ptr<WorkerDriver> earlierDriver = std::move(fixture.driver);
  earlierDriver->OnLeaderLost();
  fixture.driver = fixture.MakeDriver(1500 * kMillisecond);
  fixture.reports.clear();
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().worker.id.empty());
  CHECK(fixture.ended.size() == 1);
}

// Guards against a second run of a task whose worker was silent for a while only.
TEST_CASE("WorkerDriver ReportsNothingWhenAWorkerThatItDoesNotKnowAnswersAgainInTime")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.control.reset();
  fixture.worker->SetPollsUnanswered(true);
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1000 * kMillisecond);
  fixture.worker->SetPollsUnanswered(false);
  fixture.RunFor(1500 * kMillisecond);
  fixture.worker->SetPollsUnanswered(true);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.reports.empty());
}

// Guards against a second run of a task that is done, as the report of its end was not sent.
TEST_CASE("WorkerDriver ReportsUnacknowledgedEndsWhenTheWorkerIsLost")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  fixture.worker.reset();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  CHECK(fixture.reports.back().ended.size() == 1);
}

// Guards against a second run of a task that is done, as its worker restarts before a report.
TEST_CASE("WorkerDriver ReportsUnacknowledgedEndsWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.driver->OnLeaderLost();
  fixture.RunFor(500 * kMillisecond);
  REQUIRE(fixture.ended.size() == 1);
  fixture.worker->Restart();
  fixture.RunFor(300 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  const auto first =
    std::find_if(fixture.reports.begin(), fixture.reports.end(), [&](const WorkerReport& aReport) {
      return aReport.worker.born > before;
    });
  REQUIRE(first->ended.size() == 1);
  CHECK(first->ended[0].ref == RunRef{ "j.0.0.0", 1 });
  CHECK(first->ended[0].how == RunEnd::Done);
  fixture.StartTask("j.0.0.1", Epoch{ 2 });
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.size() == 2; }));
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 2 });
  for (const EndedRun& end : fixture.reports.back().ended) {
    orders.acknowledgedEnds.push_back(end.number);
  }
  fixture.driver->OnOrders(orders);
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  CHECK(fixture.worker->AcknowledgedUpTo() == 1);
}

// Guards against a cancelled run that a delayed call of an earlier agent process starts.
TEST_CASE("WorkerDriver RepeatsAStopWhenTheWorkerRestarts")
{
  const bool isConfirmed = GENERATE(true, false);
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const auto earlierAgent = fixture.SendDelayedStart("j.0.0.0");
  fixture.worker->SetOverloaded(!isConfirmed);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(isConfirmed ? 800 * kMillisecond : 400 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0") != isConfirmed);
  fixture.worker->Restart();
  fixture.worker->SetOverloaded(false);
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a cancelled run that begins as its stop was under way during a restart.
TEST_CASE("WorkerDriver CarriesOutAStopThatWasOrderedForTheEarlierIncarnation")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  const auto earlierAgent = fixture.SendDelayedStart("j.0.0.0");
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.stops.push_back({ "j.0.0.0", 1 });
  fixture.worker->Restart();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  fixture.driver->OnOrders(orders);
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against leases and starts whose deadlines are those of an earlier incarnation's clock.
TEST_CASE("WorkerDriver StartsNothingWhenAnIncarnationWithoutHeartbeatsAnswers")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.control.reset();
  fixture.worker->Restart();
  fixture.RunFor(500 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a leader that waits for a worker that restarted and whose heartbeats are lost.
TEST_CASE("WorkerDriver ReportsAllRunsLostWhenAnIncarnationWithoutHeartbeatsAnswers")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.control.reset();
  fixture.worker->Restart();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  fixture.reports.clear();
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
}
