#include "oriolespread/jobs/PlacementChoice.h"

#include <catch2/catch.hpp>

#include <cmath>

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

// Two workers that serve, "frail" on the first and "firm" on the second, and a book that knows that
// "heavy" disturbs "frail".
struct Serving
{
  std::map<WorkerKey, Worker> workers;
  InterferenceBook book;
  StepSpec step;

  Serving()
  {
    const std::size_t frail = this->book.NumberOf("frail");
    const std::size_t firm = this->book.NumberOf("firm");
    double frailResidual = 0;
    double firmResidual = 0;
    for (int round = 0; round < 400; ++round) {
      const bool heavy = round / 5 % 2 == 0;
      std::vector<InterferenceBook::Company> company;
      if (heavy) {
        company.push_back({ "heavy", 1.0 });
      }
      this->book.Observe(frail, std::exp(heavy ? 0.1 : -0.9), company, frailResidual);
      this->book.Observe(firm, std::exp(-0.9), company, firmResidual);
    }
    this->AddServing("a", frail);
    this->AddServing("b", firm);
    this->step.demand = { 2000, 100, 0 };
    this->step.fillsUnused = true;
    this->step.image = "heavy";
  }

  void AddServing(const std::string& aId, std::size_t aImage)
  {
    Worker& worker = AddWorker(this->workers, aId);
    worker.serving = 1;
    worker.servingLoads.push_back({ aImage, 0, 0 });
  }

  std::string Choose(bool aMayDisturb = false)
  {
    PlacementRequest request;
    request.step = &this->step;
    request.service = "service";
    request.interference = &this->book;
    request.mayDisturb = aMayDisturb;
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
  CHECK(load.Choose().empty());
  CHECK(load.Choose(true) == "a");
}

// Guards against many tasks that are harmless one by one and disturb together.
TEST_CASE("PlacementChoice CountsWhatAlreadyDisturbs")
{
  Serving load;
  load.workers.at({ "b", 1 }).servingLoads[0].disturbance = 1.0;
  CHECK(load.Choose().empty());
}
