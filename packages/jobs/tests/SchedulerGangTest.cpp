#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

TEST_CASE("JobScheduler PlacesAGangOnlyWhenAllItsTasksFit")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 2000);
  StepSpec step = MakeStep(3);
  step.gang = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  fixture.AddAgent("b", 2000);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  CHECK(fixture.starts[0].second.ref.run == fixture.starts[2].second.ref.run);
  fixture.End(fixture.starts[0].first, fixture.starts[0].second.ref, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Completed);
}

// Guards against transactions without end, and a job that counts as running, while a gang waits.
TEST_CASE("JobScheduler StoresNothingForAGangThatDoesNotFit")
{
  for (const bool longRunning : { false, true }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a", 2000);
    StepSpec step = MakeStep(3);
    step.gang = true;
    step.longRunning = longRunning;
    fixture.Submit(MakeJob("j", { step }));
    fixture.scheduler.Decide(fixture.now);
    CHECK_FALSE(fixture.scheduler.HasChanges());
    CHECK(fixture.StateOf("j") == JobState::Queued);
    CHECK(fixture.scheduler.TakeStartDelays().empty());
    // Its trial leaves no reservation behind.
    fixture.Submit(MakeJob("k", { MakeStep(2) }));
    fixture.RunUntilIdle();
    CHECK(fixture.starts.size() == 2);
  }
}

namespace {

// A gang of two tasks on the workers of two agents.
struct PlacedGang
{
  SchedulerFixture fixture;
  std::pair<std::string, StartRun> first;
  std::pair<std::string, StartRun> second;

  explicit PlacedGang(bool aLongRunning)
  {
    this->fixture.AddAgent("a");
    this->fixture.AddAgent("b");
    StepSpec step = MakeStep(2);
    step.gang = true;
    step.maxPerWorker = 1;
    step.longRunning = aLongRunning;
    this->fixture.Submit(MakeJob("j", { step }));
    this->fixture.RunUntilIdle();
    REQUIRE(this->fixture.starts.size() == 2);
    this->first = this->fixture.starts[0];
    this->second = this->fixture.starts[1];
    this->fixture.starts.clear();
  }

  // Expects that the second run is stopped, and then that both tasks are started again together.
  void CheckRestart()
  {
    this->fixture.AddAgent("c");
    this->fixture.RunUntilIdle();
    CHECK(this->fixture.starts.empty());
    REQUIRE(this->fixture.stops == std::vector<RunRef>{ this->second.second.ref });
    this->fixture.End(this->second.first, this->second.second.ref, RunEnd::Stopped);
    this->fixture.Advance(50 * kMs);
    this->fixture.RunUntilIdle();
    REQUIRE(this->fixture.starts.size() == 2);
    CHECK(this->fixture.starts[0].second.ref.run == 2);
    CHECK(this->fixture.starts[1].second.ref.run == 2);
  }
};

} // namespace

// Guards against a gang that never runs again after one of its members has lost its worker.
TEST_CASE("JobScheduler RestartsAGangTogetherWhenAWorkerIsLost")
{
  for (const bool longRunning : { false, true }) {
    PlacedGang gang(longRunning);
    WorkerReport& report = gang.fixture.agents[gang.first.first];
    report.running.clear();
    report.allLost = true;
    gang.fixture.Report(gang.first.first);
    gang.CheckRestart();
  }
}

// Guards against a gang of which only some members run.
TEST_CASE("JobScheduler RestartsAGangTogetherWhenAStartIsRejected")
{
  PlacedGang gang(false);
  WorkerReport& report = gang.fixture.agents[gang.first.first];
  report.running.clear();
  report.rejected.push_back({ gang.first.second.ref, "full" });
  gang.fixture.Report(gang.first.first);
  report.rejected.clear();
  gang.CheckRestart();
}

// Guards against repeating a gang whose work is done.
TEST_CASE("JobScheduler CompletesAnIncompleteGangWhenTheRestEndsBeforeItIsStopped")
{
  PlacedGang gang(false);
  gang.fixture.End(gang.first.first, gang.first.second.ref, RunEnd::Broken);
  gang.fixture.RunUntilIdle();
  REQUIRE(gang.fixture.stops.size() == 1);
  gang.fixture.End(gang.second.first, gang.second.second.ref, RunEnd::Done);
  gang.fixture.RunUntilIdle();
  CHECK(gang.fixture.starts.empty());
  CHECK(gang.fixture.StateOf("j") == JobState::Completed);
}

// Guards against a gang that a new leader leaves incomplete.
TEST_CASE("JobScheduler StopsTheRestOfAGangWhenItTakesOver")
{
  PlacedGang gang(true);
  gang.fixture.End(gang.first.first, gang.first.second.ref, RunEnd::Failed);
  StoreBatch batch = gang.fixture.scheduler.TakeBatch(50);
  gang.fixture.Apply(batch);
  SchedulerFixture next(gang.fixture.rows);
  next.AddAgent(gang.second.first);
  next.agents[gang.second.first].running.push_back({ gang.second.second.ref, "", 10, 0 });
  next.Report(gang.second.first);
  next.RunUntilIdle();
  CHECK(next.stops == std::vector<RunRef>{ gang.second.second.ref });
}

// Guards against a periodic job that ends early, as each member counts as one more occurrence.
TEST_CASE("JobScheduler CountsAnOccurrenceOfAGangOnceWhenAllItsMembersAreDone")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(3);
  step.gang = true;
  JobRecord record = MakeJob("j", { step });
  record.spec.repeats = 4;
  record.spec.initialDelayMs = fixture.now.unixMs;
  record.spec.intervalMs = 5000;
  fixture.Submit(record);
  for (int occurrence = 0; occurrence < 4; ++occurrence) {
    INFO("occurrence " << occurrence);
    fixture.Advance(100 * kMs);
    fixture.RunUntilIdle();
    REQUIRE(fixture.starts.size() == 3);
    fixture.Report("a");
    CHECK(fixture.StateOf("j") == JobState::Running);
    for (const auto& [agent, start] : std::exchange(fixture.starts, {})) {
      fixture.End(agent, start.ref, RunEnd::Done);
    }
    fixture.RunUntilIdle();
    fixture.Advance(5000 * kMs);
  }
  CHECK(fixture.StateOf("j") == JobState::Completed);
}

// Guards against the same after a change of the leader, which stops the members that it loads with
// runs.
TEST_CASE("JobScheduler CountsAnOccurrenceOfAGangOnceWhenTheLeaderChanges")
{
  SchedulerFixture first;
  first.AddAgent("a");
  StepSpec step = MakeStep(3);
  step.gang = true;
  JobRecord record = MakeJob("j", { step });
  record.spec.repeats = 3;
  record.spec.initialDelayMs = first.now.unixMs - 100;
  record.spec.intervalMs = 5000;
  first.Submit(record);
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 3);
  first.End("a", first.starts[0].second.ref, RunEnd::Done);
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  second.lastEndNumber = first.lastEndNumber;
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.End("a", first.starts[1].second.ref, RunEnd::Done);
  second.End("a", first.starts[2].second.ref, RunEnd::Done);
  second.RunUntilIdle();
  CHECK(second.StateOf("j") == JobState::Running);
  CHECK(second.scheduler.Jobs().at("j").completedOccurrences == 1);
}
