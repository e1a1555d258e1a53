#include "UsageEstimator.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;

// Guards against grants that follow single peaks, and against grants below the usual usage.
TEST_CASE("UsageEstimator TargetsThe95thPercentilePlusAMargin")
{
  UsageEstimator usage;
  for (int i = 0; i < 2; ++i) {
    usage.Record(1, 0, { 1000, 1000, 0 });
  }
  CHECK_FALSE(usage.GrantTarget(1).has_value());
  for (int i = 0; i < 17; ++i) {
    usage.Record(1, 0, { 1000, 1000, 0 });
  }
  usage.Record(1, 0, { 9000, 9000, 0 });
  CHECK(usage.GrantTarget(1) == Resources{ 1150, 1150, 0 });
  usage.Record(1, 0, { 9000, 9000, 0 });
  CHECK(usage.GrantTarget(1) == Resources{ 10350, 10350, 0 });
  usage.RemoveTask(1);
  CHECK_FALSE(usage.GrantTarget(1).has_value());
}

// Guards against initial estimates that are based on too few samples or mostly on one long attempt.
TEST_CASE("UsageEstimator LearnsAnInitialEstimatePerKind")
{
  UsageEstimator usage;
  for (TaskIndex task = 0; task < UsageEstimator::kMinKindSamples; ++task) {
    CHECK_FALSE(usage.InitialEstimate(4).has_value());
    for (int i = 0; i < 3; ++i) {
      usage.Record(task, 4, { 2000, 500, 0 });
    }
  }
  CHECK(usage.InitialEstimate(4) == Resources{ 2300, 575, 0 });
  CHECK_FALSE(usage.InitialEstimate(5).has_value());
}
