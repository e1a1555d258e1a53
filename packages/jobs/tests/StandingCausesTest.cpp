// Jobs without a run at work while the service has room for them by what tasks at work request.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

StepSpec MakeBestEffortStep(std::uint32_t aCount, std::int64_t aMilliCores = 1000)
{
  StepSpec step = MakeStep(aCount);
  step.demand.milliCores = aMilliCores;
  step.fillsUnused = true;
  step.image = "best-effort";
  return step;
}

// Passes time in steps of 100 ms, in which all workers report and runs go on.
void Pass(SchedulerFixture& aFixture, Duration aTime)
{
  for (Duration passed{}; passed < aTime; passed += 100 * kMs) {
    aFixture.Advance(100 * kMs);
    for (auto& [agent, report] : aFixture.agents) {
      for (RunningRun& running : report.running) {
        running.percent = std::min(running.percent + 1, 99);
      }
      aFixture.Report(agent);
    }
    aFixture.RunUntilIdle();
  }
}

void Submit(SchedulerFixture& aFixture, const std::string& aJob, const StepSpec& aStep)
{
  aFixture.Submit(MakeJob(aJob, { aStep }));
  aFixture.RunUntilIdle();
}

// Returns how many runs of the job were started on the agent, or on any if it is empty.
std::ptrdiff_t StartsOf(const SchedulerFixture& aFixture,
                        const std::string& aJob,
                        const std::string& aAgent = "")
{
  return std::count_if(aFixture.starts.begin(), aFixture.starts.end(), [&](const auto& aStart) {
    return aStart.second.ref.task.starts_with(aJob + ".") &&
           (aAgent.empty() || aStart.first == aAgent);
  });
}

// Makes the agent refuse the starts that it was ordered.
void RefuseStarts(SchedulerFixture& aFixture, const std::string& aAgent)
{
  WorkerReport& report = aFixture.agents.at(aAgent);
  report.rejected.clear();
  for (const RunningRun& running : std::exchange(report.running, {})) {
    report.rejected.push_back({ running.ref, "refused" });
  }
}

} // namespace

// Guards against runs on workers that leave and so do not count, of which a service looks used.
TEST_CASE("JobScheduler PlacesAStandingJobWhenMostReservedCoresAreOnALeavingWorker")
{
  SchedulerFixture fixture;
  fixture.AddAgent("leaving");
  Submit(fixture, "ending", MakeStep(8));
  REQUIRE(StartsOf(fixture, "ending", "leaving") == 8);
  fixture.agents.at("leaving").worker.draining = true;
  fixture.Report("leaving");
  fixture.AddAgent("a");
  Submit(fixture, "reserved", MakeStep(2));
  Submit(fixture, "first", MakeBestEffortStep(40));
  REQUIRE(StartsOf(fixture, "reserved", "a") == 2);
  Submit(fixture, "late", MakeBestEffortStep(1));
  Pass(fixture, 2000 * kMs);
  CHECK(StartsOf(fixture, "late") == 1);
}

// Guards against a best-effort job that waits for cores, of which its runs reserve none.
TEST_CASE("JobScheduler PlacesAStandingJobWhenReservedCoresLeaveLessThanItRequests")
{
  for (const bool gang : { false, true }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    StepSpec reserved = MakeStep(1);
    reserved.demand.milliCores = 3500;
    Submit(fixture, "reserved", reserved);
    StepSpec step = MakeBestEffortStep(1, 5000);
    step.gang = gang;
    Submit(fixture, "late", step);
    Pass(fixture, 2000 * kMs);
    INFO("gang " << gang);
    CHECK(StartsOf(fixture, "late") == 1);
  }
}

// Guards against refused starts that count as the last run of a job, so that it never waits long
// enough to be placed beside serving runs.
TEST_CASE("JobScheduler PlacesAStandingJobBesideServingRunsWhenItsStartsAreRefused")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec serving = MakeStep(1);
  serving.longRunning = true;
  serving.latencyTargetMs = 100;
  serving.image = "serving";
  Submit(fixture, "serving", serving);
  // A headroom of 1.1 is left, less than a best-effort run is expected to cost.
  fixture.agents.at("a").running[0].figure = 91;
  fixture.Report("a");
  fixture.AddAgent("refusing");
  Submit(fixture, "late", MakeBestEffortStep(1));
  for (int round = 0; round < 10; ++round) {
    RefuseStarts(fixture, "refusing");
    Pass(fixture, 200 * kMs);
  }
  CHECK(StartsOf(fixture, "late", "a") == 1);
}

// Guards against a start that its worker does not answer for seconds, of which the job looks at
// work.
TEST_CASE("JobScheduler PlacesAnotherTaskOfAStandingJobWhenAStartIsNotCarriedOut")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Submit(fixture, "first", MakeBestEffortStep(40));
  REQUIRE(StartsOf(fixture, "first") == 8);
  fixture.AddAgent("silent", 1000);
  Submit(fixture, "late", MakeBestEffortStep(3));
  // A run of the first job, which is placed first, may take the worker.
  WorkerReport& report = fixture.agents.at("silent");
  REQUIRE(report.running.size() == 1);
  const RunRef ref = report.running[0].ref;
  if (!ref.task.starts_with("late.")) {
    fixture.End("silent", ref, RunEnd::Done);
    fixture.RunUntilIdle();
  }
  REQUIRE(StartsOf(fixture, "late", "silent") == 1);
  report.starting.push_back(report.running[0].ref);
  report.running.clear();
  Pass(fixture, 2200 * kMs);
  CHECK(StartsOf(fixture, "late", "a") == 1);
}

// Guards against a gang that is placed again and again on a worker that refuses its starts.
TEST_CASE("JobScheduler PlacesAGangElsewhereWhenAWorkerRefusesItsStarts")
{
  SchedulerFixture fixture;
  for (const char* agent : { "a", "b", "c" }) {
    fixture.AddAgent(agent, 1000);
  }
  StepSpec step = MakeStep(2);
  step.gang = true;
  Submit(fixture, "late", step);
  REQUIRE(StartsOf(fixture, "late", "a") == 1);
  for (int round = 0; round < 5; ++round) {
    RefuseStarts(fixture, "a");
    // Stops are carried out and reported after 400 ms, when the refusal does not count any more.
    const std::vector<RunRef> stops = std::exchange(fixture.stops, {});
    for (auto& [agent, report] : fixture.agents) {
      std::erase_if(report.running, [&](const RunningRun& aRun) {
        return std::find(stops.begin(), stops.end(), aRun.ref) != stops.end();
      });
    }
    Pass(fixture, 400 * kMs);
  }
  CHECK(fixture.agents.at("b").running.size() == 1);
  CHECK(fixture.agents.at("c").running.size() == 1);
}

// Guards against starts that are ordered of a process which has ended. Their refusals are not taken
// before a report lists what runs there.
TEST_CASE("JobScheduler PlacesAJobElsewhereWhenAWorkerHasRestarted")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Submit(fixture, "first", MakeStep(1));
  fixture.AddAgent("b", 2000);
  WorkerReport& report = fixture.agents.at("a");
  report.worker.born = 2;
  report.full = false;
  report.running.clear();
  fixture.Report("a");
  Submit(fixture, "late", MakeStep(1));
  CHECK(StartsOf(fixture, "late", "a") == 0);
  CHECK(StartsOf(fixture, "late", "b") == 1);
  report.full = true;
  fixture.Report("a");
  Submit(fixture, "later", MakeStep(1));
  CHECK(StartsOf(fixture, "later", "a") == 1);
}

// Guards against a gang that waits because a member that may use any worker takes the sound one,
// which another member needs for its last attempt.
TEST_CASE("JobScheduler PlacesAGangBesideAFailingWorkerWhenAMemberIsOnItsLastAttempt")
{
  SchedulerFixture fixture;
  fixture.AddAgent("failing", 3000);
  for (const char* job : { "x", "y", "z" }) {
    JobRecord record = MakeJob(job, { MakeStep(1) });
    record.policy.maxAttempts = 1;
    fixture.Submit(record);
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  for (const auto& [agent, start] : std::vector(fixture.starts)) {
    fixture.End(agent, start.ref, RunEnd::Failed);
  }
  fixture.AddAgent("sound", 3000);
  StepSpec step = MakeStep(2);
  step.demand.milliCores = 3000;
  step.gang = true;
  Submit(fixture, "late", step);
  Pass(fixture, 1200 * kMs);
  REQUIRE(StartsOf(fixture, "late") == 2);
  for (const auto& [agent, start] : std::vector(fixture.starts)) {
    if (start.ref.task == "late.0.0.1") {
      fixture.End(agent, start.ref, RunEnd::Failed);
    }
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.stops.size() == 1);
  for (auto& [agent, report] : fixture.agents) {
    report.running.clear();
  }
  Pass(fixture, 2000 * kMs);
  CHECK(StartsOf(fixture, "late") == 4);
}

// Guards against best-effort jobs without a run for 3 s because more of them stand than the rate of
// overcommitment carries from 1.5 s on. Listed in KNOWN-RED.txt.
TEST_CASE("JobScheduler PlacesAllStandingJobsWhenTheyAreMoreThanTheRateCarries", "[.]")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  Submit(fixture, "first", MakeBestEffortStep(40));
  REQUIRE(StartsOf(fixture, "first") == 16);
  fixture.starts.clear();
  for (int job = 0; job < 40; ++job) {
    Submit(fixture, "late" + std::to_string(job), MakeBestEffortStep(1));
  }
  Pass(fixture, 3000 * kMs);
  CHECK(fixture.starts.size() == 40);
}

// Guards against a job without a run for 3 s after the store takes its row again.
TEST_CASE("JobScheduler PlacesAJobWhenTheStoreTakesItsRowAgain")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("late", { MakeStep(1) }));
  for (Duration refused{}; refused < 10000 * kMs; refused += 100 * kMs) {
    fixture.scheduler.Decide(fixture.now);
    StoreBatch batch = fixture.scheduler.TakeBatch(50);
    if (!batch.empty()) {
      fixture.scheduler.OnRefused(std::move(batch), fixture.now);
    }
    fixture.Advance(100 * kMs);
    fixture.Report("a");
  }
  Pass(fixture, 3000 * kMs);
  CHECK(StartsOf(fixture, "late") == 1);
}

// Guards against tasks of a step with several rows that wait for longer than those of its first
// row.
TEST_CASE("JobScheduler PlacesAWideStepWhenTheStoreTakesItsRowsAgain")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 60000);
  fixture.Submit(MakeJob("late", { MakeStep(60) }));
  for (Duration refused{}; refused < 10000 * kMs; refused += 100 * kMs) {
    fixture.scheduler.Decide(fixture.now);
    StoreBatch batch = fixture.scheduler.TakeBatch(50);
    if (!batch.empty()) {
      fixture.scheduler.OnRefused(std::move(batch), fixture.now);
    }
    fixture.Advance(100 * kMs);
    fixture.Report("a");
  }
  CHECK(fixture.scheduler.WithheldRows() == 2);
  Pass(fixture, 3000 * kMs);
  CHECK(StartsOf(fixture, "late") == 60);
}

// Guards against a long-running task without a run for 9 s because another task of its job runs.
TEST_CASE("JobScheduler PlacesEachLongRunningBestEffortTaskWhenCoresAreInUse")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Submit(fixture, "first", MakeBestEffortStep(40));
  REQUIRE(StartsOf(fixture, "first") == 8);
  StepSpec step = MakeBestEffortStep(2);
  step.longRunning = true;
  Submit(fixture, "late", step);
  Pass(fixture, 9000 * kMs);
  CHECK(StartsOf(fixture, "late") == 2);
}

// Guards against a long-running task that waits for longer than others but is not tried, because
// a task with a lower index finds no worker.
TEST_CASE("JobScheduler PlacesALongRunningBestEffortTaskBehindOneThatHasEnded")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Submit(fixture, "first", MakeBestEffortStep(40));
  StepSpec step = MakeBestEffortStep(3);
  step.longRunning = true;
  Submit(fixture, "late", step);
  // The first task runs from 1.5 s and the second from 3 s on; the third stands from then on.
  Pass(fixture, 3100 * kMs);
  REQUIRE(StartsOf(fixture, "late") == 2);
  fixture.End("a", { "late.0.0.0", 1 }, RunEnd::Failed);
  Pass(fixture, 1000 * kMs);
  REQUIRE(StartsOf(fixture, "late") == 3);
  CHECK(fixture.starts.back().second.ref.task == "late.0.0.2");
  // The end of the first task is 2 s ago, so that it waits for unused cores.
  Pass(fixture, 1000 * kMs);
  CHECK(StartsOf(fixture, "late") == 3);
  Pass(fixture, 1500 * kMs);
  CHECK(StartsOf(fixture, "late") == 4);
}

// Guards against a long-running gang without runs because another step of its job runs.
TEST_CASE("JobScheduler PlacesALongRunningBestEffortGangWhileAnotherStepRuns")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Submit(fixture, "first", MakeBestEffortStep(40));
  StepSpec gang = MakeBestEffortStep(2);
  gang.longRunning = true;
  gang.gang = true;
  fixture.Submit(MakeJob("late", { MakeStep(1), gang }));
  fixture.RunUntilIdle();
  REQUIRE(StartsOf(fixture, "late") == 1);
  Pass(fixture, 6000 * kMs);
  CHECK(StartsOf(fixture, "late") == 3);
}

// Guards against many runs of a job that are ordered at once when a store answers again.
TEST_CASE("JobScheduler PlacesOneRunOfAStandingJobWhenTheStoreDoesNotAnswer")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  Submit(fixture, "first", MakeBestEffortStep(40));
  REQUIRE(fixture.starts.size() == 16);
  fixture.Submit(MakeJob("late", { MakeBestEffortStep(10) }));
  for (int pass = 0; pass < 60; ++pass) {
    fixture.Advance(100 * kMs);
    for (auto& [agent, report] : fixture.agents) {
      fixture.Report(agent);
    }
    fixture.scheduler.Decide(fixture.now);
  }
  std::size_t runs = 0;
  for (const Task& task : fixture.scheduler.Jobs().at("late").occurrences.at(0).steps[0].tasks) {
    runs += task.runs.size();
  }
  CHECK(runs == 1);
}

// Guards against a new leader that overloads the workers that report first, although the runs of
// the other ones go on.
TEST_CASE("JobScheduler CountsLoadedRunsAsAtWorkUntilTheirWorkerHasReported")
{
  SchedulerFixture earlier;
  earlier.AddAgent("a");
  JobRecord late = MakeJob("late", { MakeBestEffortStep(9) });
  late.policy.priority = 1;
  earlier.Submit(late);
  earlier.RunUntilIdle();
  REQUIRE(StartsOf(earlier, "late", "a") == 8);
  earlier.AddAgent("b", 1000);
  Submit(earlier, "first", MakeBestEffortStep(1));
  REQUIRE(StartsOf(earlier, "first", "b") == 1);
  SchedulerFixture fixture(earlier.rows);
  fixture.AddAgent("b", 1000);
  fixture.RunUntilIdle();
  Pass(fixture, 3000 * kMs);
  CHECK(StartsOf(fixture, "late") == 0);
}
