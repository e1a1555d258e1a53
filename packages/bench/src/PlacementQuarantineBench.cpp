// What workers that fail every task cost, with and without quarantine.
#include "PlacementSimulation.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/placement/ScoredPlacer.h"

#include <map>
#include <queue>
#include <set>

namespace oriolespread::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 60;
constexpr std::size_t kBadWorkers = 4;
constexpr Duration kLength = seconds(1800);
constexpr Duration kFailsAfter = seconds(2);
// Bad workers are repaired at this time and should then come back.
constexpr Duration kRepaired = seconds(1200);
constexpr std::size_t kMaxAttempts = 3;

struct QuarantineResult
{
  double failedAttempts = 0;
  double lostTasks = 0;
  double completed = 0;
  double goodWorkersQuarantined = 0;
  double stillQuarantined = 0;
};

struct End
{
  Instant at;
  TaskId task;
  WorkerId worker;
  bool failed = false;
  bool operator>(const End& aOther) const
  {
    return std::tie(this->at, this->task) > std::tie(aOther.at, aOther.task);
  }
};

QuarantineResult RunQuarantine(std::uint64_t aSeed, bool aReport)
{
  QuarantineResult result;
  Counters counters;
  ScoredPlacer placer(counters);
  RandomSource random(aSeed);
  std::set<WorkerId> bad;
  for (const WorkerSpec& worker : MakeWorkers(kWorkers, 3)) {
    if (bad.size() < kBadWorkers) {
      bad.insert(worker.worker);
    }
    placer.SetWorker(worker);
  }
  std::map<TaskId, PlacementRequest> requests;
  std::map<TaskId, std::set<WorkerId>> failedOn;
  std::map<TaskId, std::size_t> attempts;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::set<WorkerId> goodQuarantined;
  std::size_t number = 0;
  for (Instant now{}; now < Instant{} + kLength; now += milliseconds(100)) {
    // About 80% of the cell, jobs of ten tasks.
    while (random.Chance(0.39)) {
      PlacementRequest request = MakeRequest(random, number++, TaskClass::Batch);
      requests[request.task] = request;
      placer.Submit(now, request);
    }
    while (!ends.empty() && ends.top().at <= now) {
      const End end = ends.top();
      ends.pop();
      if (end.failed) {
        ++result.failedAttempts;
        failedOn[end.task].insert(end.worker);
        if (aReport) {
          placer.RecordFailure(now, end.task, end.worker);
        }
      }
      placer.Release(end.task);
      if (!end.failed) {
        ++result.completed;
        continue;
      }
      const bool givenUp =
        aReport ? placer.DistinctFailures(end.task) >= ScoredPlacer::kMaxDistinctFailures
                : failedOn[end.task].size() >= kMaxAttempts || ++attempts[end.task] >= kMaxAttempts;
      if (!givenUp) {
        placer.Submit(now, requests[end.task]);
      } else {
        ++result.lostTasks;
      }
    }
    for (const PlacementAction& action : placer.Schedule(now, 64)) {
      if (const auto* place = std::get_if<PlaceTask>(&action)) {
        const bool broken = bad.contains(place->worker) && now < Instant{} + kRepaired;
        const Duration work = seconds(1) + random.Exponential(seconds(240));
        ends.push({ now + (broken ? kFailsAfter : work), place->task, place->worker, broken });
      }
    }
    for (const WorkerId& worker : placer.Quarantined()) {
      if (!bad.contains(worker)) {
        goodQuarantined.insert(worker);
      }
    }
  }
  result.goodWorkersQuarantined = static_cast<double>(goodQuarantined.size());
  result.stillQuarantined = static_cast<double>(placer.Quarantined().size());
  return result;
}

void MeasureQuarantine(BenchContext& aContext)
{
  const QuarantineResult with = RunQuarantine(aContext.Seed(), true);
  const QuarantineResult without = RunQuarantine(aContext.Seed(), false);
  aContext.Report(
    { "failed_attempts", without.failedAttempts, with.failedAttempts, "attempts", std::nullopt });
  aContext.Report({ "lost_tasks", without.lostTasks, with.lostTasks, "tasks", std::nullopt });
  aContext.Report({ "completed", without.completed, with.completed, "tasks", std::nullopt });
  aContext.Report({ "good_workers_quarantined",
                    std::nullopt,
                    with.goodWorkersQuarantined,
                    "workers",
                    std::nullopt });
  aContext.Report(
    { "quarantined_after_repair", std::nullopt, with.stillQuarantined, "workers", std::nullopt });
}

const BenchRegistration kQuarantineCase{ "placement/quarantine", MeasureQuarantine };

} // namespace

} // namespace oriolespread::bench
