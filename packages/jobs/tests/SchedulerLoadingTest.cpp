#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

// Guards against a new leader that starts a second run of a task because it does not know of the
// first.
TEST_CASE("JobScheduler RestoresRunningTasksFromTheStoreWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2), MakeStep(1, { 0 }) }));
  first.RunUntilIdle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  first.RunUntilIdle();

  SchedulerFixture second(first.rows);
  second.AddAgent("b");
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  // The agent reports the run: no new run is started, and its end completes the step.
  second.agents["a"] = first.agents["a"];
  second.lastEndNumber = first.lastEndNumber;
  second.Report("a");
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  second.End("a", { "j.0.0.1", 1 }, RunEnd::Done);
  second.RunUntilIdle();
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].second.ref.task == "j.0.1.0");
}

// Guards against waiting for the leases of a worker of which its agent knows that it has ended.
TEST_CASE("JobScheduler ReplacesRunsAtOnceWhenTheAgentFindsNoWorker")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.AddAgent("b");
  second.RunUntilIdle();
  REQUIRE(second.starts.empty());
  second.scheduler.OnAgentUp("a", second.now);
  second.agents["a"].allLost = true;
  second.Report("a");
  second.Advance(100 * kMs);
  second.RunUntilIdle();
  CHECK(second.starts.size() == 2);
}

// Guards against tasks that are down for longer than callers accept: 10 s without a disruption.
TEST_CASE("JobScheduler ReplacesRunsWithinElevenSecondsWhenTheirAgentIsLostWithTheLeader")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  for (int elapsedMs = 0; elapsedMs <= 11'000; elapsedMs += 500) {
    second.AddAgent("b");
    second.RunUntilIdle();
    second.Advance(500 * kMs);
  }
  CHECK(second.starts.size() == 2);
}

// Guards against waiting for the leases of an incarnation that ended before the leader changed.
TEST_CASE("JobScheduler ReplacesTheRunsOfAllEarlierIncarnationsWhenAWorkerReports")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  const std::string storedBefore = first.rows.at(ProgressRow("j", 0, 0));
  first.agents["a"].worker.born = 2;
  first.agents["a"].running.clear();
  first.Report("a");
  first.Submit(MakeJob("k", { MakeStep(1) }));
  first.RunUntilIdle();
  // The leader has stored the run on the new incarnation, but not the loss on the earlier one.
  first.rows[ProgressRow("j", 0, 0)] = storedBefore;
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  std::erase_if(second.agents["a"].running,
                [](const RunningRun& aRun) { return aRun.ref.task == "j.0.0.0"; });
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.RunUntilIdle();
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].second.ref.task == "j.0.0.0");
}

// Guards against a cancelled run that a restarted worker begins by a delayed start.
TEST_CASE("JobScheduler SendsAStopThatWasQueuedForTheEarlierIncarnation")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.scheduler.OnJobRow("j.cancel", "", fixture.now);
  fixture.scheduler.Decide(fixture.now);
  fixture.agents["a"].worker.born = 2;
  fixture.agents["a"].running.clear();
  fixture.End("a", { "unknown.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds.size() == 1);
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
}

// Guards against a job that never ends: the state row may be stored later than the last progress.
TEST_CASE("JobScheduler EndsAJobWhoseTasksAreAllDoneWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  first.Report("a");
  first.RunUntilIdle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  REQUIRE(first.StateOf("j") == JobState::Completed);
  const StoreBatch batch = first.scheduler.TakeBatch(1);
  REQUIRE(batch.changes.size() == 1);
  REQUIRE(batch.changes[0].row == ProgressRow("j", 0, 0));
  first.Apply(batch);
  SchedulerFixture second(first.rows);
  second.AddAgent("a");
  second.RunUntilIdle();
  CHECK(second.StateOf("j") == JobState::Completed);
}

// Guards against a run that counts as running although its worker does not list it any more.
TEST_CASE("JobScheduler ReplacesARunThatVanishesAfterItsAgentHasReconnected")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.Report("a");
  fixture.scheduler.OnAgentDown("a", fixture.now);
  fixture.scheduler.OnAgentUp("a", fixture.now);
  // An agent that follows a leader again has received no orders on the new connection.
  fixture.agents["a"].lastOrders = 0;
  fixture.Report("a");
  fixture.RunUntilIdle();
  fixture.agents["a"].running.clear();
  fixture.Report("a");
  fixture.Advance(50 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 2);
}

// Guards against a second run of a task that was done before its worker restarted.
TEST_CASE("JobScheduler DoesNotRepeatATaskWhenANewIncarnationReportsItsEnd")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  second.agents["a"].worker.born = 2;
  second.scheduler.OnAgentUp("a", second.now);
  second.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  CHECK(second.StateOf("j") == JobState::Completed);
  CHECK(second.acknowledgedEnds == std::vector<std::uint64_t>{ 1 });
}

// Guards against a second run of a task: a leader extends leases while it loads the rows, which may
// take longer than an earlier leader without the store would have extended them.
TEST_CASE("JobScheduler WaitsForLeasesThatItExtendedWhileItLoaded")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  SchedulerFixture second(first.rows, std::chrono::seconds(20));
  second.AddAgent("b");
  second.Advance(std::chrono::milliseconds(5000));
  second.Report("b");
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  second.Advance(std::chrono::milliseconds(1000));
  second.Report("b");
  second.RunUntilIdle();
  CHECK(second.starts.size() == 1);
}

// Guards against a start of a task that is done: the end of a member of a gang ends the others, and
// the leadership changes before the last of them is stopped.
TEST_CASE("JobScheduler StopsRunsOfDoneTasksWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a", 1000);
  first.AddAgent("b", 1000);
  StepSpec gang = MakeStep(2);
  gang.gang = true;
  first.Submit(MakeJob("j", { gang, MakeStep(1, { 0 }) }));
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 2);
  const auto [agent, ended] = first.starts[0];
  const auto [otherAgent, other] = first.starts[1];
  first.End(agent, ended.ref, RunEnd::Done);
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.AddAgent(otherAgent, 1000);
  second.agents[otherAgent].starting = { other.ref };
  second.Report(otherAgent);
  second.TakeOrders();
  CHECK(second.starts.empty());
  // The order is repeated, as it may be lost.
  CHECK(std::set<RunRef>(second.stops.begin(), second.stops.end()) == std::set{ other.ref });
}

// Guards against a slow take-over, during which no tasks are placed. Most stored jobs have ended,
// so their records are not decoded.
TEST_CASE("JobScheduler LoadsAnEndedJobWithoutDecodingItsRecord")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  first.RunUntilIdle();
  first.rows[JobRow("j")] = "not a record";
  SchedulerFixture second(first.rows);
  second.AddAgent("a");
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  CHECK(second.StateOf("j") == JobState::Completed);
  second.Advance(std::chrono::seconds(300));
  second.RunUntilIdle();
  second.Advance(std::chrono::seconds(11));
  second.RunUntilIdle();
  CHECK(second.rows.empty());
}

// Guards against stops without a fencing token, which agents ignore: the cancellation is loaded
// before the new leader's epoch is set.
TEST_CASE("JobScheduler StopsRunsOfAJobThatWasCancelledBeforeTheTakeOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.RunUntilIdle();
  first.rows[CancelRow("j")] = "";
  SchedulerFixture second(first.rows);
  second.agents["a"] = first.agents["a"];
  second.Report("a");
  for (const auto& [agent, orders] : second.scheduler.TakeOrders()) {
    CHECK(orders.epoch == Epoch{ 2 });
    second.stops.insert(second.stops.end(), orders.stops.begin(), orders.stops.end());
  }
  CHECK(second.stops.size() >= 2);
  CHECK(second.starts.empty());
}

// Guards against a job that runs because the leader that read its cancellation was replaced before
// the job was stored.
TEST_CASE("JobScheduler StartsNothingOfAJobThatIsStoredAfterItsCancellationWasLoaded")
{
  SchedulerFixture fixture({ { CancelRow("j"), "" } });
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  CHECK(fixture.StateOf("j") == JobState::Cancelled);
}

// Guards against a new leader that removes a cancelled job immediately, because the state stored
// before the cancellation has no end time. The caller would be told that the job does not exist.
TEST_CASE("JobScheduler KeepsAJobThatWasCancelledBeforeTheTakeOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();

  first.rows[CancelRow("j")] = "";
  SchedulerFixture second(first.rows);
  second.AddAgent("a");
  second.RunUntilIdle();
  CHECK(second.rows.contains(JobRow("j")));
  CHECK(second.rows.at(StateRow("j")).starts_with("cancelled"));
}

// Guards against a new leader that starts without weights and lets serving runs miss their targets
// until it has estimated them.
TEST_CASE("JobScheduler StoresTheInterferenceWeightsForTheNextLeader")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec serving = MakeStep(1);
  serving.longRunning = true;
  serving.image = "frail";
  serving.latencyTargetMs = 50;
  StepSpec bestEffort = MakeStep(1);
  bestEffort.fillsUnused = true;
  bestEffort.image = "heavy";
  fixture.Submit(MakeJob("s", { serving }));
  fixture.Submit(MakeJob("f", { bestEffort }));
  fixture.RunUntilIdle();
  for (RunningRun& run : fixture.agents["a"].running) {
    run.figure = run.ref.task.starts_with("s") ? 40 : 1000;
  }
  fixture.Report("a");
  fixture.Advance(std::chrono::seconds(3));
  fixture.RunUntilIdle();
  REQUIRE(fixture.rows.contains(InterferenceWeightsRow()));
  InterferenceModel learned;
  CHECK(learned.Restore(fixture.rows.at(InterferenceWeightsRow())));
  SchedulerFixture next(fixture.rows);
  CHECK(next.counters.Get("rows_unreadable_total", "learned") == 0);
}

// Guards against work that is repeated because a loss of power ends all workers and the leader at
// once, and the checkpoints were known to that leader only.
TEST_CASE("JobScheduler ResumesFromACheckpointThatWasReportedBeforeAllMachinesFailed")
{
  SchedulerFixture first;
  first.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.checkpointing = true;
  first.Submit(MakeJob("j", { step }));
  first.RunUntilIdle();
  first.Advance(std::chrono::seconds(1));
  first.agents["a"].running[0].checkpoint = "saved";
  first.Report("a");
  first.RunUntilIdle();

  SchedulerFixture second(first.rows);
  WorkerReport& restarted = second.agents["a"];
  restarted = first.agents["a"];
  restarted.worker.born = 2;
  restarted.running.clear();
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.RunUntilIdle();
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].second.ref.run == 2);
  CHECK(second.starts[0].second.checkpoint == "saved");
}

// Guards against a leader that writes a step for each of its tasks' checkpoints, of which a large
// cluster reports thousands a second.
TEST_CASE("JobScheduler StoresTheCheckpointsOfAStepTogether")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(4);
  step.checkpointing = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  int writes = 0;
  for (int round = 0; round < 40; ++round) {
    fixture.Advance(100 * kMs);
    RunningRun& running = fixture.agents["a"].running[round % 4];
    running.checkpoint = std::to_string(round);
    ++running.percent;
    fixture.Report("a");
    writes += fixture.scheduler.HasChanges() ? 1 : 0;
    fixture.RunUntilIdle();
  }
  CHECK(writes >= 3);
  CHECK(writes <= 5);
}

// Guards against a progress row of another writer that ends each leader, or that the leader takes
// for occurrences that the job does not have.
TEST_CASE("JobScheduler KeepsAJobWhoseProgressRowIsMalformed")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  const auto progress = [](const nlohmann::json& aValue) {
    std::string bytes;
    nlohmann::json::to_msgpack(aValue, bytes);
    return bytes;
  };
  for (const std::string& value :
       { std::string(1'000'000, '\x91'),
         std::string("x"),
         progress({ { false, -1, 0, "", nlohmann::json::array() } }),
         progress({ { false, 1e300, 0, "", nlohmann::json::array() } }),
         progress({ { false, 1, 1e300, "", nlohmann::json::array() } }),
         progress({ { false, std::uint64_t{ 0 } - 1, 0, "", nlohmann::json::array() } }) }) {
    auto rows = first.rows;
    rows[ProgressRow("j", 0, 0)] = value;
    rows[ProgressRow("j", 4'000'000'000, 0)] = value;
    rows[ProgressRow("j", 0, 4'000'000'000)] = value;
    SchedulerFixture second(rows);
    INFO("value of " << value.size() << " bytes");
    CHECK(second.counters.Get("rows_unreadable_total", "progress") == 3);
    second.AddAgent("a");
    second.RunUntilIdle();
    CHECK(second.scheduler.Jobs().size() == 1);
    CHECK(second.starts.size() == 1);
  }
}

// Guards against a leader that waits for the leases of a worker without a line that says so.
TEST_CASE("JobScheduler LogsTheWorkersThatHaveNotReportedAfterATakeOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.AddAgent("b");
  first.Submit(MakeJob("j", { MakeStep(8) }));
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  CHECK(second.scheduler.AwaitedWorkers() == 1);
  second.Advance(1600 * kMs);
  second.RunUntilIdle();
  const nlohmann::ordered_json line = second.LastLogged("workers_awaited");
  REQUIRE(line.is_object());
  CHECK(line.at("workers") == 1);
  CHECK(line.at("runs") == 4);
  CHECK(line.at("first") == std::vector<std::string>{ "w-b" });
  CHECK(line.at("lease_ends_in_ms") > 0);
}

// Guards against a failed job whose task runs beyond its attempts: the progress with the last
// failure is stored, the state is not.
TEST_CASE("JobScheduler FailsAJobWithoutFurtherAttemptsWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.RunUntilIdle();
  first.Report("a");
  first.RunUntilIdle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Failed);
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 3);
  first.Report("a");
  first.RunUntilIdle();
  first.End("a", { "j.0.0.0", 2 }, RunEnd::Failed);
  REQUIRE(first.StateOf("j") == JobState::Failed);
  const StoreBatch batch = first.scheduler.TakeBatch(1);
  REQUIRE(batch.changes.size() == 1);
  REQUIRE(batch.changes[0].row == ProgressRow("j", 0, 0));
  first.Apply(batch);
  REQUIRE(first.rows.at(StateRow("j")).starts_with("running"));

  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  CHECK(second.StateOf("j") == JobState::Failed);
  CHECK(second.rows.at(StateRow("j")).starts_with("failed"));
  CHECK(std::count(second.stops.begin(), second.stops.end(), RunRef{ "j.0.0.1", 1 }) > 0);
}

// Guards against an ended job that runs again: the earlier leader has removed the job's row, and a
// read from before the removal delivers it late.
TEST_CASE("JobScheduler StartsNothingOfAJobWhoseStateIsStoredWithoutItsRow")
{
  SchedulerFixture fixture({ { StateRow("j"), "completed 0 queue" } });
  fixture.AddAgent("a");
  fixture.RunUntilIdle();
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  CHECK(fixture.rows.at(StateRow("j")) == "completed 0 queue");
}

// Guards against a cancelled job that goes on because its row was read after its state.
TEST_CASE("JobScheduler KeepsAJobCancelledWhenItsRowIsReadAfterItsState")
{
  SchedulerFixture fixture({ { StateRow("j"), "running 0 queue" }, { CancelRow("j"), "" } });
  fixture.AddAgent("a");
  fixture.RunUntilIdle();
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  CHECK(fixture.StateOf("j") == JobState::Cancelled);
  CHECK(fixture.rows.at(StateRow("j")).starts_with("cancelled"));
}

// Guards against a job that counts in `pending` although a task has ended: the progress is stored,
// the state is not.
TEST_CASE("JobScheduler TakesAJobForStartedWhenItsStoredProgressHasAnEnd")
{
  for (const RunEnd end : { RunEnd::Done, RunEnd::Failed }) {
    SchedulerFixture first;
    first.AddAgent("a");
    first.Submit(MakeJob("j", { MakeStep(1), MakeStep(1, { 0 }) }));
    first.RunUntilIdle();
    first.rows[WaitingRow("queue", "j")] = "";
    first.End("a", { "j.0.0.0", 1 }, end);
    for (const RowChange& change : first.scheduler.TakeBatch(50).changes) {
      if (change.row.table == kProgressTable) {
        first.rows[change.row] = change.value;
      }
    }
    REQUIRE_FALSE(first.rows.contains(StateRow("j")));

    // No worker has room for another run.
    SchedulerFixture second(first.rows);
    second.RunUntilIdle();
    CHECK(second.StateOf("j") == JobState::Running);
    CHECK(second.rows.contains(StateRow("j")));
    CHECK_FALSE(second.rows.contains(WaitingRow("queue", "j")));
  }
}
