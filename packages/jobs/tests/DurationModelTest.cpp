#include "oriolespread/jobs/DurationModel.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace oriolespread;
using namespace oriolespread::jobs;

TEST_CASE("DurationModel KeepsDeclaredDurationsUntilTasksWereMeasured")
{
  DurationModel model;
  CHECK(model.ExpectMs("queue", 700) == 700);
  for (int count = 0; count < 10; ++count) {
    model.Observe("queue", 700, 1400);
  }
  CHECK(model.ExpectMs("queue", 700) == 700);
}

TEST_CASE("DurationModel KeepsDeclaredDurationsThatAreRight")
{
  DurationModel model;
  for (int count = 0; count < 100; ++count) {
    const int durationMs = 200 + 37 * (count % 20);
    model.Observe("queue", durationMs, durationMs);
  }
  CHECK(std::abs(model.ExpectMs("queue", 300) - 300) < 10);
  CHECK(std::abs(model.ExpectMs("queue", 800) - 800) < 10);
}

// Guards against jobs that look late, or as if they could wait, by durations that callers declare
// at random.
TEST_CASE("DurationModel ExpectsTheMeanOfAQueueWhoseDeclaredDurationsAreArbitrary")
{
  DurationModel model;
  RandomSource random(7);
  for (int count = 0; count < 400; ++count) {
    model.Observe("queue", 500 + static_cast<int>(random.Below(1500)), 1000);
  }
  CHECK(std::abs(model.ExpectMs("queue", 700) - 1000) < 100);
  CHECK(std::abs(model.ExpectMs("queue", 1800) - 1000) < 200);
}

TEST_CASE("DurationModel BoundsTheFactorOnADeclaredDuration")
{
  DurationModel model;
  for (int count = 0; count < 100; ++count) {
    model.Observe("queue", 100 + count, 60'000);
    model.Observe("other", 10'000 + count, 1);
  }
  CHECK(model.ExpectMs("queue", 150) == 300);
  CHECK(model.ExpectMs("other", 10'000) == 5000);
  CHECK(model.ExpectMs("queue", 0) == 0);
}

TEST_CASE("DurationModel IgnoresDurationsThatAreNotPositive")
{
  DurationModel model;
  for (int count = 0; count < 100; ++count) {
    model.Observe("queue", 0, 500);
    model.Observe("queue", 500, 0);
    model.Observe("queue", -5, 500);
  }
  CHECK(model.ExpectMs("queue", 500) == 500);
}
