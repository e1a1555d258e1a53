// When a job counts as started: its row of `waiting`, which callers see as `pending`, its state and
// the measured start delay.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Accepts a job as an entry does.
void Accept(SchedulerFixture& aFixture, const JobRecord& aRecord)
{
  aFixture.rows[WaitingRow(aRecord.policy.queue, aRecord.id)] = {};
  aFixture.Submit(aRecord);
}

bool IsWaiting(const SchedulerFixture& aFixture, const std::string& aJob)
{
  return aFixture.rows.contains(WaitingRow("queue", aJob));
}

void CheckNotStarted(SchedulerFixture& aFixture, const std::string& aJob)
{
  INFO("job " << aJob);
  CHECK(IsWaiting(aFixture, aJob));
  CHECK(aFixture.StateOf(aJob) == JobState::Queued);
  CHECK_FALSE(aFixture.rows.contains(StateRow(aJob)));
  CHECK(aFixture.scheduler.TakeStartDelays().empty());
}

void CheckStarted(SchedulerFixture& aFixture, const std::string& aJob)
{
  INFO("job " << aJob);
  CHECK_FALSE(IsWaiting(aFixture, aJob));
  CHECK(aFixture.StateOf(aJob) == JobState::Running);
  CHECK(aFixture.rows.at(StateRow(aJob)).starts_with("running"));
}

} // namespace

// Guards against `pending` leaving out a job whose only run was lost before it began.
TEST_CASE("JobScheduler KeepsAJobWaitingWhenItsWorkerIsLostBeforeARunStarts")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Accept(fixture, MakeJob("j", { MakeStep(2) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  CheckNotStarted(fixture, "j");
  fixture.Advance(SchedulerSettings{}.LeaseBound() + kMs);
  fixture.RunUntilIdle();
  REQUIRE(fixture.scheduler.Workers().empty());
  CheckNotStarted(fixture, "j");

  fixture.AddAgent("b");
  fixture.RunUntilIdle();
  CheckNotStarted(fixture, "j");
  fixture.Advance(100 * kMs);
  fixture.Report("b");
  fixture.RunUntilIdle();
  CheckStarted(fixture, "j");
  const std::vector<Duration> delays = fixture.scheduler.TakeStartDelays();
  REQUIRE(delays.size() == 1);
  CHECK(delays[0] == SchedulerSettings{}.LeaseBound() + 101 * kMs);
}

// Guards against `pending` leaving out a job whose starts were all rejected.
TEST_CASE("JobScheduler KeepsAJobWaitingWhenItsStartIsRejected")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Accept(fixture, MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  WorkerReport& report = fixture.agents["a"];
  report.running.clear();
  report.rejected.push_back({ fixture.starts[0].second.ref, "room" });
  fixture.Report("a");
  report.rejected.clear();
  fixture.RunUntilIdle();
  CheckNotStarted(fixture, "j");
}

// Guards against a job that is shown as running while its agent only reports that it starts a run.
TEST_CASE("JobScheduler KeepsAJobWaitingWhenItsAgentListsARunAsStarting")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Accept(fixture, MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  WorkerReport& report = fixture.agents["a"];
  report.running.clear();
  report.starting.push_back(fixture.starts[0].second.ref);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CheckNotStarted(fixture, "j");
}

// Guards against `pending` counting a job after its first run was so short that only its end is
// reported, also one that did not succeed or that the leader considered lost.
TEST_CASE("JobScheduler CountsAJobAsStartedWhenAnEndOfARunIsReported")
{
  for (const RunEnd how : { RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed }) {
    INFO("end " << nlohmann::json(how));
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    Accept(fixture, MakeJob("j", { MakeStep(1), MakeStep(1, { 0 }) }));
    fixture.RunUntilIdle();
    REQUIRE(fixture.starts.size() == 1);
    const RunRef ref = fixture.starts[0].second.ref;
    if (how == RunEnd::Lapsed) {
      fixture.Advance(SchedulerSettings{}.LeaseBound() + kMs);
      fixture.RunUntilIdle();
      CheckNotStarted(fixture, "j");
    }
    fixture.End("a", ref, how);
    fixture.RunUntilIdle();
    CheckStarted(fixture, "j");
  }
}

// Guards against `pending` leaving out a gang, or a job with due times, before a run has started.
TEST_CASE("JobScheduler KeepsAGangAndAPeriodicJobWaitingUntilARunStarts")
{
  JobRecord gang = MakeJob("j", { MakeStep(2) });
  gang.spec.steps[0].gang = true;
  JobRecord periodic = MakeJob("j", { MakeStep(1) });
  periodic.spec.repeats = 2;
  periodic.spec.intervalMs = 1000;
  for (const JobRecord& record : { gang, periodic }) {
    SchedulerFixture fixture;
    fixture.AddAgent("a");
    Accept(fixture, record);
    fixture.RunUntilIdle();
    REQUIRE_FALSE(fixture.starts.empty());
    CheckNotStarted(fixture, "j");
    fixture.Report("a");
    fixture.RunUntilIdle();
    CheckStarted(fixture, "j");
  }
}

// Guards against a new leader that takes a job for started because the earlier one had placed it.
TEST_CASE("JobScheduler KeepsAJobWaitingWhenTheLeaderChangesBeforeARunStarts")
{
  SchedulerFixture first;
  first.AddAgent("a");
  Accept(first, MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 1);
  SchedulerFixture second(first.rows);
  second.RunUntilIdle();
  CheckNotStarted(second, "j");
  second.agents = first.agents;
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.RunUntilIdle();
  CheckStarted(second, "j");
}

// Guards against `pending` counting a started job until it is forgotten, because the leader ended
// before it removed the row.
TEST_CASE("JobScheduler RemovesTheWaitingRowOfAStartedJobWhenTheLeaderChanges")
{
  SchedulerFixture first;
  first.AddAgent("a");
  Accept(first, MakeJob("j", { MakeStep(1) }));
  first.RunUntilIdle();
  first.Report("a");
  first.RunUntilIdle();
  CheckStarted(first, "j");
  auto stored = first.rows;
  stored[WaitingRow("queue", "j")] = {};
  SchedulerFixture second(stored);
  second.RunUntilIdle();
  CheckStarted(second, "j");
}

// Guards against writing the state of a job with every report.
TEST_CASE("JobScheduler StoresTheStartOfAJobOnceWhenRunsOfItAreLostAndStartedAgain")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Accept(fixture, MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  CheckStarted(fixture, "j");
  fixture.End("a", fixture.starts[0].second.ref, RunEnd::Failed);
  fixture.scheduler.Decide(fixture.now);
  for (int round = 0; round < 3; ++round) {
    StoreBatch batch = fixture.scheduler.TakeBatch(50);
    for (const RowChange& change : batch.changes) {
      CHECK(change.row.table != kStateTable);
    }
    fixture.scheduler.OnStored(std::move(batch), fixture.now);
    CHECK(fixture.scheduler.TakeRemovals(50).empty());
    fixture.TakeOrders();
    fixture.Report("a");
    fixture.scheduler.Decide(fixture.now);
  }
  CHECK(fixture.starts.size() == 2);
}

// Guards against a row of `waiting` that outlives a job cancelled before a run of it started.
TEST_CASE("JobScheduler RemovesTheWaitingRowWhenAJobIsCancelledBeforeItsRunStarts")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  Accept(fixture, MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CheckNotStarted(fixture, "j");
  fixture.scheduler.OnJobRow(CancelRow("j").key, {}, fixture.now);
  fixture.RunUntilIdle();
  CHECK_FALSE(IsWaiting(fixture, "j"));
  CHECK(fixture.StateOf("j") == JobState::Cancelled);
}
