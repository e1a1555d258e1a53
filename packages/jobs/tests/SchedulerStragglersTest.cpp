#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Lets the time of a speed measurement pass and reports progress: in each report `aSlowPercent` for
// runs on `aSlowAgent`, and `aFastPercent` for all others.
void ReportProgress(SchedulerFixture& aFixture,
                    const std::string& aSlowAgent,
                    int aSlowPercent,
                    int aFastPercent)
{
  for (int round = 0; round < 3; ++round) {
    aFixture.Advance(300 * kMs);
    for (auto& [agent, report] : aFixture.agents) {
      for (RunningRun& running : report.running) {
        running.percent += agent == aSlowAgent ? aSlowPercent : aFastPercent;
      }
      aFixture.Report(agent);
    }
    aFixture.RunUntilIdle();
  }
}

void StartOnEachWorker(SchedulerFixture& aFixture, const std::string& aJob)
{
  StepSpec step = MakeStep(3);
  step.maxPerWorker = 1;
  aFixture.Submit(MakeJob(aJob, { step }));
  aFixture.RunUntilIdle();
}

void AddAgents(SchedulerFixture& aFixture)
{
  for (const char* agent : { "fast-1", "fast-2", "slow" }) {
    aFixture.AddAgent(agent);
  }
}

} // namespace

// Guards against a job that waits for a single task on a slow worker.
TEST_CASE("JobScheduler StopsARunThatIsMuchSlowerThanThoseOfItsStepElsewhere")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  StartOnEachWorker(fixture, "j");
  ReportProgress(fixture, "slow", 2, 15);
  REQUIRE(fixture.stops.size() == 1);
  const RunRef stopped = fixture.stops[0];
  fixture.End("fast-1", fixture.agents["fast-1"].running[0].ref, RunEnd::Done);
  fixture.End("slow", stopped, RunEnd::Stopped);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 4);
  CHECK(fixture.starts[3].first == "fast-1");
  CHECK(fixture.starts[3].second.ref.task == stopped.task);
}

// Guards against tasks that are begun again and again because their estimate is too short.
TEST_CASE("JobScheduler KeepsRunsThatAreAllSlowerThanTheirEstimate")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  StartOnEachWorker(fixture, "j");
  ReportProgress(fixture, "slow", 2, 3);
  ReportProgress(fixture, "slow", 2, 3);
  CHECK(fixture.stops.empty());
}

// Guards against a task that never ends because every worker seems slow for it.
TEST_CASE("JobScheduler MovesASlowTaskOnlyOnce")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  StartOnEachWorker(fixture, "j");
  ReportProgress(fixture, "slow", 2, 15);
  REQUIRE(fixture.stops.size() == 1);
  fixture.End("fast-1", fixture.agents["fast-1"].running[0].ref, RunEnd::Done);
  fixture.End("slow", fixture.stops[0], RunEnd::Stopped);
  fixture.RunUntilIdle();
  REQUIRE(fixture.agents["fast-1"].running.size() == 1);
  ReportProgress(fixture, "fast-1", 2, 15);
  ReportProgress(fixture, "fast-1", 2, 15);
  CHECK(fixture.stops.size() == 1);
}

// Guards against a run that is stopped although nothing but its estimate says that it is slow.
TEST_CASE("JobScheduler KeepsASlowRunThatCannotBeComparedWithOthers")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  ReportProgress(fixture, "slow", 2, 2);
  ReportProgress(fixture, "slow", 2, 2);
  CHECK(fixture.stops.empty());
}

// Guards against jobs that are placed on a slow worker one after the other.
TEST_CASE("JobScheduler AvoidsAWorkerOnWhichRunsOfTwoJobsAreSlow")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  StartOnEachWorker(fixture, "j1");
  StartOnEachWorker(fixture, "j2");
  ReportProgress(fixture, "slow", 2, 15);
  CHECK(fixture.counters.Get("workers_avoided_total", "slow") == 1);
  const std::size_t started = fixture.starts.size();
  fixture.Submit(MakeJob("j3", { MakeStep(6) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == started + 6);
  for (std::size_t index = started; index < fixture.starts.size(); ++index) {
    CHECK(fixture.starts[index].first != "slow");
  }
}

// Guards against best-effort runs that are moved because they are paced for serving runs.
TEST_CASE("JobScheduler KeepsASlowBestEffortRunOnAWorkerThatIsNotKnownToBeSlow")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  StepSpec step = MakeStep(3);
  step.maxPerWorker = 1;
  step.fillsUnused = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  ReportProgress(fixture, "slow", 2, 15);
  CHECK(fixture.stops.empty());
}

// Guards against workers that get no runs while neither a line nor a counter tells why.
TEST_CASE("JobScheduler LogsThatAWorkerIsAvoidedForAStalledRun")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  const std::string agent = fixture.starts[0].first;
  for (int round = 0; round < 2; ++round) {
    ReportProgress(fixture, agent, 0, 0);
  }
  CHECK(fixture.counters.Get("workers_avoided_total", "stalled") == 1);
  CHECK(fixture.scheduler.AvoidedWorkers(fixture.now) == 1);
  const nlohmann::ordered_json line = fixture.LastLogged("worker_avoided");
  REQUIRE(line.is_object());
  CHECK(line.at("worker") == "w-" + agent);
  CHECK(line.at("reason") == "stalled");
  CHECK(line.at("avoided") == 1);
  CHECK(line.at("usable") == 3);
}

// Guards against jobs that wait beside free cores because most workers are avoided.
TEST_CASE("JobScheduler AvoidsAtMostHalfOfTheWorkersOfAService")
{
  SchedulerFixture fixture;
  const std::vector<std::string> agents{ "a", "b", "c", "d", "e" };
  for (const std::string& agent : agents) {
    fixture.AddAgent(agent, 1000);
  }
  // Single runs of five jobs stall one after the other, each on a worker of its own.
  for (std::size_t index = 0; index < agents.size(); ++index) {
    fixture.Submit(MakeJob("j" + std::to_string(index), { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 5);
  ReportProgress(fixture, "none", 0, 0);
  ReportProgress(fixture, "none", 0, 0);
  CHECK(fixture.scheduler.AvoidedWorkers(fixture.now) == 2);
  CHECK(fixture.counters.Get("workers_avoided_total", "stalled") == 2);
  CHECK(fixture.counters.Get("avoidances_skipped_total", "limit") == 3);
}

// Guards against a worker that is left out although runs are as slow on all others.
TEST_CASE("JobScheduler AvoidsNoWorkerWhileRunsAreSlowOnMostWorkers")
{
  SchedulerFixture fixture;
  AddAgents(fixture);
  for (int job = 0; job < 12; ++job) {
    fixture.Submit(MakeJob("j" + std::to_string(job), { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 12);
  for (int round = 0; round < 4; ++round) {
    ReportProgress(fixture, "none", 0, 2);
  }
  CHECK(fixture.scheduler.AvoidedWorkers(fixture.now) == 0);
  CHECK(fixture.counters.Get("workers_avoided_total", "slow") <= 1);
}

// Guards against a worker that is avoided for as long as runs with wrong estimates are at work.
TEST_CASE("JobScheduler AvoidsASlowWorkerOnlyForAWhileInARow")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec step = MakeStep(1);
  step.estimateMs = 5000;
  fixture.Submit(MakeJob("j1", { step }));
  fixture.Submit(MakeJob("j2", { step }));
  fixture.RunUntilIdle();
  // Each round takes 900 ms. The runs are moved once and are as slow again.
  std::vector<bool> avoided;
  for (int round = 0; round < 25; ++round) {
    ReportProgress(fixture, "a", 1, 1);
    for (const RunRef& stopped : std::exchange(fixture.stops, {})) {
      fixture.End("a", stopped, RunEnd::Stopped);
    }
    avoided.push_back(fixture.scheduler.AvoidedWorkers(fixture.now) > 0);
  }
  INFO("avoided in rounds: " << Catch::Detail::stringify(avoided));
  CHECK(std::find(avoided.begin(), avoided.end(), true) != avoided.end());
  const auto last = std::find(avoided.rbegin(), avoided.rend(), true);
  CHECK(last - avoided.rbegin() >= 12);
}
