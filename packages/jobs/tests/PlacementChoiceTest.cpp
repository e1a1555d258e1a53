#include "oriolespread/jobs/PlacementChoice.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

const Instant kNow = Instant{} + std::chrono::hours(1);

Worker& AddWorker(std::map<WorkerKey, Worker>& aWorkers, const std::string& aId)
{
  Worker& worker = aWorkers[{ aId, 1 }];
  worker.key = { aId, 1 };
  worker.state.service = "service";
  worker.state.capacity = { 8000, 64000, 0 };
  worker.connected = true;
  worker.reported = true;
  worker.reconciled = true;
  return worker;
}

// Indices of the serving images "frail", which best-effort runs slow down, and "firm", which they
// hardly affect.
constexpr std::size_t kFrailIndex = 0;
constexpr std::size_t kFirmIndex = 1;

// Worker "a" with a serving run of "frail", worker "b" with one of "firm", and a best-effort task
// that reduces the headroom of "frail" by 1 and that of "firm" by 0.05.
struct ServingWorkers
{
  std::map<WorkerKey, Worker> workers;
  StepSpec step;
  std::vector<double> weights;

  ServingWorkers()
  {
    this->AddServingWorker("a", kFrailIndex);
    this->AddServingWorker("b", kFirmIndex);
    this->step.demand = { 1000, 100, 0 };
    this->step.fillsUnused = true;
    this->step.image = "heavy";
    const double coreShare = BestEffortCoreShare(this->workers.at({ "a", 1 }), this->step);
    this->weights = { 1.0 / coreShare, 0.05 / coreShare };
  }

  void AddServingWorker(const std::string& aId, std::size_t aImageIndex)
  {
    Worker& worker = AddWorker(this->workers, aId);
    worker.servingRuns = 1;
    worker.servingRunsByImage[aImageIndex == kFrailIndex ? "frail" : "firm"] = 1;
    worker.servingHeadrooms.push_back({ aImageIndex, 2.5, 1.7, 0 });
  }

  ServingHeadroom& HeadroomOf(const std::string& aId)
  {
    return this->workers.at({ aId, 1 }).servingHeadrooms.front();
  }

  std::string ChooseWorkerId(bool aAllowInterference = false)
  {
    PlacementRequest request;
    request.step = &this->step;
    request.service = "service";
    request.weights = this->weights;
    request.allowInterference = aAllowInterference;
    const Worker* chosen = ChooseWorker(this->workers, request, kNow);
    return chosen == nullptr ? "" : chosen->key.id;
  }
};

} // namespace

TEST_CASE("PlacementChoice ChoosesTheLeastLoadedWorkerWithCapacity")
{
  std::map<WorkerKey, Worker> workers;
  AddWorker(workers, "a").demanded = { 3000, 0, 0 };
  AddWorker(workers, "b");
  Worker& full = AddWorker(workers, "c");
  full.reserved = full.state.capacity;
  StepSpec step;
  step.demand = { 1000, 100, 0 };
  PlacementRequest request;
  request.step = &step;
  request.service = "service";
  const Worker* chosen = ChooseWorker(workers, request, kNow);
  REQUIRE(chosen != nullptr);
  CHECK(chosen->key.id == "b");
}

TEST_CASE("PlacementChoice SkipsDrainingAndAvoidedWorkers")
{
  std::map<WorkerKey, Worker> workers;
  AddWorker(workers, "a").state.draining = true;
  AddWorker(workers, "b").avoidUntil = kNow + std::chrono::seconds(1);
  StepSpec step;
  PlacementRequest request;
  request.step = &step;
  request.service = "service";
  CHECK(ChooseWorker(workers, request, kNow) == nullptr);
}

// Guards against a best-effort task that makes a serving task miss its latency target, although it
// could run on a worker whose serving task it does not slow down.
TEST_CASE("PlacementChoice PutsABestEffortTaskWhereItCausesNoInterference")
{
  ServingWorkers cluster;
  // The worker that is not affected has more load.
  cluster.workers.at({ "b", 1 }).demanded = { 3000, 0, 0 };
  CHECK(cluster.ChooseWorkerId() == "b");
}

TEST_CASE("PlacementChoice DelaysABestEffortTaskThatWouldCauseInterferenceOnEveryWorker")
{
  ServingWorkers cluster;
  cluster.workers.erase({ "b", 1 });
  cluster.HeadroomOf("a").current = 1.7;
  CHECK(cluster.ChooseWorkerId().empty());
  CHECK(cluster.ChooseWorkerId(true) == "a");
}

// Guards against workers that get no best-effort tasks although the load of their serving runs is
// low.
TEST_CASE("PlacementChoice UsesAWorkerWhoseServingRunsCurrentlyHaveHeadroom")
{
  ServingWorkers cluster;
  cluster.workers.erase({ "b", 1 });
  cluster.HeadroomOf("a").current = 3.5;
  CHECK(cluster.ChooseWorkerId() == "a");
}

// Guards against placing a task where it must be throttled as soon as the load rises, although
// another worker has enough headroom at its peak load.
// Guards against best-effort tasks that wait although the load of the serving runs would have to
// grow by more than it does during a task.
TEST_CASE("PlacementChoice UsesAWorkerWithHeadroomForTheLoadChangeDuringATask")
{
  ServingWorkers cluster;
  cluster.workers.erase({ "b", 1 });
  // The task costs 1 of it.
  cluster.HeadroomOf("a").current = 2.45;
  CHECK(cluster.ChooseWorkerId() == "a");
  cluster.HeadroomOf("a").current = 2.35;
  CHECK(cluster.ChooseWorkerId().empty());
}

TEST_CASE("PlacementChoice PrefersAWorkerWithEnoughHeadroomAtItsPeakLoad")
{
  ServingWorkers cluster;
  cluster.HeadroomOf("a").current = 3.9;
  cluster.HeadroomOf("b").current = 1.8;
  cluster.workers.at({ "b", 1 }).demanded = { 3000, 0, 0 };
  CHECK(cluster.ChooseWorkerId() == "b");
}

// Guards against tasks that cause little interference each, but together cause a missed target.
TEST_CASE("PlacementChoice CountsTheInterferenceOfRunsAlreadyPlaced")
{
  ServingWorkers cluster;
  cluster.HeadroomOf("b").headroomCost = 1.5;
  cluster.HeadroomOf("a").current = 1.7;
  CHECK(cluster.ChooseWorkerId().empty());
}

// Guards against serving images spread over all workers: every best-effort image would then slow
// down a serving image on each of them.
TEST_CASE("PlacementChoice PrefersAWorkerWithTheSameImageForAServingTask")
{
  ServingWorkers cluster;
  AddWorker(cluster.workers, "c");
  cluster.workers.at({ "b", 1 }).demanded = { 4000, 0, 0 };
  cluster.step = {};
  cluster.step.demand = { 1000, 100, 0 };
  cluster.step.longRunning = true;
  cluster.step.image = "firm";
  CHECK(cluster.ChooseWorkerId() == "b");
  cluster.step.image = "other";
  CHECK(cluster.ChooseWorkerId() == "c");
  cluster.workers.erase({ "c", 1 });
  CHECK_FALSE(cluster.ChooseWorkerId().empty());
}
