#include "ReservationTable.h"
#include "TaskTable.h"
#include "VictimSelector.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::seconds;

namespace {

struct WorkerFixture
{
  std::vector<TaskRecord> tasks;
  WorkerRecord worker;

  TaskIndex Add(std::int64_t aMilliCores, int aSecondsSinceCheckpoint, int aEvictions = 0)
  {
    TaskRecord task;
    task.phase = TaskPhase::Placed;
    task.grant = { aMilliCores, 100, 0 };
    task.placedAt = Instant{};
    task.checkpointedAt = Instant{} + seconds(1000 - aSecondsSinceCheckpoint);
    task.evictions = static_cast<std::uint16_t>(aEvictions);
    this->tasks.push_back(task);
    this->worker.allocated += task.grant;
    const auto index = static_cast<TaskIndex>(this->tasks.size() - 1);
    this->worker.tasks.push_back(index);
    return index;
  }

  std::optional<VictimSet> Choose(std::int64_t aMilliCores)
  {
    this->worker.spec.capacity = { this->worker.allocated.milliCores, 100'000, 0 };
    return VictimSelector(this->tasks)
      .Choose(Instant{} + seconds(1000), { aMilliCores, 10, 0 }, 0, this->worker);
  }
};

} // namespace

// Guards against choosing victims that lose more work than necessary.
TEST_CASE("VictimSelector ChoosesTheTaskWithTheLeastWorkSinceItsCheckpoint")
{
  WorkerFixture fixture;
  fixture.Add(2000, 900);
  const TaskIndex cheap = fixture.Add(2000, 10);
  fixture.Add(8000, 500);
  const auto set = fixture.Choose(2000);
  REQUIRE(set.has_value());
  CHECK(set->victims == std::vector<TaskIndex>{ cheap });
}

// Guards against evicting the same task repeatedly.
TEST_CASE("VictimSelector AvoidsTasksThatWereEvictedOften")
{
  WorkerFixture fixture;
  const TaskIndex oftenEvicted = fixture.Add(2000, 1, VictimSelector::kMaxEvictions);
  const TaskIndex rarelyEvicted = fixture.Add(2000, 900);
  CHECK(fixture.Choose(2000)->victims == std::vector<TaskIndex>{ rarelyEvicted });
  // The task that was evicted often is chosen only if the other one is not sufficient.
  CHECK(fixture.Choose(4000)->victims.size() == 2);
  CHECK(oftenEvicted == 0);
}

// Guards against too many evictions and against evicting latency-critical tasks.
TEST_CASE("VictimSelector RefusesWhenTooManyOrOnlyLatencyCriticalTasksWouldBeEvicted")
{
  WorkerFixture fixture;
  for (std::size_t i = 0; i < VictimSelector::kMaxVictims + 1; ++i) {
    fixture.Add(100, 1);
  }
  CHECK(fixture.Choose(800).has_value());
  CHECK_FALSE(fixture.Choose(900).has_value());
  for (TaskRecord& task : fixture.tasks) {
    task.shape.taskClass = TaskClass::LatencyCritical;
  }
  CHECK_FALSE(fixture.Choose(100).has_value());
}

// Guards against another task taking freed capacity before the urgent task does.
TEST_CASE("ReservationTable HoldsFreedCapacityUntilTheTaskFits")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex worker =
    capacity.SetWorker({ WorkerId("w"), DataCentreId("d"), RackId("r"), { 1000, 1000, 0 } }).first;
  CHECK(capacity.Reserve(worker, { 700, 100, 0 }));
  ReservationTable reservations(capacity);
  reservations.Open(5, { worker, { 600, 600, 0 }, {}, Instant{} + seconds(3), true });
  CHECK_FALSE(reservations.FirstComplete().has_value());
  CHECK_FALSE(capacity.Reserve(worker, { 10, 0, 0 }));
  capacity.Free(worker, { 700, 100, 0 });
  reservations.TopUp(worker);
  CHECK(reservations.FirstComplete() == 5);
  CHECK(capacity.At(worker).Free() == Resources{ 400, 400, 0 });
  reservations.Open(6, { worker, { 600, 600, 0 }, {}, Instant{} + seconds(3), true });
  CHECK(reservations.Expired(Instant{} + seconds(3)) == std::vector<TaskIndex>{ 6 });
  CHECK(reservations.Cancel(6) == worker);
  CHECK(capacity.At(worker).Free() == Resources{ 400, 400, 0 });
  CHECK(reservations.Take(5).held == Resources{ 600, 600, 0 });
  CHECK(reservations.size() == 0);
}

// Guards against unbounded growth and against removing a newer history in place of an older one.
TEST_CASE("TaskTable RemovesTheOldestHistories")
{
  TaskTable table;
  const TaskId first{ JobId("first"), 0 };
  table.FindOrAddHistory(first).evictions = 1;
  table.RemoveHistory(first);
  table.FindOrAddHistory(first).evictions = 2;
  for (std::uint32_t i = 0; i < TaskTable::kMaxHistories - 1; ++i) {
    table.FindOrAddHistory({ JobId("other"), i });
  }
  REQUIRE(table.FindHistory(first) != nullptr);
  CHECK(table.FindHistory(first)->evictions == 2);
  table.FindOrAddHistory({ JobId("last"), 0 });
  CHECK(table.FindHistory(first) == nullptr);
}
