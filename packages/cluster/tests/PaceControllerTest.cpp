#include "oriolespread/cluster/PaceController.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const RunRef kServing{ "s.0.0.0", 1 };
const RunRef kHeavy{ "h.0.0.0", 1 };
const RunRef kLight{ "l.0.0.0", 1 };

std::vector<PacedRun> Runs(std::int64_t aTailLatencyMs)
{
  return { { kServing, 100, false, false, aTailLatencyMs, 0 },
           { kHeavy, 0, true, false, 0, 1.0 },
           { kLight, 0, true, false, 0, 0.1 } };
}

} // namespace

TEST_CASE("PaceController LowersTheMostDisturbingRunFirstWhenATargetIsMissed")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  CHECK(controller.Update(Runs(50), now).empty());
  const auto orders = controller.Update(Runs(110), now + 1000 * kMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent > 0);
}

// Guards against runs that are slowed by more than their neighbours need, or by less.
TEST_CASE("PaceController LowersARunByAsMuchAsTheMissingHeadroomAsksFor")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  // Headroom 1.0, so that a quarter of what the run takes is missing.
  const auto orders = controller.Update(Runs(100), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].percent == 75);
}

// Guards against a target that is missed for longer because runs are slowed one after the other.
TEST_CASE("PaceController LowersSeveralRunsAtOnceWhereOneIsNotEnough")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  std::vector<PacedRun> runs = Runs(140);
  runs[1].headroomCost = 0.4;
  runs[2].headroomCost = 0.3;
  const auto orders = controller.Update(runs, now);
  REQUIRE(orders.size() == 2);
}

// Guards against a target that stays missed because nothing is known yet of what disturbs.
TEST_CASE("PaceController TriesRunsOneByOneWhenNothingIsKnownOfThem")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  std::vector<PacedRun> runs = Runs(140);
  runs[1].headroomCost = 0;
  runs[2].headroomCost = 0;
  CHECK(controller.Update(runs, now).size() == 1);
  CHECK(controller.Update(runs, now + 1000 * kMs).size() == 1);
}

// Guards against a target that stays missed while something that disturbs works on.
TEST_CASE("PaceController PausesEverythingWhenATargetStaysMissed")
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

TEST_CASE("PaceController RaisesTheLeastDisturbingRunFirstWhenTheTargetIsMetAgain")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 25; ++round) {
    controller.Update(Runs(150), now);
    now += 100 * kMs;
  }
  now += 2000 * kMs;
  // Headroom 1.54: enough for the light run only.
  const auto orders = controller.Update(Runs(65), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kLight);
  CHECK(orders[0].percent == 100);
}

// Guards against a raise that makes the target be missed again.
TEST_CASE("PaceController RaisesARunOnlyAsFarAsTheHeadroomReaches")
{
  PaceController controller({});
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 25; ++round) {
    controller.Update(Runs(150), now);
    now += 100 * kMs;
  }
  now += 2000 * kMs;
  // Headroom 2.0, of which the light run takes 0.1.
  const auto orders = controller.Update(Runs(50), now);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent > 0);
  CHECK(orders[0].percent <= 50);
}

TEST_CASE("PaceController TellsARunAgainWhenAnOrderDidNotArrive")
{
  PaceController controller({});
  const Instant now = Instant{} + std::chrono::hours(1);
  REQUIRE(controller.Update(Runs(110), now).size() == 1);
  controller.OnFailed(kHeavy);
  const auto orders = controller.Update(Runs(92), now + 100 * kMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
}

// Guards against a run that stays paused for ever, because the agent that paused it has ended.
TEST_CASE("PaceController TellsItsPaceToARunThatAnEarlierProcessMayHavePaced")
{
  PaceController controller({});
  std::vector<PacedRun> runs = Runs(50);
  runs[1].inherited = true;
  const auto orders = controller.Update(runs, Instant{} + std::chrono::hours(1));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kHeavy);
  CHECK(orders[0].percent == 100);
}
