// The part of a shard owner that does not depend on the type of the placer; see ShardOwner.h.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/InboxReader.h"
#include "oriolespread/tasks/Journal.h"
#include "oriolespread/tasks/LeaseTable.h"
#include "oriolespread/tasks/OwnerTypes.h"
#include "oriolespread/tasks/ShardClaim.h"
#include "oriolespread/tasks/SnapshotManager.h"
#include "oriolespread/tasks/StateLoader.h"
#include "oriolespread/tasks/TaskTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

// Calls on the placer that the core requests, to be made in order.
struct ResetPlacer
{};
struct SetPlacerWorker
{
  WorkerSpec spec;
};
struct SetPlacerAvailable
{
  WorkerId worker;
  bool available = false;
};
struct RemovePlacerWorker
{
  WorkerId worker;
};
struct SubmitToPlacer
{
  PlacementRequest request;
};
struct RestoreInPlacer
{
  PlacementRequest request;
  WorkerId worker;
  Resources grant;
};
struct ReleaseFromPlacer
{
  TaskId task;
};
struct RecordPlacerProgress
{
  TaskId task;
};
struct RecordPlacerFailure
{
  TaskId task;
  WorkerId worker;
};
struct RecordPlacerUsage
{
  TaskId task;
  Resources used;
};
struct RecordPlacerLatency
{
  ServiceLatencyReport report;
};
using PlacerUpdate = std::variant<ResetPlacer,
                                  SetPlacerWorker,
                                  SetPlacerAvailable,
                                  RemovePlacerWorker,
                                  SubmitToPlacer,
                                  RestoreInPlacer,
                                  ReleaseFromPlacer,
                                  RecordPlacerProgress,
                                  RecordPlacerFailure,
                                  RecordPlacerUsage,
                                  RecordPlacerLatency>;

// Read-only view of a job for queries.
struct JobView
{
  const JobRecord* job = nullptr;
  // Whether the state has committed, so that it survives a change of owner.
  bool durable = false;
  // Why tasks of the job cannot be placed on any worker; null if no reason is known.
  const Findings* unplaceable = nullptr;
};

// Not thread-safe.
class ShardCore
{
public:
  // `aCounters` must outlive this object.
  ShardCore(OwnerOptions aOptions, Counters& aCounters);
  ShardCore(const ShardCore&) = delete;
  ShardCore& operator=(const ShardCore&) = delete;

  void Handle(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects);
  std::vector<PlacerUpdate> TakePlacerUpdates() { return std::exchange(this->placerUpdates, {}); }
  // Returns the maximum number of placement actions allowed now.
  std::size_t PlacementBudget(Instant aNow);
  void OnPlacement(Instant aNow, const PlacementAction& aAction, OwnerEffects& aEffects);
  // Runs deferred actions and sends what is due. Must be called last for every event.
  void Flush(Instant aNow, OwnerEffects& aEffects);

  // See ShardOwner::Release.
  bool Release(Instant aNow, OwnerEffects& aEffects);

  OwnerRole Role() const { return this->role; }
  Epoch CurrentEpoch() const { return this->journal.CurrentEpoch(); }
  const std::optional<OwnerRow>& LastSeenOwner() const { return this->claim.LastSeenRow(); }
  std::optional<JobView> FindJob(const JobId& aJob) const;
  const TaskTable& Table() const { return this->table; }

private:
  // Ownership.
  void UpdateRole(Instant aNow, OwnerEffects& aEffects);
  void BeginLoading(const ClaimedShard& aClaimed);
  void FinishLoading(Instant aNow, OwnerEffects& aEffects);
  void RestoreTask(const JobRecord& aJob, std::uint32_t aIndex);
  void StepDown();
  void ResumeOwnership(Instant aNow, OwnerEffects& aEffects);
  bool HoldsState() const;

  // Inbox.
  void ProcessInbox(const std::vector<InboxRow>& aRows);
  void ProcessSubmission(const std::string& aKey, const JobSpec& aSpec);
  void ProcessCancellation(const std::string& aKey, const CancelRequest& aRequest);
  void CancelAttempt(const AttemptId& aAttempt);
  void DropInboxRow(const std::string& aKey, std::string_view aReason);

  // Agents.
  void OnAgentEvent(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects);
  void OnMessage(Instant aNow, const AgentMessage& aMessage, OwnerEffects& aEffects);
  void OnHeartbeat(Instant aNow,
                   WorkerLease& aLease,
                   const Heartbeat& aHeartbeat,
                   OwnerEffects& aEffects);
  void OpenSession(Instant aNow,
                   WorkerLease& aLease,
                   const Heartbeat& aHeartbeat,
                   OwnerEffects& aEffects);
  void GrantLease(Instant aNow,
                  WorkerLease& aLease,
                  const Heartbeat& aHeartbeat,
                  OwnerEffects& aEffects);
  // Asks the agent for a heartbeat at once, so that a session can be opened without waiting for the
  // next one.
  void OfferSession(const WorkerLease& aLease, OwnerEffects& aEffects);
  void Reconcile(Instant aNow,
                 WorkerLease& aLease,
                 const Heartbeat& aHeartbeat,
                 OwnerEffects& aEffects);
  void ObserveReport(Instant aNow,
                     WorkerLease& aLease,
                     const AttemptReport& aReport,
                     OwnerEffects& aEffects);
  void OnTaskEvent(Instant aNow,
                   WorkerLease& aLease,
                   const TaskEvent& aEvent,
                   OwnerEffects& aEffects);
  void OnUsage(const UsageReport& aReport);
  void ProcessExpiredLeases(Instant aNow);
  void ExpireLease(WorkerLease& aLease);
  void SendDueCommands(Instant aNow, WorkerLease& aLease, OwnerEffects& aEffects);
  void SendDueCommand(Instant aNow,
                      WorkerLease& aLease,
                      LiveAttempt& aAttempt,
                      OwnerEffects& aEffects);
  void RequestCheckpointIfDue(Instant aNow,
                              const WorkerLease& aLease,
                              LiveAttempt& aAttempt,
                              OwnerEffects& aEffects);
  void SendStart(WorkerLease& aLease, LiveAttempt& aAttempt, OwnerEffects& aEffects);
  void SendCommand(const WorkerLease& aLease,
                   const AttemptId& aAttempt,
                   TaskCommandKind aKind,
                   OwnerEffects& aEffects);
  void UpdateAvailability(const WorkerLease& aLease);
  LeaseSession SessionOf(const WorkerLease& aLease) const;
  LiveAttempt* FindAttempt(const AttemptId& aAttempt, WorkerLease** aLease);

  // Tasks.
  std::uint64_t Stage(const JournalRecord& aRecord,
                      const JobId& aJob,
                      std::vector<RowWrite> aWrites = {});
  void EndAttempt(const AttemptId& aAttempt,
                  AttemptEnd aEnd,
                  const std::string& aCheckpoint,
                  const std::string& aReason);
  void ReplaceReplica(const AttemptId& aAttempt);
  void Place(Instant aNow, const PlaceTask& aAction);
  void Evict(Instant aNow, const EvictTask& aAction, OwnerEffects& aEffects);
  void Regrant(const RegrantTask& aAction);
  void RunDeferredAction(Instant aNow, const DeferredAction& aAction, OwnerEffects& aEffects);

  OwnerOptions options;
  Counters& counters;
  CallIdGenerator callIds;
  OwnerRole role = OwnerRole::Observing;
  ShardClaim claim;
  Journal journal;
  StateLoader loader;
  SnapshotManager snapshots;
  InboxReader inbox;
  TaskTable table;
  LeaseTable leases;
  // Until when workers that have not reported to this owner may run attempts under leases of
  // earlier owners.
  Instant inheritedLeaseEnd{};
  std::uint64_t lastTokenCounter = 0;
  Instant nextPlacement{};
  Instant nextLeaseCheck{};
  std::vector<PlacerUpdate> placerUpdates;
  // Workers with an eviction that waits for a checkpoint.
  std::set<WorkerId> evictingWorkers;
  std::map<JobId, Findings> unplaceable;
};

} // namespace oriolespread
