#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace oriolespread::jobs {

namespace {

// Costs are in shares of a worker: a fully loaded worker costs 1.
constexpr double kOtherRackCost = 0.5;
constexpr double kFailedHereCost = 4.0;
constexpr double kSameStepCost = 0.05;
constexpr double kFillingBesideCost = 0.1;
// Headroom that has to be left beside what serves: figures scatter by a tenth.
constexpr double kSafeHeadroom = 1.0;
// From here on nothing is gained by more of it.
constexpr double kAmpleHeadroom = 2.0;
constexpr double kNearTargetCost = 1.0;
// Headroom at the load of now that lasts for about a task's time while the load rises.
constexpr double kPassingHeadroom = 1.6;
constexpr double kPassingCost = 3.0;
constexpr double kDisturbingCost = 6.0;
// Costs of a serving task on a worker without any, beside other images only, and beside its own
// and other images.
constexpr double kFirstServingCost = 0.8;
constexpr double kOtherImageCost = 1.6;
constexpr double kMixedImagesCost = 0.4;
// Tasks that use unused capacity use nearly all that they declare.
constexpr double kFillingUse = 0.9;

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

// How well what serves on a worker would keep its target with one more filling task there.
struct HeadroomLeft
{
  // At the load of now, and when loads come back to their recent peak.
  double now = std::numeric_limits<double>::max();
  double low = std::numeric_limits<double>::max();
};

HeadroomLeft HeadroomWith(const Worker& aWorker, const PlacementRequest& aRequest)
{
  HeadroomLeft left;
  const double cores = CoresTaken(aWorker, *aRequest.step);
  for (const ServingLoad& load : aWorker.servingLoads) {
    const double weight = load.image < aRequest.weights.size() ? aRequest.weights[load.image] : 0;
    const double taken = load.taken + weight * cores;
    left.now = std::min(left.now, load.now - taken);
    left.low = std::min(left.low, load.low - taken);
  }
  return left;
}

// Returns the cost of disturbing what serves on the worker, or nothing if the task must not be
// placed there.
std::optional<double> DisturbanceCost(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const HeadroomLeft left = HeadroomWith(aWorker, aRequest);
  if (left.low >= kSafeHeadroom) {
    return kNearTargetCost * std::max(0.0, kAmpleHeadroom - left.low);
  }
  if (left.now >= kPassingHeadroom) {
    return kPassingCost + kNearTargetCost * std::max(0.0, kAmpleHeadroom - left.low);
  }
  if (aRequest.mayDisturb) {
    return kDisturbingCost + std::max(0.0, kAmpleHeadroom - left.now);
  }
  return std::nullopt;
}

// Returns the cost of mixing a serving task with others. An image that fills disturbs some serving
// images only, so that workers with few serving images have room for more of what fills.
double MixCost(const Worker& aWorker, const StepSpec& aStep)
{
  if (aWorker.serving == 0) {
    return kFirstServingCost;
  }
  if (!aWorker.servingImages.contains(aStep.image)) {
    return kOtherImageCost;
  }
  return aWorker.servingImages.size() > 1 ? kMixedImagesCost : 0;
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

double CoresTaken(const Worker& aWorker, const StepSpec& aStep)
{
  return kFillingUse * static_cast<double>(aStep.demand.milliCores) /
         static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
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
      cost += MixCost(worker, *aRequest.step);
      cost += kFillingBesideCost * std::min(worker.filling, 4U);
    }
    if (aRequest.step->fillsUnused) {
      const std::optional<double> disturbance = DisturbanceCost(worker, aRequest);
      if (!disturbance.has_value()) {
        continue;
      }
      cost += *disturbance;
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
