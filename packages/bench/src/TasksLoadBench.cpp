// Load of the task path on entries, agents and the store.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/tasks/SimWorld.h"

#include <malloc.h>

namespace oriolespread {

namespace {

using namespace sim;

// Counts calls and decides nothing, so that only the owner's own work is measured.
class IdlePlacer
{
public:
  void SetWorker(const WorkerSpec& /*aSpec*/) {}
  void SetAvailable(const WorkerId& /*aWorker*/, bool /*aAvailable*/) {}
  void RemoveWorker(const WorkerId& /*aWorker*/) {}
  void Submit(Instant /*aNow*/, const PlacementRequest& /*aRequest*/) {}
  void Restore(Instant /*aNow*/,
               const PlacementRequest& /*aRequest*/,
               const WorkerId& /*aWorker*/,
               const Resources& /*aGrant*/)
  {
  }
  void Release(const TaskId& /*aTask*/) {}
  void RecordCheckpoint(Instant /*aNow*/, const TaskId& /*aTask*/) {}
  void RecordFailure(Instant /*aNow*/, const TaskId& /*aTask*/, const WorkerId& /*aWorker*/) {}
  void RecordUsage(Instant /*aNow*/, const TaskId& /*aTask*/, const Resources& /*aUsed*/) {}
  void RecordLatency(Instant /*aNow*/, const ServiceLatencyReport& /*aReport*/) {}
  std::vector<PlacementAction> Schedule(Instant /*aNow*/, std::size_t /*aLimit*/) { return {}; }
};

double ProcessorSeconds(std::clock_t aClock)
{
  return static_cast<double>(aClock) / CLOCKS_PER_SEC;
}

JobSpec MakeSpec(const std::string& aJob, std::uint32_t aTasks)
{
  JobSpec spec;
  spec.job = JobId{ aJob };
  spec.organisation = OrganisationId{ "org" };
  spec.program = "1000";
  spec.tasks = aTasks;
  spec.resources = { 1000, 512, 0 };
  return spec;
}

// Runs an owner against a table that answers at once, until its inbox is empty. Returns the
// processor time that the owner used.
double DrainInbox(ShardOwner<IdlePlacer>& aOwner, MemoryTable& aTable, Instant& aNow)
{
  std::clock_t used = 0;
  const auto handle = [&](const OwnerEvent& aEvent) {
    OwnerEffects effects;
    const std::clock_t before = std::clock();
    aOwner.Handle(aNow, aEvent, effects);
    used += std::clock() - before;
    return effects;
  };
  do {
    aNow += milliseconds(50);
    std::vector<OwnerEffect> effects = handle(OwnerTick{});
    for (std::size_t index = 0; index < effects.size(); ++index) {
      OwnerEvent result = OwnerTick{};
      if (const auto* commit = std::get_if<CommitCall>(&effects[index])) {
        result = CommitResult{ commit->call, aTable.Commit(commit->transaction) };
      } else if (const auto* scan = std::get_if<ScanCall>(&effects[index])) {
        result = ScanResult{ scan->call, aTable.Scan(scan->prefix, scan->after, scan->limit) };
      }
      for (OwnerEffect& effect : handle(result)) {
        effects.push_back(std::move(effect));
      }
    }
  } while (aOwner.Role() != OwnerRole::Owning ||
           !aTable.Scan(InboxPrefix(ShardId{ 0 }), "", 1).rows.empty());
  return ProcessorSeconds(used);
}

// Returns microseconds for each of `aNamed` tasks cancelled one by one out of `aTasks`.
double CancelCost(std::uint32_t aTasks, std::uint32_t aNamed)
{
  Counters counters;
  OwnerOptions options;
  options.entry = EntryId{ "entry" };
  options.recordsPerSnapshot = 10'000'000;
  ShardOwner<IdlePlacer> owner(
    options, [] { return std::make_unique<IdlePlacer>(); }, counters);
  MemoryTable table;
  Instant now{};
  table.Commit(
    MakeSubmitTransaction(TransactionId{ "submit" }, ShardId{ 0 }, MakeSpec("job", aTasks)));
  DrainInbox(owner, table, now);
  for (std::uint32_t index = 0; index < aNamed; ++index) {
    const std::string id = absl::StrCat("cancel", index);
    table.Commit(
      MakeCancelTransaction(TransactionId{ id }, ShardId{ 0 }, { id, JobId{ "job" }, { index } }));
  }
  return DrainInbox(owner, table, now) * 1e6 / aNamed;
}

void MeasureCancellations(BenchContext& aContext)
{
  constexpr std::uint32_t kNamed = 10'000;
  const double small = CancelCost(kNamed, kNamed);
  const double large = CancelCost(kMaxTasksPerJob, kNamed);
  aContext.Report({ "cost_of_10000_in_10000", {}, small, "us per task", {}, BoundKind::AtMost });
  // In proportion to the tasks named: ten times the tasks may not double the cost of each.
  aContext.Report(
    { "cost_of_10000_in_100000", small, large, "us per task", 2 * small, BoundKind::AtMost });
}

void MeasureStarts(BenchContext& aContext)
{
  constexpr double kShards = 8;
  constexpr std::uint32_t kStartsPerSecond = 24;
  constexpr int kSeconds = 60;
  WorldOptions options;
  options.seed = aContext.Seed();
  options.entries = 1;
  options.agents = 463;
  options.capacity = { 24'000, 100'000, 0 };
  options.horizon = seconds(600);
  options.recordsPerSnapshot = 10'000;
  SimWorld world(options);
  // 8,900 running tasks of staggered lengths end at about the rate at which new ones come.
  for (int job = 0; job < 100; ++job) {
    world.Submit(absl::StrCat("old", job), 89, seconds(60 + 7 * job), { 1000, 512, 0 });
  }
  world.RunFor(seconds(60));
  world.measureUsage = true;
  const std::uint64_t commits = world.store.commits;
  const std::uint64_t rows = world.store.rowWrites;
  const std::uint64_t starts = world.checks.starts;
  for (int second = 0; second < kSeconds; ++second) {
    world.Submit(absl::StrCat("new", second), kStartsPerSecond, seconds(300), { 1000, 512, 0 });
    world.RunFor(seconds(1));
  }
  const double started = static_cast<double>(world.checks.starts - starts) / kSeconds;
  // Submissions are the callers' writes.
  const double written = static_cast<double>(world.store.commits - commits - kSeconds) / kSeconds;
  const double rowsWritten =
    static_cast<double>(world.store.rowWrites - rows - 2 * kSeconds) / kSeconds;
  const double share = 100 * ProcessorSeconds(world.ownerProcessorTime) / kSeconds;
  aContext.Report({ "starts_8_shards", {}, kShards * started, "per s", 190.0, BoundKind::AtLeast });
  aContext.Report(
    { "store_writes_8_shards", {}, kShards * written, "per s", 100.0, BoundKind::AtMost });
  aContext.Report(
    { "store_rows_8_shards", {}, kShards * rowsWritten, "per s", {}, BoundKind::AtMost });
  aContext.Report(
    { "processor_8_shards", {}, kShards * share, "% of a core", 2.0, BoundKind::AtMost });
  aContext.Report({ "running_one_shard",
                    {},
                    static_cast<double>(world.RunningTasks()),
                    "tasks",
                    {},
                    BoundKind::AtMost });
}

void MeasureMemory(BenchContext& aContext)
{
  constexpr std::uint32_t kTasks = 50'000;
  const std::size_t before = mallinfo2().uordblks;
  TaskTable table;
  LeaseTable leases;
  table.Apply(JobSubmitted{ MakeSpec("job", kTasks) });
  const std::size_t queued = mallinfo2().uordblks;
  for (std::uint32_t index = 0; index < kTasks; ++index) {
    const AttemptId attempt{ { JobId{ "job" }, index }, { Epoch{ 1 }, index + 1ULL } };
    const WorkerId worker{ absl::StrCat("worker-", index % 463) };
    table.Apply(TaskPlaced{ attempt, worker, { 1000, 512, 0 } });
    table.Apply(TaskProgressed{ attempt, "checkpoint-0123456789-0123456789" });
    LiveAttempt live;
    live.attempt = attempt;
    leases.GetOrAdd(worker).attempts.emplace(attempt.token, live);
  }
  const std::size_t running = mallinfo2().uordblks;
  const auto each = [](std::size_t aBytes) { return static_cast<double>(aBytes) / kTasks; };
  aContext.Report({ "queued", {}, each(queued - before), "bytes", {}, BoundKind::AtMost });
  aContext.Report({ "running", {}, each(running - before), "bytes", {}, BoundKind::AtMost });
}

void MeasureHeartbeats(BenchContext& aContext)
{
  constexpr double kSeconds = 120;
  WorldOptions options;
  options.seed = aContext.Seed();
  options.entries = 4;
  options.agents = 11;
  options.capacity = { 32'000, 125'000, 0 };
  SimWorld world(options);
  // 19 tasks on each worker, as 71,000 on 3,700; one of them ends every 20 s.
  for (int job = 0; job < 60; ++job) {
    world.Submit(absl::StrCat("job", job), 11, seconds(30 + 20 * job), { 1500, 512, 0 });
  }
  world.RunFor(seconds(20));
  world.measureUsage = true;
  world.RunFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kSeconds)));
  const double rate = static_cast<double>(world.agentBytes) / kSeconds / 11;
  aContext.Report({ "agent_sends", {}, rate, "bytes per s", 7000.0, BoundKind::AtMost });
}

const BenchRegistration kCancellations{ "tasks/cancellations", MeasureCancellations };
const BenchRegistration kStarts{ "tasks/starts", MeasureStarts };
const BenchRegistration kMemory{ "tasks/memory", MeasureMemory };
const BenchRegistration kHeartbeats{ "tasks/heartbeats", MeasureHeartbeats };

} // namespace

} // namespace oriolespread
