#include "oriolespread/cluster/Readiness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

EntryCondition MakeReadyCondition()
{
  EntryCondition condition;
  condition.hasConfig = true;
  condition.configAge = 900 * kMs;
  condition.storeSilence = 300 * kMs;
  return condition;
}

struct PlayedCallers
{
  int submitted = 0;
  // Callers that gave up after their last retry.
  int lost = 0;
};

// Plays an outage in which the store turns the first of two entries away for 9 s. A load balancer
// probes both each second and sends nobody to an entry after two misses. Callers come to the first
// entry each 100 ms, and a refused one returns after a second, at most four times.
PlayedCallers PlayOutage(const ReadinessSettings& aSettings)
{
  constexpr Duration kStep = 100 * kMs;
  constexpr Duration kOutageBegin = 2500 * kMs;
  constexpr Duration kOutageEnd = 11'500 * kMs;
  constexpr int kAttempts = 5;
  PlayedCallers callers;
  // The numbers of callers by the attempts that they have made, for each step of the last second.
  std::array<std::array<int, kAttempts>, 10> waiting{};
  int misses = 0;
  std::size_t slot = 0;
  for (Duration now{}; now < 20'000 * kMs; now += kStep, slot = (slot + 1) % waiting.size()) {
    const bool outage = now >= kOutageBegin && now < kOutageEnd;
    if (now % (1000 * kMs) == Duration::zero()) {
      EntryCondition condition = MakeReadyCondition();
      condition.storeSilence = outage ? now - kOutageBegin : Duration::zero();
      condition.configAge = condition.storeSilence;
      misses = IsReady(condition, aSettings) ? 0 : misses + 1;
    }
    std::array<int, kAttempts> attempts = waiting[slot];
    waiting[slot] = {};
    attempts[0] += 1;
    callers.submitted += 1;
    const bool isServed = misses >= 2 || !outage;
    if (isServed) {
      continue;
    }
    callers.lost += attempts[kAttempts - 1];
    std::copy(attempts.begin(), attempts.end() - 1, waiting[slot].begin() + 1);
  }
  return callers;
}

} // namespace

TEST_CASE("Readiness TakesCallersWhenTheStoreAnswers")
{
  CHECK(IsReady(MakeReadyCondition(), {}));
}

// Guards against an entry that leaves the load balancer for one lost answer or a slow store.
TEST_CASE("Readiness ToleratesALostAnswer")
{
  EntryCondition condition = MakeReadyCondition();
  condition.storeSilence = 1000 * kMs;
  CHECK(IsReady(condition, {}));
}

TEST_CASE("Readiness TakesNoCallersWhenSomethingIsMissing")
{
  EntryCondition draining = MakeReadyCondition();
  draining.draining = true;
  CHECK_FALSE(IsReady(draining, {}));
  EntryCondition unconfigured = MakeReadyCondition();
  unconfigured.hasConfig = false;
  CHECK_FALSE(IsReady(unconfigured, {}));
  EntryCondition outdated = MakeReadyCondition();
  outdated.configAge = 4100 * kMs;
  CHECK_FALSE(IsReady(outdated, {}));
  EntryCondition refused = MakeReadyCondition();
  refused.storeSilence = 1300 * kMs;
  CHECK_FALSE(IsReady(refused, {}));
}

// Guards against callers whose retries all reach the entry that the store turns away: with a limit
// of 4 s, those of the first second after the outage began were lost.
TEST_CASE("Readiness LosesNoCallerWhenTheStoreTurnsAnEntryAway")
{
  const PlayedCallers callers = PlayOutage({});
  INFO(callers.lost << " of " << callers.submitted << " callers lost");
  CHECK(callers.lost == 0);
}
