#include "oriolespread/tasks/SimWorld.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::sim;

// Guards against a chain that loses a task between submission, placement, start and completion.
TEST_CASE("ShardOwner CompletesEachTaskOnceWhenNothingFails")
{
  SimWorld world({});
  REQUIRE(world.Submit("job", 20, seconds(2), { 1000, 512, 0 }));
  world.RunFor(seconds(20));
  INFO(world.checks.violation);
  CHECK(world.checks.violation.empty());
  CHECK(world.checks.completed == 20);
  CHECK(world.checks.starts == 20);
  REQUIRE(world.FindOwner() != nullptr);
  const auto view = world.FindOwner()->owner->FindJob(JobId{ "job" });
  REQUIRE(view.has_value());
  CHECK(view->job->finished);
  CHECK(view->durable);
  CHECK(view->job->Count(TaskState::Completed) == 20);
}
