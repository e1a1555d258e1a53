#include "oriolespread/cluster/PaceController.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const RunRef kServing{ "s.0.0.0", 1 };
// Best-effort runs with a headroom cost of 1.0 and 0.1.
const RunRef kHeavy{ "h.0.0.0", 1 };
const RunRef kLight{ "l.0.0.0", 1 };

std::vector<PacedRun> Runs(std::int64_t aTailLatencyMs)
{
  return { { kServing, 100, false, false, aTailLatencyMs, 0 },
           { kHeavy, 0, true, false, 0, 1.0 },
           { kLight, 0, true, false, 0, 0.1 } };
}

} // namespace

TEST_CASE("PaceController LowersTheMostInterferingRunFirstWhenATargetIsMissed")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  CHECK(controller.Update(Runs(50), now).empty());
  const auto orders = controller.Update(Runs(110), now + 1000 * kMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent > 0);
}

// Guards against jobs that are delayed by paced runs although no target is missed.
TEST_CASE("PaceController LowersNothingWhileTheTargetIsMet")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 25; ++round) {
    // The headroom is 1.05.
    CHECK(controller.Update(Runs(95), now).empty());
    now += 100 * kMs;
  }
}

// Guards against throttling a run by more or less than the missing headroom.
TEST_CASE("PaceController LowersARunByAsMuchAsTheMissingHeadroomRequires")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  // The headroom is 0.781, so 0.269 of what the run costs is missing to 1.05.
  const auto orders = controller.Update(Runs(128), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].percent == 73);
}

// Guards against a target that is missed for longer because runs are throttled one after the other.
TEST_CASE("PaceController LowersSeveralRunsAtOnceWhenOneIsNotEnough")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  std::vector<PacedRun> runs = Runs(200);
  runs[1].headroomCost = 0.4;
  runs[2].headroomCost = 0.3;
  const auto orders = controller.Update(runs, now);
  REQUIRE(orders.size() == 2);
}

// Guards against a target that stays missed because no interference is known yet.
TEST_CASE("PaceController TriesRunsOneByOneWhenTheirInterferenceIsUnknown")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  std::vector<PacedRun> runs = Runs(140);
  runs[1].headroomCost = 0;
  runs[2].headroomCost = 0;
  CHECK(controller.Update(runs, now).size() == 1);
  CHECK(controller.Update(runs, now + 1000 * kMs).size() == 1);
}

// Guards against a target that stays missed because an interfering run continues.
TEST_CASE("PaceController PausesAllBestEffortRunsWhenATargetStaysMissed")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  std::map<RunRef, int> paces;
  for (int round = 0; round < 25; ++round) {
    for (const PaceOrder& order : controller.Update(Runs(150), now)) {
      paces[order.ref] = order.percent;
    }
    now += 100 * kMs;
  }
  CHECK(paces[kHeavy] == 0);
  CHECK(paces[kLight] == 0);
}

TEST_CASE("PaceController RaisesTheLeastInterferingRunFirstWhenTheTargetIsMetAgain")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 25; ++round) {
    controller.Update(Runs(150), now);
    now += 100 * kMs;
  }
  now += 2000 * kMs;
  // The headroom is 1.28, enough for the light run only.
  const auto orders = controller.Update(Runs(78), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kLight);
  CHECK(orders[0].percent == 100);
}

// Guards against raising paces so far that the target is missed again.
TEST_CASE("PaceController RaisesARunOnlyAsFarAsTheHeadroomAllows")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 25; ++round) {
    controller.Update(Runs(150), now);
    now += 100 * kMs;
  }
  now += 2000 * kMs;
  // The headroom is 1.75, of which the light run costs 0.1.
  const auto orders = controller.Update(Runs(57), now);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent > 0);
  CHECK(orders[0].percent <= 50);
}

TEST_CASE("PaceController RepeatsAnOrderThatDidNotArrive")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  REQUIRE(controller.Update(Runs(110), now).size() == 1);
  controller.OnFailed(kHeavy);
  const auto orders = controller.Update(Runs(92), now + 100 * kMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
}

// Guards against a run that stays paused indefinitely because the agent that paused it has ended.
TEST_CASE("PaceController SendsThePaceOfARunThatAnEarlierProcessMayHavePaced")
{
  PaceController controller({});
  std::vector<PacedRun> runs = Runs(50);
  runs[1].inherited = true;
  const auto orders = controller.Update(runs, Instant{} + std::chrono::hours(1));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent == 100);
}

// Plays a serving run whose load oscillates beside a run that slows it down, with reports that lag.
// Guards against paces that cost the best-effort run most of its work, and against a target that is
// missed in more than a fifth of the reports. The ideal control knows the load in advance.
TEST_CASE("PaceController LeavesMostOfTheWorkWhenTheLoadOscillates")
{
  constexpr double kPi = 3.14159265358979;
  constexpr int kReportMs = 600;
  constexpr int kPeriodMs = 14'000;
  constexpr int kPlayedMs = 10 * kPeriodMs;
  constexpr double kHeavyHeadroomCost = 1.0;
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  int percent = 100;
  double work = 0;
  double idealWork = 0;
  int missedReports = 0;
  for (int elapsedMs = 0; elapsedMs < kPlayedMs; elapsedMs += kReportMs) {
    // Without the heavy run, the headroom lies between 1.2 and 3.4.
    const double baseline = 2.3 - 1.1 * std::sin(2 * kPi * elapsedMs / kPeriodMs);
    const double headroom = baseline - kHeavyHeadroomCost * percent / 100.0;
    missedReports += headroom < 1.0 ? 1 : 0;
    work += percent / 100.0;
    idealWork += std::clamp((baseline - 1.0) / kHeavyHeadroomCost, 0.0, 1.0);
    for (const PaceOrder& order :
         controller.Update(Runs(static_cast<std::int64_t>(100.0 / headroom)), now)) {
      percent = order.ref == kHeavy ? order.percent : percent;
    }
    now += kReportMs * kMs;
  }
  const double reports = static_cast<double>(kPlayedMs) / kReportMs;
  INFO("work " << work << " of " << idealWork << ", missed " << missedReports / reports);
  CHECK(work > 0.8 * idealWork);
  CHECK(missedReports < 0.2 * reports);
}

// Guards against a run that works on while a target is missed: the worker carries out an unanswered
// order to raise its pace after it was paused, and the controller takes it for paused.
TEST_CASE("PaceController RepeatsThePaceAsLongAsAnUnansweredOrderMayReplaceIt")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  REQUIRE_FALSE(controller.Update(Runs(128), now).empty());
  controller.OnUnanswered(kHeavy, now);
  const Instant sentAt = now;
  Instant lastRepeatedAt = now;
  while (now < sentAt + 30 * 1000 * kMs) {
    now += 100 * kMs;
    // The headroom is 1.0, so that no pace changes.
    for (const PaceOrder& order : controller.Update(Runs(100), now)) {
      CHECK(order.ref == kHeavy);
      CHECK(order.percent == 73);
      CHECK(now - lastRepeatedAt <= 600 * kMs);
      lastRepeatedAt = now;
    }
  }
  CHECK(lastRepeatedAt >= sentAt + 12 * 1000 * kMs);
  CHECK(lastRepeatedAt <= sentAt + 25 * 1000 * kMs);
}
