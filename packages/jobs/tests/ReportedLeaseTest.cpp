// Leases that last longer than those which the leader extends: a worker that has restarted under
// its id holds one from calls to its earlier process, and the agent reports when it ends.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::int64_t kLongLeaseMs = 12'000;

// Lets the agent "a" start a run and fall silent after a report of these leases, while "b" has
// room.
void FallSilent(SchedulerFixture& aFixture, std::int64_t aLeasesEndInMs)
{
  aFixture.AddAgent("a");
  aFixture.Submit(MakeJob("j", { MakeStep(1) }));
  aFixture.RunUntilIdle();
  REQUIRE(aFixture.starts.size() == 1);
  aFixture.agents["a"].leasesEndInMs = aLeasesEndInMs;
  aFixture.Report("a");
  aFixture.AddAgent("b");
}

// Returns the number of starts after this time without a report of "a".
std::size_t StartsAfter(SchedulerFixture& aFixture, Duration aTime)
{
  aFixture.Advance(aTime);
  aFixture.Report("b");
  aFixture.RunUntilIdle();
  return aFixture.starts.size();
}

} // namespace

// Guards against two runs of a task at the same time.
TEST_CASE("JobScheduler KeepsTheRunsOfASilentWorkerUntilItsReportedLeasesHaveExpired")
{
  SchedulerFixture fixture;
  FallSilent(fixture, kLongLeaseMs);
  CHECK(StartsAfter(fixture, (kLongLeaseMs - 10) * kMs) == 1);
  CHECK(StartsAfter(fixture, 500 * kMs) == 2);
}

// Guards against tasks that wait for a lease which the worker does not hold.
TEST_CASE("JobScheduler KeepsTheRunsOfASilentWorkerForOneLeaseWhenTheReportedOneIsShorter")
{
  for (const std::int64_t reported :
       { std::int64_t{ -1 }, std::int64_t{ 0 }, std::int64_t{ 5350 } }) {
    INFO("reported: " << reported);
    SchedulerFixture fixture;
    FallSilent(fixture, reported);
    CHECK(StartsAfter(fixture, SchedulerSettings{}.LeaseBound() - 10 * kMs) == 1);
    CHECK(StartsAfter(fixture, 20 * kMs) == 2);
  }
}

// Guards against a task that never runs again.
TEST_CASE("JobScheduler LimitsTheLeasesThatAnAgentReports")
{
  SchedulerFixture fixture;
  FallSilent(fixture, std::numeric_limits<std::int64_t>::max());
  CHECK(StartsAfter(fixture, SchedulerSettings{}.maxReportedLease + 200 * kMs) == 2);
}

// Guards against two runs of a task at the same time when the agent is cut off before the new
// leader has loaded the rows.
TEST_CASE("JobScheduler CountsLeasesThatAreReportedWhileItLoads")
{
  SchedulerFixture earlier;
  FallSilent(earlier, kLongLeaseMs);
  SchedulerFixture fixture;
  fixture.rows = earlier.rows;
  fixture.scheduler.OnReportWhileLoading(earlier.agents["a"], fixture.now);
  fixture.Load({});
  fixture.AddAgent("b");
  CHECK(fixture.scheduler.LatestLeaseExpiry() >= fixture.now.instant + kLongLeaseMs * kMs);
  CHECK(StartsAfter(fixture, (kLongLeaseMs - 10) * kMs) == 0);
  CHECK(StartsAfter(fixture, 500 * kMs) == 1);
}
