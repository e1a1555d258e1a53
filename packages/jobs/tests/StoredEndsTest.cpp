// Changes of a job while a transaction is in flight: what is stored is what the transaction wrote,
// not what the leader knows when it is applied.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Starts a job of `aTasks` tasks on agent "a", and returns the batch, not applied yet, that stores
// the job as running.
StoreBatch TakeRunningBatch(SchedulerFixture& aFixture, std::uint32_t aTasks)
{
  aFixture.AddAgent("a");
  aFixture.Submit(MakeJob("j", { MakeStep(aTasks) }));
  aFixture.RunUntilIdle();
  aFixture.Report("a");
  StoreBatch batch = aFixture.scheduler.TakeBatch(50);
  REQUIRE(batch.changes.size() == 1);
  REQUIRE(batch.changes[0].row == StateRow("j"));
  REQUIRE(batch.changes[0].value.starts_with("running"));
  return batch;
}

void Store(SchedulerFixture& aFixture, StoreBatch aBatch)
{
  aFixture.Apply(aBatch);
  aFixture.scheduler.OnStored(std::move(aBatch), aFixture.now);
  aFixture.TakeOrders();
}

// Loads the stored rows in another leader, whose agent reports what the first one's reports.
// Returns the number of runs that the leader starts.
std::size_t StartsOfNextLeader(const SchedulerFixture& aFirst)
{
  SchedulerFixture next(aFirst.rows);
  next.agents = aFirst.agents;
  next.scheduler.OnAgentUp("a", next.now);
  next.Report("a");
  next.RunUntilIdle();
  next.Advance(std::chrono::seconds(1));
  next.Report("a");
  next.RunUntilIdle();
  return next.starts.size();
}

} // namespace

// Guards against a task that runs again after it was done: its progress is removed although the
// stored state of its job is still "running", and the leader is lost.
TEST_CASE("JobScheduler KeepsTheProgressWhenAJobEndsWhileItsStartIsBeingStored")
{
  SchedulerFixture fixture;
  StoreBatch running = TakeRunningBatch(fixture, 1);
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  REQUIRE(fixture.StateOf("j") == JobState::Completed);
  Store(fixture, std::move(running));
  CHECK_FALSE(fixture.scheduler.Jobs().at("j").endStored);
  // The next transaction has room for one row.
  Store(fixture, fixture.scheduler.TakeBatch(1));
  CHECK(fixture.rows.at(StateRow("j")).starts_with("running"));
  REQUIRE(fixture.rows.contains(ProgressRow("j", 0, 0)));
  CHECK(StartsOfNextLeader(fixture) == 0);
  fixture.RunUntilIdle();
  CHECK(fixture.rows.at(StateRow("j")).starts_with("completed"));
  CHECK_FALSE(fixture.rows.contains(ProgressRow("j", 0, 0)));
}

// Guards against a task that runs again after its end was acknowledged without a stored row.
TEST_CASE("JobScheduler AcknowledgesNoEndBecauseAnEarlierStateOfTheJobIsStored")
{
  SchedulerFixture fixture;
  StoreBatch running = TakeRunningBatch(fixture, 2);
  fixture.scheduler.OnJobRow("j.cancel", {}, fixture.now);
  REQUIRE(fixture.StateOf("j") == JobState::Cancelled);
  Store(fixture, std::move(running));
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.TakeOrders();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.RunUntilIdle();
  CHECK(fixture.rows.at(StateRow("j")).starts_with("cancelled"));
  CHECK(fixture.acknowledgedEnds.size() == 1);
}

// Guards against an end that is acknowledged with a batch that was formed before it was reported.
TEST_CASE("JobScheduler AcknowledgesAnEndOnlyWithABatchThatHoldsIt")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  StoreBatch firstEnd = fixture.scheduler.TakeBatch(1);
  REQUIRE(firstEnd.changes.size() == 1);
  REQUIRE(firstEnd.changes[0].row == ProgressRow("j", 0, 0));
  fixture.End("a", { "j.0.0.1", 1 }, RunEnd::Done);
  Store(fixture, std::move(firstEnd));
  CHECK(fixture.acknowledgedEnds == std::vector<std::uint64_t>{ 1 });
  Store(fixture, fixture.scheduler.TakeBatch(1));
  CHECK(fixture.acknowledgedEnds == std::vector<std::uint64_t>{ 1, 2 });
}

// Guards against a run of a cancelled job that the next leader does not stop while its agent sends
// no report, since the progress is removed before the run has ended.
TEST_CASE("JobScheduler KeepsTheProgressOfAnEndedJobUntilItsRunsHaveEnded")
{
  SchedulerFixture first;
  first.AddAgent("a");
  first.Submit(MakeJob("j", { MakeStep(2) }));
  first.RunUntilIdle();
  first.Report("a");
  first.RunUntilIdle();
  first.scheduler.OnJobRow("j.cancel", {}, first.now);
  first.RunUntilIdle();
  REQUIRE(first.rows.at(StateRow("j")).starts_with("cancelled"));
  first.End("a", { "j.0.0.0", 1 }, RunEnd::Stopped);
  first.RunUntilIdle();

  SchedulerFixture next(first.rows);
  next.scheduler.OnAgentUp("a", next.now);
  next.TakeOrders();
  CHECK(std::count(next.stops.begin(), next.stops.end(), RunRef{ "j.0.0.1", 1 }) > 0);

  first.End("a", { "j.0.0.1", 1 }, RunEnd::Stopped);
  first.RunUntilIdle();
  CHECK_FALSE(first.rows.contains(ProgressRow("j", 0, 0)));
}

// Guards against a start of a cancelled task after one of its ends was acknowledged: the start of
// its other run is under way, and the stop is not carried out yet.
TEST_CASE("JobScheduler AcknowledgesTheEndOfACancelledTaskOnceItsOtherRunIsStopped")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.Advance(std::chrono::seconds(20));
  fixture.RunUntilIdle();
  REQUIRE_FALSE(fixture.scheduler.Jobs().at("j").HasActiveRuns());
  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  REQUIRE(fixture.starts[1].first == "b");
  fixture.scheduler.OnJobRow("j.cancel", {}, fixture.now);
  fixture.RunUntilIdle();
  // The worker was silent, and its run had ended as done meanwhile.
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.End("b", { "j.0.0.0", 2 }, RunEnd::Stopped);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds.size() == 2);
}
