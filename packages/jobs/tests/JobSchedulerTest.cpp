#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

// Guards against runs that a new leader does not know of because they were not stored.
TEST_CASE("JobScheduler OrdersAStartOnlyAfterItIsStored")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.scheduler.Decide(fixture.now);
  CHECK(fixture.scheduler.TakeOrders().empty());
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  REQUIRE_FALSE(batch.empty());
  CHECK(fixture.scheduler.TakeOrders().empty());
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref == RunRef{ "j.0.0.0", 1 });
}

// Guards against losing the end of a run: an agent stops reporting an end once it is acknowledged.
TEST_CASE("JobScheduler AcknowledgesAnEndOnlyAfterItIsStored")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.TakeOrders();
  // The same end is reported again before it is stored.
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds == std::vector<std::uint64_t>{ 1 });
  CHECK(fixture.StateOf("j") == JobState::Completed);
  CHECK(fixture.rows.at(StateRow("j")).starts_with("completed"));
  CHECK_FALSE(fixture.rows.contains(ProgressRow("j", 0, 0)));
}

// Guards against losing the end of a run: the store does not answer, the agent is silent until its
// lease has expired, and then reports an end again that is not stored yet. The next leader would
// run the task again.
TEST_CASE("JobScheduler AcknowledgesAnEndOnlyAfterItIsStoredWhenTheWorkerWasSilent")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  fixture.Advance(std::chrono::seconds(6));
  fixture.scheduler.Decide(fixture.now);
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.Apply(batch);
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  fixture.RunUntilIdle();
  CHECK_FALSE(fixture.acknowledgedEnds.empty());
  CHECK(fixture.agents["a"].ended.empty());
}

TEST_CASE("JobScheduler StartsAStepOnlyWhenAllEarlierTasksAreDone")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2), MakeStep(1, { 0 }) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 2);
  fixture.End("a", { "j.0.0.1", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  CHECK(fixture.starts[2].second.ref.task == "j.0.1.0");
}

TEST_CASE("JobScheduler ResumesFromTheCheckpointWhenTheWorkerRestarts")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.agents["a"].running[0].checkpoint = "saved";
  fixture.Report("a");
  fixture.agents["a"].running.clear();
  fixture.agents["a"].worker.born = 2;
  fixture.Report("a");
  fixture.Advance(100 * kMs);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].second.ref == RunRef{ "j.0.0.0", 2 });
  CHECK(fixture.starts[1].second.checkpoint == "saved");
}

// Guards against two concurrent runs of a task while the lease of the first may still be valid.
TEST_CASE("JobScheduler ReplacesARunOnASilentWorkerOnlyAfterItsLeaseExpired")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnAgentDown("a", fixture.now);
  fixture.AddAgent("b");
  fixture.Advance(5000 * kMs);
  fixture.Report("b");
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  fixture.Advance(1000 * kMs);
  fixture.Report("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].first == "b");
}

TEST_CASE("JobScheduler RepeatsAStartThatWasLostWithTheConnection")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.agents["a"].running.clear();
  fixture.scheduler.OnAgentDown("a", fixture.now);
  fixture.agents["a"].lastOrders = 0;
  fixture.scheduler.OnAgentUp("a", fixture.now);
  fixture.Report("a");
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].second.ref == fixture.starts[0].second.ref);
}

TEST_CASE("JobScheduler StopsAllRunsAndStartsNoneAfterACancellation")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 1000);
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  fixture.RunUntilIdle();
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Stopped);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.StateOf("j") == JobState::Cancelled);
}

// Guards against ordering a start whose job was cancelled while the start was being stored.
TEST_CASE("JobScheduler DropsAStartWhenItsJobIsCancelledBeforeItIsStored")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.scheduler.Decide(fixture.now);
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  fixture.TakeOrders();
  CHECK(fixture.starts.empty());
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
}

// Guards against operators who cannot tell whether a cancellation reached the leader late or the
// runs ended late.
TEST_CASE("JobScheduler CountsHowLongACancellationTakes")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  fixture.scheduler.OnJobRow(
    "j.cancel", EncodeCancellation(fixture.now.unixMs - 1200), fixture.now);
  // A row of an earlier version has no time.
  fixture.scheduler.OnJobRow("k.cancel", "", fixture.now);
  fixture.RunUntilIdle();
  CHECK(fixture.counters.Get("cancellations_applied_total", "under_2000_ms") == 1);
  CHECK(fixture.counters.Get("cancellations_applied_total", "unknown") == 1);
  CHECK(fixture.counters.Total("cancellations_completed_total") == 0);
  fixture.Advance(700 * kMs);
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Stopped);
  fixture.RunUntilIdle();
  CHECK(fixture.counters.Get("cancellations_completed_total", "under_1000_ms") == 1);
  CHECK(fixture.LastLogged("cancelled_runs_remain").is_null());
  fixture.Advance(2000 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.LastLogged("cancelled_runs_remain")["job"] == "k");
  CHECK(fixture.LastLogged("cancelled_runs_remain")["workers"] == nlohmann::ordered_json{ "w-a" });
  fixture.Advance(2000 * kMs);
  fixture.End("a", { "k.0.0.0", 1 }, RunEnd::Stopped);
  fixture.RunUntilIdle();
  CHECK(fixture.counters.Get("cancellations_completed_total", "from_4000_ms") == 1);
  CHECK(fixture.LastLogged("cancelled_runs_ended")["since_ms"] == 4700);
}

// Guards against a job that runs although its caller has given it up: its submission had no answer
// and is stored after the cancellation.
TEST_CASE("JobScheduler StartsNothingOfAJobThatIsStoredAfterItsCancellation")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.rows[CancelRow("j")] = "";
  fixture.scheduler.OnJobRow(CancelRow("j").key, "", fixture.now);
  fixture.RunUntilIdle();
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Cancelled);
  CHECK(fixture.rows.at(StateRow("j")).starts_with("cancelled"));
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref.task == "k.0.0.0");
}

TEST_CASE("JobScheduler LimitsTheTasksOfAStepOnOneWorker")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  StepSpec step = MakeStep(5);
  step.maxPerWorker = 1;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[0].first != fixture.starts[1].first);
}

TEST_CASE("JobScheduler StartsNothingOnADrainingWorkerAndMovesResumableRuns")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.checkpointing = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  fixture.agents["a"].worker.draining = true;
  fixture.Report("a");
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.stops.size() == 1);
  fixture.AddAgent("b");
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Stopped, "saved");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  CHECK(fixture.starts[1].first == "b");
  CHECK(fixture.starts[2].first == "b");
}

TEST_CASE("JobScheduler StartsAnOccurrenceOnlyWhenItIsDue")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  JobRecord record = MakeJob("j", { MakeStep(1) });
  record.spec.repeats = 2;
  record.spec.initialDelayMs = fixture.now.unixMs + 1000;
  record.spec.intervalMs = 500;
  fixture.Submit(record);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  fixture.Advance(1100 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.Advance(500 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].second.ref.task == "j.1.0.0");
}

TEST_CASE("JobScheduler RestartsALongRunningTaskHoweverItEnds")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.longRunning = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  for (int round = 0; round < 5; ++round) {
    REQUIRE(fixture.starts.size() == static_cast<std::size_t>(round) + 1);
    fixture.End("a", fixture.starts.back().second.ref, RunEnd::Failed);
    fixture.Advance(6000 * kMs);
    fixture.Report("a");
    fixture.RunUntilIdle();
  }
  CHECK(fixture.StateOf("j") == JobState::Running);
}

// While the workers have no capacity for all queued tasks, jobs that can still meet their objective
// are placed first.
TEST_CASE("JobScheduler PlacesJobsThatCanMeetTheirObjectiveBeforeLateOnes")
{
  SchedulerFixture fixture;
  JobRecord late = MakeJob("a-late", { MakeStep(1) });
  late.submittedUnixMs = fixture.now.unixMs - 60'000;
  JobRecord early = MakeJob("b-early", { MakeStep(1) });
  early.submittedUnixMs = fixture.now.unixMs;
  fixture.Submit(late);
  fixture.Submit(early);
  fixture.AddAgent("a", 1000);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref.task == "b-early.0.0.0");
}

// Guards against repeating finished work: a run is considered lost when its lease expires, and its
// successful end is reported when the worker's agent reconnects.
TEST_CASE("JobScheduler AcceptsTheSuccessfulEndOfARunThatItConsideredLost")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnAgentDown("a", fixture.now);
  fixture.Advance(7000 * kMs);
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  fixture.scheduler.OnAgentUp("a", fixture.now);
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.TakeOrders();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Completed);
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 2 } });
  // The replacement may start until its worker reports that it is gone.
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.agents["b"].running.clear();
  fixture.Report("b");
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds == std::vector<std::uint64_t>{ 1 });
}

// Guards against serving runs that miss their target next to best-effort runs: a restarted agent
// does not know which runs serve users, and does not throttle best-effort runs for them.
TEST_CASE("JobScheduler DescribesRunsToAnAgentThatDidNotStartThem")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec serving = MakeStep(2);
  serving.longRunning = true;
  serving.image = "frail";
  serving.latencyTargetMs = 50;
  fixture.Submit(MakeJob("s", { serving }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  fixture.Report("a");
  fixture.agents["a"].undescribed = { fixture.starts[1].second.ref };
  fixture.Report("a");
  for (const auto& [agent, orders] : fixture.scheduler.TakeOrders()) {
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].ref == fixture.starts[1].second.ref);
    CHECK(orders.starts[0].latencyTargetMs == 50);
  }
  // A run that is being stopped is not described again.
  fixture.scheduler.OnJobRow("s.cancel", "", fixture.now);
  fixture.RunUntilIdle();
  fixture.Report("a");
  for (const auto& [agent, orders] : fixture.scheduler.TakeOrders()) {
    CHECK(orders.starts.empty());
  }
}

// Reports of a run whose progress changes by one percent every `aPercentInterval`. Returns after
// how much of `aTotal` the run was stopped.
Duration PlayProgress(std::int64_t aEstimateMs, Duration aPercentInterval, Duration aTotal)
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.estimateMs = aEstimateMs;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  Duration elapsed{};
  while (fixture.stops.empty() && elapsed < aTotal) {
    fixture.Advance(100 * kMs);
    elapsed += 100 * kMs;
    fixture.agents.at("a").running[0].percent = static_cast<int>(elapsed / aPercentInterval);
    fixture.Report("a");
    fixture.RunUntilIdle();
  }
  return elapsed;
}

// Guards against a step that ends late because one of its runs hangs.
TEST_CASE("JobScheduler StopsARunWithoutProgress")
{
  const Duration stoppedAfter = PlayProgress(3000, std::chrono::hours(1), std::chrono::seconds(10));
  INFO("stopped after " << ToMilliseconds(stoppedAfter) << " ms");
  CHECK(stoppedAfter >= 1500 * kMs);
  CHECK(stoppedAfter <= 2000 * kMs);
}

// Guards against stopping a healthy run again and again because one percent of it takes longer than
// a hang may last.
TEST_CASE("JobScheduler KeepsALongRunWhosePercentChangesRarely")
{
  const Duration total = std::chrono::seconds(60);
  CHECK(PlayProgress(400'000, std::chrono::seconds(4), total) == total);
}

// Guards against stopping what runs on a worker that was only silent: its first report after the
// gap may have been made before it.
TEST_CASE("JobScheduler KeepsARunWhenItsWorkerWasSilent")
{
  for (const int silentMs : { 500, 1000, 2000, 4000 }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    fixture.Submit(MakeJob("j", { MakeStep(1) }));
    fixture.RunUntilIdle();
    fixture.agents.at("a").running[0].percent = 10;
    fixture.Report("a");
    fixture.Advance(silentMs * kMs);
    fixture.RunUntilIdle();
    fixture.Report("a");
    fixture.RunUntilIdle();
    INFO("silent for " << silentMs << " ms");
    CHECK(fixture.stops.empty());
  }
}

// Returns how long a best-effort job waits on the only worker, of 8 cores, where it would disturb a
// serving run.
Duration PlayWaitBesideAServingRun(std::int64_t aServingMilliCores, bool aGang)
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec serving = MakeStep(1);
  serving.demand.milliCores = aServingMilliCores;
  serving.longRunning = true;
  serving.latencyTargetMs = 100;
  serving.image = "serving";
  fixture.Submit(MakeJob("s", { serving }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  StepSpec bestEffort = MakeStep(1);
  bestEffort.fillsUnused = true;
  bestEffort.image = "best-effort";
  bestEffort.gang = aGang;
  // A headroom of 1.1 is left, less than a best-effort run is expected to cost.
  fixture.agents.at("a").running[0].figure = 91;
  fixture.Report("a");
  fixture.Submit(MakeJob("b", { bestEffort }));
  Duration waited{};
  while (fixture.starts.size() == 1 && waited < std::chrono::seconds(20)) {
    fixture.Advance(100 * kMs);
    waited += 100 * kMs;
    fixture.Report("a");
    fixture.RunUntilIdle();
  }
  return waited;
}

// Guards against serving runs that miss their targets because jobs wait for a few seconds in a
// backlog, and against a job that waits indefinitely because it would disturb every worker.
TEST_CASE("JobScheduler DisturbsServingRunsOnlyForAJobThatWaitedLong")
{
  for (const bool gang : { false, true }) {
    const Duration waited = PlayWaitBesideAServingRun(6000, gang);
    INFO("gang " << gang << " waited " << ToMilliseconds(waited) << " ms");
    CHECK(waited > std::chrono::seconds(5));
    CHECK(waited < std::chrono::seconds(10));
  }
}

// Guards against a job that is without runs for 3 s while most cores are free. The rest of the time
// is for the reports of ends, the store and the start.
TEST_CASE("JobScheduler DisturbsServingRunsSoonerWhileMostCoresAreFree")
{
  for (const bool gang : { false, true }) {
    const Duration waited = PlayWaitBesideAServingRun(1000, gang);
    INFO("gang " << gang << " waited " << ToMilliseconds(waited) << " ms");
    CHECK(waited > std::chrono::seconds(1));
    CHECK(waited < std::chrono::seconds(2));
  }
}

// Guards against tasks that wait without a line that says why no worker takes them.
TEST_CASE("JobScheduler LogsWhyAStepWaits")
{
  SchedulerFixture fixture;
  fixture.AddAgent("full", 1000);
  fixture.AddAgent("draining");
  fixture.agents["draining"].worker.draining = true;
  fixture.Report("draining");
  fixture.AddAgent("silent");
  fixture.scheduler.OnAgentDown("silent", fixture.now);
  StepSpec step = MakeStep(2);
  step.longRunning = true;
  fixture.Submit(MakeJob("j", { step }));
  for (int round = 0; round < 5; ++round) {
    fixture.Report("full");
    fixture.Report("draining");
    fixture.RunUntilIdle();
    fixture.Advance(600 * kMs);
  }
  const nlohmann::ordered_json line = fixture.LastLogged("step_waiting");
  REQUIRE(line.is_object());
  CHECK(line.at("tasks") == 1);
  CHECK(line.at("waited_ms") >= 2000);
  const nlohmann::json expected{ { "capacity", 1 }, { "draining", 1 }, { "not_reporting", 1 } };
  CHECK(nlohmann::json(line.at("workers")) == expected);
}

// Guards against a service that does not run, while no line tells what the leader believes of it.
TEST_CASE("JobScheduler LogsALongRunningTaskWhoseRunIsNotConfirmed")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.longRunning = true;
  fixture.Submit(MakeJob("j", { step }));
  const auto pass = [&] {
    for (int round = 0; round < 4; ++round) {
      fixture.Advance(600 * kMs);
      fixture.RunUntilIdle();
    }
  };
  fixture.RunUntilIdle();
  fixture.Report("a");
  REQUIRE(fixture.LastLogged("run_unconfirmed").is_null());
  pass();
  CHECK(fixture.LastLogged("run_unconfirmed").is_null());
  pass();
  const nlohmann::ordered_json line = fixture.LastLogged("run_unconfirmed");
  REQUIRE(line.is_object());
  CHECK(line.at("task") == "j.0.0.0");
  CHECK(line.at("state") == "running");
  CHECK(line.at("unconfirmed_ms") >= 2000);
  CHECK(line.at("lease_ends_in_ms") > 0);
}

// Guards against a job that stands still without a line: its run was ordered and never confirmed.
TEST_CASE("JobScheduler LogsABatchTaskWhoseRunIsNotConfirmed")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(40) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 8);
  for (int round = 0; round < 6; ++round) {
    fixture.Advance(600 * kMs);
    fixture.RunUntilIdle();
  }
  const nlohmann::ordered_json line = fixture.LastLogged("run_unconfirmed");
  REQUIRE(line.is_object());
  CHECK(line.at("state") == "ordered");
  CHECK(line.at("unconfirmed_ms") >= 2000);
  CHECK(fixture.scheduler.UnconfirmedRuns() == 8);
}
