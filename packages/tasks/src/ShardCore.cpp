// Ownership, recovery and the dispatch of events. The rest of ShardCore is in ShardCoreAgents.cpp,
// ShardCoreCommands.cpp, ShardCoreInbox.cpp and ShardCoreTasks.cpp.
#include "oriolespread/tasks/ShardCore.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Placement pauses while more records than this are staged but not committed.
constexpr std::size_t kMaxBacklogRecords = 2000;

} // namespace

std::string_view ToString(OwnerRole aRole)
{
  switch (aRole) {
    case OwnerRole::Observing:
      return "observing";
    case OwnerRole::Claiming:
      return "claiming";
    case OwnerRole::Loading:
      return "loading";
    case OwnerRole::Owning:
      return "owning";
    case OwnerRole::Sustaining:
      return "sustaining";
  }
  return "invalid";
}

ShardCore::ShardCore(OwnerOptions aOptions, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
  , claim(this->options, aCounters)
  , journal(this->options, aCounters)
  , loader(this->options, aCounters)
  , snapshots(this->options, aCounters, this->journal)
  , inbox(this->options)
{
}

void ShardCore::Handle(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects)
{
  this->UpdateRole(aNow, aEffects);
  if (!this->HoldsState() && this->role != OwnerRole::Loading) {
    const auto claimed = this->claim.OnEvent(aNow, aEvent);
    if (claimed.has_value()) {
      this->BeginLoading(*claimed);
    }
  } else {
    switch (this->journal.OnEvent(aNow, aEvent)) {
      case Journal::Progress::OwnershipLost:
        this->counters.Add("shard_losses_total", "conflict");
        this->StepDown();
        break;
      case Journal::Progress::Committed:
        this->snapshots.OnJournalRowResult(true);
        break;
      case Journal::Progress::NotCommitted:
        this->snapshots.OnJournalRowResult(false);
        break;
      case Journal::Progress::Unrelated:
      case Journal::Progress::Waiting:
        break;
    }
    this->loader.OnEvent(aNow, aEvent);
  }
  if (this->role == OwnerRole::Loading && this->loader.IsDone()) {
    this->FinishLoading(aNow, aEffects);
  }
  this->UpdateRole(aNow, aEffects);
  if (this->role == OwnerRole::Owning) {
    this->ProcessExpiredLeases(aNow);
    this->ProcessInbox(this->inbox.OnEvent(aNow, aEvent));
  }
  if (this->HoldsState()) {
    this->snapshots.OnEvent(aNow, aEvent);
  }
  this->OnAgentEvent(aNow, aEvent, aEffects);
}

bool ShardCore::HoldsState() const
{
  return this->role == OwnerRole::Owning || this->role == OwnerRole::Sustaining;
}

void ShardCore::UpdateRole(Instant aNow, OwnerEffects& aEffects)
{
  const bool valid = aNow < this->journal.LeaseDeadline();
  if (this->role == OwnerRole::Owning && !valid) {
    this->role = OwnerRole::Sustaining;
    this->counters.Add("shard_roles_total", "sustaining");
    this->inbox.CancelScan();
  } else if (this->role == OwnerRole::Sustaining && valid) {
    this->role = OwnerRole::Owning;
    this->counters.Add("shard_roles_total", "regained");
    this->ResumeOwnership(aNow, aEffects);
  } else if (!this->HoldsState() && this->role != OwnerRole::Loading) {
    this->role = this->claim.IsClaiming() ? OwnerRole::Claiming : OwnerRole::Observing;
  }
}

void ShardCore::BeginLoading(const ClaimedShard& aClaimed)
{
  this->role = OwnerRole::Loading;
  this->journal.Open(aClaimed);
  this->inheritedLeaseEnd = aClaimed.inheritedLeaseEnd;
  this->lastTokenCounter = 0;
  this->loader.Start();
}

void ShardCore::FinishLoading(Instant aNow, OwnerEffects& aEffects)
{
  this->table = this->loader.TakeTable();
  this->journal.SetNextSeq(this->loader.LastSeq() + 1);
  this->snapshots.Start(this->loader);
  this->inbox.Reset();
  this->leases.Reset();
  this->placerUpdates.emplace_back(ResetPlacer{});
  for (const auto& [id, job] : this->table.Jobs()) {
    for (const TaskRecord& task : job.tasks) {
      if (task.hasAttempt) {
        this->leases.GetOrAdd(task.worker);
      }
    }
  }
  for (const auto& [id, lease] : this->leases.All()) {
    this->placerUpdates.emplace_back(SetPlacerWorker{ lease.spec });
    this->placerUpdates.emplace_back(SetPlacerAvailable{ id, false });
  }
  for (const auto& [id, job] : this->table.Jobs()) {
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
      this->RestoreTask(job, index);
    }
  }
  this->role = OwnerRole::Sustaining;
  this->counters.Add("shard_roles_total", "loaded");
  if (aNow < this->journal.LeaseDeadline()) {
    this->role = OwnerRole::Owning;
    this->ResumeOwnership(aNow, aEffects);
  }
}

void ShardCore::RestoreTask(const JobRecord& aJob, std::uint32_t aIndex)
{
  const TaskRecord& task = aJob.tasks[aIndex];
  PlacementRequest request = MakePlacementRequest(aJob.spec, aIndex);
  if (!task.hasAttempt) {
    if (!IsFinal(task.state)) {
      this->placerUpdates.emplace_back(SubmitToPlacer{ std::move(request) });
    }
    return;
  }
  LiveAttempt live;
  live.attempt = AttemptId{ request.task, task.token };
  live.placementCommitted = true;
  live.mayHaveStarted = true;
  live.stopRequested = task.state == TaskState::Cancelled;
  live.grant = task.grant;
  live.taskClass = aJob.spec.taskClass;
  WorkerLease& lease = this->leases.GetOrAdd(task.worker);
  lease.deadline = this->inheritedLeaseEnd;
  lease.mayHoldLease = true;
  lease.Add(live);
  this->placerUpdates.emplace_back(RestoreInPlacer{ std::move(request), task.worker, task.grant });
}

void ShardCore::ResumeOwnership(Instant aNow, OwnerEffects& aEffects)
{
  // Agents whose leases expired while no owner could act still hold paused attempts in memory.
  // Allowing them one more lease duration to report keeps that work, also when another entry takes
  // over after an outage longer than the horizon.
  const Instant graceEnd = aNow + AddMargin(this->options.taskLease, this->options.driftMargin);
  for (auto& [id, lease] : this->leases.All()) {
    if (lease.mayHoldLease) {
      if (aNow >= lease.deadline) {
        lease.sessionOpen = false;
        lease.reconciled = false;
      }
      lease.deadline = std::max(lease.deadline, graceEnd);
    }
    this->UpdateAvailability(lease);
    if (!lease.sessionOpen) {
      this->OfferSession(lease, aEffects);
    }
  }
}

void ShardCore::StepDown()
{
  this->role = OwnerRole::Observing;
  this->journal.Close();
  this->claim.Restart();
  this->snapshots.Reset();
  this->inbox.Reset();
  this->leases.Reset();
  this->table = TaskTable{};
  this->evictingWorkers.clear();
  this->unplaceable.clear();
  this->placerUpdates.clear();
  this->placerUpdates.emplace_back(ResetPlacer{});
}

bool ShardCore::Release(Instant aNow, OwnerEffects& aEffects)
{
  // Longer than a process that is about to stop keeps running, so it never claims again.
  this->options.claimDelay = std::chrono::hours(24);
  if (this->role != OwnerRole::Owning) {
    return !this->claim.IsClaiming() && this->role != OwnerRole::Loading;
  }
  const Duration inheritedLease =
    std::max(this->leases.RemainingInheritedLease(aNow), this->inheritedLeaseEnd - aNow);
  if (!this->journal.Release(
        aNow, std::max(inheritedLease, Duration::zero()), this->callIds, aEffects)) {
    return false;
  }
  this->counters.Add("shard_roles_total", "released");
  this->StepDown();
  return true;
}

std::size_t ShardCore::PlacementBudget(Instant aNow)
{
  if (this->role != OwnerRole::Owning || aNow < this->nextPlacement ||
      this->journal.Backlog() > kMaxBacklogRecords) {
    return 0;
  }
  this->nextPlacement = aNow + this->options.journalPeriod;
  return this->options.maxPlacementsPerPeriod;
}

void ShardCore::Flush(Instant aNow, OwnerEffects& aEffects)
{
  for (const DeferredAction& deferred : this->journal.TakeReadyActions()) {
    this->RunDeferredAction(aNow, deferred, aEffects);
  }
  if (!this->HoldsState() && this->role != OwnerRole::Loading) {
    this->claim.Poll(aNow, this->callIds, aEffects);
    return;
  }
  for (const JobId& job : this->table.TakeRemovedJobs()) {
    this->journal.StageWrites({ { JobKey(job), std::nullopt } });
  }
  this->loader.Poll(aNow, this->callIds, aEffects);
  const auto inheritedLease = [this, aNow] {
    return this->role == OwnerRole::Loading ? this->inheritedLeaseEnd - aNow
                                            : this->leases.RemainingInheritedLease(aNow);
  };
  const auto completeRow = this->journal.Poll(aNow, inheritedLease, this->callIds, aEffects);
  if (completeRow.has_value() && this->snapshots.IsDue()) {
    this->snapshots.Capture(*completeRow, this->table.Serialize());
  }
  if (this->HoldsState()) {
    this->snapshots.Poll(aNow, this->callIds, aEffects);
  }
  if (this->role == OwnerRole::Owning) {
    this->inbox.Poll(aNow, this->callIds, aEffects);
  }
}

std::optional<JobView> ShardCore::FindJob(const JobId& aJob) const
{
  const JobRecord* job = this->table.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  JobView view{ job, this->journal.IsCommitted(job->lastChangePosition), nullptr };
  const auto found = this->unplaceable.find(aJob);
  if (found != this->unplaceable.end()) {
    view.unplaceable = &found->second;
  }
  return view;
}

} // namespace oriolespread
