#include "oriolespread/cluster/AdmissionControl.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const Instant kNow = Instant{} + std::chrono::hours(1);

// A job of 1 s with an objective of 2 s: refused above a wait of 5 s, accepted again below 3 s.
AdmissionRequest MakeRequest(const std::string& aJob = "j", const std::string& aQueue = "q")
{
  return { aJob, aQueue, 1000, 2000 };
}

PublishedWait Wait(std::int64_t aWaitMs, Duration aAge = {})
{
  return { aWaitMs, kNow - aAge };
}

} // namespace

// Guards against refusing jobs that are late but useful, and accepting those that are not.
TEST_CASE("AdmissionControl RefusesAJobWhenItWouldEndAfterThreeTimesItsObjective")
{
  AdmissionControl admission;
  const AdmissionDecision late = admission.Decide(MakeRequest(), Wait(5000), kNow);
  CHECK_FALSE(late.refused);
  CHECK(late.expectedEndMs == 6000);
  const AdmissionDecision useless = admission.Decide(MakeRequest(), Wait(5100), kNow);
  CHECK(useless.refused);
  CHECK(useless.expectedEndMs == 6100);
}

// Guards against a decision that switches with each job while the wait varies around a threshold.
TEST_CASE("AdmissionControl RefusesUntilTheExpectedEndIsBelowTwiceTheObjective")
{
  AdmissionControl admission;
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(4000), kNow).refused);
  CHECK(admission.Decide(MakeRequest(), Wait(5100), kNow).refused);
  CHECK(admission.Decide(MakeRequest(), Wait(4900), kNow).refused);
  CHECK(admission.Decide(MakeRequest(), Wait(3000), kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(2900), kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(4900), kNow).refused);
}

// Guards against one kind of jobs that switches the hysteresis of another one.
TEST_CASE("AdmissionControl KeepsQueuesAndObjectivesOfAnotherSizeApart")
{
  AdmissionControl admission;
  REQUIRE(admission.Decide(MakeRequest(), Wait(5100), kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest("j", "other"), Wait(4000), kNow).refused);
  const AdmissionRequest longJob{ "j", "q", 10'000, 20'000 };
  CHECK_FALSE(admission.Decide(longJob, Wait(5100), kNow).refused);
  CHECK_FALSE(admission.Decide(longJob, Wait(40'000), kNow).refused);
  CHECK(admission.Decide(MakeRequest(), Wait(4000), kNow).refused);
}

// Guards against refusals by a wait that no leader confirms any more, and by one from before.
TEST_CASE("AdmissionControl RefusesNothingWhenNoRecentWaitIsKnown")
{
  AdmissionControl admission;
  CHECK(admission.Decide(MakeRequest(), Wait(60'000, 2000 * kMs), kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(60'000, 2001 * kMs), kNow).refused);
  // The refusals from before the gap do not count.
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(4000), kNow).refused);
  REQUIRE(admission.Decide(MakeRequest(), Wait(60'000), kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest(), std::nullopt, kNow).refused);
  CHECK_FALSE(admission.Decide(MakeRequest(), Wait(4000), kNow).refused);
}

// Guards against refusing jobs for another reason than the backlog.
TEST_CASE("AdmissionControl RefusesNoJobThatIsLateWithoutABacklogOrHasNoObjective")
{
  AdmissionControl admission;
  CHECK_FALSE(admission.Decide({ "j", "q", 6001, 2000 }, Wait(60'000), kNow).refused);
  CHECK_FALSE(admission.Decide({ "j", "q", 0, 0 }, Wait(60'000), kNow).refused);
}

// Guards against callers that return before there is room, all at the same time, or much too late.
TEST_CASE("AdmissionControl SpreadsRetryAfterOverHalfAsMuchAgain")
{
  struct Case
  {
    std::int64_t waitMs;
    std::int64_t earliest;
    std::int64_t latest;
  };
  // The job ends within its objective again when the wait has fallen to 1 s.
  for (const auto& [waitMs, earliest, latest] :
       { Case{ 5100, 5, 8 }, Case{ 11'000, 10, 15 }, Case{ 101'000, 100, 150 } }) {
    AdmissionControl admission;
    std::set<std::int64_t> seconds;
    for (int job = 0; job < 5000; ++job) {
      const auto decision =
        admission.Decide(MakeRequest("job" + std::to_string(job)), Wait(waitMs), kNow);
      REQUIRE(decision.refused);
      seconds.insert(decision.retryAfterSeconds);
    }
    INFO(waitMs);
    CHECK(*seconds.begin() == earliest);
    CHECK(*seconds.rbegin() == latest);
    CHECK(seconds.size() == static_cast<std::size_t>(latest - earliest + 1));
  }
}

// Guards against an answer without a time, and against one that depends on the attempt.
TEST_CASE("AdmissionControl TellsTheSameTimeOfAtLeastOneSecondForAJob")
{
  AdmissionControl admission;
  const AdmissionRequest shortJob{ "j", "q", 10, 40 };
  const AdmissionDecision decision = admission.Decide(shortJob, Wait(200), kNow);
  REQUIRE(decision.refused);
  CHECK(decision.retryAfterSeconds >= 1);
  CHECK(decision.retryAfterSeconds <= 2);
  CHECK(admission.Decide(shortJob, Wait(200), kNow).retryAfterSeconds ==
        decision.retryAfterSeconds);
}

// Guards against a row that grows with the number of services, and one that the readers reject.
TEST_CASE("AdmissionControl PublishesTheLongestWaitsWithinTheBoundsOfTheRow")
{
  std::map<std::pair<std::string, int>, Duration> waits;
  waits[{ "s", 0 }] = 149 * kMs;
  waits[{ "s", 2 }] = 150 * kMs;
  waits[{ "none", 0 }] = 49 * kMs;
  waits[{ "negative", 0 }] = -1000 * kMs;
  waits[{ "for ever", 0 }] = Duration::max();
  waits[{ std::string(kMaxWaitServiceBytes + 1, 'x'), 0 }] = 1000 * kMs;
  CHECK(MakeExpectedWaits(waits) ==
        std::vector<ExpectedWait>{
          { "for ever", 0, kMaxExpectedWaitMs }, { "s", 0, 100 }, { "s", 2, 200 } });
  for (int service = 0; service < 20; ++service) {
    waits[{ "many" + std::to_string(service), 0 }] = (1000 + 100 * service) * kMs;
  }
  const std::vector<ExpectedWait> most = MakeExpectedWaits(waits);
  CHECK(most.size() == kMaxExpectedWaits);
  CHECK(FindWaitMs(most, "for ever", 0) == kMaxExpectedWaitMs);
  CHECK(FindWaitMs(most, "many19", 0) == 2900);
  CHECK_FALSE(FindWaitMs(most, "many19", 1).has_value());
  CHECK_FALSE(FindWaitMs(most, "many0", 0).has_value());
  CHECK_FALSE(FindWaitMs(most, "s", 0).has_value());
}
