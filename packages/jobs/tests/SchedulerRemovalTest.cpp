#include "SchedulerSite.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

TEST_CASE("JobScheduler RemovesRowsOfAnEndedJobAfterItsKeepingTime")
{
  SchedulerSite site;
  site.AddAgent("a");
  site.Submit(MakeJob("j", { MakeStep(1) }));
  site.Settle();
  site.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  site.Settle();
  CHECK(site.rows.contains(StateRow("j")));
  site.Advance(std::chrono::seconds(300));
  site.Settle();
  CHECK_FALSE(site.rows.contains(JobRow("j")));
  site.Advance(std::chrono::seconds(11));
  site.Settle();
  CHECK(site.rows.empty());
  CHECK(site.scheduler.Jobs().empty());
}

// Guards against an ended job that runs again: a leader that finds the job's row without its state
// takes it for new, and the two rows are in different parts and cannot be removed together.
TEST_CASE("JobScheduler KeepsTheStateOfAnEndedJobLongerThanItsRow")
{
  SchedulerSite site;
  site.AddAgent("a");
  site.Submit(MakeJob("j", { MakeStep(1) }));
  site.Settle();
  site.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  site.Settle();
  site.Advance(std::chrono::seconds(300));
  site.scheduler.Decide(site.now);
  const std::vector<RowKey> removals = site.scheduler.TakeRemovals(50);
  REQUIRE(std::count(removals.begin(), removals.end(), JobRow("j")) == 1);

  // The store does not answer, however long it takes.
  site.Advance(std::chrono::seconds(100));
  site.scheduler.OnRemovalFailed(removals);
  site.scheduler.Decide(site.now);
  CHECK_FALSE(site.scheduler.HasChanges());

  // The rows were read again before the removal was applied, and are taken late.
  site.scheduler.OnRemoved(site.scheduler.TakeRemovals(50), site.now);
  site.Submit(MakeJob("j", { MakeStep(1) }));
  site.Settle();
  CHECK(site.StateOf("j") == JobState::Completed);
  CHECK(site.starts.size() == 1);
}

// Guards against ended jobs that callers are not told of any more because the time of day was set.
TEST_CASE("JobScheduler KeepsAnEndedJobWhenTheTimeOfDayJumps")
{
  SchedulerSite site;
  site.AddAgent("a");
  site.Submit(MakeJob("j", { MakeStep(1) }));
  site.Settle();
  site.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  site.Settle();
  site.now.unixMs += 3'600'000;
  site.Advance(std::chrono::seconds(2));
  site.Settle();
  CHECK(site.rows.contains(JobRow("j")));
  CHECK(site.rows.contains(StateRow("j")));
}

// Guards against states that stay for good when a leader ends between the two removals.
TEST_CASE("JobScheduler RemovesAStateWhoseJobIsGone")
{
  SchedulerSite site({ { StateRow("gone"), "completed 0 q" } });
  site.Settle();
  CHECK(site.rows.contains(StateRow("gone")));
  site.Advance(std::chrono::seconds(11));
  site.Settle();
  CHECK(site.rows.empty());
}

// Guards against a transaction over two parts, which the store refuses.
TEST_CASE("JobScheduler TakesRemovalsOfOnePartAtATime")
{
  SchedulerSite site;
  site.AddAgent("a", 100'000);
  for (int job = 0; job < 40; ++job) {
    site.Submit(MakeJob("j" + std::to_string(job), { MakeStep(1) }));
  }
  site.scheduler.Decide(site.now);
  std::size_t taken = 0;
  std::set<std::string> parts;
  for (;;) {
    const std::vector<RowKey> rows = site.scheduler.TakeRemovals(3);
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
