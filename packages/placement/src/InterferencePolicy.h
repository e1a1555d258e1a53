// Decides how to mitigate interference with a degraded service on a worker: throttles the most
// suspect batch task, waits for reports that show the effect, evicts the task if throttling did not
// help, and keeps tasks of its kind away from the service.
#pragma once

#include "InterferenceModel.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace oriolespread::internal {

// A batch task that runs on the same worker as a degraded service.
struct Suspect
{
  TaskIndex task = kNone;
  std::uint64_t sequence = 0;
  NameIndex kind = kNone;
  const JobId* job = nullptr;
  // Granted share of the worker's processors.
  double share = 0.0;
  Instant placedAt;
};

enum class InterferenceStep
{
  Throttle,
  Evict,
};

struct InterferenceDecision
{
  InterferenceStep step = InterferenceStep::Throttle;
  TaskIndex task = kNone;
};

// Not thread-safe. An episode is the time during which a service is degraded on a worker. Steps on
// one worker are taken one at a time, so that the reports show the effect of each.
class InterferencePolicy
{
public:
  InterferencePolicy(InterferenceModel& aModel, Counters& aCounters);

  // Handles a latency report and returns the step to take, if any. `aSuspects` are the batch tasks
  // that run on the worker now.
  std::optional<InterferenceDecision> Report(Instant aNow,
                                             WorkerIndex aWorker,
                                             NameIndex aService,
                                             bool aDegraded,
                                             const std::vector<Suspect>& aSuspects);
  // Removes and returns the tasks whose throttling has expired, with their sequence numbers.
  std::vector<std::pair<TaskIndex, std::uint64_t>> TakeExpiredThrottles(Instant aNow);
  void RemoveWorker(WorkerIndex aWorker);
  // Returns whether the service was reported on the worker recently.
  bool HasRecentReport(Instant aNow, WorkerIndex aWorker, NameIndex aService) const;
  // Checks a bounded number of pairs of worker and service, and removes those that are no longer
  // reported. Successive calls check all pairs.
  void RemoveStale(Instant aNow);

  // Returns how long to wait for reports after a step. Further steps of an episode wait longer.
  Duration StepInterval() const;

  // Per hour, counted over all workers.
  static constexpr std::size_t kMaxEvictionsPerJob = 2;

private:
  struct TakenStep
  {
    InterferenceStep step = InterferenceStep::Throttle;
    TaskIndex task = kNone;
    std::uint64_t sequence = 0;
    NameIndex kind = kNone;
    Instant at;
  };
  // The state of a service on one worker, with its current episode if it is degraded.
  struct Episode
  {
    bool degraded = false;
    Instant degradedSince;
    Instant firstStepAt;
    Instant observedAt;
    Instant reportedAt;
    std::optional<TakenStep> lastStep;
    std::uint32_t reportsSinceStep = 0;
    std::uint32_t steps = 0;
    // Sequence numbers of tasks on which the steps of this episode had no effect.
    std::vector<std::uint64_t> ruledOut;
  };
  struct Throttle
  {
    TaskIndex task = kNone;
    std::uint64_t sequence = 0;
    Instant until;
  };
  using Key = std::pair<WorkerIndex, NameIndex>;

  void RecordObservation(Instant aNow,
                         Episode& aEpisode,
                         NameIndex aService,
                         const std::vector<Suspect>& aSuspects);
  void HandleRecovery(Instant aNow, NameIndex aService, Episode& aEpisode);
  std::optional<InterferenceDecision> Escalate(Instant aNow,
                                               WorkerIndex aWorker,
                                               NameIndex aService,
                                               Episode& aEpisode,
                                               const std::vector<Suspect>& aSuspects);
  std::optional<InterferenceDecision> TakeStep(Instant aNow,
                                               WorkerIndex aWorker,
                                               NameIndex aService,
                                               Episode& aEpisode,
                                               const Suspect& aSuspect,
                                               InterferenceStep aStep);
  const Suspect* MostSuspect(Instant aNow,
                             NameIndex aService,
                             const Episode& aEpisode,
                             const std::vector<Suspect>& aSuspects) const;
  void ExtendThrottle(Instant aNow, TaskIndex aTask, std::uint64_t aSequence);
  bool MayEvict(Instant aNow, const JobId& aJob);

  InterferenceModel& model;
  Counters& counters;
  std::map<Key, Episode> episodes;
  // Earliest time of the next step on each worker.
  absl::flat_hash_map<WorkerIndex, Instant> nextStepAt;
  std::vector<Throttle> throttles;
  std::map<JobId, std::deque<Instant>> evictionTimes;
  // Where the next call of RemoveStale starts.
  Key sweepPosition{ 0, 0 };
  // Estimated time from a step to the report that shows its effect.
  Duration responseTime;
};

} // namespace oriolespread::internal
