#include "oriolespread/placement/ScoredPlacer.h"

#include "absl/strings/str_cat.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace oriolespread;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TaskId Task(const std::string& aJob, std::uint32_t aIndex = 0)
{
  return { JobId(aJob), aIndex };
}

PlacementRequest Request(const std::string& aJob,
                         std::int64_t aMilliCores,
                         std::uint32_t aIndex = 0)
{
  PlacementRequest request;
  request.task = Task(aJob, aIndex);
  request.organisation = OrganisationId("org");
  request.kind = aJob;
  request.declared = { aMilliCores, 1000, 0 };
  return request;
}

struct Fixture
{
  Counters counters;
  ScoredPlacer placer{ counters };
  Instant now{};

  explicit Fixture(int aWorkers = 1, int aDataCentres = 1)
  {
    for (int i = 0; i < aWorkers; ++i) {
      this->placer.SetWorker({ WorkerId(absl::StrCat("w", i)),
                               DataCentreId(absl::StrCat("d", i % aDataCentres)),
                               RackId(absl::StrCat("r", i / aDataCentres / 2)),
                               { 8000, 16'000, 0 } });
    }
  }

  // Advances the time by 100 ms, calls Schedule and returns its actions of type `Action`.
  template<typename Action>
  std::vector<Action> NextActions()
  {
    this->now += milliseconds(100);
    std::vector<Action> taken;
    for (const PlacementAction& action : this->placer.Schedule(this->now, 100)) {
      if (const auto* wanted = std::get_if<Action>(&action)) {
        taken.push_back(*wanted);
      }
    }
    return taken;
  }
};

} // namespace

// Guards against placing all replicas of a service in one failure domain.
TEST_CASE("ScoredPlacer SpreadsReplicasOverDataCentresAndRacks")
{
  Fixture fixture(12, 3);
  for (std::uint32_t i = 0; i < 6; ++i) {
    PlacementRequest replica = Request("api", 500, i);
    replica.taskClass = TaskClass::LatencyCritical;
    replica.service = ServiceName("api");
    fixture.placer.Submit(fixture.now, replica);
  }
  std::map<int, std::set<int>> racksByDataCentre;
  for (const PlaceTask& place : fixture.NextActions<PlaceTask>()) {
    const int worker = std::stoi(place.worker.Value().substr(1));
    racksByDataCentre[worker % 3].insert(worker / 3 / 2);
  }
  REQUIRE(racksByDataCentre.size() == 3);
  for (const auto& [dataCentre, racks] : racksByDataCentre) {
    CHECK(racks.size() == 2);
  }
}

// Guards against giving the capacity of an evicted task to a task other than the urgent one for
// which it was evicted.
TEST_CASE("ScoredPlacer ReservesFreedCapacityForTheUrgentTask")
{
  Fixture fixture;
  fixture.placer.Submit(fixture.now, Request("batch", 6000));
  CHECK(fixture.NextActions<PlaceTask>().size() == 1);
  PlacementRequest urgent = Request("urgent", 5000);
  urgent.urgent = true;
  fixture.placer.Submit(fixture.now, urgent);
  const auto evicted = fixture.NextActions<EvictTask>();
  REQUIRE(evicted.size() == 1);
  CHECK(evicted[0].task == Task("batch"));
  fixture.placer.Submit(fixture.now, Request("small", 2000));
  CHECK(fixture.NextActions<PlaceTask>().empty());
  fixture.placer.Release(Task("batch"));
  const auto placed = fixture.NextActions<PlaceTask>();
  REQUIRE(placed.size() == 2);
  CHECK(placed[0].task == Task("urgent"));
  CHECK(placed[1].task == Task("small"));
}

// Guards against repeated reports, missing findings, and tasks that are not retried when a worker
// or quota becomes large enough.
TEST_CASE("ScoredPlacer ReportsATaskThatFitsNoWorkerOnceAndRetriesIt")
{
  Fixture fixture;
  fixture.placer.SetQuota(TeamId("team"), Resources{ 4000, 16'000, 0 });
  PlacementRequest request = Request("huge", 9000);
  request.team = TeamId("team");
  fixture.placer.Submit(fixture.now, request);
  const auto reports = fixture.NextActions<ReportUnplaceable>();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].findings.size() == 2);
  CHECK(fixture.NextActions<ReportUnplaceable>().empty());
  fixture.placer.SetWorker({ WorkerId("w9"), DataCentreId("d0"), RackId("r"), { 9000, 9000, 0 } });
  CHECK(fixture.NextActions<ReportUnplaceable>().empty());
  fixture.placer.SetQuota(TeamId("team"), std::nullopt);
  CHECK(fixture.NextActions<PlaceTask>().size() == 1);
}

// Guards against starvation of a large task by small ones.
TEST_CASE("ScoredPlacer PlacesALargeTaskDuringASteadyStreamOfSmallOnes")
{
  Fixture fixture;
  std::uint32_t next = 0;
  std::vector<TaskId> running;
  bool placed = false;
  for (int step = 0; step < 4000 && !placed; ++step) {
    if (step == 10) {
      PlacementRequest large = Request("large", 8000);
      large.organisation = OrganisationId("other");
      fixture.placer.Submit(fixture.now, large);
    }
    fixture.placer.Submit(fixture.now, Request("small", 1000, next++));
    // Also ends a task from time to time while no new task starts, so that capacity becomes free.
    if (running.size() > 3 || (step % 20 == 0 && !running.empty())) {
      fixture.placer.Release(running.front());
      running.erase(running.begin());
    }
    for (const PlaceTask& place : fixture.NextActions<PlaceTask>()) {
      placed = placed || place.task == Task("large");
      running.push_back(place.task);
    }
  }
  CHECK(placed);
}

// Guards against grants that stay at the declared amounts when these are wrong (F3).
TEST_CASE("ScoredPlacer AdjustsGrantsToUsageAndEvictsWhenMemoryIsExceeded")
{
  Fixture fixture;
  fixture.placer.Submit(fixture.now, Request("job", 4000));
  CHECK(fixture.NextActions<PlaceTask>().size() == 1);
  for (int i = 0; i < 6; ++i) {
    fixture.placer.RecordUsage(fixture.now, Task("job"), { 1000, 900, 0 });
  }
  const auto lowered = fixture.NextActions<RegrantTask>();
  REQUIRE(lowered.size() == 1);
  CHECK(lowered[0].grant == Resources{ 1150, 1000, 0 });
  CHECK(fixture.placer.AllocatedOn(WorkerId("w0")) == lowered[0].grant);
  fixture.placer.RecordUsage(fixture.now, Task("job"), { 2000, 900, 0 });
  CHECK(fixture.NextActions<RegrantTask>().at(0).grant.milliCores == 2300);
  fixture.placer.RecordUsage(fixture.now, Task("job"), { 2000, 1200, 0 });
  const auto evicted = fixture.NextActions<EvictTask>();
  REQUIRE(evicted.size() == 1);
  CHECK(evicted[0].reason == EvictionReason::MemoryExceeded);
  fixture.placer.Release(Task("job"));
  fixture.placer.Submit(fixture.now, Request("job", 4000));
  CHECK(fixture.NextActions<PlaceTask>().at(0).grant.memoryMiB == 1500);
}

// Guards against letting a task use more processor time than its grant on a full worker.
TEST_CASE("ScoredPlacer ThrottlesToTheGrantWhenTheWorkerIsFull")
{
  Fixture fixture;
  fixture.placer.Submit(fixture.now, Request("a", 4000));
  fixture.placer.Submit(fixture.now, Request("b", 4000));
  CHECK(fixture.NextActions<PlaceTask>().size() == 2);
  fixture.now += seconds(60);
  fixture.placer.RecordUsage(fixture.now, Task("a"), { 5000, 900, 0 });
  const auto throttled = fixture.NextActions<RegrantTask>();
  REQUIRE(throttled.size() == 1);
  CHECK(throttled[0].grant.milliCores == 4000);
}

// Guards against endless retries of a faulty task and against retries on the same worker.
TEST_CASE("ScoredPlacer CountsDistinctWorkersOnWhichATaskFailed")
{
  Fixture fixture(4);
  std::set<WorkerId> tried;
  for (std::size_t i = 0; i < ScoredPlacer::kMaxDistinctFailures; ++i) {
    CHECK(fixture.placer.DistinctFailures(Task("bad")) == i);
    fixture.placer.Submit(fixture.now, Request("bad", 1000));
    const auto placed = fixture.NextActions<PlaceTask>();
    REQUIRE(placed.size() == 1);
    CHECK(tried.insert(placed[0].worker).second);
    fixture.placer.RecordFailure(fixture.now, Task("bad"), placed[0].worker);
    fixture.placer.Release(Task("bad"));
  }
  CHECK(fixture.placer.DistinctFailures(Task("bad")) == ScoredPlacer::kMaxDistinctFailures);
}

// Guards against starvation of organisations by one that submits many tasks.
TEST_CASE("ScoredPlacer ServesEveryOrganisationWhileOneFloodsTheQueue")
{
  Fixture fixture(2);
  for (std::uint32_t i = 0; i < 300; ++i) {
    fixture.placer.Submit(fixture.now, Request("flood", 2000, i));
  }
  for (int i = 0; i < 20; ++i) {
    PlacementRequest request = Request(absl::StrCat("small", i), 2000);
    request.organisation = OrganisationId(absl::StrCat("o", i));
    fixture.placer.Submit(fixture.now, request);
  }
  std::set<JobId> served;
  for (int round = 0; round < 6; ++round) {
    for (const PlaceTask& place : fixture.NextActions<PlaceTask>()) {
      served.insert(place.task.job);
      fixture.placer.Release(place.task);
    }
  }
  CHECK(served.size() == 21);
}
