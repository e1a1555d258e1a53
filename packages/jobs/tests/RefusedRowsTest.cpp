// Changes that the store refuses as invalid.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Decides and takes one batch, which the store refuses.
void RefuseBatch(SchedulerFixture& aFixture)
{
  aFixture.scheduler.Decide(aFixture.now);
  StoreBatch batch = aFixture.scheduler.TakeBatch(50);
  REQUIRE(batch.changes.size() == 1);
  aFixture.scheduler.OnRefused(std::move(batch), aFixture.now);
  aFixture.TakeOrders();
}

} // namespace

// Guards against workers that are reserved for runs which are never ordered, so that other jobs
// wait although their rows are stored.
TEST_CASE("JobScheduler ReservesNoWorkerForRunsThatTheStoreRefuses")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 1000);
  fixture.Submit(MakeJob("odd", { MakeStep(1) }));
  RefuseBatch(fixture);
  CHECK(fixture.scheduler.WithheldRows() == 1);
  CHECK(fixture.LastLogged("row_refused").value("key", "") == "odd.0.0");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref.task == "j.0.0.0");
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  fixture.Advance(std::chrono::seconds(2));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CHECK(fixture.starts[1].second.ref.task == "odd.0.0.0");
  CHECK(fixture.scheduler.WithheldRows() == 0);
}

// Guards against attempts at the rate of rows that tasks wait for, although the row keeps no task
// from being placed.
TEST_CASE("JobScheduler RetriesARefusedRowRarelyWhenNoTaskWaitsForIt")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2), MakeStep(1, { 0 }) }));
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  int attempts = 0;
  for (int pass = 0; pass < 140; ++pass) {
    fixture.scheduler.Decide(fixture.now);
    StoreBatch batch = fixture.scheduler.TakeBatch(50);
    if (!batch.empty()) {
      ++attempts;
      fixture.scheduler.OnRefused(std::move(batch), fixture.now);
    }
    fixture.Advance(100 * kMs);
    for (RunningRun& running : fixture.agents.at("a").running) {
      running.percent = std::min(running.percent + 1, 99);
    }
    fixture.Report("a");
  }
  // At 0, 1, 3 and 7 s.
  CHECK(attempts == 4);
}

// Guards against an end that is acknowledged, so that only its unstored row knows of it.
TEST_CASE("JobScheduler AcknowledgesAnEndOnlyWhenItsRefusedRowIsStored")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  RefuseBatch(fixture);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds.empty());
  fixture.Advance(std::chrono::seconds(2));
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.acknowledgedEnds.size() == 1);
}

// Guards against a cancelled job that keeps its runs or its state, because a row of it is refused.
TEST_CASE("JobScheduler CancelsAJobWhoseProgressTheStoreRefuses")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  fixture.End("a", { "j.0.0.0", 1 }, RunEnd::Failed);
  RefuseBatch(fixture);
  fixture.scheduler.OnJobRow("j.cancel", {}, fixture.now);
  fixture.RunUntilIdle();
  CHECK(fixture.stops.size() == 1);
  CHECK(fixture.rows[StateRow("j")].starts_with("cancelled"));
}
