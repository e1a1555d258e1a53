#include "oriolespread/tasks/SimWorld.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::sim;

namespace {

std::size_t OwnerIndex(SimWorld& aWorld)
{
  REQUIRE(aWorld.FindOwner() != nullptr);
  return static_cast<std::size_t>(aWorld.FindOwner() - aWorld.entries.data());
}

} // namespace

// Guards against a chain that loses a task between submission, placement, start and completion.
TEST_CASE("ShardOwner CompletesEachTaskOnceWhenNothingFails")
{
  SimWorld world({});
  REQUIRE(world.Submit("job", 20, seconds(2), { 1000, 512, 0 }));
  world.RunFor(seconds(20));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.completed == 20);
  CHECK(world.checks.starts == 20);
  REQUIRE(world.FindOwner() != nullptr);
  const auto view = world.FindOwner()->owner->FindJob(JobId{ "job" });
  REQUIRE(view.has_value());
  CHECK(view->job->finished);
  CHECK(view->durable);
  CHECK(view->job->Count(TaskState::Completed) == 20);
}

// Guards against a planned stop that leaves the shard without an owner for a whole lease, or that
// moves or pauses tasks.
TEST_CASE("ShardOwner HandsItsShardOverInAPlannedStop")
{
  SimWorld world({});
  REQUIRE(world.Submit("job", 12, seconds(30), { 1000, 512, 0 }));
  world.RunFor(seconds(15));
  REQUIRE(world.RunningTasks() == 12);
  std::size_t owner = 0;
  while (&world.entries[owner] != world.FindOwner()) {
    ++owner;
  }
  // A transaction may be in flight; a driver asks again.
  while (!world.TryRelease(owner)) {
    world.RunFor(milliseconds(1));
  }
  world.RunFor(milliseconds(50));
  world.KillEntry(owner);
  world.RunFor(seconds(1));
  CHECK(world.FindOwner() != nullptr);
  world.RunFor(seconds(60));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.completed == 12);
  CHECK(world.checks.placements == 12);
}

// Explorer seed 5: a scan of the inbox was answered while the ownership lease had lapsed, and the
// inbox was never read again.
TEST_CASE("ShardOwner ReadsItsInboxAgainAfterItsLeaseHadLapsed")
{
  WorldOptions options;
  options.entries = 1;
  SimWorld world(options);
  world.RunFor(seconds(5));
  world.store.delay = seconds(8);
  world.RunFor(seconds(12));
  world.store.delay = milliseconds(5);
  world.RunFor(seconds(12));
  REQUIRE(world.Submit("job", 4, seconds(1), { 1000, 512, 0 }));
  world.RunFor(seconds(10));
  INFO(world.checks.violation);
  CHECK(world.checks.completed == 4);
}

// The measurement of an hour's outage lost all work: a successor counted the horizon from before
// the outage and requeued paused attempts before their agents could report them.
TEST_CASE("ShardOwner ResumesPausedTasksWhenAnotherEntryOwnsAfterALongOutage")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5, 6 }) {
    WorldOptions options;
    options.seed = seed;
    options.horizon = seconds(20);
    SimWorld world(options);
    world.Submit("job", 12, std::chrono::hours(1), { 1000, 512, 0 });
    world.RunFor(seconds(20));
    REQUIRE(world.checks.starts == 12);
    world.store.down = true;
    world.RunFor(seconds(15));
    CHECK(world.RunningTasks() == 12);
    world.RunFor(seconds(100));
    CHECK(world.RunningTasks() == 0);
    world.store.down = false;
    world.RunFor(seconds(20));
    INFO("seed " << seed << " " << world.checks.violation);
    CHECK(world.RunningTasks() == 12);
    CHECK(world.checks.starts == 12);
  }
}

// Guards against a second successor that forgets for how long the first owner may still extend
// leases: the work on a worker that reports to the first owner only would run twice.
TEST_CASE("ShardOwner WaitsForTheFirstOwnersHorizonOverTwoTakeOvers")
{
  WorldOptions options;
  options.agents = 2;
  options.horizon = seconds(60);
  options.drift = false;
  SimWorld world(options);
  world.Submit("job", 8, std::chrono::hours(1), { 1000, 512, 0 });
  world.RunFor(seconds(15));
  const std::size_t first = OwnerIndex(world);
  world.entries[first].storeUnreachable = true;
  for (std::size_t entry = 0; entry < 3; ++entry) {
    world.SetLinkCut(entry, 0, entry != first);
  }
  world.RunFor(seconds(12));
  const std::size_t second = OwnerIndex(world);
  REQUIRE(second != first);
  world.KillEntry(second);
  world.RunFor(seconds(28));
  CHECK(world.checks.starts == 8);
  CHECK(world.RunningTasks() == 8);
  // After the horizon the first owner stops, the worker pauses, and the work moves on.
  world.KillWorker(1);
  world.StartAgent(1);
  world.RunFor(seconds(120));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.starts > 8);
}

// Guards against a cancellation that loses against a start that was not sent yet, and against one
// that is dropped because its page was read before the job's.
TEST_CASE("ShardOwner NeverStartsATaskCancelledWithItsSubmission")
{
  SimWorld world({});
  world.RunFor(seconds(5));
  REQUIRE(world.Submit("job", 10, seconds(5), { 1000, 512, 0 }));
  REQUIRE(world.Cancel("job", {}));
  world.RunFor(seconds(10));
  CHECK(world.checks.starts == 0);
  const auto view = world.FindOwner()->owner->FindJob(JobId{ "job" });
  REQUIRE(view.has_value());
  CHECK(view->job->Count(TaskState::Cancelled) == 10);
}

// Guards against an owner that stays owner although it slept past its lease (F9).
TEST_CASE("ShardOwner DecidesNothingWhenItWakesPastItsLease")
{
  SimWorld world({});
  world.Submit("job", 200, seconds(2), { 1000, 512, 0 });
  world.RunFor(seconds(15));
  const std::size_t first = OwnerIndex(world);
  world.entries[first].pausedUntil = world.queue.Now() + seconds(20);
  world.RunFor(seconds(40));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.entries[first].owner->Role() == OwnerRole::Observing);
  CHECK(world.entries[first].counters->Get("shard_losses_total", "conflict") == 1);
}

// Guards against journal rows that are never deleted, or deleted before the snapshot is in force.
TEST_CASE("ShardOwner RecoversFromASnapshotAndDeletesWhatItReplaces")
{
  SimWorld world({});
  world.Submit("job", 300, seconds(1), { 1000, 512, 0 });
  world.RunFor(seconds(40));
  CHECK(world.store.table.Scan(JournalPrefix(ShardId{ 0 }), "", 1000).rows.size() < 80);
  CHECK(world.store.objects.size() <= 2);
  world.KillEntry(OwnerIndex(world));
  world.RunFor(seconds(80));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.completed == 300);
}

// Explorer, seeds 1 to 500: a later owner had deleted journal rows between two pages, and the
// reader went on with a state that lacked them.
TEST_CASE("StateLoader ReadsAgainWhenTheJournalHasAGap")
{
  Counters counters;
  const OwnerOptions options;
  StateLoader loader(options, counters);
  CallIdGenerator calls;
  Instant now{ seconds(100) };
  const auto read = [&](const std::vector<std::uint64_t>& aSeqs) {
    OwnerEffects effects;
    now += seconds(1);
    loader.Poll(now, calls, effects);
    REQUIRE(effects.size() == 1);
    ScanPage page;
    for (const std::uint64_t seq : aSeqs) {
      page.rows.push_back(
        { JournalKey(options.shard, seq), RowVersion{ seq }, { { "records", {} } } });
    }
    loader.OnEvent(now, ScanResult{ std::get<ScanCall>(effects[0]).call, page });
  };
  loader.Start();
  read({});
  read({ 1, 3 });
  CHECK_FALSE(loader.IsDone());
  CHECK(counters.Get("recovery_errors_total", "gap") == 1);
  read({});
  read({ 1, 2, 3 });
  CHECK(loader.IsDone());
  CHECK(loader.LastSeq() == 3);
}

// Explorer, seeds 1 to 100: an eviction on a worker that had not reported to a new owner yet was
// sent to an agent without a name.
TEST_CASE("ShardOwner EvictsOnAWorkerThatIsNotLinkedOnlyOnceItReports")
{
  SimWorld world({});
  world.evictionProbability = 0.5;
  world.Submit("job", 16, std::chrono::hours(1), { 1000, 512, 0 });
  world.RunFor(seconds(10));
  world.KillWorker(0);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    world.KillEntry(entry);
    world.StartEntry(entry);
  }
  world.RunFor(seconds(60));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.starts > 16);
}
