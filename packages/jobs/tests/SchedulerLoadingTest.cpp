#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

// Guards against a second run of a task by a new leader that does not know of the first.
TEST_CASE("JobScheduler RestoresRunningTasksFromTheStoreWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2), MakeStep(1, { 0 }) }));
  first.Settle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  first.Settle();

  SchedulerFixture second(first.rows);
  second.AddAgent("b");
  second.Settle();
  CHECK(second.starts.empty());
  // The agent reports the run: no new run is started, and its end completes the step.
  second.agents["a"] = first.agents["a"];
  second.lastEnd = first.lastEnd;
  second.Report("a");
  second.Settle();
  CHECK(second.starts.empty());
  second.End("a", { "j.0.0.1", 1 }, RunEnd::Done);
  second.Settle();
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].second.ref.task == "j.0.1.0");
}

// Guards against a slow take-over, during which nothing is placed: most stored jobs have ended.
TEST_CASE("JobScheduler LoadsAnEndedJobWithoutDecodingItsRecord")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.Settle();
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  first.Settle();
  first.rows[JobRow("j")] = "not a record";
  SchedulerFixture second(first.rows);
  second.AddAgent("a");
  second.Settle();
  CHECK(second.starts.empty());
  CHECK(second.StateOf("j") == JobState::Completed);
  second.Advance(std::chrono::seconds(300));
  second.Settle();
  second.Advance(std::chrono::seconds(11));
  second.Settle();
  CHECK(second.rows.empty());
}

// Guards against stops without a fencing token, which agents ignore: the cancellation is loaded
// before the new leader's epoch is set.
TEST_CASE("JobScheduler StopsRunsOfAJobThatWasCancelledBeforeTheTakeOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.Settle();
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

// Guards against a cancelled job that a new leader removes immediately, so that its caller is told
// that it does not exist: the state stored before the cancellation has no end time.
TEST_CASE("JobScheduler KeepsAJobThatWasCancelledBeforeTheTakeOver")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.Settle();

  first.rows[CancelRow("j")] = "";
  SchedulerFixture second(first.rows);
  second.AddAgent("a");
  second.Settle();
  CHECK(second.rows.contains(JobRow("j")));
  CHECK(second.rows.at(StateRow("j")).starts_with("cancelled"));
}

// Guards against a new leader that starts without weights and lets serving runs miss their targets
// until it has learned them.
TEST_CASE("JobScheduler StoresTheInterferenceWeightsForTheNextLeader")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec serving = MakeStep(1);
  serving.longRunning = true;
  serving.image = "frail";
  serving.latencyTargetMs = 50;
  StepSpec filling = MakeStep(1);
  filling.fillsUnused = true;
  filling.image = "heavy";
  fixture.Submit(MakeJob("s", { serving }));
  fixture.Submit(MakeJob("f", { filling }));
  fixture.Settle();
  for (RunningRun& run : fixture.agents["a"].running) {
    run.figure = run.ref.task.starts_with("s") ? 40 : 1000;
  }
  fixture.Report("a");
  fixture.Advance(std::chrono::seconds(3));
  fixture.Settle();
  REQUIRE(fixture.rows.contains(LearnedRow()));
  InterferenceModel learned;
  CHECK(learned.Restore(fixture.rows.at(LearnedRow())));
  SchedulerFixture next(fixture.rows);
  CHECK(next.counters.Get("rows_unreadable_total", "learned") == 0);
}
