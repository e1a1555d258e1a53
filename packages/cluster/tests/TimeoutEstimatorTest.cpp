#include "oriolespread/cluster/TimeoutEstimator.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

// Sends `aCalls` calls, one after the other, to a store that answers each after `aLatency`. Returns
// how many attempts it took, as calls are repeated after a timeout.
int CountAttempts(TimeoutEstimator& aEstimator, int aCalls, Duration aLatency)
{
  int attempts = 0;
  for (int call = 0; call < aCalls; ++call) {
    ++attempts;
    while (aEstimator.Timeout() < aLatency) {
      aEstimator.OnTimeout();
      ++attempts;
    }
    aEstimator.OnAnswer(aLatency);
  }
  return attempts;
}

} // namespace

TEST_CASE("TimeoutEstimator WaitsForTheMaximumBeforeTheFirstAnswer")
{
  CHECK(TimeoutEstimator({}).Timeout() == TimeoutLimits{}.max);
}

// Guards against decisions that wait for 0.9 s for each answer that a fast store has lost.
TEST_CASE("TimeoutEstimator WaitsForTheMinimumWhenAnswersAreFast")
{
  TimeoutEstimator estimator({});
  CountAttempts(estimator, 10, 12 * kMs);
  CHECK(estimator.Timeout() == TimeoutLimits{}.min);
}

// Guards against a store that is slow and has to do much of its work twice.
TEST_CASE("TimeoutEstimator RepeatsFewCallsWhenTheStoreBecomesSlow")
{
  for (int latencyMs = 100; latencyMs <= 900; latencyMs += 100) {
    TimeoutEstimator estimator({});
    CountAttempts(estimator, 50, 12 * kMs);
    const int repeated = CountAttempts(estimator, 20, latencyMs * kMs) - 20;
    INFO("latency " << latencyMs << " ms");
    CHECK(repeated <= 3);
  }
}

// Guards against a wait that stays short while no answer arrives at all.
TEST_CASE("TimeoutEstimator WaitsLongerAfterEachTimeout")
{
  TimeoutEstimator estimator({});
  CountAttempts(estimator, 10, 12 * kMs);
  estimator.OnTimeout();
  CHECK(estimator.Timeout() == 2 * TimeoutLimits{}.min);
  for (int timeout = 0; timeout < 40; ++timeout) {
    estimator.OnTimeout();
  }
  CHECK(estimator.Timeout() == TimeoutLimits{}.max);
  estimator.OnAnswer(12 * kMs);
  CHECK(estimator.Timeout() == TimeoutLimits{}.min);
}
