#include "InterferencePolicy.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr NameIndex kService = 1;

struct Fixture
{
  Counters counters;
  InterferenceModel model;
  InterferencePolicy policy{ model, counters };
  JobId job{ "noisy" };
  JobId other{ "other" };
  std::vector<Suspect> suspects{ { 10, 100, 5, &job, 0.5, Instant{} },
                                 { 11, 101, 6, &other, 0.1, Instant{} } };
  Instant now = Instant{} + hours(1);

  // Sends a report each second for `aSeconds` seconds and returns the steps taken.
  std::vector<InterferenceDecision> SendReports(bool aDegraded,
                                                int aSeconds,
                                                WorkerIndex aWorker = 0)
  {
    std::vector<InterferenceDecision> steps;
    for (int i = 0; i < aSeconds; ++i) {
      this->now += seconds(1);
      const auto step =
        this->policy.Report(this->now, aWorker, kService, aDegraded, this->suspects);
      if (step.has_value()) {
        steps.push_back(*step);
      }
    }
    return steps;
  }
};

} // namespace

// Guards against evicting a task without throttling it first, and against a second step before the
// reports can show the effect of the first.
TEST_CASE("InterferencePolicy ThrottlesThenEvictsThenAddsAnAntiAffinity")
{
  Fixture fixture;
  const auto first = fixture.SendReports(true, 1);
  REQUIRE(first.size() == 1);
  CHECK(first[0].step == InterferenceStep::Throttle);
  CHECK(first[0].task == 10);
  const auto wait = static_cast<int>(ToMilliseconds(fixture.policy.StepInterval()) / 1000);
  CHECK(fixture.SendReports(true, wait - 1).empty());
  const auto second = fixture.SendReports(true, 2);
  REQUIRE(second.size() == 1);
  CHECK(second[0].step == InterferenceStep::Evict);
  CHECK(second[0].task == 10);
  CHECK(fixture.model.HasAntiAffinity(fixture.now, 5, kService));
  fixture.suspects.erase(fixture.suspects.begin());
  fixture.SendReports(false, 1);
  CHECK(fixture.model.Estimate(fixture.now, 5, kService) > 0.0);
  CHECK(fixture.model.HasAntiAffinity(fixture.now + minutes(9), 5, kService));
  CHECK_FALSE(fixture.model.HasAntiAffinity(fixture.now + minutes(11), 5, kService));
}

// Guards against evicting a task although throttling it was sufficient, and against throttles that
// never expire.
TEST_CASE("InterferencePolicy DoesNotEvictATaskWhenThrottlingHelped")
{
  Fixture fixture;
  CHECK(fixture.SendReports(true, 1).size() == 1);
  CHECK(fixture.SendReports(false, 600).empty());
  const auto expired = fixture.policy.TakeExpiredThrottles(fixture.now);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].first == 10);
}

// Guards against an anti-affinity for a kind whose eviction had no effect.
TEST_CASE("InterferencePolicy RemovesTheAntiAffinityWhenAnEvictionDidNotHelp")
{
  Fixture fixture;
  std::vector<InterferenceDecision> steps = fixture.SendReports(true, 12);
  REQUIRE(steps.size() == 2);
  fixture.suspects.erase(fixture.suspects.begin());
  steps = fixture.SendReports(true, 20);
  REQUIRE_FALSE(steps.empty());
  CHECK(steps[0].task == 11);
  CHECK_FALSE(fixture.model.HasAntiAffinity(fixture.now, 5, kService));
}

// Guards against evicting tasks of one job more than twice an hour, counted over all workers.
TEST_CASE("InterferencePolicy EvictsAJobAtMostTwiceAnHour")
{
  Fixture fixture;
  fixture.suspects.pop_back();
  std::size_t evictions = 0;
  for (WorkerIndex worker = 0; worker < 6; ++worker) {
    fixture.suspects[0].sequence = 200 + worker;
    for (const InterferenceDecision& step : fixture.SendReports(true, 60, worker)) {
      evictions += step.step == InterferenceStep::Evict ? 1 : 0;
    }
  }
  CHECK(evictions == InterferencePolicy::kMaxEvictionsPerJob);
  CHECK(fixture.counters.Get("placement_interference_refused_total", "evictions_of_job") > 0);
}

// Guards against suspecting a task that was placed after the service became degraded.
TEST_CASE("InterferencePolicy DoesNotSuspectATaskThatWasPlacedLater")
{
  Fixture fixture;
  for (Suspect& suspect : fixture.suspects) {
    suspect.placedAt = fixture.now + hours(1);
  }
  CHECK(fixture.SendReports(true, 30).empty());
}

// Guards against estimates that do not decay.
TEST_CASE("InterferenceModel HalvesItsEstimateEachHour")
{
  InterferenceModel model;
  model.RecordEffect(Instant{}, 5, kService, true);
  const double fresh = model.Estimate(Instant{}, 5, kService);
  CHECK(model.Estimate(Instant{} + hours(1), 5, kService) == Approx(fresh / 2));
  CHECK(model.Correlation(5, kService) == Approx(0.5));
  for (int i = 0; i < 10; ++i) {
    model.RecordObservation(Instant{}, 5, kService, true);
    model.RecordObservation(Instant{}, 6, kService, false);
  }
  CHECK(model.Correlation(5, kService) > 0.8);
  CHECK(model.Correlation(6, kService) < 0.2);
}
