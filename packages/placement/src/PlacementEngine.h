// The implementation of ScoredPlacer: keeps the records of tasks and workers consistent, and
// decides which waiting task gets which free capacity. See ScoredPlacer for the contract of the
// public functions.
#pragma once

#include "CapacityIndex.h"
#include "FairShare.h"
#include "InterferenceModel.h"
#include "InterferencePolicy.h"
#include "NameTable.h"
#include "PendingQueue.h"
#include "PlacementModel.h"
#include "ReplicaCounts.h"
#include "ReservationTable.h"
#include "TaskTable.h"
#include "UrgentHeadroom.h"
#include "UsageEstimator.h"
#include "VictimSelector.h"
#include "WorkerHealth.h"

#include <deque>
#include <optional>
#include <vector>

namespace oriolespread::internal {

class PlacementEngine
{
public:
  explicit PlacementEngine(Counters& aCounters);
  PlacementEngine(const PlacementEngine&) = delete;
  PlacementEngine& operator=(const PlacementEngine&) = delete;

  void SetWorker(const WorkerSpec& aSpec);
  void SetAvailable(const WorkerId& aWorker, bool aAvailable);
  void RemoveWorker(const WorkerId& aWorker);
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  void Restore(Instant aNow,
               const PlacementRequest& aRequest,
               const WorkerId& aWorker,
               const Resources& aGrant);
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant aNow, const TaskId& aTask);
  void RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker);
  void RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed);
  void RecordLatency(Instant aNow, const ServiceLatencyReport& aReport);
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);
  void SetQuota(const TeamId& aTeam, std::optional<Resources> aQuota);
  void SetWeight(const OrganisationId& aOrganisation, double aWeight);
  std::size_t WaitingCount() const { return this->queue.size() + this->reservations.size(); }
  Resources AllocatedOn(const WorkerId& aWorker) const;
  std::size_t DistinctFailures(const TaskId& aTask) const;
  std::vector<WorkerId> Quarantined() const;
  void RestoreQuarantine(Instant aNow, const WorkerId& aWorker);

private:
  // An action to return from Schedule; dropped if its task is released before that.
  struct PendingAction
  {
    TaskIndex task = kNone;
    std::uint64_t sequence = 0;
    PlacementAction action;
  };

  // Changes of workers and tasks.
  TaskShape ShapeOf(const PlacementRequest& aRequest);
  void Enqueue(Instant aNow, TaskIndex aTask);
  void Dequeue(TaskIndex aTask);
  void Attach(Instant aNow, TaskIndex aTask, WorkerIndex aWorker, const Resources& aGrant);
  void Detach(TaskIndex aTask);
  void OnCapacityFreed(WorkerIndex aWorker);
  void OnShareChanged(NameIndex aOrganisation, NameIndex aTeam);
  void OnWorkersChanged();
  void CancelReservation(Instant aNow, TaskIndex aTask);
  void CancelReservationsOn(WorkerIndex aWorker);
  void CancelOvercommit(WorkerIndex aWorker);
  void FinishRemoval(WorkerIndex aWorker);
  void QueueAction(TaskIndex aTask, PlacementAction aAction);

  // Reports from running tasks.
  void QuarantineWorker(WorkerIndex aWorker);
  void RecordOutcome(TaskIndex aTask);
  void AdjustGrantToUsage(Instant aNow, TaskIndex aTask, const Resources& aUsed);
  void HandleMemoryExceeded(Instant aNow, TaskIndex aTask, const Resources& aUsed);
  bool Regrant(TaskIndex aTask, const Resources& aGrant);
  void Throttle(TaskIndex aTask);
  std::vector<Suspect> SuspectsOn(WorkerIndex aWorker) const;
  bool HasAntiAffinityOn(const TaskShape& aShape, WorkerIndex aWorker) const;
  bool HostsService(WorkerIndex aWorker, NameIndex aService) const;
  void PlaceProbe(Instant aNow);

  // Placement decisions.
  Resources DemandOf(const TaskShape& aShape) const;
  bool MayRunOn(TaskIndex aTask, WorkerIndex aWorker) const;
  void HandleTimers(Instant aNow);
  bool ProcessNext(Instant aNow);
  bool ServeReadyGroup(Instant aNow, GroupIndex aGroup);
  std::optional<GroupIndex> BestGroupForWorker(WorkerIndex aWorker);
  WorkerIndex ChooseWorker(const TaskRecord& aTask, TaskIndex aIndex, const Resources& aDemand);
  double Score(const TaskRecord& aTask, const Resources& aDemand, WorkerIndex aWorker) const;
  void Place(Instant aNow, TaskIndex aTask, WorkerIndex aWorker, const Resources& aGrant);
  bool Preempt(Instant aNow, TaskIndex aTask, const Resources& aDemand);
  bool ReserveForStarvedGroup(Instant aNow, GroupIndex aGroup);
  void Evict(Instant aNow, TaskIndex aTask, EvictionReason aReason);
  bool ReportIfUnplaceable(Instant aNow, GroupIndex aGroup, const Resources& aDemand);
  void TakePendingActions(std::vector<PlacementAction>& aActions, std::size_t aLimit);

  Counters& counters;
  NameTable organisationNames;
  NameTable teamNames;
  NameTable kindNames;
  NameTable serviceNames;
  TaskTable tasks;
  CapacityIndex capacity;
  FairShare shares;
  PendingQueue queue;
  ReservationTable reservations;
  UrgentHeadroom headroom;
  VictimSelector victims;
  ReplicaCounts replicaCounts;
  UsageEstimator usage;
  WorkerHealth health;
  InterferenceModel interferenceModel;
  InterferencePolicy interferencePolicy;
  std::deque<PendingAction> pendingActions;
  // Workers whose free capacity has grown and for which no waiting task has been sought since.
  std::deque<WorkerIndex> freedWorkers;
  std::vector<bool> isFreedWorkerQueued;
  std::vector<WorkerIndex> candidates;
  Instant now;
  Instant nextUrgentRetry;
  Instant nextRetry;
};

} // namespace oriolespread::internal
