// The placer of shard owners: best fit from a bounded candidate set, fair shares and quotas,
// preemption, grants that follow usage, interference steps and quarantine of bad workers.
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

// Satisfies PlacerPort. Equal sequences of calls give equal actions. Not thread-safe. Instants
// passed to successive calls must not decrease.
class ScoredPlacer
{
public:
  // `aCounters` counts refusals and actions and must outlive the placer.
  explicit ScoredPlacer(Counters& aCounters);
  ~ScoredPlacer();
  ScoredPlacer(ScoredPlacer&&) noexcept;
  ScoredPlacer& operator=(ScoredPlacer&&) noexcept;

  void SetWorker(const WorkerSpec& aSpec);
  void SetAvailable(const WorkerId& aWorker, bool aAvailable);
  // A worker that still holds tasks gets no new ones and is forgotten with its last task.
  void RemoveWorker(const WorkerId& aWorker);
  // A task that is already queued or placed is refused and counted.
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  // The worker need not be known yet. A queued task leaves the queue.
  void Restore(Instant aNow,
               const PlacementRequest& aRequest,
               const WorkerId& aWorker,
               const Resources& aGrant);
  // A placed task that neither failed nor was evicted counts as completed.
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant aNow, const TaskId& aTask);
  // To be called before the Release of the failed attempt.
  void RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker);
  void RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed);
  void RecordLatency(Instant aNow, const ServiceLatencyReport& aReport);
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);

  // Sets or lifts the most that the tasks of a team may hold together.
  void SetQuota(const TeamId& aTeam, std::optional<Resources> aQuota);
  // Sets the weight of an organisation's fair share; 1 by default.
  void SetWeight(const OrganisationId& aOrganisation, double aWeight);

  // Returns the number of tasks that wait, also those set aside.
  std::size_t WaitingCount() const;
  // Returns the amount reserved on the worker for tasks placed or about to be placed; zero when
  // the worker is unknown.
  Resources AllocatedOn(const WorkerId& aWorker) const;

  // Returns on how many distinct workers the task failed; workers in quarantine do not count. From
  // kMaxDistinctFailures on the task itself is bad and its owner should fail it.
  std::size_t DistinctFailures(const TaskId& aTask) const;
  static constexpr std::size_t kMaxDistinctFailures = 3;
  // Returns the workers in quarantine, for the owner's journal.
  std::vector<WorkerId> Quarantined() const;
  // Puts a worker into quarantine as a former owner had it, within the allowed share of workers.
  void RestoreQuarantine(Instant aNow, const WorkerId& aWorker);

private:
  std::unique_ptr<internal::PlacementEngine> engine;
};

} // namespace oriolespread
