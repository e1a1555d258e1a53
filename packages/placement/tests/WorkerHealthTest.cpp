#include "WorkerHealth.h"

#include "absl/strings/str_cat.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

JobId Job(int aNumber)
{
  return JobId(absl::StrCat("j", aNumber));
}

HealthChange FailJobs(WorkerHealth& aHealth, WorkerIndex aWorker, int aFirst, int aCount)
{
  HealthChange change = HealthChange::None;
  for (int i = 0; i < aCount; ++i) {
    change = aHealth.RecordFailure(Instant{} + seconds(i), aWorker, 1, Job(aFirst + i), 10);
  }
  return change;
}

} // namespace

// Guards against quarantining a worker because one job fails often.
TEST_CASE("WorkerHealth QuarantinesAfterThreeDistinctJobs")
{
  Counters counters;
  WorkerHealth health(counters);
  for (int i = 0; i < 5; ++i) {
    CHECK(health.RecordFailure(Instant{}, 0, 1, Job(0), 10) == HealthChange::None);
  }
  CHECK(FailJobs(health, 0, 1, 2) == HealthChange::Quarantined);
  CHECK(health.IsQuarantined(0));
  // Failures that are far apart do not count together.
  CHECK(health.RecordFailure(Instant{}, 1, 1, Job(10), 10) == HealthChange::None);
  CHECK(health.RecordFailure(Instant{} + minutes(11), 1, 1, Job(11), 10) == HealthChange::None);
  CHECK(health.RecordFailure(Instant{} + minutes(22), 1, 1, Job(12), 10) == HealthChange::None);
}

// Guards against quarantining a large share of the workers because of faulty jobs or many failures
// at once.
TEST_CASE("WorkerHealth KeepsWorkersWhenJobsAreFaultyOrTooManyAreQuarantined")
{
  Counters counters;
  WorkerHealth health(counters);
  for (int job = 0; job < 3; ++job) {
    for (WorkerIndex worker = 0; worker < 6; ++worker) {
      health.RecordFailure(Instant{} + seconds(job), worker, 1, Job(job), 100);
    }
  }
  CHECK(health.Quarantined().empty());
  CHECK(counters.Get("placement_failures_discounted_total", "bad_job") > 0);
  for (WorkerIndex worker = 10; worker < 15; ++worker) {
    FailJobs(health, worker, 100 * static_cast<int>(worker), 3);
  }
  CHECK(health.Quarantined().size() == 2);
  CHECK(counters.Get("placement_quarantine_refused_total", "share_of_workers") > 0);
}

// Guards against several probes at once, and against releasing a worker too early or never.
TEST_CASE("WorkerHealth ReleasesAfterProbesSucceed")
{
  Counters counters;
  WorkerHealth health(counters);
  FailJobs(health, 0, 0, 3);
  Instant now = Instant{} + seconds(5);
  CHECK_FALSE(health.NextProbe(now).has_value());
  now += seconds(60);
  CHECK(health.NextProbe(now) == 0);
  health.RecordProbe(0, 7);
  CHECK_FALSE(health.NextProbe(now + minutes(60)).has_value());
  health.RecordFailure(now, 0, 7, Job(50), 10);
  CHECK_FALSE(health.NextProbe(now + seconds(19)).has_value());
  now += seconds(20);
  for (std::size_t i = 0; i < WorkerHealth::kProbesToRelease; ++i) {
    REQUIRE(health.NextProbe(now) == 0);
    health.RecordProbe(0, 8);
    // The success of a task that is not the probe does not count.
    CHECK(health.RecordSuccess(0, 9, Job(1)) == HealthChange::None);
    const HealthChange change = health.RecordSuccess(0, 8, Job(1));
    CHECK((change == HealthChange::Released) == (i + 1 == WorkerHealth::kProbesToRelease));
  }
  CHECK_FALSE(health.IsQuarantined(0));
}
