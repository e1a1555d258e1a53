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
  worker.linked = true;
  worker.reported = true;
  worker.reconciled = true;
  return worker;
}

constexpr std::size_t kFrail = 0;
constexpr std::size_t kFirm = 1;

// Two workers that serve, "frail" on the first and "firm" on the second, and a task of an image
// that takes a headroom of 1 from "frail" and next to none from "firm".
struct Serving
{
  std::map<WorkerKey, Worker> workers;
  StepSpec step;
  std::vector<double> weights;

  Serving()
  {
    this->AddServing("a", kFrail);
    this->AddServing("b", kFirm);
    this->step.demand = { 1000, 100, 0 };
    this->step.fillsUnused = true;
    this->step.image = "heavy";
    const double cores = BestEffortCoreShare(this->workers.at({ "a", 1 }), this->step);
    this->weights = { 1.0 / cores, 0.05 / cores };
  }

  void AddServing(const std::string& aId, std::size_t aImage)
  {
    Worker& worker = AddWorker(this->workers, aId);
    worker.servingRuns = 1;
    worker.servingRunsByImage[aImage == kFrail ? "frail" : "firm"] = 1;
    worker.servingHeadrooms.push_back({ aImage, 2.5, 1.7, 0 });
  }

  ServingHeadroom& LoadOf(const std::string& aId)
  {
    return this->workers.at({ aId, 1 }).servingHeadrooms.front();
  }

  std::string Choose(bool aAllowInterference = false)
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

TEST_CASE("PlacementChoice TakesTheLeastLoadedWorkerWithRoom")
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

TEST_CASE("PlacementChoice LeavesDrainingAndAvoidedWorkersAlone")
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

// Guards against tasks that serve and miss their target for what fills beside them, though another
// worker is not disturbed by it.
TEST_CASE("PlacementChoice PutsAFillingTaskWhereItDisturbsNobody")
{
  Serving load;
  // The worker that is not disturbed is busier.
  load.workers.at({ "b", 1 }).demanded = { 3000, 0, 0 };
  CHECK(load.Choose() == "b");
}

TEST_CASE("PlacementChoice LetsAFillingTaskWaitWhereItWouldDisturbEverybody")
{
  Serving load;
  load.workers.erase({ "b", 1 });
  load.LoadOf("a").current = 1.7;
  CHECK(load.Choose().empty());
  CHECK(load.Choose(true) == "a");
}

// Guards against workers that stay empty while the users of what serves there are few.
TEST_CASE("PlacementChoice UsesAWorkerWhileItsServingRunsHaveHeadroomForNow")
{
  Serving load;
  load.workers.erase({ "b", 1 });
  load.LoadOf("a").current = 3.5;
  CHECK(load.Choose() == "a");
}

// Guards against a task that has to be slowed down as soon as the load rises, while another worker
// would bear it at its peak.
TEST_CASE("PlacementChoice PrefersAWorkerThatBearsTheTaskAtItsPeak")
{
  Serving load;
  load.LoadOf("a").current = 3.9;
  load.LoadOf("b").current = 1.8;
  load.workers.at({ "b", 1 }).demanded = { 3000, 0, 0 };
  CHECK(load.Choose() == "b");
}

// Guards against many tasks that are harmless one by one and disturb together.
TEST_CASE("PlacementChoice CountsWhatAlreadyDisturbs")
{
  Serving load;
  load.LoadOf("b").headroomCost = 1.5;
  load.LoadOf("a").current = 1.7;
  CHECK(load.Choose().empty());
}

// Guards against serving images spread over all workers: each image that fills then disturbs
// somebody on every one of them.
TEST_CASE("PlacementChoice PutsAServingTaskBesideItsOwnImage")
{
  Serving load;
  AddWorker(load.workers, "c");
  load.workers.at({ "b", 1 }).demanded = { 4000, 0, 0 };
  load.step = {};
  load.step.demand = { 1000, 100, 0 };
  load.step.longRunning = true;
  load.step.image = "firm";
  CHECK(load.Choose() == "b");
  load.step.image = "other";
  CHECK(load.Choose() == "c");
  load.workers.erase({ "c", 1 });
  CHECK_FALSE(load.Choose().empty());
}
