// Start delay of urgent tasks and evictions in a full cell, and batch throughput against an ideal
// packing.
//
// The ideal packing runs the same sequence on one worker that has the capacity of the whole cell:
// it has no fragmentation, keeps the order of submission, and lets later tasks pass one that does
// not fit. No placement on separate workers can be expected to do better.
#include "PlacementSimulation.h"

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/placement/FirstFitPlacer.h"
#include "oriolespread/placement/ScoredPlacer.h"

#include <algorithm>

namespace oriolespread::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 100;
constexpr Duration kLength = seconds(1800);
constexpr Duration kMeanWork = seconds(300);
constexpr Duration kCheckpoint = seconds(60);
// Keeps the numbers of services apart from those of batch tasks.
constexpr std::size_t kFirstService = 10'000'000;

SimulatedTask MakeBatch(RandomSource& aRandom, std::size_t aNumber, Instant aArrival)
{
  SimulatedTask task;
  task.request = MakeRequest(aRandom, aNumber, TaskClass::Batch);
  // A few large tasks make fragmentation show.
  if (aRandom.Chance(0.03)) {
    task.request.declared = { 16'000, 48 * 1024, 0 };
  }
  task.arrival = aArrival;
  task.work = seconds(1) + aRandom.Exponential(kMeanWork);
  task.checkpoint = kCheckpoint;
  return task;
}

// A full cell: services hold a fifth of it for good, batch is offered at 1.1x of the rest.
// `aUrgentRate` is in tasks a second.
SimulationSetup MakeFullCell(std::uint64_t aSeed, double aUrgentRate)
{
  SimulationSetup setup;
  setup.seed = aSeed;
  setup.length = kLength;
  setup.workers = MakeWorkers(kWorkers, 4);
  RandomSource random(aSeed);
  std::size_t number = 0;
  const double cell = kWorkers * 32'000.0;
  double services = 0.0;
  while (services < 0.2 * cell) {
    SimulatedTask task;
    task.request = MakeRequest(random, kFirstService + number++, TaskClass::LatencyCritical);
    services += static_cast<double>(task.request.declared.milliCores);
    setup.tasks.push_back(task);
  }
  double batch = 0.0;
  while (batch < 0.8 * cell) {
    setup.tasks.push_back(MakeBatch(random, number++, Instant{} + milliseconds(100)));
    batch += static_cast<double>(setup.tasks.back().request.declared.milliCores);
  }
  const double meanCores = 2'080.0;
  const double batchRate = 1.1 * 0.8 * cell / meanCores / 301.0;
  Instant now = Instant{} + seconds(1);
  while (now < Instant{} + kLength) {
    const double rate = batchRate + aUrgentRate;
    now += random.Exponential(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate)));
    SimulatedTask task = MakeBatch(random, number++, now);
    if (random.Chance(aUrgentRate / rate)) {
      const auto cores = static_cast<std::int64_t>(1 + random.Below(4));
      task.request.declared = { cores * 1000, cores * 3 * 1024, 0 };
      task.request.taskClass = TaskClass::LatencyCritical;
      task.request.urgent = true;
      task.work = seconds(30) + random.Exponential(seconds(30));
      task.checkpoint = Duration::zero();
    }
    setup.tasks.push_back(task);
  }
  return setup;
}

SimulationResult RunIdeal(const SimulationSetup& aSetup)
{
  SimulationSetup pooled = aSetup;
  pooled.workers.resize(1);
  for (std::size_t i = 1; i < aSetup.workers.size(); ++i) {
    pooled.workers[0].capacity += aSetup.workers[i].capacity;
  }
  WrappedPlacer<FirstFitPlacer> ideal;
  return Simulate(pooled, ideal);
}

void MeasureUrgent(BenchContext& aContext)
{
  const SimulationSetup setup = MakeFullCell(aContext.Seed(), 2.0);
  Counters counters;
  WrappedPlacer<ScoredPlacer> scoredPlacer(counters);
  const SimulationResult scored = Simulate(setup, scoredPlacer);
  WrappedPlacer<PreemptNewestPlacer> newestPlacer;
  const SimulationResult newest = Simulate(setup, newestPlacer);
  WrappedPlacer<FirstFitPlacer> firstPlacer;
  const SimulationResult first = Simulate(setup, firstPlacer);
  WrappedPlacer<RandomPlacer> randomPlacer(aContext.Seed());
  const SimulationResult random = Simulate(setup, randomPlacer);
  const auto p99 = [](const SimulationResult& aResult) {
    return Percentile(aResult.urgentDelays, 0.99);
  };
  const auto count = [](std::uint64_t aValue) { return static_cast<double>(aValue); };
  aContext.Report({ "utilisation",
                    newest.meanUtilisation,
                    scored.meanUtilisation,
                    "ratio",
                    0.95,
                    BoundKind::AtLeast });
  aContext.Report({ "urgent_start_p99", p99(newest), p99(scored), "s", 1.1 });
  aContext.Report({ "urgent_start_max",
                    Percentile(newest.urgentDelays, 1.0),
                    Percentile(scored.urgentDelays, 1.0),
                    "s",
                    std::nullopt });
  aContext.Report({ "urgent_start_p99_first_fit", std::nullopt, p99(first), "s", std::nullopt });
  aContext.Report({ "urgent_start_p99_random", std::nullopt, p99(random), "s", std::nullopt });
  aContext.Report(
    { "urgent_tasks", std::nullopt, count(scored.urgentDelays.size()), "tasks", std::nullopt });
  aContext.Report(
    { "evictions", count(newest.evictions), count(scored.evictions), "evictions", std::nullopt });
  aContext.Report({ "evictions_to_preempt_newest",
                    std::nullopt,
                    count(scored.evictions) / std::max(1.0, count(newest.evictions)),
                    "ratio",
                    0.5 });
  aContext.Report({ "most_evictions_of_one_task",
                    count(newest.mostEvictionsOfTask),
                    count(scored.mostEvictionsOfTask),
                    "evictions",
                    std::nullopt });
  aContext.Report({ "work_lost", newest.lostWork, scored.lostWork, "core_seconds", std::nullopt });
  aContext.Report(
    { "batch_work_with_urgent", newest.batchWork, scored.batchWork, "core_seconds", std::nullopt });
  aContext.Report({ "overcommits", std::nullopt, count(scored.overcommits), "placements", 0.0 });
}

void MeasureThroughput(BenchContext& aContext)
{
  const SimulationSetup setup = MakeFullCell(aContext.Seed(), 0.0);
  const double ideal = RunIdeal(setup).batchWork;
  Counters counters;
  WrappedPlacer<ScoredPlacer> scoredPlacer(counters);
  const SimulationResult scored = Simulate(setup, scoredPlacer);
  WrappedPlacer<FirstFitPlacer> firstPlacer;
  WrappedPlacer<RandomPlacer> randomPlacer(aContext.Seed());
  const double first = Simulate(setup, firstPlacer).batchWork;
  const double random = Simulate(setup, randomPlacer).batchWork;
  aContext.Report({ "batch_to_ideal",
                    first / ideal,
                    scored.batchWork / ideal,
                    "ratio",
                    0.95,
                    BoundKind::AtLeast });
  aContext.Report({ "batch_to_ideal_random", std::nullopt, random / ideal, "ratio", std::nullopt });
  aContext.Report({ "utilisation", std::nullopt, scored.meanUtilisation, "ratio", std::nullopt });
  aContext.Report({ "evictions",
                    std::nullopt,
                    static_cast<double>(scored.evictions),
                    "evictions",
                    std::nullopt });
}

const BenchRegistration kUrgentCase{ "placement/urgent", MeasureUrgent };
const BenchRegistration kThroughputCase{ "placement/throughput", MeasureThroughput };

} // namespace

} // namespace oriolespread::bench
