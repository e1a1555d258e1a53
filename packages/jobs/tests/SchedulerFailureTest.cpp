#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

TEST_CASE("JobScheduler FailsAJobAfterMaxAttemptsOnDifferentWorkers")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.AddAgent("b");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End(fixture.starts[0].first, fixture.starts[0].second.ref, RunEnd::Failed);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].first != fixture.starts[0].first);
  fixture.End(fixture.starts[1].first, fixture.starts[1].second.ref, RunEnd::Failed);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 2);
  CHECK(fixture.StateOf("j") == JobState::Failed);
}

// Guards against a faulty worker that fails all its runs at once and therefore always has the most
// room.
TEST_CASE("JobScheduler AvoidsAWorkerForAWhileWhenRunsOfThreeJobsFailedThere")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  for (const char* job : { "first", "second", "third" }) {
    fixture.Submit(MakeJob(job, { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  for (const auto& [agent, start] : std::vector(fixture.starts)) {
    fixture.End(agent, start.ref, RunEnd::Failed);
  }
  fixture.Submit(MakeJob("fourth", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 3);
  fixture.Advance(5000 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() > 3);
}

// Guards against a service without a run for as long as all workers with room are avoided.
TEST_CASE("JobScheduler PlacesALongRunningTaskOnAnAvoidedWorkerOnlyWhenNoOtherHasRoom")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  for (const char* job : { "first", "second", "third" }) {
    fixture.Submit(MakeJob(job, { MakeStep(1) }));
  }
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 3);
  for (const auto& [agent, start] : std::vector(fixture.starts)) {
    fixture.End(agent, start.ref, RunEnd::Failed);
  }
  fixture.starts.clear();
  StepSpec service = MakeStep(1);
  service.longRunning = true;
  service.demand.milliCores = 1500;
  fixture.Submit(MakeJob("alone", { service }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref == RunRef{ "alone.0.0.0", 1 });

  fixture.AddAgent("b", 6000);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 4);
  for (const char* job : { "second-service", "third-service", "last" }) {
    fixture.Submit(MakeJob(job, { service }));
    fixture.RunUntilIdle();
  }
  REQUIRE(fixture.starts.size() == 7);
  CHECK(fixture.starts[4].first == "b");
  CHECK(fixture.starts[5].first == "b");
  CHECK(fixture.starts[6].first == "a");
}

// Guards against repeating a start several times a second on a worker that refuses it.
TEST_CASE("JobScheduler StartsNoLongRunningTaskAtOnceWhereOneWasRejected")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  StepSpec service = MakeStep(1);
  service.longRunning = true;
  fixture.Submit(MakeJob("j", { service }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  fixture.agents["a"].rejected.push_back({ fixture.starts[0].second.ref, "full" });
  fixture.Report("a");
  fixture.agents["a"].rejected.clear();
  fixture.Advance(250 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  fixture.Advance(100 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 2);
}

// Guards against starts without a pause while a service fails everywhere.
TEST_CASE("JobScheduler RestartsALongRunningTaskThatFailsAgainWithAGrowingDelay")
{
  for (const bool gang : { false, true }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    StepSpec service = MakeStep(1);
    service.longRunning = true;
    service.gang = gang;
    fixture.Submit(MakeJob("j", { service }));
    fixture.RunUntilIdle();
    REQUIRE(fixture.starts.size() == 1);
    const auto delayAfterFailure = [&] {
      const Instant failedAt = fixture.now.instant;
      const auto [agent, start] = fixture.starts.back();
      const std::size_t startsBefore = fixture.starts.size();
      fixture.End(agent, start.ref, RunEnd::Failed);
      fixture.RunUntilIdle();
      while (fixture.starts.size() == startsBefore && fixture.now.instant < failedAt + 2000 * kMs) {
        fixture.Advance(10 * kMs);
        fixture.RunUntilIdle();
      }
      return ToMilliseconds(fixture.now.instant - failedAt);
    };
    std::vector<std::int64_t> delays(7);
    std::generate(delays.begin(), delays.end(), delayAfterFailure);
    CHECK(delays == std::vector<std::int64_t>{ 50, 100, 200, 400, 800, 1000, 1000 });
    fixture.Advance(5000 * kMs);
    fixture.Report("a");
    CHECK(delayAfterFailure() == 50);
  }
}

// Guards against services that fail everywhere and keep all other jobs off the workers.
TEST_CASE("JobScheduler AvoidsAWorkerNoLongerBecauseServicesFailThereMeanwhile")
{
  SchedulerFixture fixture;
  fixture.AddFullAgent("full");
  fixture.AddAgent("a");
  StepSpec service = MakeStep(1);
  service.longRunning = true;
  for (const char* job : { "first", "second", "third" }) {
    fixture.Submit(MakeJob(job, { service }));
  }
  const auto failAll = [&] {
    fixture.RunUntilIdle();
    for (const auto& [agent, start] : std::exchange(fixture.starts, {})) {
      fixture.End(agent, start.ref, RunEnd::Failed);
    }
  };
  failAll();
  JobRecord batch = MakeJob("batch", { MakeStep(1) });
  batch.policy.maxAttempts = 1;
  fixture.Submit(batch);
  for (int time = 0; time < 4900; time += 100) {
    fixture.Advance(100 * kMs);
    failAll();
  }
  REQUIRE(fixture.StateOf("batch") == JobState::Queued);
  fixture.Advance(100 * kMs);
  fixture.RunUntilIdle();
  fixture.Report("a");
  CHECK(fixture.StateOf("batch") == JobState::Running);
}

// Guards against a job that is shown as failed although each of its tasks has been done.
TEST_CASE("JobScheduler IgnoresTheFailureOfARunWhoseTaskIsDone")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  JobRecord record = MakeJob("j", { MakeStep(1), MakeStep(1, { 0 }) });
  record.policy.maxAttempts = 1;
  fixture.Submit(record);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  const RunRef given = fixture.starts[0].second.ref;
  fixture.AddAgent("b");
  // The worker of the first run is silent until its lease has expired, and reports its end later.
  fixture.Advance(6000 * kMs);
  fixture.Report("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  const auto [agent, second] = fixture.starts[1];
  REQUIRE(agent == "b");
  fixture.End("a", given, RunEnd::Done);
  fixture.End("b", second.ref, RunEnd::Failed);
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Running);
  CHECK(fixture.starts.size() == 3);
}
