#include "oriolespread/tasks/TaskTable.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

AttemptId Attempt(std::uint64_t aCounter, std::uint32_t aIndex = 0)
{
  return { { JobId{ "j" }, aIndex }, { Epoch{ 1 }, aCounter } };
}

TaskTable MakeTable(TaskClass aClass = TaskClass::Batch)
{
  TaskTable table;
  JobSpec spec;
  spec.job = JobId{ "j" };
  spec.tasks = 2;
  spec.taskClass = aClass;
  REQUIRE(table.Apply(JobSubmitted{ spec }));
  return table;
}

bool PlaceOn(TaskTable& aTable, const AttemptId& aAttempt, const std::string& aWorker = "w")
{
  return aTable.Apply(TaskPlaced{ aAttempt, WorkerId{ aWorker }, { 1, 1, 0 } });
}

TaskState StateOf(const TaskTable& aTable, std::uint32_t aIndex = 0)
{
  return aTable.Find({ JobId{ "j" }, aIndex })->state;
}

} // namespace

// Guards against invalid transitions, in particular out of a final state.
TEST_CASE("TaskState AllowsNoTransitionFromAFinalState")
{
  for (int from = 0; from < 9; ++from) {
    for (int to = 0; to < 9; ++to) {
      if (IsFinal(static_cast<TaskState>(from))) {
        CHECK_FALSE(IsAllowedTransition(static_cast<TaskState>(from), static_cast<TaskState>(to)));
      }
    }
  }
  CHECK(IsAllowedTransition(TaskState::Evicted, TaskState::Placed));
  CHECK_FALSE(IsAllowedTransition(TaskState::Queued, TaskState::Running));
  CHECK_FALSE(IsAllowedTransition(TaskState::Evicted, TaskState::Completed));
}

// Guards against a completion that is counted twice or for an earlier attempt.
TEST_CASE("TaskTable CountsACompletionOnceAndOnlyOfTheLastAttempt")
{
  TaskTable table = MakeTable();
  REQUIRE(PlaceOn(table, Attempt(1)));
  CHECK_FALSE(PlaceOn(table, Attempt(2)));
  REQUIRE(table.Apply(AttemptEnded{ Attempt(1), AttemptEnd::Evicted, "c1", "lapsed" }));
  CHECK_FALSE(PlaceOn(table, Attempt(1)));
  REQUIRE(PlaceOn(table, Attempt(3)));
  CHECK_FALSE(table.Apply(AttemptEnded{ Attempt(1), AttemptEnd::Completed, {}, {} }));
  CHECK(table.Apply(AttemptEnded{ Attempt(3), AttemptEnd::Completed, {}, {} }));
  CHECK_FALSE(table.Apply(AttemptEnded{ Attempt(3), AttemptEnd::Completed, {}, {} }));
  CHECK(StateOf(table) == TaskState::Completed);
  CHECK(table.FindJob(JobId{ "j" })->Count(TaskState::Completed) == 1);
}

// Guards against a cancelled task that is placed again or changes to another final state.
TEST_CASE("TaskTable KeepsATaskCancelledWhenItsAttemptCompletes")
{
  TaskTable table = MakeTable();
  REQUIRE(PlaceOn(table, Attempt(1)));
  REQUIRE(table.Apply(TasksCancelled{ JobId{ "j" }, { 0 } }));
  CHECK_FALSE(PlaceOn(table, Attempt(2)));
  REQUIRE(table.Apply(AttemptEnded{ Attempt(1), AttemptEnd::Completed, {}, {} }));
  CHECK(StateOf(table) == TaskState::Cancelled);
  CHECK_FALSE(table.FindJob(JobId{ "j" })->finished);
  REQUIRE(table.Apply(TasksCancelled{ JobId{ "j" }, {} }));
  CHECK(table.FindJob(JobId{ "j" })->finished);
}

// Guards against a task that is retried forever although it fails on every worker, and against
// failing a task because of a single bad worker.
TEST_CASE("TaskTable FailsATaskAfterThreeDistinctWorkers")
{
  TaskTable table = MakeTable();
  std::uint64_t counter = 0;
  for (const char* worker : { "w1", "w1", "w2", "w3" }) {
    CHECK(StateOf(table) != TaskState::Failed);
    REQUIRE(PlaceOn(table, Attempt(++counter), worker));
    REQUIRE(table.Apply(AttemptEnded{ Attempt(counter), AttemptEnd::Failed, {}, "exit 1" }));
  }
  CHECK(StateOf(table) == TaskState::Failed);
}

// Guards against a lost replica that runs again under the same task id.
TEST_CASE("TaskTable ReplacesALostReplicaByANewTask")
{
  TaskTable table = MakeTable(TaskClass::LatencyCritical);
  REQUIRE(PlaceOn(table, Attempt(1)));
  REQUIRE(table.Apply(ReplicaReplaced{ Attempt(1) }));
  CHECK(StateOf(table, 0) == TaskState::Failed);
  CHECK(StateOf(table, 2) == TaskState::Queued);
  CHECK_FALSE(PlaceOn(table, Attempt(2)));
}

// Guards against a snapshot that loses state, and against malformed bytes that change the state.
TEST_CASE("TaskTable RestoresItsStateFromASnapshot")
{
  TaskTable table = MakeTable();
  REQUIRE(PlaceOn(table, Attempt(1)));
  REQUIRE(table.Apply(TaskProgressed{ Attempt(1), "c1" }));
  TaskTable copy;
  REQUIRE(copy.Deserialize(table.Serialize()));
  CHECK(copy.Serialize() == table.Serialize());
  CHECK(copy.FindLive(Attempt(1))->checkpoint == "c1");
  CHECK_FALSE(copy.Deserialize("nonsense"));
  CHECK(copy.FindLive(Attempt(1)) != nullptr);
}
