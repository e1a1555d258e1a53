// Tells bad workers from bad jobs by distinct counterparts, and keeps bad workers in quarantine.
#pragma once

#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace oriolespread::internal {

enum class HealthChange
{
  None,
  Quarantined,
  Released,
};

// Not thread-safe. A job that fails on kDistinctFailureThreshold workers and succeeds on none is
// itself bad, and its failures count against no worker.
class WorkerHealth
{
public:
  explicit WorkerHealth(Counters& aCounters);

  // `aWorkers` is the number of all workers, of which at most a fifth may be in quarantine.
  HealthChange RecordFailure(Instant aNow,
                             WorkerIndex aWorker,
                             TaskIndex aTask,
                             const JobId& aJob,
                             std::size_t aWorkers);
  HealthChange RecordSuccess(WorkerIndex aWorker, TaskIndex aTask, const JobId& aJob);
  // The task ended without telling anything about the worker.
  void RecordInconclusiveEnd(WorkerIndex aWorker, TaskIndex aTask);
  // Puts a worker into quarantine as a predecessor had it.
  bool Quarantine(Instant aNow, WorkerIndex aWorker, std::size_t aWorkers);
  void RemoveWorker(WorkerIndex aWorker);

  bool IsQuarantined(WorkerIndex aWorker) const { return this->quarantine.contains(aWorker); }
  std::vector<WorkerIndex> Quarantined() const;
  // Returns a worker that is due for a probe. RecordProbe tells that it got one; PostponeProbe that
  // no task suits it now.
  std::optional<WorkerIndex> NextProbe(Instant aNow) const;
  void RecordProbe(WorkerIndex aWorker, TaskIndex aTask);
  void PostponeProbe(Instant aNow, WorkerIndex aWorker);

  static constexpr std::size_t kDistinctFailureThreshold = 3;
  static constexpr std::size_t kProbesToRelease = 3;
  static constexpr std::size_t kMaxTrackedJobs = 10'000;

private:
  struct Failure
  {
    JobId job;
    Instant at;
  };
  struct QuarantineState
  {
    TaskIndex probe = kNone;
    std::size_t successes = 0;
    Duration backoff{};
    Instant nextProbe;
  };
  struct Job
  {
    std::vector<WorkerIndex> failedOn;
    bool succeeded = false;
  };

  Job& FindOrAddJob(const JobId& aJob);
  void DiscountFailures(const JobId& aJob, const Job& aRecord);
  void ScheduleProbe(WorkerIndex aWorker, QuarantineState& aState, Instant aTime);

  Counters& counters;
  absl::flat_hash_map<WorkerIndex, std::vector<Failure>> failures;
  absl::flat_hash_map<WorkerIndex, QuarantineState> quarantine;
  // Workers in quarantine without a running probe, by the time of the next one.
  std::set<std::pair<Instant, WorkerIndex>> probes;
  absl::flat_hash_map<JobId, Job> jobs;
  std::deque<JobId> jobOrder;
  Instant now;
};

} // namespace oriolespread::internal
