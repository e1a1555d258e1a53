// The part of ShardCore that handles links, lease sessions and reports of agents.
#include "oriolespread/tasks/AttemptTable.h"
#include "oriolespread/tasks/ShardCore.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Time that an agent may take to adopt a new session. Heartbeats without it that arrive within this
// time are answered within the same session instead of opening another one.
constexpr Duration kSessionAdoptionTime = std::chrono::seconds(1);
// An agent keeps tombstones of the attempts that ended within a session, to refuse late starts. A
// new session lets it discard them.
constexpr Duration kMaxSessionAge = std::chrono::hours(1);
constexpr Duration kLeaseCheckPeriod = std::chrono::milliseconds(100);

TaskState ToTaskState(AttemptState aState)
{
  switch (aState) {
    case AttemptState::Starting:
      return TaskState::Starting;
    case AttemptState::Checkpointing:
      return TaskState::Checkpointing;
    default:
      return TaskState::Running;
  }
}

AttemptEnd ToAttemptEnd(AttemptState aState)
{
  if (aState == AttemptState::Completed) {
    return AttemptEnd::Completed;
  }
  return aState == AttemptState::Failed ? AttemptEnd::Failed : AttemptEnd::Evicted;
}

} // namespace

void ShardCore::OnAgentEvent(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects)
{
  if (const auto* up = std::get_if<AgentConnected>(&aEvent)) {
    const WorkerLease* lease = this->leases.OnAgentConnected(up->announce);
    if (lease == nullptr) {
      this->counters.Add("agent_links_total", "old_incarnation");
      return;
    }
    if (this->HoldsState()) {
      this->placerUpdates.emplace_back(SetPlacerWorker{ lease->spec });
      this->UpdateAvailability(*lease);
    }
    if (this->role == OwnerRole::Owning) {
      this->OfferSession(*lease, aEffects);
    }
  } else if (const auto* down = std::get_if<AgentDisconnected>(&aEvent)) {
    const WorkerLease* lease = this->leases.OnAgentDisconnected(down->agent);
    if (lease != nullptr) {
      this->UpdateAvailability(*lease);
    }
  } else if (const auto* message = std::get_if<AgentMessage>(&aEvent)) {
    if (this->HoldsState()) {
      this->OnMessage(aNow, *message, aEffects);
    }
  } else if (this->role == OwnerRole::Owning && !this->evictingWorkers.empty()) {
    for (const WorkerId& worker : std::exchange(this->evictingWorkers, {})) {
      if (WorkerLease* lease = this->leases.Find(worker)) {
        this->SendDueCommands(aNow, *lease, aEffects);
      }
    }
  }
}

void ShardCore::OnMessage(Instant aNow, const AgentMessage& aMessage, OwnerEffects& aEffects)
{
  WorkerLease* lease = this->leases.FindByAgent(aMessage.agent);
  if (lease == nullptr || !lease->linked) {
    this->counters.Add("agent_messages_refused_total", "not_linked");
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.message)) {
    this->OnHeartbeat(aNow, *lease, *heartbeat, aEffects);
  } else if (const auto* event = std::get_if<TaskEvent>(&aMessage.message)) {
    this->OnTaskEvent(aNow, *lease, *event, aEffects);
  } else if (const auto* usage = std::get_if<UsageReport>(&aMessage.message)) {
    this->OnUsage(*usage);
  } else if (const auto* latency = std::get_if<ServiceLatencyReport>(&aMessage.message)) {
    this->placerUpdates.emplace_back(RecordPlacerLatency{ *latency });
  }
}

void ShardCore::OnHeartbeat(Instant aNow,
                            WorkerLease& aLease,
                            const Heartbeat& aHeartbeat,
                            OwnerEffects& aEffects)
{
  if (aHeartbeat.incarnation != aLease.incarnation || aHeartbeat.sequence <= aLease.lastHeartbeat) {
    this->counters.Add("agent_messages_refused_total", "stale_heartbeat");
    return;
  }
  aLease.lastHeartbeat = aHeartbeat.sequence;
  const bool owning = this->role == OwnerRole::Owning;
  const bool current = aLease.sessionOpen && aHeartbeat.session == this->SessionOf(aLease);
  if (!owning) {
    const bool mayExtend = current && aLease.reconciled && aNow < aLease.deadline &&
                           aNow < this->journal.HorizonDeadline();
    if (!mayExtend) {
      return;
    }
  } else if (aLease.mayHoldLease && aNow >= aLease.deadline) {
    this->ExpireLease(aLease);
    this->OpenSession(aNow, aLease, aHeartbeat, aEffects);
    return;
  } else if (!current || aNow >= aLease.sessionOpenedAt + kMaxSessionAge) {
    this->OpenSession(aNow, aLease, aHeartbeat, aEffects);
    return;
  }
  if (aLease.reconciled) {
    for (const AttemptReport& report : aHeartbeat.attempts) {
      this->ObserveReport(aNow, aLease, report, aEffects);
    }
  } else if (aHeartbeat.whole) {
    this->Reconcile(aNow, aLease, aHeartbeat, aEffects);
  }
  this->GrantLease(aNow, aLease, aHeartbeat, aEffects);
  if (owning && aLease.reconciled) {
    this->SendDueCommands(aNow, aLease, aEffects);
    for (const AttemptId& unexpected : aLease.unexpectedAttempts) {
      this->SendCommand(aLease, unexpected, TaskCommandKind::Stop, aEffects);
    }
  }
}

void ShardCore::OpenSession(Instant aNow,
                            WorkerLease& aLease,
                            const Heartbeat& aHeartbeat,
                            OwnerEffects& aEffects)
{
  const bool adopting = aLease.sessionOpen && !aLease.reconciled &&
                        aNow < aLease.sessionOpenedAt + kSessionAdoptionTime;
  if (!adopting) {
    this->leases.OpenSession(aLease, aNow);
    this->counters.Add("agent_sessions_total", "opened");
  }
  this->UpdateAvailability(aLease);
  this->GrantLease(aNow, aLease, aHeartbeat, aEffects);
}

void ShardCore::GrantLease(Instant aNow,
                           WorkerLease& aLease,
                           const Heartbeat& aHeartbeat,
                           OwnerEffects& aEffects)
{
  const Instant end = aNow + AddMargin(this->options.taskLease, this->options.driftMargin);
  // Until the agent has listed its attempts within this session, it may still follow an earlier
  // owner.
  aLease.deadline =
    aLease.reconciled || !aLease.mayHoldLease ? end : std::max(aLease.deadline, end);
  aLease.mayHoldLease = true;
  LeaseGrant grant{ this->SessionOf(aLease), aLease.agent, aLease.incarnation };
  grant.heartbeat = aHeartbeat.sequence;
  grant.durationMs = static_cast<std::uint64_t>(ToMilliseconds(this->options.taskLease));
  aEffects.emplace_back(SendToAgent{ aLease.agent, grant });
}

void ShardCore::OfferSession(const WorkerLease& aLease, OwnerEffects& aEffects)
{
  if (!aLease.linked) {
    return;
  }
  LeaseSession session = this->SessionOf(aLease);
  session.number = this->leases.NextSession();
  aEffects.emplace_back(
    SendToAgent{ aLease.agent, LeaseGrant{ session, aLease.agent, aLease.incarnation } });
}

void ShardCore::Reconcile(Instant aNow,
                          WorkerLease& aLease,
                          const Heartbeat& aHeartbeat,
                          OwnerEffects& aEffects)
{
  aLease.reconciled = true;
  aLease.nextCommandCheck = Instant{};
  aLease.unexpectedAttempts.clear();
  for (auto& [token, live] : aLease.attempts) {
    live.reported.reset();
    live.nextSend = Instant{};
  }
  std::set<AttemptId> listed;
  for (const AttemptReport& report : aHeartbeat.attempts) {
    listed.insert(report.attempt);
    this->ObserveReport(aNow, aLease, report, aEffects);
  }
  // Starts of earlier sessions can no longer take effect, so an attempt that is not listed is not
  // running.
  std::vector<AttemptId> absentAttempts;
  for (auto& [token, live] : aLease.attempts) {
    if (live.mayHaveStarted && listed.count(live.attempt) == 0) {
      absentAttempts.push_back(live.attempt);
    } else if (live.reported.has_value() && live.taskClass == TaskClass::LatencyCritical) {
      // A restarted agent does not know the task class; repeating the start passes it on.
      this->SendStart(aLease, live, aEffects);
    }
  }
  for (const AttemptId& attempt : absentAttempts) {
    this->EndAttempt(attempt, AttemptEnd::Evicted, {}, "absent");
  }
  this->counters.Add("agent_sessions_total", "settled");
  this->UpdateAvailability(aLease);
}

void ShardCore::ObserveReport(Instant aNow,
                              WorkerLease& aLease,
                              const AttemptReport& aReport,
                              OwnerEffects& aEffects)
{
  LiveAttempt* live = aLease.Find(aReport.attempt);
  if (live == nullptr) {
    if (!IsEnded(aReport.state) && aReport.attempt.token.epoch <= this->journal.CurrentEpoch() &&
        aLease.unexpectedAttempts.insert(aReport.attempt).second) {
      this->counters.Add("attempts_ended_total", "stray");
      this->UpdateAvailability(aLease);
    }
    return;
  }
  live->mayHaveStarted = true;
  if (IsEnded(aReport.state)) {
    this->EndAttempt(
      aReport.attempt, ToAttemptEnd(aReport.state), aReport.checkpoint, aReport.reason);
    return;
  }
  live->reported = aReport.state;
  live->reportedGrant = aReport.grant;
  this->table.SetUnjournaledState(aReport.attempt, ToTaskState(aReport.state));
  const TaskRecord* task = this->table.FindLive(aReport.attempt);
  if (!aReport.checkpoint.empty() && aReport.checkpoint != task->checkpoint) {
    this->Stage(TaskProgressed{ aReport.attempt, aReport.checkpoint }, aReport.attempt.task.job);
    this->placerUpdates.emplace_back(RecordPlacerProgress{ aReport.attempt.task });
    if (live->stopRequested && live->stopAt > aNow) {
      live->stopAt = aNow;
      live->nextSend = aNow;
      this->SendDueCommand(aNow, aLease, *live, aEffects);
    }
  }
}

void ShardCore::OnTaskEvent(Instant aNow,
                            WorkerLease& aLease,
                            const TaskEvent& aEvent,
                            OwnerEffects& aEffects)
{
  const AttemptId& attempt = aEvent.report.attempt;
  const bool known = aLease.Find(attempt) != nullptr;
  if (!IsEnded(aEvent.report.state)) {
    if (known) {
      this->ObserveReport(aNow, aLease, aEvent.report, aEffects);
    }
    return;
  }
  if (known) {
    this->ObserveReport(aNow, aLease, aEvent.report, aEffects);
  } else if (this->role != OwnerRole::Owning ||
             attempt.token.epoch > this->journal.CurrentEpoch()) {
    // Only the current owner can tell that the event is obsolete and may be acknowledged.
    return;
  } else if (aLease.unexpectedAttempts.erase(attempt) > 0) {
    this->UpdateAvailability(aLease);
  }
  // Acknowledged once everything staged, which may include the end of this attempt, has committed.
  this->journal.Defer(SendToAgent{ aLease.agent, TaskEventAck{ attempt, aEvent.report.state } });
}

void ShardCore::OnUsage(const UsageReport& aReport)
{
  for (const TaskUsage& usage : aReport.tasks) {
    if (this->table.FindLive(usage.attempt) != nullptr) {
      this->placerUpdates.emplace_back(RecordPlacerUsage{ usage.attempt.task, usage.used });
    }
  }
}

void ShardCore::ProcessExpiredLeases(Instant aNow)
{
  if (aNow < this->nextLeaseCheck) {
    return;
  }
  this->nextLeaseCheck = aNow + kLeaseCheckPeriod;
  std::vector<WorkerId> unusedWorkers;
  for (auto& [id, lease] : this->leases.All()) {
    if (lease.mayHoldLease && aNow >= lease.deadline) {
      this->ExpireLease(lease);
    }
    if (!lease.linked && !lease.mayHoldLease && lease.attempts.empty()) {
      unusedWorkers.push_back(id);
    }
  }
  for (const WorkerId& worker : unusedWorkers) {
    this->placerUpdates.emplace_back(RemovePlacerWorker{ worker });
    this->leases.All().erase(worker);
  }
}

void ShardCore::ExpireLease(WorkerLease& aLease)
{
  this->counters.Add("agent_sessions_total", "lapsed");
  aLease.sessionOpen = false;
  aLease.reconciled = false;
  aLease.mayHoldLease = false;
  aLease.unexpectedAttempts.clear();
  this->UpdateAvailability(aLease);
  std::vector<AttemptId> expiredAttempts;
  for (const auto& [token, live] : aLease.attempts) {
    expiredAttempts.push_back(live.attempt);
  }
  for (const AttemptId& attempt : expiredAttempts) {
    const JobRecord* job = this->table.FindJob(attempt.task.job);
    if (job != nullptr && job->spec.taskClass == TaskClass::LatencyCritical) {
      this->ReplaceReplica(attempt);
    } else {
      this->EndAttempt(attempt, AttemptEnd::Evicted, {}, "lease_lapsed");
    }
  }
}

void ShardCore::UpdateAvailability(const WorkerLease& aLease)
{
  this->placerUpdates.emplace_back(SetPlacerAvailable{ aLease.spec.worker, aLease.IsAvailable() });
}

LeaseSession ShardCore::SessionOf(const WorkerLease& aLease) const
{
  return { this->options.shard, this->journal.CurrentEpoch(), aLease.session };
}

} // namespace oriolespread
