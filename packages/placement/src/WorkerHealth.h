// Distinguishes faulty workers from faulty jobs and quarantines faulty workers. A worker is faulty
// if several distinct jobs fail on it; a job is faulty if it fails on several distinct workers.
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
// considered faulty itself, and its failures count against no worker.
class WorkerHealth
{
public:
  explicit WorkerHealth(Counters& aCounters);

  // `aWorkers` is the total number of workers, of which at most a fifth may be in quarantine.
  HealthChange RecordFailure(Instant aNow,
                             WorkerIndex aWorker,
                             TaskIndex aTask,
                             const JobId& aJob,
                             std::size_t aWorkers);
  HealthChange RecordSuccess(WorkerIndex aWorker, TaskIndex aTask, const JobId& aJob);
  // Records that a task ended in a way that says nothing about the health of the worker.
  void RecordInconclusiveEnd(WorkerIndex aWorker, TaskIndex aTask);
  // Puts a worker into quarantine. Returns false if it is there already or if too many workers are.
  bool Quarantine(Instant aNow, WorkerIndex aWorker, std::size_t aWorkers);
  void RemoveWorker(WorkerIndex aWorker);

  bool IsQuarantined(WorkerIndex aWorker) const { return this->quarantine.contains(aWorker); }
  std::vector<WorkerIndex> Quarantined() const;
  // Returns a worker that is due for a probe task. The caller then calls RecordProbe with the task
  // that it placed, or PostponeProbe if no waiting task is suitable.
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
  // Workers in quarantine without a running probe, ordered by the time of their next probe.
  std::set<std::pair<Instant, WorkerIndex>> probes;
  absl::flat_hash_map<JobId, Job> jobs;
  std::deque<JobId> jobOrder;
  Instant now;
};

} // namespace oriolespread::internal
