// Jobs whose tasks find room only on workers that are avoided.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Submits three jobs of one task each, which start on the only worker with room, and lets all fail.
void FailRunsOfThreeJobs(SchedulerFixture& aFixture, std::uint32_t aMaxAttempts)
{
  for (const char* job : { "first", "second", "third" }) {
    JobRecord record = MakeJob(job, { MakeStep(1) });
    record.policy.maxAttempts = aMaxAttempts;
    aFixture.Submit(record);
  }
  aFixture.RunUntilIdle();
  REQUIRE(aFixture.starts.size() == 3);
  for (const auto& [agent, start] : std::exchange(aFixture.starts, {})) {
    aFixture.End(agent, start.ref, RunEnd::Failed);
  }
}

// Passes time in steps of 100 ms, in which all workers report and runs go on.
void Pass(SchedulerFixture& aFixture, Duration aTime)
{
  for (Duration passed{}; passed < aTime; passed += 100 * kMs) {
    aFixture.Advance(100 * kMs);
    for (auto& [agent, report] : aFixture.agents) {
      for (RunningRun& running : report.running) {
        running.percent = std::min(running.percent + 10, 99);
      }
      aFixture.Report(agent);
    }
    aFixture.RunUntilIdle();
  }
}

// Returns how many runs were started on the agent.
std::ptrdiff_t StartsOn(const SchedulerFixture& aFixture, const std::string& aAgent)
{
  return std::count_if(aFixture.starts.begin(), aFixture.starts.end(), [&](const auto& aStart) {
    return aStart.first == aAgent;
  });
}

} // namespace

// Guards against an accepted job without a run for 3 s while only an avoided worker has room.
TEST_CASE("JobScheduler PlacesAJobThatHasWaitedOnAnAvoidedWorker")
{
  for (const bool gang : { false, true }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    FailRunsOfThreeJobs(fixture, 1);
    StepSpec step = MakeStep(1);
    step.gang = gang;
    fixture.Submit(MakeJob("j", { step }));
    fixture.RunUntilIdle();
    Pass(fixture, 800 * kMs);
    INFO("gang " << gang);
    CHECK(fixture.starts.empty());
    Pass(fixture, 700 * kMs);
    CHECK(fixture.starts.size() == 1);
    CHECK(fixture.counters.Get("runs_on_avoided_workers_total", "failing") == 1);
  }
}

// Guards against a wide job that moves to an avoided worker as a whole once it may use one.
TEST_CASE("JobScheduler PlacesOnlyOneTaskOfAWaitingJobOnAnAvoidedWorker")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  FailRunsOfThreeJobs(fixture, 1);
  fixture.Submit(MakeJob("j", { MakeStep(6) }));
  fixture.RunUntilIdle();
  Pass(fixture, 3000 * kMs);
  CHECK(fixture.starts.size() == 1);
}

// Guards against a worker that fails all it starts and is given all jobs that wait.
TEST_CASE("JobScheduler PlacesFewRunsOnAFailingWorkerWhileOthersAreFull")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  FailRunsOfThreeJobs(fixture, 1);
  fixture.AddFullAgent("full");
  for (int job = 0; job < 30; ++job) {
    fixture.Submit(MakeJob("j" + std::to_string(job), { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  Pass(fixture, 4000 * kMs);
  CHECK(StartsOn(fixture, "a") >= 3);
  CHECK(StartsOn(fixture, "a") <= 7);
}

// Guards against a job that fails for good on a failing worker while a sound one has no room yet.
TEST_CASE("JobScheduler KeepsTheLastAttemptOfATaskOffAFailingWorker")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  FailRunsOfThreeJobs(fixture, 1);
  fixture.AddFullAgent("full");
  JobRecord record = MakeJob("j", { MakeStep(1) });
  record.policy.maxAttempts = 1;
  fixture.Submit(record);
  fixture.RunUntilIdle();
  Pass(fixture, 4000 * kMs);
  CHECK(fixture.starts.empty());
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].first == "b");
}

// Guards against a task that waits for a worker that can never take it.
TEST_CASE("JobScheduler PlacesTheLastAttemptOfATaskOnTheOnlyWorkerThatCanTakeIt")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  FailRunsOfThreeJobs(fixture, 1);
  fixture.AddAgent("small", 500);
  JobRecord record = MakeJob("j", { MakeStep(1) });
  record.policy.maxAttempts = 1;
  fixture.Submit(record);
  fixture.RunUntilIdle();
  Pass(fixture, 2500 * kMs);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].first == "a");
}

// Guards against tasks of a step that wait behind one that is on its last attempt.
TEST_CASE("JobScheduler PlacesOtherTasksWhileOneWaitsForItsLastAttempt")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  for (const char* job : { "second", "third" }) {
    fixture.Submit(MakeJob(job, { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 4);
  fixture.AddFullAgent("full");
  // The first task of the wide job and both small jobs fail; its second one is lost.
  for (const std::size_t index : { 0U, 2U, 3U }) {
    fixture.End("a", fixture.starts[index].second.ref, RunEnd::Failed);
  }
  fixture.agents["a"].running.clear();
  fixture.Report("a");
  fixture.starts.clear();
  fixture.RunUntilIdle();
  Pass(fixture, 2500 * kMs);
  CHECK(std::any_of(fixture.starts.begin(), fixture.starts.end(), [](const auto& aStart) {
    return aStart.second.ref.task == "j.0.0.1";
  }));
  CHECK(std::none_of(fixture.starts.begin(), fixture.starts.end(), [](const auto& aStart) {
    return aStart.second.ref.task == "j.0.0.0";
  }));
}

// Guards against jobs that use up their attempts on workers that fail all runs, or stand still
// there.
TEST_CASE("JobScheduler AvoidsAllFailingWorkersAndGivesEachARunAtATime")
{
  SchedulerFixture fixture;
  for (const char* agent : { "a", "b", "c" }) {
    fixture.AddAgent(agent);
  }
  for (int job = 0; job < 9; ++job) {
    JobRecord record = MakeJob("fails-" + std::to_string(job), { MakeStep(1) });
    record.policy.maxAttempts = 1;
    fixture.Submit(record);
    fixture.RunUntilIdle();
  }
  REQUIRE(fixture.starts.size() == 9);
  for (const auto& [agent, start] : std::exchange(fixture.starts, {})) {
    fixture.End(agent, start.ref, RunEnd::Failed);
  }
  CHECK(fixture.counters.Get("workers_avoided_total", "failing") == 3);
  CHECK(fixture.scheduler.AvoidedWorkers(fixture.now) == 3);
  for (int job = 0; job < 6; ++job) {
    fixture.Submit(MakeJob("waits-" + std::to_string(job), { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  Pass(fixture, 1300 * kMs);
  CHECK(fixture.starts.size() == 3);
  Pass(fixture, 700 * kMs);
  CHECK(fixture.starts.size() == 6);
}

// Guards against tasks that wait behind one of their step that is started later after a rejection.
TEST_CASE("JobScheduler PlacesOtherTasksWhileOneIsDelayed")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 1000);
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  fixture.agents["a"].rejected = { { fixture.starts[0].second.ref, "room" } };
  fixture.AddAgent("b", 1000);
  fixture.starts.clear();
  fixture.Report("a");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref.task == "j.0.0.1");
}

// Guards against a job that counts as active because a worker refuses one start after the other.
TEST_CASE("JobScheduler PlacesAJobOnAnAvoidedWorkerWhileAnotherRefusesItsStarts")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  FailRunsOfThreeJobs(fixture, 1);
  fixture.AddAgent("refuses");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  WorkerReport& refusing = fixture.agents["refuses"];
  for (int round = 0; round < 25 && StartsOn(fixture, "a") == 0; ++round) {
    refusing.rejected.clear();
    for (const RunningRun& running : std::exchange(refusing.running, {})) {
      refusing.rejected.push_back({ running.ref, "room" });
    }
    Pass(fixture, 100 * kMs);
  }
  INFO("starts refused: " << fixture.counters.Get("starts_rejected_total", "room"));
  CHECK(StartsOn(fixture, "refuses") >= 2);
  CHECK(StartsOn(fixture, "a") == 1);
}
