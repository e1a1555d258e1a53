// Cost of placement at the target size: time of a decision, processor share and memory.
#include "PlacementSimulation.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/placement/FirstFitPlacer.h"
#include "oriolespread/placement/ScoredPlacer.h"

#include <malloc.h>

#include <chrono>
#include <deque>

namespace oriolespread::bench {

namespace {

// Fills the usage windows.
constexpr int kUsageReports = 4;

struct ScaleResult
{
  // Microseconds of wall time per Schedule call that placed one task.
  std::vector<double> decisions;
  double secondsPerStart = 0.0;
  double bytesPerWorker = 0.0;
  double bytesPerTask = 0.0;
};

double HeapBytes()
{
  const auto info = mallinfo2();
  // Large blocks are mapped and counted apart.
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Fills the cell with tasks, then replaces one running task by a new one at a time.
ScaleResult MeasureScale(AnyPlacer& aPlacer,
                         std::size_t aWorkers,
                         std::size_t aTasks,
                         std::size_t aDecisions,
                         std::uint64_t aSeed)
{
  ScaleResult result;
  RandomSource random(aSeed);
  const std::vector<WorkerSpec> workers = MakeWorkers(aWorkers, 6);
  const double empty = HeapBytes();
  for (const WorkerSpec& worker : workers) {
    aPlacer.SetWorker(worker);
  }
  const double withWorkers = HeapBytes();
  std::vector<TaskId> running;
  running.reserve(2 * aTasks);
  const double beforeTasks = HeapBytes();
  Instant now{};
  std::size_t number = 0;
  const auto apply = [&](const std::vector<PlacementAction>& aActions) {
    for (const PlacementAction& action : aActions) {
      if (const auto* place = std::get_if<PlaceTask>(&action)) {
        running.push_back(place->task);
      }
    }
  };
  const auto makeRequest = [&](std::size_t aNumber) {
    const bool critical = random.Below(71) < 14;
    return MakeRequest(random, aNumber, critical ? TaskClass::LatencyCritical : TaskClass::Batch);
  };
  while (number < aTasks) {
    for (int i = 0; i < 100 && number < aTasks; ++i) {
      aPlacer.Submit(now, makeRequest(number++));
    }
    apply(aPlacer.Schedule(now, 1000));
    now += std::chrono::milliseconds(100);
  }
  for (int report = 0; report < kUsageReports; ++report) {
    for (const TaskId& task : running) {
      aPlacer.RecordUsage(now, task, { 1'000'000, 1, 0 });
    }
    now += std::chrono::seconds(10);
    aPlacer.Schedule(now, 0);
  }
  double ownHeap = 0.0;
  for (const TaskId& task : running) {
    ownHeap +=
      task.job.Value().capacity() > 15 ? static_cast<double>(task.job.Value().capacity()) : 0.0;
  }
  result.bytesPerWorker = (withWorkers - empty) / static_cast<double>(aWorkers);
  result.bytesPerTask = (HeapBytes() - beforeTasks - ownHeap) / static_cast<double>(aTasks);
  // One completion frees about what one new task needs; every tick ends about 19 and starts 19.
  double spent = 0.0;
  for (std::size_t i = 0; i < aDecisions; ++i) {
    if (running.empty()) {
      break;
    }
    now += std::chrono::microseconds(5263);
    const std::size_t victim = random.Below(running.size());
    const TaskId done = running[victim];
    running[victim] = running.back();
    running.pop_back();
    const PlacementRequest next = makeRequest(number++);
    const double before = ThreadSeconds();
    aPlacer.Release(done);
    aPlacer.Submit(now, next);
    const auto start = std::chrono::steady_clock::now();
    const std::vector<PlacementAction> actions = aPlacer.Schedule(now, 1);
    const auto end = std::chrono::steady_clock::now();
    spent += ThreadSeconds() - before;
    result.decisions.push_back(std::chrono::duration<double, std::micro>(end - start).count());
    apply(actions);
  }
  result.secondsPerStart = spent / static_cast<double>(aDecisions);
  return result;
}

void MeasureDecisions(BenchContext& aContext)
{
  constexpr std::size_t kDecisions = 100'000;
  Counters counters;
  WrappedPlacer<ScoredPlacer> small(counters);
  const ScaleResult tenth = MeasureScale(small, 370, 7'100, kDecisions, aContext.Seed());
  WrappedPlacer<ScoredPlacer> scored(counters);
  const ScaleResult target = MeasureScale(scored, 3'700, 71'000, kDecisions, aContext.Seed());
  WrappedPlacer<FirstFitPlacer> first;
  const ScaleResult base = MeasureScale(first, 3'700, 71'000, 2'000, aContext.Seed());
  WrappedPlacer<RandomPlacer> random(aContext.Seed());
  const ScaleResult lottery = MeasureScale(random, 3'700, 71'000, 2'000, aContext.Seed());
  const auto p99 = [](const ScaleResult& aResult) { return Percentile(aResult.decisions, 0.99); };
  aContext.Report({ "decision_p99_370_workers", std::nullopt, p99(tenth), "us", std::nullopt });
  aContext.Report({ "decision_p99_3700_workers", p99(base), p99(target), "us", 1000.0 });
  aContext.Report({ "decision_p50_3700_workers",
                    Percentile(base.decisions, 0.5),
                    Percentile(target.decisions, 0.5),
                    "us",
                    std::nullopt });
  aContext.Report({ "decision_max_3700_workers",
                    Percentile(base.decisions, 1.0),
                    Percentile(target.decisions, 1.0),
                    "us",
                    std::nullopt });
  aContext.Report(
    { "decision_p99_random_3700_workers", std::nullopt, p99(lottery), "us", std::nullopt });
  aContext.Report({ "decision_p99_growth_370_to_3700",
                    std::nullopt,
                    p99(target) / p99(tenth),
                    "ratio",
                    std::nullopt });
  // The whole of journal and placement may take 2% of a core.
  aContext.Report({ "core_share_at_190_starts",
                    base.secondsPerStart * 190 * 100,
                    target.secondsPerStart * 190 * 100,
                    "percent_of_core",
                    2.0 });
  aContext.Report(
    { "memory_per_worker", base.bytesPerWorker, target.bytesPerWorker, "bytes", std::nullopt });
  aContext.Report(
    { "memory_per_task", base.bytesPerTask, target.bytesPerTask, "bytes", std::nullopt });
}

const BenchRegistration kDecisionsCase{ "placement/scale", MeasureDecisions };

} // namespace

} // namespace oriolespread::bench
