#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace oriolespread::jobs {

namespace {

// The unit of all costs is the load of a fully loaded worker.
constexpr double kOtherRackCost = 0.5;
constexpr double kFailedWorkerCost = 4.0;
// Higher than all other costs together.
constexpr double kAvoidedWorkerCost = 1000.0;
// A slow worker gets a task done, a failing one does not.
constexpr double kFailingWorkerCost = 1000.0;
constexpr double kSameStepCost = 0.05;
// Cost of a serving task per best-effort run on the worker, of which at most four count.
constexpr double kBestEffortRunCost = 0.1;
// Headroom, latency target / tail latency, that serving runs must keep at their recent peak load: 1
// just meets the latency target. Headroom measurements vary by about 10%.
constexpr double kMinHeadroom = 1.0;
// More headroom than this does not lower the cost further.
constexpr double kSufficientHeadroom = 2.0;
// Cost per unit of headroom below kSufficientHeadroom.
constexpr double kMissingHeadroomCost = 1.0;
// Headroom at the current load that is enough if the headroom at the recent peak load is not. If
// the load rises, the target is still met for about the duration of a task.
constexpr double kMinCurrentHeadroom = 1.4;
constexpr double kOnlyCurrentHeadroomCost = 3.0;
constexpr double kInterferenceCost = 6.0;
// Costs of a serving task on a worker without serving runs, on one with other images only, and on
// one with its own and other images.
constexpr double kNoServingRunsCost = 0.8;
constexpr double kOtherImagesOnlyCost = 1.6;
constexpr double kMixedImagesCost = 0.4;
// Best-effort tasks use nearly all the cores that they request.
constexpr double kBestEffortUtilisation = 0.9;

// Serving runs are sized for their peak load and on average use about half of their cores.
constexpr double kServingUtilisation = 0.5;

// Returns the load of the worker's cores or memory with one more task, whichever is higher. Memory
// counts half.
double LoadWithTask(const Worker& aWorker, const StepSpec& aStep)
{
  const double capacityMilliCores =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
  const double capacityMiB =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.memoryMiB, 1));
  const double coreLoad =
    static_cast<double>(ExpectedMilliCores(aWorker) + aStep.demand.milliCores) / capacityMilliCores;
  const double memoryLoad =
    static_cast<double>(aWorker.demanded.memoryMiB + aStep.demand.memoryMiB) / capacityMiB;
  return std::max(coreLoad, 0.5 * memoryLoad);
}

// Returns what is reserved on the worker with one more task of the step, and all memory in use.
Resources DemandWith(const Worker& aWorker, const StepSpec& aStep)
{
  Resources needed = aWorker.reserved + aStep.demand;
  needed.memoryMiB = aWorker.demanded.memoryMiB + aStep.demand.memoryMiB;
  return needed;
}

// The lowest headroom of any serving run on a worker if one more best-effort task is placed there.
struct RemainingHeadroom
{
  // At the current load and at the recent peak load.
  double current = std::numeric_limits<double>::max();
  double recentMin = std::numeric_limits<double>::max();
};

RemainingHeadroom HeadroomWithTask(const Worker& aWorker, const PlacementRequest& aRequest)
{
  RemainingHeadroom remaining;
  const double coreShare = BestEffortCoreShare(aWorker, *aRequest.step);
  for (const ServingHeadroom& headroom : aWorker.servingHeadrooms) {
    const double weight =
      headroom.imageIndex < aRequest.weights.size() ? aRequest.weights[headroom.imageIndex] : 0;
    const double headroomCost = headroom.headroomCost + weight * coreShare;
    remaining.current = std::min(remaining.current, headroom.current - headroomCost);
    remaining.recentMin = std::min(remaining.recentMin, headroom.recentMin - headroomCost);
  }
  return remaining;
}

// Returns the cost of slowing down the serving runs on the worker, or std::nullopt if the task must
// not be placed there.
std::optional<double> InterferenceCost(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const RemainingHeadroom remaining = HeadroomWithTask(aWorker, aRequest);
  if (remaining.recentMin >= kMinHeadroom) {
    return kMissingHeadroomCost * std::max(0.0, kSufficientHeadroom - remaining.recentMin);
  }
  if (remaining.current >= kMinCurrentHeadroom) {
    return kOnlyCurrentHeadroomCost +
           kMissingHeadroomCost * std::max(0.0, kSufficientHeadroom - remaining.recentMin);
  }
  if (aRequest.allowInterference) {
    return kInterferenceCost + std::max(0.0, kSufficientHeadroom - remaining.current);
  }
  return std::nullopt;
}

// Returns the cost of placing a serving task beside other images. A best-effort image slows down
// only some serving images, so workers with few serving images have room for more best-effort
// tasks.
double ServingMixCost(const Worker& aWorker, const StepSpec& aStep)
{
  if (aWorker.servingRuns == 0) {
    return kNoServingRunsCost;
  }
  if (!aWorker.servingRunsByImage.contains(aStep.image)) {
    return kOtherImagesOnlyCost;
  }
  return aWorker.servingRunsByImage.size() > 1 ? kMixedImagesCost : 0;
}

bool HasLabel(const Worker& aWorker, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aWorker.state.labels.begin(), aWorker.state.labels.end(), aLabel) !=
           aWorker.state.labels.end();
}

// Whether a worker can take a task now, and at which cost.
struct Suitability
{
  PlacementObstacle obstacle = PlacementObstacle::None;
  double cost = 0;
};

bool IsAvoided(const Worker& aWorker, const PlacementRequest& aRequest, Instant aNow)
{
  if (aNow >= aWorker.avoidUntil || aRequest.step->longRunning) {
    return false;
  }
  const bool failing = aNow < aWorker.failingUntil;
  return !aRequest.allowAvoided ||
         (failing && (!aRequest.allowFailing || aNow < aWorker.nextRunWhileFailing));
}

PlacementObstacle FindWorkerObstacle(const Worker& aWorker,
                                     const PlacementRequest& aRequest,
                                     Instant aNow)
{
  if (aWorker.state.service != aRequest.service) {
    return PlacementObstacle::OtherService;
  }
  if (aWorker.evacuated) {
    return PlacementObstacle::Evacuated;
  }
  if (!aWorker.connected || !aWorker.reported || !aWorker.reconciled) {
    return PlacementObstacle::NotReporting;
  }
  if (aWorker.state.draining) {
    return PlacementObstacle::Draining;
  }
  if (aNow < aWorker.rejectsUntil || IsAvoided(aWorker, aRequest, aNow)) {
    return PlacementObstacle::Avoided;
  }
  if (!HasLabel(aWorker, aRequest.step->requiredLabel)) {
    return PlacementObstacle::Label;
  }
  const bool mayOvercommit = aRequest.allowOvercommit && aNow >= aWorker.nextOvercommittedRun;
  if (!HasCapacityFor(aWorker, *aRequest.step) &&
      !(mayOvercommit && CanOvercommit(aWorker, *aRequest.step))) {
    return PlacementObstacle::Capacity;
  }
  return PlacementObstacle::None;
}

Suitability AssessWorker(const Worker& aWorker, const PlacementRequest& aRequest, Instant aNow)
{
  const StepSpec& step = *aRequest.step;
  Suitability result;
  result.obstacle = FindWorkerObstacle(aWorker, aRequest, aNow);
  if (result.obstacle != PlacementObstacle::None) {
    return result;
  }
  const auto sameStep = aRequest.sameStepTasks.find(aWorker.key.id);
  const std::uint32_t sameStepCount =
    sameStep == aRequest.sameStepTasks.end() ? 0 : sameStep->second;
  if (step.maxPerWorker > 0 && sameStepCount >= step.maxPerWorker) {
    result.obstacle = PlacementObstacle::SameStep;
    return result;
  }
  result.cost = LoadWithTask(aWorker, step);
  if (!step.preferredRack.empty() && !HasLabel(aWorker, step.preferredRack)) {
    result.cost += kOtherRackCost;
  }
  if (aWorker.key.id == aRequest.lastFailedWorker) {
    result.cost += kFailedWorkerCost;
  }
  if (step.gang && aNow < aWorker.refusingUntil) {
    // The other members are stopped for each refusal, which takes longer than `rejectsUntil`.
    result.cost += kFailedWorkerCost;
  }
  if (aNow < aWorker.avoidUntil) {
    result.cost += kAvoidedWorkerCost + (aNow < aWorker.failingUntil ? kFailingWorkerCost : 0);
  }
  if (step.longRunning) {
    result.cost += ServingMixCost(aWorker, step);
    result.cost += kBestEffortRunCost * std::min(aWorker.bestEffortRuns, 4U);
  }
  if (step.fillsUnused) {
    const std::optional<double> interferenceCost = InterferenceCost(aWorker, aRequest);
    if (!interferenceCost.has_value()) {
      result.obstacle = PlacementObstacle::Interference;
      return result;
    }
    result.cost += *interferenceCost;
  }
  result.cost += kSameStepCost * sameStepCount;
  return result;
}

} // namespace

std::string_view PlacementObstacleName(PlacementObstacle aObstacle)
{
  switch (aObstacle) {
    case PlacementObstacle::None:
      return "none";
    case PlacementObstacle::OtherService:
      return "other_service";
    case PlacementObstacle::Evacuated:
      return "evacuated";
    case PlacementObstacle::NotReporting:
      return "not_reporting";
    case PlacementObstacle::Draining:
      return "draining";
    case PlacementObstacle::Avoided:
      return "avoided";
    case PlacementObstacle::Label:
      return "label";
    case PlacementObstacle::Capacity:
      return "capacity";
    case PlacementObstacle::SameStep:
      return "same_step";
    case PlacementObstacle::Interference:
      return "interference";
  }
  return "invalid";
}

std::int64_t ExpectedMilliCores(const Worker& aWorker)
{
  return aWorker.demanded.milliCores -
         static_cast<std::int64_t>((1.0 - kServingUtilisation) *
                                   static_cast<double>(aWorker.servingMilliCores));
}

double BestEffortCoreShare(const Worker& aWorker, const StepSpec& aStep)
{
  return kBestEffortUtilisation * static_cast<double>(aStep.demand.milliCores) /
         static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
}

bool HasCapacityFor(const Worker& aWorker, const StepSpec& aStep)
{
  Resources needed = DemandWith(aWorker, aStep);
  if (aStep.fillsUnused) {
    needed.milliCores = ExpectedMilliCores(aWorker) + aStep.demand.milliCores;
  }
  return needed.FitsIn(aWorker.state.capacity);
}

bool CanOvercommit(const Worker& aWorker, const StepSpec& aStep)
{
  Resources needed = DemandWith(aWorker, aStep);
  if (aStep.fillsUnused) {
    needed.milliCores = aStep.demand.milliCores;
  }
  return needed.FitsIn(aWorker.state.capacity);
}

bool CanEverTake(const Worker& aWorker, const StepSpec& aStep)
{
  return HasLabel(aWorker, aStep.requiredLabel) && aStep.demand.FitsIn(aWorker.state.capacity);
}

Worker* ChooseWorker(std::map<WorkerKey, Worker>& aWorkers,
                     const PlacementRequest& aRequest,
                     Instant aNow)
{
  Worker* best = nullptr;
  double bestCost = 0;
  for (auto& [key, worker] : aWorkers) {
    const Suitability suitability = AssessWorker(worker, aRequest, aNow);
    if (suitability.obstacle == PlacementObstacle::None &&
        (best == nullptr || suitability.cost < bestCost)) {
      best = &worker;
      bestCost = suitability.cost;
    }
  }
  return best;
}

std::map<PlacementObstacle, std::size_t> CountObstacles(const std::map<WorkerKey, Worker>& aWorkers,
                                                        const PlacementRequest& aRequest,
                                                        Instant aNow)
{
  std::map<PlacementObstacle, std::size_t> counts;
  for (const auto& [key, worker] : aWorkers) {
    const PlacementObstacle obstacle = AssessWorker(worker, aRequest, aNow).obstacle;
    if (obstacle != PlacementObstacle::None && obstacle != PlacementObstacle::OtherService) {
      ++counts[obstacle];
    }
  }
  return counts;
}

} // namespace oriolespread::jobs
