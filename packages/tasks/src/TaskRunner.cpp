#include "oriolespread/tasks/TaskRunner.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Latency-critical attempts keep running without a lease of the owner, so the worker is given one
// that practically never ends.
constexpr Duration kUnboundedLease = std::chrono::hours(24 * 365);
// Grants for older heartbeats would already have expired: a lease of 10 s spans at most 5 heartbeat
// periods.
constexpr std::size_t kMaxHeartbeatsKept = 64;

} // namespace

TaskRunner::TaskRunner(RunnerOptions aOptions, Instant aNow, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
  , attemptTable(this->options.capacity)
  , nextHeartbeat(aNow)
  , nextEvents(aNow)
  , nextList(aNow + 2 * this->options.maxWorkerCallTime)
  , nextUsage(aNow + this->options.usagePeriod)
{
}

void TaskRunner::Handle(Instant aNow, const RunnerEvent& aEvent, RunnerEffects& aEffects)
{
  if (this->session.number != 0 && aNow >= this->deadline) {
    this->ExpireLease(aEffects);
  }
  std::visit([&](const auto& aBody) { this->OnEvent(aNow, aBody, aEffects); }, aEvent);
  this->SendEvents(aNow, aEffects);
}

Instant TaskRunner::NextWakeup() const
{
  Instant next = std::min({ this->nextList, this->nextUsage });
  if (this->workerListed) {
    next = std::min({ next, this->nextHeartbeat, this->nextEvents });
  }
  return this->session.number != 0 ? std::min(next, this->deadline) : next;
}

void TaskRunner::OnEvent(Instant aNow, const RunnerTick& /*aTick*/, RunnerEffects& aEffects)
{
  if (aNow >= this->nextList) {
    this->nextList = aNow + this->options.listPeriod;
    this->listCall = this->CallWorker(WorkerListCall{}, aEffects);
  }
  if (aNow >= this->nextUsage) {
    this->nextUsage = aNow + this->options.usagePeriod;
    this->usageCall = this->CallWorker(WorkerUsageCall{}, aEffects);
  }
  if (this->workerListed && aNow >= this->nextHeartbeat) {
    this->nextHeartbeat = aNow + this->options.heartbeatPeriod;
    for (const EntryId& entry : this->entries) {
      this->SendHeartbeat(aNow, entry, aEffects);
    }
  }
}

void TaskRunner::OnEvent(Instant aNow, const EntryConnected& aEvent, RunnerEffects& aEffects)
{
  this->entries.insert(aEvent.entry);
  if (this->workerListed) {
    this->SendHeartbeat(aNow, aEvent.entry, aEffects);
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const EntryDisconnected& aEvent,
                         RunnerEffects& /*aEffects*/)
{
  this->entries.erase(aEvent.entry);
}

void TaskRunner::OnEvent(Instant aNow, const EntryMessage& aMessage, RunnerEffects& aEffects)
{
  if (const auto* grant = std::get_if<LeaseGrant>(&aMessage.message)) {
    this->OnGrant(aNow, aMessage.entry, *grant, aEffects);
  } else if (const auto* start = std::get_if<StartTask>(&aMessage.message)) {
    if (this->AcceptsSession(start->session, "start")) {
      this->OnStart(*start, aEffects);
    }
  } else if (const auto* command = std::get_if<TaskCommand>(&aMessage.message)) {
    if (this->AcceptsSession(command->session, "command")) {
      this->OnCommand(*command, aEffects);
    }
  } else if (const auto* ack = std::get_if<TaskEventAck>(&aMessage.message)) {
    this->OnAck(*ack, aEffects);
  }
}

void TaskRunner::OnGrant(Instant aNow,
                         const EntryId& aEntry,
                         const LeaseGrant& aGrant,
                         RunnerEffects& aEffects)
{
  const bool current = this->session.number != 0 && aGrant.session == this->session;
  if (aGrant.agent != this->options.agent || (!current && !this->IsNewer(aGrant.session))) {
    this->counters.Add("runner_grants_refused_total", "stale_session");
    return;
  }
  if (aGrant.heartbeat == 0) {
    // The owner offers a session and asks for a heartbeat that it can answer with a lease.
    if (this->workerListed) {
      this->SendHeartbeat(aNow, aEntry, aEffects);
    }
    return;
  }
  const auto sent = this->heartbeatSentAt.find(aGrant.heartbeat);
  if (aGrant.incarnation != this->options.incarnation || sent == this->heartbeatSentAt.end()) {
    this->counters.Add("runner_grants_refused_total", "unknown_heartbeat");
    return;
  }
  const Duration length = std::chrono::milliseconds(aGrant.durationMs);
  const Instant end =
    sent->second + std::chrono::duration_cast<Duration>(length * (1.0 - this->options.driftMargin));
  if (aNow >= end) {
    this->counters.Add("runner_grants_refused_total", "late");
    return;
  }
  if (!current) {
    this->deadline = end;
    this->AdoptSession(aNow, aEntry, aGrant.session, aEffects);
  } else {
    this->deadline = std::max(this->deadline, end);
    this->attemptTable.Acknowledge(aGrant.heartbeat);
    if (this->fullReportHeartbeat != 0 && aGrant.heartbeat >= this->fullReportHeartbeat) {
      this->fullReportNeeded = false;
    }
  }
  this->RenewWorkerLeases(aEffects);
}

void TaskRunner::AdoptSession(Instant aNow,
                              const EntryId& aEntry,
                              const LeaseSession& aSession,
                              RunnerEffects& aEffects)
{
  this->session = aSession;
  this->highestSession = aSession;
  this->sessionEntry = aEntry;
  this->attemptTable.ClearTombstones();
  this->fullReportNeeded = true;
  this->fullReportHeartbeat = 0;
  this->counters.Add("runner_sessions_total", "adopted");
  this->SendHeartbeat(aNow, aEntry, aEffects);
}

bool TaskRunner::IsNewer(const LeaseSession& aSession) const
{
  if (aSession.epoch != this->highestSession.epoch) {
    return aSession.epoch > this->highestSession.epoch;
  }
  return aSession.number > this->highestSession.number;
}

bool TaskRunner::AcceptsSession(const LeaseSession& aSession, std::string_view aKind)
{
  if (this->session.number != 0 && aSession == this->session) {
    return true;
  }
  this->counters.Add("runner_commands_refused_total", aKind);
  return false;
}

void TaskRunner::OnStart(const StartTask& aStart, RunnerEffects& aEffects)
{
  if (TrackedAttempt* known = this->attemptTable.Find(aStart.attempt)) {
    known->taskClass = aStart.taskClass;
    return;
  }
  if (this->attemptTable.HasTombstone(aStart.attempt)) {
    this->counters.Add("runner_starts_refused_total", "barred");
    return;
  }
  AttemptReport report{ aStart.attempt, AttemptState::Starting, aStart.checkpoint, {}, {} };
  report.grant = aStart.grant;
  const bool sameTask = this->attemptTable.HasLiveAttempt(aStart.attempt.task);
  if (sameTask || !this->attemptTable.Fits(aStart.grant, aStart.attempt)) {
    const char* reason = sameTask ? "same_task" : "capacity";
    this->counters.Add("runner_starts_refused_total", reason);
    this->EndAttempt(this->attemptTable.Add(report), AttemptState::Stopped, reason);
    return;
  }
  TrackedAttempt& attempt = this->attemptTable.Add(report);
  attempt.taskClass = aStart.taskClass;
  WorkerTaskStart start{ aStart.attempt, aStart.program, aStart.arguments, aStart.checkpoint, {} };
  start.grant = aStart.grant;
  this->CallForAttempt(
    attempt, WorkerStartCall{ std::move(start), this->LeaseEndFor(aStart.taskClass) }, aEffects);
}

void TaskRunner::OnCommand(const TaskCommand& aCommand, RunnerEffects& aEffects)
{
  TrackedAttempt* attempt = this->attemptTable.Find(aCommand.attempt);
  if (attempt == nullptr) {
    if (aCommand.kind == TaskCommandKind::Stop &&
        !this->attemptTable.HasTombstone(aCommand.attempt)) {
      AttemptReport report{ aCommand.attempt, AttemptState::Stopped, {}, {}, {} };
      this->EndAttempt(this->attemptTable.Add(report), AttemptState::Stopped, "never_started");
    }
    return;
  }
  if (IsEnded(attempt->report.state)) {
    attempt->nextEvent = Instant{};
    return;
  }
  switch (aCommand.kind) {
    case TaskCommandKind::Stop:
      attempt->stopRequested = true;
      this->CallForAttempt(*attempt, WorkerStopCall{ aCommand.attempt }, aEffects);
      break;
    case TaskCommandKind::Checkpoint:
      this->pendingCalls[this->CallWorker(WorkerCheckpointCall{ aCommand.attempt }, aEffects)] =
        aCommand.attempt;
      break;
    case TaskCommandKind::Throttle:
      if (!this->attemptTable.Fits(aCommand.grant, aCommand.attempt)) {
        this->counters.Add("runner_starts_refused_total", "regrant_capacity");
        break;
      }
      attempt->report.grant = aCommand.grant;
      this->attemptTable.SetState(*attempt, attempt->report.state);
      this->CallWorker(WorkerThrottleCall{ aCommand.attempt, aCommand.grant }, aEffects);
      break;
    case TaskCommandKind::Resume:
      if (attempt->report.state == AttemptState::Paused && !attempt->stopRequested &&
          attempt->pendingCall.Value() == 0) {
        this->CallForAttempt(
          *attempt,
          WorkerResumeCall{ aCommand.attempt, this->LeaseEndFor(attempt->taskClass) },
          aEffects);
      }
      break;
  }
}

void TaskRunner::OnAck(const TaskEventAck& aAck, RunnerEffects& aEffects)
{
  const TrackedAttempt* attempt = this->attemptTable.Find(aAck.attempt);
  if (attempt == nullptr || !IsEnded(attempt->report.state) ||
      attempt->report.state != aAck.state) {
    return;
  }
  this->attemptTable.Forget(aAck.attempt);
  this->CallWorker(WorkerForgetCall{ aAck.attempt }, aEffects);
}

void TaskRunner::ExpireLease(RunnerEffects& aEffects)
{
  this->counters.Add("runner_sessions_total", "lapsed");
  this->session = LeaseSession{};
  for (auto& [id, attempt] : this->attemptTable.All()) {
    const bool requiresLease = attempt.taskClass == TaskClass::Batch;
    if (!requiresLease || IsEnded(attempt.report.state) ||
        attempt.report.state == AttemptState::Paused) {
      continue;
    }
    this->attemptTable.SetState(attempt, AttemptState::Paused);
    attempt.lastCall = this->CallWorker(WorkerPauseCall{ id }, aEffects);
    // The result of an earlier call no longer determines the state; the worker's next task list
    // does.
    attempt.pendingCall = WorkerCallId{};
  }
}

Instant TaskRunner::LeaseEndFor(TaskClass aClass) const
{
  return aClass == TaskClass::Batch ? this->deadline - this->options.maxWorkerCallTime
                                    : this->deadline + kUnboundedLease;
}

void TaskRunner::SendHeartbeat(Instant aNow, const EntryId& aEntry, RunnerEffects& aEffects)
{
  Heartbeat heartbeat;
  heartbeat.agent = this->options.agent;
  heartbeat.incarnation = this->options.incarnation;
  heartbeat.worker = this->options.worker;
  heartbeat.sequence = ++this->sequence;
  heartbeat.session = this->session;
  heartbeat.capacity = this->options.capacity;
  this->heartbeatSentAt[this->sequence] = aNow;
  if (this->heartbeatSentAt.size() > kMaxHeartbeatsKept) {
    this->heartbeatSentAt.erase(this->heartbeatSentAt.begin());
  }
  if (this->session.number != 0 && aEntry == this->sessionEntry) {
    heartbeat.whole = this->fullReportNeeded;
    heartbeat.attempts = this->attemptTable.PrepareReports(this->fullReportNeeded, this->sequence);
    if (this->fullReportNeeded && this->fullReportHeartbeat == 0) {
      this->fullReportHeartbeat = this->sequence;
    }
  }
  aEffects.emplace_back(SendToEntry{ aEntry, std::move(heartbeat) });
}

void TaskRunner::SendEvents(Instant aNow, RunnerEffects& aEffects)
{
  this->nextEvents = aNow + this->options.eventRetryPeriod;
  if (this->session.number == 0) {
    return;
  }
  for (auto& [id, attempt] : this->attemptTable.All()) {
    if (!IsEnded(attempt.report.state)) {
      continue;
    }
    if (attempt.nextEvent <= aNow) {
      attempt.nextEvent = aNow + this->options.eventRetryPeriod;
      TaskEvent event{ this->options.agent, this->options.incarnation, this->options.worker, {} };
      event.report = attempt.report;
      aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(event) });
    }
    this->nextEvents = std::min(this->nextEvents, attempt.nextEvent);
  }
}

void TaskRunner::RenewWorkerLeases(RunnerEffects& aEffects)
{
  std::vector<AttemptId> running;
  for (const auto& [id, attempt] : this->attemptTable.All()) {
    const AttemptState state = attempt.report.state;
    if (attempt.taskClass == TaskClass::Batch && !IsEnded(state) && state != AttemptState::Paused) {
      running.push_back(id);
    }
  }
  if (!running.empty()) {
    this->CallWorker(WorkerRenewCall{ std::move(running), this->LeaseEndFor(TaskClass::Batch) },
                     aEffects);
  }
}

WorkerCallId TaskRunner::CallWorker(WorkerCallBody aBody, RunnerEffects& aEffects)
{
  const WorkerCallId call{ ++this->lastCall };
  aEffects.emplace_back(WorkerCall{ call, std::move(aBody) });
  return call;
}

void TaskRunner::CallForAttempt(TrackedAttempt& aAttempt,
                                WorkerCallBody aBody,
                                RunnerEffects& aEffects)
{
  const WorkerCallId call = this->CallWorker(std::move(aBody), aEffects);
  aAttempt.lastCall = call;
  aAttempt.pendingCall = call;
  this->pendingCalls[call] = aAttempt.report.attempt;
}

void TaskRunner::EndAttempt(TrackedAttempt& aAttempt, AttemptState aState, std::string aReason)
{
  aAttempt.report.reason = std::move(aReason);
  aAttempt.pendingCall = WorkerCallId{};
  this->attemptTable.SetState(aAttempt, aState);
}

} // namespace oriolespread
