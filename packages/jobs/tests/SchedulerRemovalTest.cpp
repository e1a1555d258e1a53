#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

TEST_CASE("JobScheduler RemovesTheRowsOfAnEndedJobAfterItsRetentionTime")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.rows.contains(StateRow("j")));
  fixture.Advance(std::chrono::seconds(300));
  fixture.RunUntilIdle();
  CHECK_FALSE(fixture.rows.contains(JobRow("j")));
  fixture.Advance(std::chrono::seconds(11));
  fixture.RunUntilIdle();
  CHECK(fixture.rows.empty());
  CHECK(fixture.scheduler.Jobs().empty());
}

// Guards against an ended job that runs again: a leader that finds the job's row without its state
// takes the job for a new one. The two rows are in different parts, so one transaction cannot
// remove both.
TEST_CASE("JobScheduler KeepsTheStateOfAnEndedJobLongerThanItsRow")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  fixture.Advance(std::chrono::seconds(300));
  fixture.scheduler.Decide(fixture.now);
  const std::vector<RowKey> removals = fixture.scheduler.TakeRemovals(50);
  REQUIRE(std::count(removals.begin(), removals.end(), JobRow("j")) == 1);

  // The removal fails after the store did not answer for a long time.
  fixture.Advance(std::chrono::seconds(100));
  fixture.scheduler.OnRemovalFailed(removals);
  fixture.scheduler.Decide(fixture.now);
  CHECK_FALSE(fixture.scheduler.HasChanges());

  // A read from before the removal delivers the job's row again, late.
  fixture.scheduler.OnRemoved(fixture.scheduler.TakeRemovals(50), fixture.now);
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Completed);
  CHECK(fixture.starts.size() == 1);
}

// Guards against one row that keeps all others from being removed, so that `pending` counts jobs
// that have started.
TEST_CASE("JobScheduler RemovesTheOtherRowsWhenTheStoreRefusesToRemoveOne")
{
  SchedulerFixture fixture;
  const RowKey refused = WaitingRow("queue", "j1");
  std::set<RowKey> removed;
  for (int job = 0; job < 40; ++job) {
    const std::string id = "j" + std::to_string(job);
    fixture.Submit(MakeJob(id, { MakeStep(1) }));
    fixture.scheduler.OnJobRow(id + ".cancel", {}, fixture.now);
  }
  const auto removeRows = [&] {
    for (int round = 0; round < 30; ++round) {
      const std::vector<RowKey> rows = fixture.scheduler.TakeRemovals(95);
      if (std::count(rows.begin(), rows.end(), refused) > 0) {
        fixture.scheduler.OnRemovalRefused(rows, fixture.now);
      } else {
        removed.insert(rows.begin(), rows.end());
        fixture.scheduler.OnRemoved(rows, fixture.now);
      }
    }
  };
  removeRows();
  CHECK(removed.size() == 39);
  CHECK(fixture.scheduler.WithheldRows() == 1);
  CHECK(fixture.counters.Get("rows_refused_total", "waiting") == 1);
  fixture.Advance(std::chrono::seconds(2));
  fixture.scheduler.Decide(fixture.now);
  CHECK(fixture.scheduler.TakeRemovals(95) == std::vector<RowKey>{ refused });
}

// Guards against ended jobs that are removed too early because the wall clock was set forward.
TEST_CASE("JobScheduler KeepsAnEndedJobWhenTheWallClockJumps")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  fixture.now.unixMs += 3'600'000;
  fixture.Advance(std::chrono::seconds(2));
  fixture.RunUntilIdle();
  CHECK(fixture.rows.contains(JobRow("j")));
  CHECK(fixture.rows.contains(StateRow("j")));
}

// Guards against states that are never removed because a leader ended between the two removals.
TEST_CASE("JobScheduler RemovesAStateWithoutAJob")
{
  SchedulerFixture fixture({ { StateRow("gone"), "completed 0 q" } });
  fixture.RunUntilIdle();
  CHECK(fixture.rows.contains(StateRow("gone")));
  fixture.Advance(std::chrono::seconds(11));
  fixture.RunUntilIdle();
  CHECK(fixture.rows.empty());
}

// Guards against cancellations that are never removed because no job was stored, or because they
// arrived after the job's rows were removed.
TEST_CASE("JobScheduler RemovesACancellationWithoutAJob")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  fixture.Advance(std::chrono::seconds(300));
  fixture.RunUntilIdle();
  REQUIRE_FALSE(fixture.rows.contains(JobRow("j")));
  for (const char* job : { "j", "k" }) {
    fixture.rows[CancelRow(job)] = "";
    fixture.scheduler.OnJobRow(CancelRow(job).key, "", fixture.now);
  }
  // A submission may be stored seconds after its cancellation.
  fixture.Advance(std::chrono::seconds(20));
  fixture.RunUntilIdle();
  CHECK(fixture.rows.contains(CancelRow("j")));
  CHECK(fixture.rows.contains(CancelRow("k")));
  fixture.Advance(std::chrono::seconds(300));
  fixture.RunUntilIdle();
  CHECK(fixture.rows.empty());
}

// Guards against a start of a job that is stored after the row of its cancellation was chosen for
// removal and before it is removed.
TEST_CASE("JobScheduler CancelsAJobThatIsStoredWhileItsCancellationIsRemoved")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.rows[CancelRow("k")] = "";
  fixture.scheduler.OnJobRow(CancelRow("k").key, "", fixture.now);
  fixture.Advance(std::chrono::seconds(300));
  fixture.scheduler.Decide(fixture.now);
  REQUIRE(fixture.scheduler.TakeRemovals(50) == std::vector<RowKey>{ CancelRow("k") });
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("k") == JobState::Cancelled);
  CHECK(fixture.starts.empty());
}

// Guards against a transaction over two parts, which the store refuses.
TEST_CASE("JobScheduler TakesRemovalsOfOnePartAtATime")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 100'000);
  for (int job = 0; job < 40; ++job) {
    fixture.Submit(MakeJob("j" + std::to_string(job), { MakeStep(1) }));
  }
  fixture.scheduler.Decide(fixture.now);
  fixture.scheduler.OnStored(fixture.scheduler.TakeBatch(95), fixture.now);
  fixture.TakeOrders();
  fixture.Report("a");
  std::size_t taken = 0;
  std::set<std::string> parts;
  for (;;) {
    const std::vector<RowKey> rows = fixture.scheduler.TakeRemovals(3);
    if (rows.empty()) {
      break;
    }
    CHECK(rows.size() <= 3);
    taken += rows.size();
    parts.insert(rows.front().part);
    for (const RowKey& row : rows) {
      CHECK(row.part == rows.front().part);
    }
  }
  CHECK(taken == 40);
  CHECK(parts.size() == kJobPartCount);
}
