// Orders whose effect the leader does not know: the link was lost, the agent was restarted, or the
// worker did not answer.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Ends the link to the agent and opens a new one. What the agent lists does not change.
void ReconnectAgent(SchedulerFixture& aFixture, const std::string& aAgent)
{
  aFixture.scheduler.OnAgentDown(aAgent, aFixture.now);
  aFixture.agents[aAgent].lastOrders = 0;
  aFixture.stops.clear();
  aFixture.starts.clear();
  aFixture.scheduler.OnAgentUp(aAgent, aFixture.now);
}

} // namespace

// Guards against a task that never starts: the agent waits for the leader's order before it repeats
// a start of an earlier link.
TEST_CASE("JobScheduler RepeatsAStartThatWasNotConfirmedBeforeTheLinkWasLost")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  fixture.agents["a"].starting = { { "j.0.0.0", 1 } };
  ReconnectAgent(fixture, "a");
  fixture.Report("a");
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref == RunRef{ "j.0.0.0", 1 });
}

// Guards against a start of a run that was reported lost while the order was queued.
TEST_CASE("JobScheduler DropsAQueuedStartWhenItsRunIsLost")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  ReconnectAgent(fixture, "a");
  fixture.Report("a");
  fixture.agents["a"].allLost = true;
  fixture.Report("a");
  CHECK_FALSE(fixture.scheduler.Jobs().at("j").HasActiveRuns());
  fixture.TakeOrders();
  CHECK(fixture.starts.empty());
}

// Guards against a start that takes effect although no job needs it: the leader that ordered it is
// gone, and its successor does not know the run.
TEST_CASE("JobScheduler StopsAnUnknownRunThatHasNotStartedYet")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.agents["a"].starting.push_back({ "x.0.0.0", 3 });
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "x.0.0.0", 3 } });
}

// Guards against a second run of a task: a new process of the agent does not list a start that its
// earlier process has sent, and the worker may carry it out later.
TEST_CASE("JobScheduler StopsARunThatTheFirstReportOfAnAgentDoesNotList")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  fixture.agents["a"].running.clear();
  ReconnectAgent(fixture, "a");
  fixture.Report("a");
  CHECK(fixture.scheduler.Jobs().at("j").HasActiveRuns());
  fixture.TakeOrders();
  CHECK_FALSE(fixture.stops.empty());
  // The agent lists the run until the worker has answered the stop.
  fixture.agents["a"].starting = { { "j.0.0.0", 1 } };
  fixture.Report("a");
  CHECK(fixture.scheduler.Jobs().at("j").HasActiveRuns());
  fixture.agents["a"].starting.clear();
  fixture.Report("a");
  CHECK_FALSE(fixture.scheduler.Jobs().at("j").HasActiveRuns());
}

// Guards against a cancelled task that goes on for seconds: the order to stop it was lost with the
// link, and the agent sends no report while its worker does not answer.
TEST_CASE("JobScheduler RepeatsStopsAsSoonAsTheAgentIsConnected")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  ReconnectAgent(fixture, "a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
}

// Guards against a cancelled task that goes on because the order to stop it was never sent, while
// later orders arrived.
TEST_CASE("JobScheduler RepeatsOrdersThatCouldNotBeSent")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  CHECK(fixture.scheduler.TakeOrders().size() == 1);
  fixture.scheduler.OnOrdersLost("a");
  fixture.agents["a"].lastOrders = 1000;
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
}

// Guards against a second run of a task: the agent rejects a start of an earlier link and then
// receives the repeated order, which it carries out.
TEST_CASE("JobScheduler KeepsARunThatWasRejectedBeforeItsRepeatedOrderArrived")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  const std::string agent = fixture.starts[0].first;
  fixture.agents[agent].running.clear();
  fixture.agents[agent].starting = { { "j.0.0.0", 1 } };
  ReconnectAgent(fixture, agent);
  fixture.Report(agent);
  // Sent before the order that answers the full report arrives.
  fixture.agents[agent].starting.clear();
  fixture.agents[agent].full = false;
  fixture.agents[agent].rejected = { { { "j.0.0.0", 1 }, "room" } };
  fixture.Report(agent);
  fixture.agents[agent].rejected.clear();
  fixture.agents[agent].full = true;
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 1);
  fixture.Advance(std::chrono::milliseconds(1000));
  fixture.Report("a");
  fixture.Report("b");
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.stops.empty());
}

// Guards against a start of a task after its end was acknowledged.
TEST_CASE("JobScheduler AcknowledgesTheEndOfALostRunOnceItsReplacementIsStopped")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1), MakeStep(1, { 0 }) }));
  fixture.RunUntilIdle();
  fixture.Advance(std::chrono::seconds(6));
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  fixture.agents["b"].running.clear();
  fixture.agents["b"].starting = { { "j.0.0.0", 2 } };
  fixture.Report("b");
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 2 } });
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.agents["b"].starting.clear();
  fixture.Report("b");
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds == std::vector<std::uint64_t>{ 1 });
}

// Guards against a task that never starts again: the agent rejects the repeated start.
TEST_CASE("JobScheduler ReplacesARunWhoseRepeatedStartWasRejected")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.agents["a"].running.clear();
  ReconnectAgent(fixture, "a");
  fixture.Report("a");
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  fixture.agents["a"].rejected = { { { "j.0.0.0", 1 }, "room" } };
  fixture.Report("a");
  fixture.agents["a"].rejected.clear();
  fixture.Advance(std::chrono::seconds(10));
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].second.ref.run == 2);
}

// Guards against two runs of a task at the same time: a worker that was reported as lost lists a
// run that goes on, and no other worker had room meanwhile.
TEST_CASE("JobScheduler KeepsARunThatItConsideredLostWhenItsTaskHasNoOther")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  WorkerReport lost = fixture.agents["a"];
  lost.full = false;
  lost.running.clear();
  lost.allLost = true;
  fixture.scheduler.OnReport("a", lost, fixture.now);
  fixture.RunUntilIdle();
  fixture.Advance(150 * kMs);
  fixture.Report("a");
  fixture.scheduler.Decide(fixture.now);
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  fixture.Apply(batch);
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  for (const auto& [agent, orders] : fixture.scheduler.TakeOrders()) {
    CHECK(orders.stops.empty());
    for (const StartRun& start : orders.starts) {
      CHECK(start.ref == RunRef{ "j.0.0.0", 1 });
      CHECK(start.repeated);
    }
  }
  // The next leader knows the run as well.
  SchedulerFixture second(fixture.rows);
  CHECK(second.scheduler.AwaitedWorkers() == 1);
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Completed);
  CHECK(fixture.starts.size() == 1);
}

// Guards against two runs of a task at the same time: a worker that has restarted under its id
// carries out a late start, which the first report of the new process does not list.
TEST_CASE("JobScheduler KeepsTheRunsOfARestartedWorkerUntilAReportListsWhatRunsThere")
{
  for (const bool isListed : { true, false }) {
    INFO("the run is listed: " << isListed);
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    fixture.Submit(MakeJob("j", { MakeStep(1) }));
    fixture.RunUntilIdle();
    REQUIRE(fixture.starts.size() == 1);
    fixture.AddAgent("b");
    WorkerReport& report = fixture.agents["a"];
    const std::vector<RunningRun> running = std::exchange(report.running, {});
    report.worker.born = 2;
    report.full = false;
    report.lastOrders = 0;
    fixture.Report("a");
    fixture.Advance(300 * kMs);
    fixture.RunUntilIdle();
    CHECK(fixture.starts.size() == 1);

    report.full = true;
    if (isListed) {
      report.running = running;
    }
    fixture.Report("a");
    fixture.RunUntilIdle();
    CHECK(fixture.stops.empty());
    CHECK(fixture.starts.size() == (isListed ? 1 : 2));
    CHECK(fixture.starts.back().second.ref == RunRef{ "j.0.0.0", isListed ? 1U : 2U });
  }
}

// Guards against a second run while a late start of the first one goes on under an extended lease.
TEST_CASE("JobScheduler CountsTheLeaseOfARestartedWorkerFromAReportThatListsNoRuns")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  WorkerReport& report = fixture.agents["a"];
  report.running.clear();
  report.worker.born = 2;
  report.full = false;
  report.lastOrders = 0;
  fixture.Advance(3000 * kMs);
  fixture.Report("a");
  fixture.Advance(SchedulerSettings{}.LeaseBound() - kMs);
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  fixture.Advance(2 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 2);
}

// Guards against a task that is never run again because its worker's next process lists no runs.
TEST_CASE("JobScheduler ReplacesTheRunsOfARestartedWorkerThatNeverListsItsRuns")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  WorkerReport& report = fixture.agents["a"];
  report.running.clear();
  report.worker.born = 2;
  report.full = false;
  fixture.AddAgent("b");
  for (int round = 0; round < 50 && fixture.starts.size() == 1; ++round) {
    fixture.Advance(300 * kMs);
    fixture.Report("a");
    fixture.Report("b");
    fixture.RunUntilIdle();
  }
  CHECK(fixture.starts.size() == 2);
}

// Guards against two runs of a member of a gang at the same time, of which only this one was
// considered lost.
TEST_CASE("JobScheduler PlacesAGangAgainOnlyWhenAMemberThatItConsideredLostIsGone")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  StepSpec step = MakeStep(2);
  step.gang = true;
  step.maxPerWorker = 1;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  WorkerReport lost = fixture.agents["a"];
  lost.full = false;
  lost.running.clear();
  lost.allLost = true;
  fixture.scheduler.OnReport("a", lost, fixture.now);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.stops.size() == 2);
  for (const char* agent : { "b", "a" }) {
    CHECK(fixture.starts.size() == 2);
    fixture.End(agent, fixture.agents[agent].running.front().ref, RunEnd::Stopped);
    fixture.Advance(100 * kMs);
    fixture.RunUntilIdle();
  }
  CHECK(fixture.starts.size() == 4);
}

// Guards against a run of another writer's number that a leader takes for one of its own.
TEST_CASE("JobScheduler StopsARunThatItHasNotOrdered")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 500);
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.empty());
  fixture.agents["a"].running.push_back({ { "j.0.0.0", 1 }, "", 10, 0 });
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
}

// Guards against a run that goes on for a job that does not exist.
TEST_CASE("JobScheduler StopsAnUnknownRun")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.agents["a"].running.push_back({ { "x.0.0.0", 3 }, "", 10, 0 });
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "x.0.0.0", 3 } });
}
