#include "ReservationBook.h"
#include "TaskTable.h"
#include "VictimSelector.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::seconds;

namespace {

struct Cell
{
  std::vector<TaskRecord> tasks;
  WorkerRecord worker;

  TaskIndex Add(std::int64_t aCores, int aSecondsSinceCheckpoint, int aEvictions = 0)
  {
    TaskRecord task;
    task.phase = TaskPhase::Placed;
    task.grant = { aCores, 100, 0 };
    task.placedAt = Instant{};
    task.checkpointedAt = Instant{} + seconds(1000 - aSecondsSinceCheckpoint);
    task.evictions = static_cast<std::uint16_t>(aEvictions);
    this->tasks.push_back(task);
    this->worker.used += task.grant;
    const auto index = static_cast<TaskIndex>(this->tasks.size() - 1);
    this->worker.tasks.push_back(index);
    return index;
  }

  std::optional<VictimSet> Choose(std::int64_t aCores)
  {
    this->worker.spec.capacity = { this->worker.used.milliCores, 100'000, 0 };
    return VictimSelector(this->tasks)
      .Choose(Instant{} + seconds(1000), { aCores, 10, 0 }, 0, this->worker);
  }
};

} // namespace

// Guards against victims that lose more work than needed.
TEST_CASE("VictimSelector ChoosesTheLeastWorkSinceACheckpoint")
{
  Cell cell;
  cell.Add(2000, 900);
  const TaskIndex cheap = cell.Add(2000, 10);
  cell.Add(8000, 500);
  const auto set = cell.Choose(2000);
  REQUIRE(set.has_value());
  CHECK(set->victims == std::vector<TaskIndex>{ cheap });
}

// Guards against evicting the same task again and again.
TEST_CASE("VictimSelector SparesTasksThatWereEvictedBefore")
{
  Cell cell;
  const TaskIndex often = cell.Add(2000, 1, VictimSelector::kMaxEvictions);
  const TaskIndex fresh = cell.Add(2000, 900);
  CHECK(cell.Choose(2000)->victims == std::vector<TaskIndex>{ fresh });
  // Only when nothing else suffices is it chosen.
  CHECK(cell.Choose(4000)->victims.size() == 2);
  CHECK(often == 0);
}

// Guards against unbounded evictions and against evicting services or tasks that already stop.
TEST_CASE("VictimSelector RefusesWhenTooManyOrOnlyProtectedTasksWouldYield")
{
  Cell cell;
  for (std::size_t i = 0; i < VictimSelector::kMaxVictims + 1; ++i) {
    cell.Add(100, 1);
  }
  CHECK(cell.Choose(800).has_value());
  CHECK_FALSE(cell.Choose(900).has_value());
  for (TaskRecord& task : cell.tasks) {
    task.shape.taskClass = TaskClass::LatencyCritical;
  }
  CHECK_FALSE(cell.Choose(100).has_value());
}

// Guards against freed capacity that somebody else takes before the urgent task.
TEST_CASE("ReservationBook HoldsWhatBecomesFreeUntilTheTaskFits")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex worker =
    capacity.SetWorker({ WorkerId("w"), DataCentreId("d"), RackId("r"), { 1000, 1000, 0 } }).first;
  CHECK(capacity.Reserve(worker, { 700, 100, 0 }));
  ReservationBook book(capacity);
  book.Open(5, { worker, { 600, 600, 0 }, {}, Instant{} + seconds(3), true });
  CHECK_FALSE(book.Complete().has_value());
  CHECK_FALSE(capacity.Reserve(worker, { 10, 0, 0 }));
  capacity.Free(worker, { 700, 100, 0 });
  book.TopUp(worker);
  CHECK(book.Complete() == 5);
  CHECK(capacity.At(worker).Free() == Resources{ 400, 400, 0 });
  book.Open(6, { worker, { 600, 600, 0 }, {}, Instant{} + seconds(3), true });
  CHECK(book.Expired(Instant{} + seconds(3)) == std::vector<TaskIndex>{ 6 });
  CHECK(book.Cancel(6) == worker);
  CHECK(capacity.At(worker).Free() == Resources{ 400, 400, 0 });
  CHECK(book.Take(5).held == Resources{ 600, 600, 0 });
  CHECK(book.size() == 0);
}

// Guards against histories that grow without bound or that outlive newer ones.
TEST_CASE("TaskTable ForgetsTheOldestHistories")
{
  TaskTable table;
  const TaskId first{ JobId("first"), 0 };
  table.HistoryOf(first).evictions = 1;
  table.ForgetHistory(first);
  table.HistoryOf(first).evictions = 2;
  for (std::uint32_t i = 0; i < TaskTable::kMaxHistories - 1; ++i) {
    table.HistoryOf({ JobId("other"), i });
  }
  REQUIRE(table.FindHistory(first) != nullptr);
  CHECK(table.FindHistory(first)->evictions == 2);
  table.HistoryOf({ JobId("last"), 0 });
  CHECK(table.FindHistory(first) == nullptr);
}
