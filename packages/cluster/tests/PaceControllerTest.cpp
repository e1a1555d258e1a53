#include "oriolespread/cluster/PaceController.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const RunRef kServing{ "s.0.0.0", 1 };
const RunRef kHeavy{ "h.0.0.0", 1 };
const RunRef kLight{ "l.0.0.0", 1 };

std::vector<PacedRun> Runs(std::int64_t aFigure)
{
  return { { kServing, 100, false, aFigure, 0 },
           { kHeavy, 0, true, 0, 1.0 },
           { kLight, 0, true, 0, 0.1 } };
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
  const auto orders = controller.Update(Runs(40), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].ref == kLight);
  CHECK(orders[0].percent > 0);
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
