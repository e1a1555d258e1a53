// The part of ShardCore that places tasks, ends attempts and runs deferred actions.
#include "oriolespread/tasks/ShardCore.h"

namespace oriolespread {

namespace {

// How long an evicted attempt may take to write a checkpoint before it is stopped.
constexpr Duration kMaxCheckpointTime = std::chrono::milliseconds(500);

} // namespace

std::uint64_t ShardCore::Stage(const JournalRecord& aRecord,
                               const JobId& aJob,
                               std::vector<RowWrite> aWrites)
{
  if (!this->table.Apply(aRecord)) {
    this->counters.Add("journal_records_total", "not_applied");
    return 0;
  }
  this->snapshots.CountRecord();
  const std::uint64_t position = this->journal.Stage(aRecord, std::move(aWrites));
  if (JobRecord* job = this->table.FindJob(aJob)) {
    job->lastChangePosition = position;
  }
  return position;
}

void ShardCore::OnPlacement(Instant aNow, const PlacementAction& aAction, OwnerEffects& aEffects)
{
  if (const auto* place = std::get_if<PlaceTask>(&aAction)) {
    this->Place(aNow, *place);
  } else if (const auto* evict = std::get_if<EvictTask>(&aAction)) {
    this->Evict(aNow, *evict, aEffects);
  } else if (const auto* regrant = std::get_if<RegrantTask>(&aAction)) {
    this->Regrant(*regrant);
  } else if (const auto* report = std::get_if<ReportUnplaceable>(&aAction)) {
    this->counters.Add("placements_total", "unplaceable");
    this->unplaceable[report->task.job] = report->findings;
  }
}

void ShardCore::Place(Instant /*aNow*/, const PlaceTask& aAction)
{
  const TaskRecord* task = this->table.Find(aAction.task);
  WorkerLease* lease = this->leases.Find(aAction.worker);
  if (task == nullptr || task->hasAttempt || IsFinal(task->state)) {
    this->counters.Add("placements_total", "task_gone");
    this->placerUpdates.emplace_back(ReleaseFromPlacer{ aAction.task });
    return;
  }
  const JobRecord& job = *this->table.FindJob(aAction.task.job);
  if (lease == nullptr || !lease->IsAvailable()) {
    this->counters.Add("placements_total", "worker_unavailable");
    this->placerUpdates.emplace_back(ReleaseFromPlacer{ aAction.task });
    this->placerUpdates.emplace_back(
      SubmitToPlacer{ MakePlacementRequest(job.spec, aAction.task.index) });
    return;
  }
  const AttemptId attempt{ aAction.task,
                           AttemptToken{ this->journal.CurrentEpoch(), ++this->lastTokenCounter } };
  if (this->Stage(TaskPlaced{ attempt, aAction.worker, aAction.grant }, aAction.task.job) == 0) {
    return;
  }
  LiveAttempt live;
  live.attempt = attempt;
  live.taskClass = job.spec.taskClass;
  live.grant = aAction.grant;
  lease->Add(live);
  this->unplaceable.erase(aAction.task.job);
  this->journal.Defer(DeferredStart{ attempt });
  this->counters.Add("placements_total", "placed");
}

void ShardCore::Evict(Instant aNow, const EvictTask& aAction, OwnerEffects& aEffects)
{
  const TaskRecord* task = this->table.Find(aAction.task);
  if (task == nullptr || !task->hasAttempt) {
    return;
  }
  const AttemptId attempt{ aAction.task, task->token };
  WorkerLease* lease = nullptr;
  LiveAttempt* live = this->FindAttempt(attempt, &lease);
  if (live == nullptr || live->stopRequested) {
    return;
  }
  this->counters.Add("evictions_total",
                     aAction.reason == EvictionReason::Preempted      ? "preempted"
                     : aAction.reason == EvictionReason::Interference ? "interference"
                                                                      : "memory");
  if (!live->mayHaveStarted) {
    this->EndAttempt(attempt, AttemptEnd::Evicted, {}, "evicted_before_start");
    return;
  }
  live->stopRequested = true;
  live->stopAt = aNow + kMaxCheckpointTime;
  live->nextSend = live->stopAt;
  this->evictingWorkers.insert(lease->spec.worker);
  if (lease->sessionOpen && lease->reconciled) {
    this->table.SetUnjournaledState(attempt, TaskState::Checkpointing);
    this->SendCommand(*lease, attempt, TaskCommandKind::Checkpoint, aEffects);
  }
}

void ShardCore::Regrant(const RegrantTask& aAction)
{
  const TaskRecord* task = this->table.Find(aAction.task);
  if (task == nullptr || !task->hasAttempt) {
    return;
  }
  const AttemptId attempt{ aAction.task, task->token };
  if (LiveAttempt* live = this->FindAttempt(attempt, nullptr)) {
    live->grant = aAction.grant;
  }
  this->Stage(GrantChanged{ attempt, aAction.grant }, aAction.task.job);
  this->journal.Defer(DeferredCommand{ attempt });
  this->counters.Add("placements_total", "regranted");
}

void ShardCore::EndAttempt(const AttemptId& aAttempt,
                           AttemptEnd aEnd,
                           const std::string& aCheckpoint,
                           const std::string& aReason)
{
  const TaskRecord* task = this->table.FindLive(aAttempt);
  if (task == nullptr) {
    return;
  }
  const WorkerId worker = task->worker;
  this->Stage(AttemptEnded{ aAttempt, aEnd, aCheckpoint, aReason }, aAttempt.task.job);
  if (WorkerLease* lease = this->leases.Find(worker)) {
    lease->attempts.erase(aAttempt.token);
  }
  if (aEnd == AttemptEnd::Failed) {
    this->placerUpdates.emplace_back(RecordPlacerFailure{ aAttempt.task, worker });
  }
  this->placerUpdates.emplace_back(ReleaseFromPlacer{ aAttempt.task });
  this->counters.Add("attempts_ended_total",
                     aEnd == AttemptEnd::Completed ? "completed"
                     : aEnd == AttemptEnd::Failed  ? "failed"
                                                   : aReason);
  const TaskRecord* after = this->table.Find(aAttempt.task);
  if (after != nullptr && after->state == TaskState::Evicted) {
    const JobRecord& job = *this->table.FindJob(aAttempt.task.job);
    this->placerUpdates.emplace_back(
      SubmitToPlacer{ MakePlacementRequest(job.spec, aAttempt.task.index) });
  }
}

void ShardCore::ReplaceReplica(const AttemptId& aAttempt)
{
  const TaskRecord* task = this->table.FindLive(aAttempt);
  const JobRecord* job = this->table.FindJob(aAttempt.task.job);
  if (task == nullptr) {
    return;
  }
  if (WorkerLease* lease = this->leases.Find(task->worker)) {
    lease->attempts.erase(aAttempt.token);
  }
  const std::size_t before = job->tasks.size();
  this->Stage(ReplicaReplaced{ aAttempt }, aAttempt.task.job);
  this->placerUpdates.emplace_back(ReleaseFromPlacer{ aAttempt.task });
  this->counters.Add("attempts_ended_total", "replica_replaced");
  if (job->tasks.size() > before) {
    this->placerUpdates.emplace_back(
      SubmitToPlacer{ MakePlacementRequest(job->spec, static_cast<std::uint32_t>(before)) });
  }
}

void ShardCore::RunDeferredAction(Instant aNow,
                                  const DeferredAction& aAction,
                                  OwnerEffects& aEffects)
{
  const bool owning = this->role == OwnerRole::Owning;
  if (const auto* start = std::get_if<DeferredStart>(&aAction)) {
    WorkerLease* lease = nullptr;
    if (LiveAttempt* live = this->FindAttempt(start->attempt, &lease)) {
      live->placementCommitted = true;
      if (owning && lease->sessionOpen && lease->reconciled) {
        this->SendDueCommand(aNow, *lease, *live, aEffects);
      }
    }
  } else if (const auto* command = std::get_if<DeferredCommand>(&aAction)) {
    WorkerLease* lease = nullptr;
    LiveAttempt* live = this->FindAttempt(command->attempt, &lease);
    if (live != nullptr && owning && lease->sessionOpen && lease->reconciled) {
      live->nextSend = Instant{};
      this->SendDueCommand(aNow, *lease, *live, aEffects);
    }
  } else if (const auto* deletedRow = std::get_if<InboxRowDeleted>(&aAction)) {
    this->inbox.ForgetProcessed(deletedRow->key);
  } else if (std::get_if<DeferredCleanup>(&aAction) != nullptr) {
    this->snapshots.OnCleanupCommitted();
  } else if (const auto* message = std::get_if<SendToAgent>(&aAction)) {
    aEffects.emplace_back(*message);
  }
}

LiveAttempt* ShardCore::FindAttempt(const AttemptId& aAttempt, WorkerLease** aLease)
{
  const TaskRecord* task = this->table.FindLive(aAttempt);
  WorkerLease* lease = task == nullptr ? nullptr : this->leases.Find(task->worker);
  if (aLease != nullptr) {
    *aLease = lease;
  }
  return lease == nullptr ? nullptr : lease->Find(aAttempt);
}

} // namespace oriolespread
