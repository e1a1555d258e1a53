// What the failure of an owner, a worker, a rack or the store costs, on the virtual clock.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/tasks/SimWorld.h"

#include <algorithm>
#include <numeric>

namespace oriolespread {

namespace {

using namespace sim;

constexpr std::uint64_t kTrials = 100;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void ReportTimes(BenchContext& aContext,
                 const std::string& aName,
                 std::vector<double> aTimes,
                 std::optional<double> aBound)
{
  std::sort(aTimes.begin(), aTimes.end());
  const double mean =
    std::accumulate(aTimes.begin(), aTimes.end(), 0.0) / static_cast<double>(aTimes.size());
  aContext.Report({ aName + "_mean", {}, mean, "s", {}, BoundKind::AtMost });
  aContext.Report(
    { aName + "_p99", {}, aTimes[aTimes.size() * 99 / 100], "s", aBound, BoundKind::AtMost });
  aContext.Report({ aName + "_max", {}, aTimes.back(), "s", aBound, BoundKind::AtMost });
}

void RequireNoViolation(BenchContext& aContext, const SimWorld& aWorld)
{
  const double violations = aWorld.checks.violation.empty() ? 0.0 : 1.0;
  aContext.Report({ "violations", {}, violations, "count", 0.0, BoundKind::AtMost });
}

// Time from the death of the owner to the next committed placement, with tasks always waiting.
double OwnerDeath(std::uint64_t aSeed)
{
  WorldOptions options;
  options.seed = aSeed;
  options.agents = 11;
  options.horizon = seconds(600);
  SimWorld world(options);
  world.Submit("short", 5000, seconds(3), { 1000, 512, 0 });
  world.RunFor(seconds(15) + world.random.Between({}, seconds(5)));
  for (std::size_t entry = 0; entry < options.entries; ++entry) {
    if (&world.entries[entry] == world.FindOwner()) {
      world.KillEntry(entry);
      break;
    }
  }
  // The request in flight may still commit; what counts is the successor's first placement.
  world.RunFor(milliseconds(100));
  const Duration killed = world.queue.Now() - milliseconds(100);
  const std::size_t before = world.checks.placements;
  while (world.checks.placements == before && world.queue.Now() < killed + seconds(30)) {
    world.RunFor(milliseconds(10));
  }
  return Seconds(world.queue.Now() - killed);
}

void MeasureOwnerDeath(BenchContext& aContext)
{
  std::vector<double> times;
  for (std::uint64_t trial = 0; trial < kTrials; ++trial) {
    times.push_back(OwnerDeath(aContext.Seed() * 1000 + trial));
  }
  ReportTimes(aContext, "death_to_next_placement", times, 5.0);
}

void MeasureTakeOver(BenchContext& aContext)
{
  WorldOptions options;
  options.seed = aContext.Seed();
  options.agents = 40;
  options.capacity = { 25'000, 100'000, 0 };
  options.horizon = seconds(600);
  SimWorld world(options);
  world.Submit("long", 1000, std::chrono::hours(2), { 1000, 512, 0 });
  world.RunFor(seconds(30));
  const double running = static_cast<double>(world.RunningTasks());
  const std::uint64_t started = world.checks.starts;
  for (std::size_t entry = 0; entry < options.entries; ++entry) {
    if (&world.entries[entry] == world.FindOwner()) {
      world.KillEntry(entry);
      break;
    }
  }
  Duration paused{};
  for (int step = 0; step < 600; ++step) {
    world.RunFor(milliseconds(100));
    paused += milliseconds(100) * (1000 - static_cast<int>(world.RunningTasks()));
  }
  const auto moved = static_cast<double>(world.checks.starts - started);
  aContext.Report({ "running_before", {}, running, "tasks", 1000.0, BoundKind::AtLeast });
  aContext.Report({ "moved", {}, moved, "tasks", 0.0, BoundKind::AtMost });
  aContext.Report({ "paused", {}, Seconds(paused), "task s", {}, BoundKind::AtMost });
  RequireNoViolation(aContext, world);
}

// Time from the death of machines until all their tasks have started elsewhere.
double MachineDeath(std::uint64_t aSeed, std::size_t aMachines)
{
  WorldOptions options;
  options.seed = aSeed;
  options.agents = 11;
  options.capacity = { 8000, 32'000, 0 };
  SimWorld world(options);
  world.Submit("long", 40, std::chrono::hours(2), { 1000, 512, 0 });
  world.RunFor(seconds(15) + world.random.Between({}, seconds(5)));
  std::size_t lost = 0;
  for (std::size_t machine = 0; machine < aMachines; ++machine) {
    lost += world.agents[machine].worker->Running();
    world.KillWorker(machine);
  }
  const Duration killed = world.queue.Now();
  const std::uint64_t started = world.checks.starts;
  while (world.checks.starts < started + lost && world.queue.Now() < killed + seconds(60)) {
    world.RunFor(milliseconds(10));
  }
  return Seconds(world.queue.Now() - killed);
}

void MeasureMachineDeath(BenchContext& aContext)
{
  std::vector<double> worker;
  std::vector<double> rack;
  for (std::uint64_t trial = 0; trial < kTrials; ++trial) {
    worker.push_back(MachineDeath(aContext.Seed() * 1000 + trial, 1));
    rack.push_back(MachineDeath(aContext.Seed() * 1000 + trial, 3));
  }
  ReportTimes(aContext, "dead_worker_recovery", worker, {});
  ReportTimes(aContext, "dead_rack_recovery", rack, {});
}

void MeasureStoreOutage(BenchContext& aContext)
{
  constexpr Duration kOutage = std::chrono::hours(1);
  WorldOptions options;
  options.seed = aContext.Seed();
  options.agents = 11;
  options.horizon = seconds(600);
  SimWorld world(options);
  world.Submit("long", 44, std::chrono::hours(3), { 1000, 512, 0 });
  world.RunFor(seconds(30));
  const std::uint64_t started = world.checks.starts;
  world.store.down = true;
  double runningSeconds = 0.0;
  for (Duration time{}; time < kOutage; time += seconds(1)) {
    world.RunFor(seconds(1));
    runningSeconds += static_cast<double>(world.RunningTasks());
  }
  world.store.down = false;
  Duration back{};
  while (world.RunningTasks() < 44 && back < seconds(60)) {
    world.RunFor(milliseconds(100));
    back += milliseconds(100);
  }
  world.RunFor(seconds(60));
  Duration lost{};
  for (const AgentProcess& agent : world.agents) {
    lost += agent.worker->lostWork;
  }
  const auto restarts = static_cast<double>(world.checks.starts - started);
  aContext.Report(
    { "running_in_outage", {}, runningSeconds / 44, "s per task", 570.0, BoundKind::AtLeast });
  aContext.Report({ "paused_in_outage",
                    {},
                    Seconds(kOutage) - runningSeconds / 44,
                    "s per task",
                    {},
                    BoundKind::AtMost });
  aContext.Report({ "resume_after_outage", {}, Seconds(back), "s", {}, BoundKind::AtMost });
  aContext.Report({ "lost_work", {}, Seconds(lost), "s", 0.0, BoundKind::AtMost });
  aContext.Report({ "restarts", {}, restarts, "tasks", 0.0, BoundKind::AtMost });
  RequireNoViolation(aContext, world);
}

const BenchRegistration kOwnerDeath{ "tasks/owner_death", MeasureOwnerDeath };
const BenchRegistration kTakeOver{ "tasks/take_over", MeasureTakeOver };
const BenchRegistration kMachineDeath{ "tasks/machine_death", MeasureMachineDeath };
const BenchRegistration kStoreOutage{ "tasks/store_outage", MeasureStoreOutage };

} // namespace

} // namespace oriolespread
