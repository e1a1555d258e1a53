// Starts that a worker has not answered, and may carry out when it has restarted.
#include "ProgressCodec.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr Duration kOpenTime = std::chrono::seconds(20);

// A job of one task whose first run has failed on the worker of `first`, which has not answered
// every start of it. The second run is at work on the worker of `second`.
struct OpenStartPlay
{
  SchedulerFixture fixture;
  std::string first;
  std::string second;

  explicit OpenStartPlay(StepSpec aStep = MakeStep(1))
  {
    // Runs advance by a percent with each report, so that they are not slow.
    aStep.estimateMs = 30'000;
    this->fixture.AddAgent("a");
    this->fixture.AddAgent("b");
    this->fixture.Submit(MakeJob("j", { aStep }));
    this->fixture.RunUntilIdle();
    this->first = this->fixture.starts.at(0).first;
    this->second = this->first == "a" ? "b" : "a";
    this->fixture.agents[this->first].openStarts = { { { "j.0.0.0", 1 },
                                                       ToMilliseconds(kOpenTime) } };
    this->fixture.End(this->first, { "j.0.0.0", 1 }, RunEnd::Failed);
    this->fixture.RunUntilIdle();
  }

  bool SecondRunsElsewhere() const
  {
    return this->fixture.starts.size() == 2 && this->fixture.starts[1].first == this->second;
  }

  bool IsSecondStopped() const
  {
    const auto& stops = this->fixture.stops;
    return std::find(stops.begin(), stops.end(), RunRef{ "j.0.0.0", 2 }) != stops.end();
  }

  // Passes the time with the reports of one agent.
  void PassWithReportsOf(const std::string& aAgent, Duration aTime)
  {
    Pass(this->fixture, { aAgent }, aTime);
  }

  static void Pass(SchedulerFixture& aFixture,
                   const std::vector<std::string>& aAgents,
                   Duration aTime)
  {
    const Instant until = aFixture.now.instant + aTime;
    while (aFixture.now.instant < until) {
      aFixture.Advance(300 * kMs);
      for (const std::string& agent : aAgents) {
        for (RunningRun& run : aFixture.agents[agent].running) {
          ++run.percent;
        }
        aFixture.Report(agent);
      }
      aFixture.RunUntilIdle();
    }
  }
};

} // namespace

// Guards against two runs of a task: a worker that lost its power with its agent carries out a late
// start of a run that has ended, while the next run is at work elsewhere.
TEST_CASE("JobScheduler StopsARunWhenAnotherWorkerMayStartAnEarlierOneAndItsAgentIsLost")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  REQUIRE_FALSE(play.IsSecondStopped());
  SECTION("the link to the agent breaks")
  {
    play.fixture.scheduler.OnAgentDown(play.first, play.fixture.now);
    play.fixture.RunUntilIdle();
  }
  SECTION("the agent is silent")
  {
    play.PassWithReportsOf(play.second, 1200 * kMs);
  }
  REQUIRE(play.IsSecondStopped());
  CHECK(play.fixture.counters.Get("runs_stopped_total", "start_unanswered") == 1);

  play.fixture.End(play.second, { "j.0.0.0", 2 }, RunEnd::Stopped);
  play.PassWithReportsOf(play.second, 2000 * kMs);
  CHECK(play.fixture.starts.size() == 2);
  // The next process of the agent has superseded all earlier calls before it reports.
  play.fixture.scheduler.OnAgentUp(play.first, play.fixture.now);
  play.fixture.Report(play.first);
  play.fixture.RunUntilIdle();
  CHECK(play.fixture.starts.size() == 3);
}

// Guards against work that is lost, or waits, although the agent keeps its worker from late starts.
TEST_CASE("JobScheduler KeepsARunBesideAnOpenStartWhileTheAgentOfThatWorkerReports")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  OpenStartPlay::Pass(play.fixture, { play.first, play.second }, 6000 * kMs);
  CHECK_FALSE(play.IsSecondStopped());
}

// Guards against tasks that wait for good for an agent that does not come back.
TEST_CASE("JobScheduler StartsATaskElsewhereWhenAnOpenStartCanNotBeCarriedOutAnyMore")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  play.fixture.scheduler.OnAgentDown(play.first, play.fixture.now);
  play.fixture.RunUntilIdle();
  play.fixture.End(play.second, { "j.0.0.0", 2 }, RunEnd::Stopped);
  play.PassWithReportsOf(play.second, kOpenTime - 500 * kMs);
  CHECK(play.fixture.starts.size() == 2);
  play.PassWithReportsOf(play.second, 1000 * kMs);
  REQUIRE(play.fixture.starts.size() == 3);
  CHECK(play.fixture.starts[2].first == play.second);
}

// Guards against waits for a worker that refuses the calls to its forerunner.
TEST_CASE("JobScheduler IgnoresAnOpenStartWhenAnotherWorkerHasTakenThePlaceOfTheCalledOne")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  play.fixture.agents[play.first].openStarts.clear();
  play.fixture.agents[play.first].worker.id = "another";
  play.fixture.Report(play.first);
  play.fixture.scheduler.OnAgentDown(play.first, play.fixture.now);
  play.PassWithReportsOf(play.second, 2000 * kMs);
  CHECK_FALSE(play.IsSecondStopped());
}

// Guards against lost work at each planned end of a worker, with which its agent ends.
TEST_CASE("JobScheduler KeepsARunBesideAnOpenStartOnAWorkerThatHasDrained")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  play.fixture.agents[play.first].worker.draining = true;
  play.fixture.Report(play.first);
  play.fixture.scheduler.OnAgentDown(play.first, play.fixture.now);
  play.PassWithReportsOf(play.second, 6000 * kMs);
  CHECK_FALSE(play.IsSecondStopped());
}

// Guards against a leader that knows the ends of runs, but not the starts that were left open.
TEST_CASE("JobScheduler StopsARunBesideAnOpenStartThatAnEarlierLeaderHasStored")
{
  OpenStartPlay play;
  REQUIRE(play.SecondRunsElsewhere());
  SchedulerFixture next(play.fixture.rows);
  next.agents = play.fixture.agents;
  next.scheduler.OnAgentUp(play.second, next.now);
  // The agents need some time to follow the leader.
  OpenStartPlay::Pass(next, { play.second }, 2000 * kMs);
  CHECK(next.stops.empty());
  OpenStartPlay::Pass(next, { play.second }, 900 * kMs);
  REQUIRE(next.stops.size() == 1);
  CHECK(next.stops[0] == RunRef{ "j.0.0.0", 2 });
}

// Copies of a speculative task may run side by side.
TEST_CASE("JobScheduler KeepsARunOfASpeculativeTaskBesideAnOpenStart")
{
  StepSpec step = MakeStep(1);
  step.speculative = true;
  OpenStartPlay play(step);
  REQUIRE(play.SecondRunsElsewhere());
  play.fixture.scheduler.OnAgentDown(play.first, play.fixture.now);
  play.PassWithReportsOf(play.second, 2000 * kMs);
  CHECK_FALSE(play.IsSecondStopped());
}

// Guards against a gang that is placed as a whole although a member may start elsewhere.
TEST_CASE("JobScheduler PlacesNoGangWhenAnotherWorkerMayStartAMemberAndItsAgentIsLost")
{
  StepSpec step = MakeStep(2);
  step.gang = true;
  step.demand.milliCores = 8000;
  step.estimateMs = 30'000;
  SchedulerFixture fixture;
  for (const char* agent : { "a", "b", "c" }) {
    fixture.AddAgent(agent);
  }
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 2);
  const auto [lost, start] = fixture.starts[0];
  const auto [other, otherStart] = fixture.starts[1];
  std::vector<std::string> others = { "a", "b", "c" };
  std::erase(others, lost);
  fixture.agents[lost].openStarts = { { start.ref, ToMilliseconds(kOpenTime) } };
  fixture.End(lost, start.ref, RunEnd::Failed);
  fixture.scheduler.OnAgentDown(lost, fixture.now);
  fixture.End(other, otherStart.ref, RunEnd::Broken);
  OpenStartPlay::Pass(fixture, others, 1500 * kMs);
  CHECK(fixture.starts.size() == 2);
}

// The usual run costs no bytes in the store.
TEST_CASE("ProgressCodec StoresOpenStartsOnlyForTasksThatHaveSome")
{
  Step step;
  step.tasks.resize(2);
  const std::string usual =
    internal::EncodeProgress(step, std::nullopt, internal::Checkpoints::Keep);
  const auto usualJson = nlohmann::json::from_msgpack(usual);
  CHECK(usualJson.at(0).size() == 5);
  step.tasks[1].openStarts.push_back({ "w", "a", Instant{}, 1'234 });
  Step decoded;
  decoded.tasks.resize(2);
  REQUIRE(internal::DecodeProgress(
    internal::EncodeProgress(step, std::nullopt, internal::Checkpoints::Keep),
    std::nullopt,
    decoded));
  CHECK(decoded.tasks[0].openStarts.empty());
  REQUIRE(decoded.tasks[1].openStarts.size() == 1);
  CHECK(decoded.tasks[1].openStarts[0].worker == "w");
  CHECK(decoded.tasks[1].openStarts[0].agent == "a");
  CHECK(decoded.tasks[1].openStarts[0].untilUnixMs == 1'234);
}
