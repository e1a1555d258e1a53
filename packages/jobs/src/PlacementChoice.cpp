#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// Costs are in shares of a worker: a fully loaded worker costs 1.
constexpr double kOtherRackCost = 0.5;
constexpr double kFailedHereCost = 4.0;
constexpr double kServesBesideCost = 0.15;
constexpr double kSameStepCost = 0.05;

double LoadAfter(const Worker& aWorker, const StepSpec& aStep)
{
  const double cores = static_cast<double>(
    std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
  const double memory = static_cast<double>(
    std::max<std::int64_t>(aWorker.state.capacity.memoryMiB, 1));
  const double coreLoad =
    static_cast<double>(aWorker.demanded.milliCores + aStep.demand.milliCores) / cores;
  const double memoryLoad =
    static_cast<double>(aWorker.demanded.memoryMiB + aStep.demand.memoryMiB) / memory;
  return std::max(coreLoad, 0.5 * memoryLoad);
}

bool HasLabel(const Worker& aWorker, const std::string& aLabel)
{
  return aLabel.empty() || std::find(aWorker.state.labels.begin(),
                                     aWorker.state.labels.end(),
                                     aLabel) != aWorker.state.labels.end();
}

} // namespace

bool AcceptsRuns(const Worker& aWorker, Instant aNow)
{
  return aWorker.linked && aWorker.reported && aWorker.reconciled && !aWorker.state.draining &&
         aNow >= aWorker.avoidUntil;
}

bool HasRoomFor(const Worker& aWorker, const StepSpec& aStep)
{
  const Resources& used = aStep.fillsUnused ? aWorker.demanded : aWorker.reserved;
  Resources needed = used + aStep.demand;
  needed.memoryMiB = aWorker.demanded.memoryMiB + aStep.demand.memoryMiB;
  return needed.FitsIn(aWorker.state.capacity);
}

Worker* ChooseWorker(std::map<WorkerKey, Worker>& aWorkers,
                     const PlacementRequest& aRequest,
                     Instant aNow)
{
  Worker* best = nullptr;
  double bestCost = 0;
  for (auto& [key, worker] : aWorkers) {
    if (!AcceptsRuns(worker, aNow) || worker.state.service != aRequest.service ||
        aRequest.excluded.contains(key.id) || !HasLabel(worker, aRequest.step->requiredLabel) ||
        !HasRoomFor(worker, *aRequest.step)) {
      continue;
    }
    const auto same = aRequest.sameStep.find(key.id);
    const std::uint32_t count = same == aRequest.sameStep.end() ? 0 : same->second;
    if (aRequest.step->maxPerWorker > 0 && count >= aRequest.step->maxPerWorker) {
      continue;
    }
    double cost = LoadAfter(worker, *aRequest.step);
    if (!aRequest.step->preferredRack.empty() &&
        !HasLabel(worker, aRequest.step->preferredRack)) {
      cost += kOtherRackCost;
    }
    if (key.id == aRequest.failedOn) {
      cost += kFailedHereCost;
    }
    if (aRequest.step->longRunning) {
      cost += kServesBesideCost * count;
    }
    cost += kSameStepCost * count;
    if (best == nullptr || cost < bestCost) {
      best = &worker;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace oriolespread::jobs
