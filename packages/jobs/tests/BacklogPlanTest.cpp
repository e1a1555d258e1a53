#include "oriolespread/jobs/BacklogPlan.h"

#include "PlayedBacklog.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

BacklogItem MakeItem(double aDeadline, double aCoreSeconds, double aValue = 1)
{
  BacklogItem item;
  item.deadline = aDeadline;
  item.usefulUntil = 3 * aDeadline;
  item.path = 1;
  item.coreSeconds = aCoreSeconds;
  item.value = aValue;
  return item;
}

std::vector<PlayedQueue> ShortAndLargeJobs()
{
  PlayedQueue quick;
  quick.name = "quick";
  quick.tasks = 6;
  quick.taskMs = 700;
  quick.jobsPerSecond = 2;
  quick.spread = 0.4;
  quick.declaredError = 0.9;
  quick.stretch = 1.5;
  quick.targetLatencyMs = 300;
  PlayedQueue large;
  large.name = "large";
  large.priority = 2;
  large.tasks = 10;
  large.milliCores = 2000;
  large.taskMs = 2300;
  large.jobsPerSecond = 0.55;
  large.burstFactor = 2.6;
  large.spread = 0.5;
  large.declaredError = 0.9;
  return { quick, large };
}

// Plays the jobs over eight seeds and returns the sums.
std::map<std::string, QueueOutcome> PlaySeeds(WaitingOrder aOrder)
{
  std::map<std::string, QueueOutcome> sums;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    PlayedBacklog played(seed, aOrder, 8, 8000);
    for (const auto& [queue, outcome] :
         played.Run(ShortAndLargeJobs(), std::chrono::seconds(40), std::chrono::seconds(120))) {
      QueueOutcome& sum = sums[queue];
      sum.onTime += outcome.onTime;
      sum.late += outcome.late;
      sum.tooLate += outcome.tooLate;
      sum.open += outcome.open;
      sum.value += outcome.value;
      sum.owed += outcome.owed;
      sum.worstStretch = std::max(sum.worstStretch, outcome.worstStretch);
    }
  }
  for (const auto& [queue, sum] : sums) {
    UNSCOPED_INFO("order " << static_cast<int>(aOrder) << " " << queue << ": in time " << sum.onTime
                           << ", late " << sum.late << ", too late " << sum.tooLate << ", open "
                           << sum.open << ", value " << sum.Share() << ", worst stretch "
                           << sum.worstStretch);
  }
  return sums;
}

} // namespace

TEST_CASE("BacklogPlan CountsAllJobsAsOnTimeWhenTheyFit")
{
  const BacklogPlan plan = PlanBacklog({ MakeItem(10, 20), MakeItem(10, 20) }, 10, 5);
  CHECK(plan.lateness == std::vector<Lateness>{ Lateness::OnTime, Lateness::OnTime });
  CHECK(plan.displaced == 0);
  CHECK(plan.onTimeSeconds == Approx(4.5));
}

// Guards against several jobs that are all begun and are all late, where some could be in time.
TEST_CASE("BacklogPlan GivesUpTheJobWithTheLeastValueForItsWorkWhenNotAllFit")
{
  const BacklogPlan plan =
    PlanBacklog({ MakeItem(5, 40, 1), MakeItem(5, 40, 0.5), MakeItem(6, 15, 1) }, 10, 0);
  CHECK(plan.lateness ==
        std::vector<Lateness>{ Lateness::OnTime, Lateness::Late, Lateness::OnTime });
  CHECK(plan.displaced == 1);
}

// Guards against a begun job that loses its capacity to new ones: the work that is done already
// does not count any more.
TEST_CASE("BacklogPlan PrefersAJobWithLittleWorkLeftToANewOneOfTheSameValue")
{
  const BacklogPlan plan = PlanBacklog({ MakeItem(5, 50), MakeItem(5, 10) }, 10, 0);
  CHECK(plan.lateness[1] == Lateness::OnTime);
  CHECK(plan.lateness[0] == Lateness::Late);
}

TEST_CASE("BacklogPlan CountsTheWorkOfTasksAtWork")
{
  CHECK(PlanBacklog({ MakeItem(5, 30) }, 10, 0).lateness[0] == Lateness::OnTime);
  CHECK(PlanBacklog({ MakeItem(5, 30) }, 10, 40).lateness[0] == Lateness::Late);
}

TEST_CASE("BacklogPlan TellsLateFromTooLateByThePath")
{
  BacklogItem late = MakeItem(1, 1);
  late.path = 2;
  BacklogItem tooLate = late;
  tooLate.path = 20;
  const BacklogPlan plan = PlanBacklog({ late, tooLate }, 10, 0);
  CHECK(plan.lateness == std::vector<Lateness>{ Lateness::Late, Lateness::TooLate });
  CHECK(plan.displaced == 0);
}

TEST_CASE("BacklogPlan UsesThePathsAloneWhenTheCapacityIsNotKnown")
{
  const BacklogPlan plan = PlanBacklog({ MakeItem(5, 1000) }, 0, 1000);
  CHECK(plan.lateness[0] == Lateness::OnTime);
  CHECK(plan.onTimeSeconds == 0);
}

// Plays short jobs beside a burst of large ones whose declared durations are off by up to 90%.
// Guards against large jobs that are all late after the burst, and against short jobs that pay for
// them.
TEST_CASE("JobScheduler EndsMoreLargeJobsInTimeWhenItPlansTheBacklog")
{
  auto arrival = PlaySeeds(WaitingOrder::Arrival);
  auto declared = PlaySeeds(WaitingOrder::DeclaredValue);
  auto planned = PlaySeeds(WaitingOrder::BacklogPlan);
  CHECK(planned["large"].Share() > declared["large"].Share());
  CHECK(planned["large"].Share() > arrival["large"].Share());
  CHECK(planned["quick"].Share() >= declared["quick"].Share() - 0.01);
  // What was accepted still ends.
  CHECK(planned["large"].open == 0);
  CHECK(planned["quick"].open == 0);
}

// Guards against changes for clusters with jobs of one priority only.
TEST_CASE("JobScheduler PlansNoBacklogWhenAllJobsHaveOnePriority")
{
  std::vector<PlayedQueue> queues = ShortAndLargeJobs();
  queues.back().priority = 0;
  PlayedBacklog played(1, WaitingOrder::BacklogPlan, 2, 8000);
  played.Run(queues, std::chrono::seconds(6), std::chrono::seconds(6));
  CHECK(played.Fixture().scheduler.WaitingTasks() > 0);
  CHECK(played.Fixture().scheduler.ExpectedWaits().empty());
}
