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
// Tasks that wait for large amounts, each of another size. The baselines try each waiting task on
// each worker and are measured without a backlog.
constexpr int kBacklog = 5'000;

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

struct RunningTask
{
  TaskId task;
  Resources grant;
};

// A cell that is filled with tasks and then replaces one running task by a new one at a time, while
// a backlog of distinct sizes waits.
class ScaleRun
{
public:
  ScaleRun(AnyPlacer& aPlacer, std::uint64_t aSeed, int aBacklog)
    : placer(aPlacer)
    , random(aSeed)
    , backlog(aBacklog)
  {
  }

  ScaleResult Measure(std::size_t aWorkers, std::size_t aTasks, std::size_t aDecisions)
  {
    const std::vector<WorkerSpec> workers = MakeWorkers(aWorkers, 6);
    const double empty = HeapBytes();
    for (const WorkerSpec& worker : workers) {
      this->placer.SetWorker(worker);
    }
    const double withWorkers = HeapBytes();
    this->result.bytesPerWorker = (withWorkers - empty) / static_cast<double>(aWorkers);
    this->running.reserve(2 * aTasks);
    const double beforeTasks = HeapBytes();
    this->Fill(aTasks);
    this->result.bytesPerTask =
      (HeapBytes() - beforeTasks - this->OwnHeap()) / static_cast<double>(aTasks);
    this->SubmitBacklog();
    double spent = 0.0;
    for (std::size_t i = 0; i < aDecisions; ++i) {
      spent += this->Decide();
    }
    this->result.secondsPerStart =
      spent / static_cast<double>(std::max<std::size_t>(this->starts, 1));
    return this->result;
  }

private:
  PlacementRequest MakeNext()
  {
    const bool critical = this->random.Below(71) < 14;
    return MakeRequest(
      this->random, this->number++, critical ? TaskClass::LatencyCritical : TaskClass::Batch);
  }

  void Fill(std::size_t aTasks)
  {
    while (this->number < aTasks) {
      for (int i = 0; i < 100 && this->number < aTasks; ++i) {
        this->placer.Submit(this->now, this->MakeNext());
      }
      this->Apply(this->placer.Schedule(this->now, 1000));
      this->now += std::chrono::milliseconds(100);
    }
    for (int report = 0; report < kUsageReports; ++report) {
      for (const RunningTask& task : this->running) {
        const Resources& grant = task.grant;
        this->placer.RecordUsage(
          this->now, task.task, { grant.milliCores * 9 / 10, grant.memoryMiB * 9 / 10, 0 });
      }
      this->now += std::chrono::seconds(10);
    }
  }

  void SubmitBacklog()
  {
    for (int i = 0; i < this->backlog; ++i) {
      PlacementRequest request = MakeRequest(this->random, this->number++, TaskClass::Batch);
      request.declared.milliCores += 8'000 + static_cast<std::int64_t>(this->random.Below(16'000));
      request.declared.memoryMiB += 16'000 + static_cast<std::int64_t>(this->random.Below(50'000));
      this->placer.Submit(this->now, request);
      this->Apply(this->placer.Schedule(this->now, 8));
    }
  }

  // Ends one task and submits another; returns the processor time that the placer took.
  double Decide()
  {
    this->now += std::chrono::microseconds(5263);
    const std::size_t ended = this->random.Below(this->running.size());
    const TaskId done = this->running[ended].task;
    this->running[ended] = this->running.back();
    this->running.pop_back();
    PlacementRequest next = this->MakeNext();
    next.urgent = this->random.Chance(0.02);
    const double before = ThreadSeconds();
    this->placer.Release(done);
    this->placer.Submit(this->now, next);
    const auto start = std::chrono::steady_clock::now();
    const std::vector<PlacementAction> actions = this->placer.Schedule(this->now, 8);
    const auto end = std::chrono::steady_clock::now();
    const double spent = ThreadSeconds() - before;
    this->result.decisions.push_back(
      std::chrono::duration<double, std::micro>(end - start).count());
    this->starts += this->Apply(actions);
    return spent;
  }

  std::size_t Apply(const std::vector<PlacementAction>& aActions)
  {
    std::size_t placed = 0;
    for (const PlacementAction& action : aActions) {
      if (const auto* place = std::get_if<PlaceTask>(&action)) {
        this->running.push_back({ place->task, place->grant });
        ++placed;
      } else if (const auto* evict = std::get_if<EvictTask>(&action)) {
        const TaskId victim = evict->task;
        std::erase_if(this->running,
                      [&](const RunningTask& aTask) { return aTask.task == victim; });
        this->placer.Release(victim);
      }
    }
    return placed;
  }

  double OwnHeap() const
  {
    double bytes = 0.0;
    for (const RunningTask& task : this->running) {
      const std::size_t capacity = task.task.job.Value().capacity();
      bytes += capacity > 15 ? static_cast<double>(capacity) : 0.0;
    }
    return bytes;
  }

  AnyPlacer& placer;
  RandomSource random;
  int backlog;
  ScaleResult result;
  std::vector<RunningTask> running;
  Instant now{};
  std::size_t number = 0;
  std::size_t starts = 0;
};

ScaleResult MeasureScale(AnyPlacer& aPlacer,
                         std::size_t aWorkers,
                         std::size_t aTasks,
                         std::size_t aDecisions,
                         std::uint64_t aSeed,
                         int aBacklog = 0)
{
  return ScaleRun(aPlacer, aSeed, aBacklog).Measure(aWorkers, aTasks, aDecisions);
}

void MeasureDecisions(BenchContext& aContext)
{
  constexpr std::size_t kDecisions = 20'000;
  Counters counters;
  WrappedPlacer<ScoredPlacer> small(counters);
  const ScaleResult tenth = MeasureScale(small, 370, 7'100, kDecisions, aContext.Seed(), kBacklog);
  WrappedPlacer<ScoredPlacer> scored(counters);
  const ScaleResult target =
    MeasureScale(scored, 3'700, 71'000, kDecisions, aContext.Seed(), kBacklog);
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
