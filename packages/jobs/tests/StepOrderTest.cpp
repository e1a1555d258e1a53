#include "PlayedLoad.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

StepCandidate MakeCandidate(Lateness aLateness, double aRemainingCoreSeconds)
{
  StepCandidate candidate;
  candidate.lateness = aLateness;
  candidate.remainingCoreSeconds = aRemainingCoreSeconds;
  return candidate;
}

} // namespace

TEST_CASE("StepOrder EstimatesLatenessFromThePathThatIsLeft")
{
  // Two steps of 1 s each, with an objective of 2 x 2 s + 1 s.
  constexpr std::int64_t kObjectiveMs = 5000;
  CHECK(EstimateLateness(0, 2000, kObjectiveMs) == Lateness::OnTime);
  CHECK(EstimateLateness(4000, 2000, kObjectiveMs) == Lateness::Late);
  CHECK(EstimateLateness(4000, 1000, kObjectiveMs) == Lateness::OnTime);
  CHECK(EstimateLateness(14'500, 1000, kObjectiveMs) == Lateness::TooLate);
}

// Guards against serving tasks that are restarted after all best-effort work, because the objective
// of their job has passed long ago.
TEST_CASE("JobScheduler PlacesALongRunningStepAsOnTimeWhenItsObjectiveHasPassed")
{
  SchedulerFixture fixture;
  StepSpec serving = MakeStep(1);
  serving.longRunning = true;
  JobRecord old = MakeJob("old", { serving });
  old.submittedUnixMs = fixture.now.unixMs - 600'000;
  JobRecord fresh = MakeJob("fresh", { MakeStep(1) });
  fresh.submittedUnixMs = fixture.now.unixMs;
  // Both jobs have the same work, so that lateness alone would decide.
  fresh.spec.steps[0].estimateMs = 1001;
  fixture.Submit(old);
  fixture.Submit(fresh);
  fixture.AddAgent("a", 1000);
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref.task == "old.0.0.0");
}

// Guards against late jobs that wait for the whole of an overload with one task left.
TEST_CASE("StepOrder PrefersANearlyFinishedLateJobToANewJob")
{
  const double nearlyFinished = ValueDensity(MakeCandidate(Lateness::Late, 2));
  const double newJob = ValueDensity(MakeCandidate(Lateness::OnTime, 40));
  CHECK(nearlyFinished > newJob);
}

// Guards against jobs that can still be in time losing their capacity to jobs that cannot.
TEST_CASE("StepOrder PrefersAJobThatCanBeInTimeToALateJobOfTheSameSize")
{
  const double onTime = ValueDensity(MakeCandidate(Lateness::OnTime, 40));
  const double late = ValueDensity(MakeCandidate(Lateness::Late, 40));
  const double tooLate = ValueDensity(MakeCandidate(Lateness::TooLate, 40));
  CHECK(onTime > late);
  CHECK(late > tooLate);
  CHECK(tooLate > 0);
}

// Plays a burst of 2.6 times the capacity on a cluster that is otherwise nearly full, with runs
// that fail. Guards against jobs that miss their objective by one failed run and are then left
// unfinished until the load ends.
TEST_CASE("StepOrder FinishesLateJobsWhileTheLoadLastsWhenABurstWasTooLarge")
{
  PlayedClass load;
  load.minTasks = 2;
  load.maxTasks = 14;
  load.taskMs = 2200;
  load.jobsPerSecond = 1.05;
  load.burstFactor = 2.6;
  load.burstBegin = std::chrono::seconds(8);
  load.burstEnd = std::chrono::seconds(14);
  load.failureShare = 0.05;
  PlayedOutcome sum;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    PlayedLoad played(seed, 5, 8000);
    const PlayedOutcome outcome =
      played.Run(load, std::chrono::seconds(60), std::chrono::seconds(60));
    sum.onTime += outcome.onTime;
    sum.late += outcome.late;
    sum.tooLate += outcome.tooLate;
    sum.open += outcome.open;
    sum.nearlyDoneAndWaiting += outcome.nearlyDoneAndWaiting;
    sum.worstStretch = std::max(sum.worstStretch, outcome.worstStretch);
  }
  UNSCOPED_INFO("in time " << sum.onTime << ", late " << sum.late << ", too late " << sum.tooLate
                           << ", open " << sum.open << ", of these nearly done and waiting "
                           << sum.nearlyDoneAndWaiting << ", worst stretch " << sum.worstStretch);
  CHECK(sum.nearlyDoneAndWaiting == 0);
}
