#include "oriolespread/jobs/LargestRoom.h"

#include "SchedulerFixture.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

std::int64_t Draw(RandomSource& aRandom, std::uint64_t aBelow)
{
  return static_cast<std::int64_t>(aRandom.Below(aBelow));
}

Worker DrawWorker(RandomSource& aRandom)
{
  Worker worker;
  worker.state.capacity = { 8000, 16000, Draw(aRandom, 3) };
  worker.reserved = { Draw(aRandom, 9000), 0, Draw(aRandom, 3) };
  worker.demanded = { worker.reserved.milliCores + Draw(aRandom, 4000), Draw(aRandom, 17000), 0 };
  worker.servingMilliCores = Draw(aRandom, 4000);
  return worker;
}

StepSpec DrawStep(RandomSource& aRandom)
{
  StepSpec step;
  step.demand = { Draw(aRandom, 9000), Draw(aRandom, 17000), Draw(aRandom, 3) };
  step.fillsUnused = aRandom.Chance(0.5);
  return step;
}

// Returns how many workers one scheduling pass assesses beside this many jobs that no worker has
// room for.
std::uint64_t AssessedInAPass(int aWaitingJobs)
{
  SchedulerFixture fixture;
  for (int worker = 0; worker < 74; ++worker) {
    fixture.AddAgent("a" + std::to_string(worker));
  }
  StepSpec filling = MakeStep(74);
  filling.demand.milliCores = 7000;
  fixture.Submit(MakeJob("0", { filling }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 74);
  StepSpec waiting = MakeStep(20);
  waiting.demand.milliCores = 2000;
  for (int job = 0; job < aWaitingJobs; ++job) {
    fixture.Submit(MakeJob("j" + std::to_string(job), { waiting }));
  }
  const std::uint64_t before = fixture.scheduler.AssessedWorkers();
  fixture.scheduler.Decide(fixture.now);
  REQUIRE(fixture.scheduler.WaitingTasks() == static_cast<std::size_t>(20 * aWaitingJobs));
  return fixture.scheduler.AssessedWorkers() - before;
}

} // namespace

TEST_CASE("LargestRoom ExcludesAStepOnlyWhenNoWorkerHasRoom")
{
  RandomSource random(1);
  int excluded = 0;
  int excludedFromOvercommit = 0;
  for (int round = 0; round < 2000; ++round) {
    std::vector<Worker> workers;
    LargestRoom largest;
    for (std::uint64_t count = random.Below(4); count > 0; --count) {
      workers.push_back(DrawWorker(random));
      largest.Add(workers.back(), true);
    }
    const StepSpec step = DrawStep(random);
    const bool hasRoom = std::any_of(workers.begin(), workers.end(), [&](const Worker& aWorker) {
      return HasCapacityFor(aWorker, step);
    });
    INFO("round " << round << ", demand " << step.demand);
    CHECK((largest.MayFit(step, false) || !hasRoom));
    excluded += largest.MayFit(step, false) ? 0 : 1;
    const bool canOvercommit =
      std::any_of(workers.begin(), workers.end(), [&](const Worker& aWorker) {
        return CanOvercommit(aWorker, step);
      });
    CHECK((largest.MayFit(step, true) || !canOvercommit));
    excludedFromOvercommit += largest.MayFit(step, true) ? 0 : 1;
    for (std::size_t left = workers.size(); left > 0; --left) {
      largest.OnOvercommitted();
    }
    CHECK(largest.MayFit(step, true) == largest.MayFit(step, false));
  }
  CHECK(excluded > 500);
  CHECK(excludedFromOvercommit > 500);
}

// Guards against a look at all workers for each standing job, as those with free memory were just
// overcommitted.
TEST_CASE("LargestRoom ExcludesABestEffortStepThatFitsNoWorkerThatMayBeOvercommitted")
{
  Worker withMemory;
  withMemory.state.capacity = { 8000, 64000, 0 };
  withMemory.demanded = { 8000, 1000, 0 };
  Worker withoutMemory = withMemory;
  withoutMemory.demanded = { 8000, 64000, 0 };
  LargestRoom largest;
  largest.Add(withMemory, false);
  largest.Add(withoutMemory, true);
  StepSpec step = MakeStep(1);
  step.fillsUnused = true;
  CHECK_FALSE(largest.MayFit(step, true));
  largest.Add(withMemory, true);
  CHECK(largest.MayFit(step, true));
}

// Guards against a leader that falls behind because its decisions cost more the more jobs wait.
TEST_CASE("JobScheduler AssessesNoWorkerForABacklogThatFitsNowhere")
{
  CHECK(AssessedInAPass(10) == 0);
  CHECK(AssessedInAPass(300) == 0);
}
