// Orders whose effect the leader does not know: the link was lost, the agent was restarted, or the
// worker did not answer.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// Ends the link to the agent and opens a new one. What the agent lists does not change.
void ReconnectAgent(SchedulerFixture& aFixture, const std::string& aAgent)
{
  aFixture.scheduler.OnAgentDown(aAgent, aFixture.now);
  aFixture.agents[aAgent].lastOrders = 0;
  aFixture.stops.clear();
  aFixture.starts.clear();
  aFixture.scheduler.OnAgentUp(aAgent, aFixture.now);
}

} // namespace

// Guards against a task that never starts: the agent waits for the leader's order before it repeats
// a start of an earlier link.
TEST_CASE("JobScheduler RepeatsAStartThatWasNotConfirmedBeforeTheLinkWasLost")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  fixture.agents["a"].running.clear();
  fixture.agents["a"].starting = { { "j.0.0.0", 1 } };
  ReconnectAgent(fixture, "a");
  fixture.Report("a");
  fixture.TakeOrders();
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].second.ref == RunRef{ "j.0.0.0", 1 });
}

// Guards against a start that takes effect although no job needs it: the leader that ordered it is
// gone, and its successor does not know the run.
TEST_CASE("JobScheduler StopsAnUnknownRunThatHasNotStartedYet")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a");
  fixture.agents["a"].starting.push_back({ "x.0.0.0", 3 });
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ { "x.0.0.0", 3 } });
}
