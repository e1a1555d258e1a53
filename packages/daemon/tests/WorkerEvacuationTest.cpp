// Starts on a worker of which the leader tells that its data centre is evacuated.
#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::daemon;

// Guards against a start that was ordered before the request and arrives after it, against work
// that the evacuation throws away, and against an agent that rejects starts for good.
TEST_CASE("WorkerDriver RejectsStartsWhileTheDataCentreIsEvacuated")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return fixture.started.size() == 1; }));
  fixture.evacuated = true;
  const std::size_t before = fixture.reports.size();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.size() > before; }));
  fixture.StartTask("k.0.0.0");
  CHECK(fixture.RunUntil([&] { return fixture.IsRejected("k.0.0.0"); }));
  CHECK(fixture.counters.Get("starts_void_total", "evacuated") == 1);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.started.size() == 1);
  CHECK(fixture.ended.empty());
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
  fixture.evacuated = false;
  const std::size_t evacuatedReports = fixture.reports.size();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.size() > evacuatedReports; }));
  fixture.StartTask("l.0.0.0");
  CHECK(fixture.RunUntil([&] { return fixture.started.size() == 2; }));
}

// Guards against a start that waits at the agent and is sent once the agent hears of its leader
// again, although that answer tells of the evacuation.
TEST_CASE("WorkerDriver RejectsAWaitingStartWhenTheDataCentreIsEvacuated")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  REQUIRE(fixture.started.empty());
  fixture.evacuated = true;
  fixture.extendLeases = true;
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  fixture.RunFor(500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a start whose call the worker has received and not answered, and which is reported
// as rejected while its run goes on: the task would run twice.
TEST_CASE("WorkerDriver StopsAnUnansweredStartWhenTheDataCentreIsEvacuated")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.extendLeases = false;
  const std::size_t before = fixture.reports.size();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.size() > before; }));
  const WorkerReport unanswered = fixture.reports.back();
  // The polls do not show that the run is at work.
  REQUIRE(fixture.LosePolls());
  fixture.worker->SetAnswersLost(true);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return fixture.started.size() == 1; }));
  fixture.driver->OnLeaseExtension({ unanswered.epoch, unanswered.sequence, {}, true });
  fixture.RunFor(100 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
  fixture.evacuated = true;
  fixture.extendLeases = true;
  fixture.worker->SetAnswersLost(false);
  fixture.worker->SetPollsUnanswered(false);
  CHECK(fixture.RunUntil([&] { return fixture.ended.size() == 1; }));
  CHECK(
    fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0") || fixture.IsListed("j.0.0.0"); }));
  CHECK(fixture.started.size() == 1);
}

// Guards against starts on the order of a leader that this agent has followed before, until the
// first answer of the new one.
TEST_CASE("WorkerDriver RemembersTheEvacuationUntilANewLeaderAnswers")
{
  WorkerDriverFixture fixture;
  fixture.evacuated = true;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.size() >= 2; }));
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 2 });
  const std::size_t before = fixture.reports.size();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.size() > before; }));
  fixture.StartTask("j.0.0.0", Epoch{ 2 });
  CHECK(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  CHECK(fixture.started.empty());
}
