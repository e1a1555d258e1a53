// The placer of shard owners: best-fit placement over a bounded set of candidates, fair shares and
// team quotas, preemption, grants adjusted to measured usage, mitigation of interference, and
// quarantine of faulty workers.
//
//   ScoredPlacer placer(counters);
//   placer.SetWorker(spec);
//   placer.Submit(now, request);
//   for (const PlacementAction& action : placer.Schedule(now, 64)) { ... }
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/placement/PlacementTypes.h"

#include <memory>
#include <optional>
#include <vector>

namespace oriolespread {

namespace internal {
class PlacementEngine;
}

// Satisfies PlacerPort. Deterministic: equal sequences of calls return equal actions. Not
// thread-safe. The instants passed to successive calls must not decrease.
class ScoredPlacer
{
public:
  // `aCounters` receives the counts of refusals and actions and must outlive the placer.
  explicit ScoredPlacer(Counters& aCounters);
  ~ScoredPlacer();
  ScoredPlacer(ScoredPlacer&&) noexcept;
  ScoredPlacer& operator=(ScoredPlacer&&) noexcept;

  void SetWorker(const WorkerSpec& aSpec);
  void SetAvailable(const WorkerId& aWorker, bool aAvailable);
  // A worker that still holds tasks gets no new ones and is removed when its last task is released.
  void RemoveWorker(const WorkerId& aWorker);
  // Refuses and counts a task that is already queued or placed.
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  // The worker may still be unknown. If the task is queued, it is removed from the queue.
  void Restore(Instant aNow,
               const PlacementRequest& aRequest,
               const WorkerId& aWorker,
               const Resources& aGrant);
  // A placed task that neither failed nor was evicted counts as completed.
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant aNow, const TaskId& aTask);
  // Must be called before Release of the failed attempt.
  void RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker);
  void RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed);
  void RecordLatency(Instant aNow, const ServiceLatencyReport& aReport);
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);

  // Sets the limit on the total grants of the tasks of a team, or removes it.
  void SetQuota(const TeamId& aTeam, std::optional<Resources> aQuota);
  // Sets the weight of an organisation's fair share; 1 by default.
  void SetWeight(const OrganisationId& aOrganisation, double aWeight);

  // Returns the number of waiting tasks, including those that are set aside.
  std::size_t WaitingCount() const;
  // Returns the resources allocated on the worker to placed tasks and reserved there for waiting
  // ones; zero if the worker is unknown.
  Resources AllocatedOn(const WorkerId& aWorker) const;

  // Returns on how many distinct workers the task failed, not counting workers in quarantine. From
  // kMaxDistinctFailures on the task itself is considered faulty and its owner should fail it.
  std::size_t DistinctFailures(const TaskId& aTask) const;
  static constexpr std::size_t kMaxDistinctFailures = 3;
  // Returns the workers in quarantine, which the owner writes to its journal.
  std::vector<WorkerId> Quarantined() const;
  // Puts a worker into quarantine that was there under the previous owner, unless the limit on the
  // share of quarantined workers is reached.
  void RestoreQuarantine(Instant aNow, const WorkerId& aWorker);

private:
  std::unique_ptr<internal::PlacementEngine> engine;
};

} // namespace oriolespread
