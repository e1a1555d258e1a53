// Jobs without a run at work while other best-effort runs use the cores that are not reserved.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

StepSpec MakeBestEffortStep(std::uint32_t aCount)
{
  StepSpec step = MakeStep(aCount);
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

// Fills the cores of two workers of 8 cores with best-effort runs of one job.
void FillCores(SchedulerFixture& aFixture)
{
  aFixture.AddAgent("a");
  aFixture.AddAgent("b");
  aFixture.Submit(MakeJob("first", { MakeBestEffortStep(40) }));
  aFixture.RunUntilIdle();
  REQUIRE(aFixture.starts.size() == 16);
  aFixture.starts.clear();
}

std::ptrdiff_t StartsOf(const SchedulerFixture& aFixture, const std::string& aJob)
{
  return std::count_if(aFixture.starts.begin(), aFixture.starts.end(), [&](const auto& aStart) {
    return aStart.second.ref.task.starts_with(aJob + ".");
  });
}

} // namespace

// Guards against a best-effort job without a run for 3 s on workers that only best-effort runs use.
TEST_CASE("JobScheduler PlacesAStandingJobBesideBestEffortRunsThatUseAllCores")
{
  for (const bool gang : { false, true }) {
    SchedulerFixture fixture;
    FillCores(fixture);
    StepSpec step = MakeBestEffortStep(2);
    step.gang = gang;
    fixture.Submit(MakeJob("late", { step }));
    fixture.RunUntilIdle();
    Pass(fixture, 1000 * kMs);
    INFO("gang " << gang);
    CHECK(StartsOf(fixture, "late") == 0);
    Pass(fixture, 1000 * kMs);
    CHECK(StartsOf(fixture, "late") == (gang ? 2 : 1));
    CHECK(StartsOf(fixture, "first") == 0);
    CHECK(fixture.stops.empty());
  }
}

// Guards against a backlog that slows down all best-effort runs at once.
TEST_CASE("JobScheduler PlacesStandingJobsBeyondUnusedCoresAtABoundedRate")
{
  SchedulerFixture fixture;
  FillCores(fixture);
  for (int job = 0; job < 40; ++job) {
    fixture.Submit(MakeJob("late" + std::to_string(job), { MakeBestEffortStep(3) }));
  }
  fixture.RunUntilIdle();
  Pass(fixture, 3000 * kMs);
  // On each of two workers one in 0.5 s, from 1.5 s on.
  CHECK(fixture.starts.size() >= 4);
  CHECK(fixture.starts.size() <= 8);
}

// Guards against decisions that cost more the more jobs stand.
TEST_CASE("JobScheduler AssessesNoWorkerForStandingJobsBeyondTheRate")
{
  SchedulerFixture fixture;
  FillCores(fixture);
  for (int job = 0; job < 300; ++job) {
    fixture.Submit(MakeJob("late" + std::to_string(job), { MakeBestEffortStep(1) }));
  }
  fixture.RunUntilIdle();
  Pass(fixture, 1600 * kMs);
  REQUIRE(fixture.starts.size() == 2);
  const std::uint64_t before = fixture.scheduler.AssessedWorkers();
  fixture.Advance(100 * kMs);
  fixture.scheduler.Decide(fixture.now);
  CHECK(fixture.scheduler.AssessedWorkers() == before);
}

// Guards against best-effort runs beyond the unused cores of a service that is in use.
TEST_CASE("JobScheduler LeavesAStandingJobWaitingWhileMostCoresAreReserved")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("reserved", { MakeStep(6) }));
  fixture.RunUntilIdle();
  fixture.Submit(MakeJob("first", { MakeBestEffortStep(4) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 8);
  fixture.starts.clear();
  fixture.Submit(MakeJob("late", { MakeBestEffortStep(1) }));
  fixture.RunUntilIdle();
  Pass(fixture, 3000 * kMs);
  CHECK(fixture.starts.empty());
}

// Guards against a job without runs of which no line tells why no worker takes its tasks.
TEST_CASE("JobScheduler LogsWhyAJobHasNoRun")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 500);
  for (int job = 0; job < 30; ++job) {
    fixture.Submit(MakeJob("j" + std::to_string(job), { MakeBestEffortStep(2) }));
  }
  fixture.RunUntilIdle();
  Pass(fixture, 1800 * kMs);
  CHECK(fixture.LastLogged("job_standing").is_null());
  Pass(fixture, 1000 * kMs);
  const nlohmann::ordered_json line = fixture.LastLogged("job_standing");
  REQUIRE(line.is_object());
  INFO(line.dump());
  CHECK(line.at("since_run_ms") >= 2000);
  CHECK(line.at("tasks") == 2);
  CHECK(line.at("best_effort") == true);
  CHECK(line.at("workers") == nlohmann::ordered_json{ { "capacity", 1 } });
  const auto lines = std::count_if(fixture.logged.begin(),
                                   fixture.logged.end(),
                                   [](const auto& aLine) { return aLine.first == "job_standing"; });
  CHECK(lines == 16);
}
