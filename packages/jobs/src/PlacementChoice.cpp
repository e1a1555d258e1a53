#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

// Costs are in shares of a worker: a fully loaded worker costs 1.
constexpr double kOtherRackCost = 0.5;
constexpr double kFailedHereCost = 4.0;
constexpr double kSameStepCost = 0.05;
// Runs that use unused capacity disturb runs that serve, so a worker where the latter come near to
// their targets is dearer than a loaded one.
constexpr double kNearTargetCost = 1.5;
constexpr double kFillingBesideCost = 0.1;
// Expected ln(tail latency / target) above which nothing more is added: 0.9 of the target.
constexpr double kMostExpected = -0.10;
// Runs that serve share workers, so that others stay free of them.
constexpr double kFirstServingCost = 0.8;

// Runs that serve are sized for their peak; on average they leave about half of it unused.
constexpr double kServingUse = 0.5;

// Cores that all runs on the worker are expected to use.
std::int64_t InUse(const Worker& aWorker)
{
  return aWorker.demanded.milliCores -
         static_cast<std::int64_t>((1.0 - kServingUse) *
                                   static_cast<double>(aWorker.servingMilliCores));
}

double LoadAfter(const Worker& aWorker, const StepSpec& aStep)
{
  const double cores =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
  const double memory =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.memoryMiB, 1));
  const double coreLoad = static_cast<double>(InUse(aWorker) + aStep.demand.milliCores) / cores;
  const double memoryLoad =
    static_cast<double>(aWorker.demanded.memoryMiB + aStep.demand.memoryMiB) / memory;
  return std::max(coreLoad, 0.5 * memoryLoad);
}

// Returns the highest ln(tail latency / target) expected of what serves on the worker once one more
// run with these weights is there.
double ExpectedRatio(const Worker& aWorker, const InterferenceBook::Row& aDisturbs)
{
  double highest = InterferenceBook::Base();
  for (const ServingLoad& load : aWorker.servingLoads) {
    highest = std::max(highest,
                       InterferenceBook::Base() + load.residual + load.disturbance +
                         InterferenceBook::Weight(aDisturbs, load.image));
  }
  return highest;
}

bool HasLabel(const Worker& aWorker, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aWorker.state.labels.begin(), aWorker.state.labels.end(), aLabel) !=
           aWorker.state.labels.end();
}

} // namespace

bool AcceptsRuns(const Worker& aWorker, Instant aNow)
{
  return aWorker.linked && aWorker.reported && aWorker.reconciled && !aWorker.state.draining &&
         aNow >= aWorker.avoidUntil;
}

bool HasRoomFor(const Worker& aWorker, const StepSpec& aStep)
{
  Resources needed = aWorker.reserved + aStep.demand;
  needed.memoryMiB = aWorker.demanded.memoryMiB + aStep.demand.memoryMiB;
  if (aStep.fillsUnused) {
    needed.milliCores = InUse(aWorker) + aStep.demand.milliCores;
  }
  return needed.FitsIn(aWorker.state.capacity);
}

Worker* ChooseWorker(std::map<WorkerKey, Worker>& aWorkers,
                     const PlacementRequest& aRequest,
                     Instant aNow)
{
  const InterferenceBook::Row* disturbs =
    aRequest.step->fillsUnused && aRequest.interference != nullptr
      ? &aRequest.interference->RowOf(aRequest.step->image)
      : nullptr;
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
    if (!aRequest.step->preferredRack.empty() && !HasLabel(worker, aRequest.step->preferredRack)) {
      cost += kOtherRackCost;
    }
    if (key.id == aRequest.failedOn) {
      cost += kFailedHereCost;
    }
    if (aRequest.step->longRunning) {
      cost += worker.serving == 0 ? kFirstServingCost : 0;
      cost += kFillingBesideCost * std::min(worker.filling, 4U);
    }
    if (disturbs != nullptr && worker.serving > 0) {
      const double expected = ExpectedRatio(worker, *disturbs);
      if (expected > kMostExpected && !aRequest.mayDisturb) {
        continue;
      }
      cost += kNearTargetCost * std::exp(expected);
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
