#include "oriolespread/jobs/RunSpeed.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kWindow = 600 * kMs;
const Instant kStart = Instant{} + std::chrono::hours(1);

} // namespace

TEST_CASE("RunSpeed MeasuresProgressRelativeToTheEstimate")
{
  RunSpeed speed;
  speed.Restart(10, kStart);
  CHECK_FALSE(speed.Update(20, 2000, kWindow, kStart + 300 * kMs));
  CHECK_FALSE(speed.Last().has_value());
  REQUIRE(speed.Update(40, 2000, kWindow, kStart + 600 * kMs));
  CHECK(*speed.Last() == Approx(1.0));
  // The second measurement begins where the first one ended.
  REQUIRE(speed.Update(50, 2000, kWindow, kStart + 1600 * kMs));
  CHECK(*speed.Last() == Approx(0.2));
}

// Guards against a resumed run that counts as slow because it makes no progress while it loads its
// checkpoint.
TEST_CASE("RunSpeed LeavesOutTheTimeBeforeTheFirstProgress")
{
  RunSpeed speed;
  speed.RestartAfter(50);
  CHECK_FALSE(speed.Update(50, 2000, kWindow, kStart + 900 * kMs));
  CHECK_FALSE(speed.Update(60, 2000, kWindow, kStart + 1200 * kMs));
  REQUIRE(speed.Update(90, 2000, kWindow, kStart + 1800 * kMs));
  CHECK(*speed.Last() == Approx(1.0));
}

// Guards against a worker that is avoided for a negative speed.
TEST_CASE("RunSpeed MeasuresAnewWhenProgressGoesBack")
{
  RunSpeed speed;
  speed.Restart(40, kStart);
  CHECK_FALSE(speed.Update(60, 2000, kWindow, kStart + 300 * kMs));
  CHECK_FALSE(speed.Update(10, 2000, kWindow, kStart + 600 * kMs));
  CHECK_FALSE(speed.Last().has_value());
  CHECK_FALSE(speed.Update(25, 2000, kWindow, kStart + 900 * kMs));
  CHECK_FALSE(speed.Update(20, 2000, kWindow, kStart + 1100 * kMs));
  CHECK_FALSE(speed.Update(35, 2000, kWindow, kStart + 1400 * kMs));
  REQUIRE(speed.Update(50, 2000, kWindow, kStart + 1700 * kMs));
  CHECK(*speed.Last() == Approx(1.0));
}

// Guards against a run that is stopped shortly before its end, or whose work would be repeated for
// longer than it still takes.
TEST_CASE("MoveGain IsHighOnlyForASlowRunWithMuchWorkLeft")
{
  CHECK(MoveGain({ 0.2, 20, 1000, false }) == 3000 * kMs);
  CHECK(MoveGain({ 0.2, 20, 1000, true }) == 3200 * kMs);
  CHECK(MoveGain({ 0.2, 90, 1000, false }) < Duration::zero());
  CHECK(MoveGain({ 1.0, 0, 1000, false }) == Duration::zero());
}
