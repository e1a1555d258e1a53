#include "oriolespread/tasks/TaskRunner.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Latency-critical attempts run on without a lease, so the worker is given one that never ends.
constexpr Duration kUnboundedLease = std::chrono::hours(24 * 365);
// Grants for older heartbeats are useless: a lease of 10 s spans at most 5 of them.
constexpr std::size_t kHeartbeatsKept = 64;

} // namespace

TaskRunner::TaskRunner(RunnerOptions aOptions, Instant aNow, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
  , ledger(this->options.capacity)
  , nextHeartbeat(aNow)
  , nextEvents(aNow)
  , nextList(aNow + 2 * this->options.maxWorkerCallTime)
  , nextUsage(aNow + this->options.usagePeriod)
{
}

void TaskRunner::Handle(Instant aNow, const RunnerEvent& aEvent, RunnerEffects& aEffects)
{
  if (this->session.number != 0 && aNow >= this->deadline) {
    this->Lapse(aEffects);
  }
  std::visit([&](const auto& aBody) { this->OnEvent(aNow, aBody, aEffects); }, aEvent);
  this->SendEvents(aNow, aEffects);
}

Instant TaskRunner::NextWakeup() const
{
  Instant next = std::min({ this->nextList, this->nextUsage });
  if (this->ready) {
    next = std::min({ next, this->nextHeartbeat, this->nextEvents });
  }
  return this->session.number != 0 ? std::min(next, this->deadline) : next;
}

void TaskRunner::OnEvent(Instant aNow, const RunnerTick& /*aTick*/, RunnerEffects& aEffects)
{
  if (aNow >= this->nextList) {
    this->nextList = aNow + this->options.listPeriod;
    this->listCall = this->Call(WorkerListCall{}, aEffects);
  }
  if (aNow >= this->nextUsage) {
    this->nextUsage = aNow + this->options.usagePeriod;
    this->usageCall = this->Call(WorkerUsageCall{}, aEffects);
  }
  if (this->ready && aNow >= this->nextHeartbeat) {
    this->nextHeartbeat = aNow + this->options.heartbeatPeriod;
    for (const EntryId& entry : this->entries) {
      this->SendHeartbeat(aNow, entry, aEffects);
    }
  }
}

void TaskRunner::OnEvent(Instant aNow, const EntryConnected& aUp, RunnerEffects& aEffects)
{
  this->entries.insert(aUp.entry);
  if (this->ready) {
    this->SendHeartbeat(aNow, aUp.entry, aEffects);
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const EntryDisconnected& aDown,
                         RunnerEffects& /*aEffects*/)
{
  this->entries.erase(aDown.entry);
}

void TaskRunner::OnEvent(Instant aNow, const EntryMessage& aMessage, RunnerEffects& aEffects)
{
  if (const auto* grant = std::get_if<LeaseGrant>(&aMessage.message)) {
    this->OnGrant(aNow, aMessage.entry, *grant, aEffects);
  } else if (const auto* start = std::get_if<StartTask>(&aMessage.message)) {
    if (this->MayObey(start->session, "start")) {
      this->OnStart(*start, aEffects);
    }
  } else if (const auto* command = std::get_if<TaskCommand>(&aMessage.message)) {
    if (this->MayObey(command->session, "command")) {
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
    // An offer: the owner asks for a heartbeat that it can answer with a lease.
    if (this->ready) {
      this->SendHeartbeat(aNow, aEntry, aEffects);
    }
    return;
  }
  const auto sent = this->heartbeatSent.find(aGrant.heartbeat);
  if (aGrant.incarnation != this->options.incarnation || sent == this->heartbeatSent.end()) {
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
    this->Adopt(aNow, aEntry, aGrant.session, aEffects);
  } else {
    this->deadline = std::max(this->deadline, end);
    this->ledger.Confirm(aGrant.heartbeat);
    if (this->wholeSentIn != 0 && aGrant.heartbeat >= this->wholeSentIn) {
      this->wholeWanted = false;
    }
  }
  this->RenewAtWorker(aEffects);
}

void TaskRunner::Adopt(Instant aNow,
                       const EntryId& aEntry,
                       const LeaseSession& aSession,
                       RunnerEffects& aEffects)
{
  this->session = aSession;
  this->highest = aSession;
  this->sessionEntry = aEntry;
  this->ledger.ClearBarred();
  this->wholeWanted = true;
  this->wholeSentIn = 0;
  this->counters.Add("runner_sessions_total", "adopted");
  this->SendHeartbeat(aNow, aEntry, aEffects);
}

bool TaskRunner::IsNewer(const LeaseSession& aSession) const
{
  if (aSession.epoch != this->highest.epoch) {
    return aSession.epoch > this->highest.epoch;
  }
  return aSession.number > this->highest.number;
}

bool TaskRunner::MayObey(const LeaseSession& aSession, std::string_view aKind)
{
  if (this->session.number != 0 && aSession == this->session) {
    return true;
  }
  this->counters.Add("runner_commands_refused_total", aKind);
  return false;
}

void TaskRunner::OnStart(const StartTask& aStart, RunnerEffects& aEffects)
{
  if (LedgerAttempt* known = this->ledger.Find(aStart.attempt)) {
    known->taskClass = aStart.taskClass;
    return;
  }
  if (this->ledger.IsBarred(aStart.attempt)) {
    this->counters.Add("runner_starts_refused_total", "barred");
    return;
  }
  AttemptReport report{ aStart.attempt, AttemptState::Starting, aStart.checkpoint, {}, {} };
  report.grant = aStart.grant;
  const bool sameTask = this->ledger.HasLiveAttempt(aStart.attempt.task);
  if (sameTask || !this->ledger.Fits(aStart.grant, aStart.attempt)) {
    const char* reason = sameTask ? "same_task" : "capacity";
    this->counters.Add("runner_starts_refused_total", reason);
    this->End(this->ledger.Add(report), AttemptState::Stopped, reason);
    return;
  }
  LedgerAttempt& attempt = this->ledger.Add(report);
  attempt.taskClass = aStart.taskClass;
  WorkerTaskStart start{ aStart.attempt, aStart.program, aStart.arguments, aStart.checkpoint, {} };
  start.grant = aStart.grant;
  this->CallAbout(
    attempt, WorkerStartCall{ std::move(start), this->LeaseFor(aStart.taskClass) }, aEffects);
}

void TaskRunner::OnCommand(const TaskCommand& aCommand, RunnerEffects& aEffects)
{
  LedgerAttempt* attempt = this->ledger.Find(aCommand.attempt);
  if (attempt == nullptr) {
    if (aCommand.kind == TaskCommandKind::Stop && !this->ledger.IsBarred(aCommand.attempt)) {
      AttemptReport report{ aCommand.attempt, AttemptState::Stopped, {}, {}, {} };
      this->End(this->ledger.Add(report), AttemptState::Stopped, "never_started");
    }
    return;
  }
  if (IsEnded(attempt->report.state)) {
    attempt->nextEvent = Instant{};
    return;
  }
  switch (aCommand.kind) {
    case TaskCommandKind::Stop:
      attempt->stopWanted = true;
      this->CallAbout(*attempt, WorkerStopCall{ aCommand.attempt }, aEffects);
      break;
    case TaskCommandKind::Checkpoint:
      this->pending[this->Call(WorkerCheckpointCall{ aCommand.attempt }, aEffects)] =
        aCommand.attempt;
      break;
    case TaskCommandKind::Throttle:
      if (!this->ledger.Fits(aCommand.grant, aCommand.attempt)) {
        this->counters.Add("runner_starts_refused_total", "regrant_capacity");
        break;
      }
      attempt->report.grant = aCommand.grant;
      this->ledger.SetState(*attempt, attempt->report.state);
      this->Call(WorkerThrottleCall{ aCommand.attempt, aCommand.grant }, aEffects);
      break;
    case TaskCommandKind::Resume:
      if (attempt->report.state == AttemptState::Paused && !attempt->stopWanted &&
          attempt->pendingCall.Value() == 0) {
        this->CallAbout(*attempt,
                        WorkerResumeCall{ aCommand.attempt, this->LeaseFor(attempt->taskClass) },
                        aEffects);
      }
      break;
  }
}

void TaskRunner::OnAck(const TaskEventAck& aAck, RunnerEffects& aEffects)
{
  const LedgerAttempt* attempt = this->ledger.Find(aAck.attempt);
  if (attempt == nullptr || !IsEnded(attempt->report.state) ||
      attempt->report.state != aAck.state) {
    return;
  }
  this->ledger.Forget(aAck.attempt);
  this->Call(WorkerForgetCall{ aAck.attempt }, aEffects);
}

void TaskRunner::Lapse(RunnerEffects& aEffects)
{
  this->counters.Add("runner_sessions_total", "lapsed");
  this->session = LeaseSession{};
  for (auto& [id, attempt] : this->ledger.All()) {
    const bool exclusive = attempt.taskClass == TaskClass::Batch;
    if (!exclusive || IsEnded(attempt.report.state) ||
        attempt.report.state == AttemptState::Paused) {
      continue;
    }
    this->ledger.SetState(attempt, AttemptState::Paused);
    attempt.lastCall = this->Call(WorkerPauseCall{ id }, aEffects);
    // The result of an earlier call no longer tells the state; the next list does.
    attempt.pendingCall = WorkerCallId{};
  }
}

Instant TaskRunner::LeaseFor(TaskClass aClass) const
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
  this->heartbeatSent[this->sequence] = aNow;
  if (this->heartbeatSent.size() > kHeartbeatsKept) {
    this->heartbeatSent.erase(this->heartbeatSent.begin());
  }
  if (this->session.number != 0 && aEntry == this->sessionEntry) {
    heartbeat.whole = this->wholeWanted;
    heartbeat.attempts = this->ledger.TakeReports(this->wholeWanted, this->sequence);
    if (this->wholeWanted && this->wholeSentIn == 0) {
      this->wholeSentIn = this->sequence;
    }
  }
  aEffects.emplace_back(SendToEntry{ aEntry, std::move(heartbeat) });
}

void TaskRunner::SendEvents(Instant aNow, RunnerEffects& aEffects)
{
  this->nextEvents = aNow + this->options.eventRepeat;
  if (this->session.number == 0) {
    return;
  }
  for (auto& [id, attempt] : this->ledger.All()) {
    if (!IsEnded(attempt.report.state)) {
      continue;
    }
    if (attempt.nextEvent <= aNow) {
      attempt.nextEvent = aNow + this->options.eventRepeat;
      TaskEvent event{ this->options.agent, this->options.incarnation, this->options.worker, {} };
      event.report = attempt.report;
      aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(event) });
    }
    this->nextEvents = std::min(this->nextEvents, attempt.nextEvent);
  }
}

void TaskRunner::RenewAtWorker(RunnerEffects& aEffects)
{
  std::vector<AttemptId> running;
  for (const auto& [id, attempt] : this->ledger.All()) {
    const AttemptState state = attempt.report.state;
    if (attempt.taskClass == TaskClass::Batch && !IsEnded(state) && state != AttemptState::Paused) {
      running.push_back(id);
    }
  }
  if (!running.empty()) {
    this->Call(WorkerRenewCall{ std::move(running), this->LeaseFor(TaskClass::Batch) }, aEffects);
  }
}

WorkerCallId TaskRunner::Call(WorkerCallBody aBody, RunnerEffects& aEffects)
{
  const WorkerCallId call{ ++this->lastCall };
  aEffects.emplace_back(WorkerCall{ call, std::move(aBody) });
  return call;
}

void TaskRunner::CallAbout(LedgerAttempt& aAttempt, WorkerCallBody aBody, RunnerEffects& aEffects)
{
  const WorkerCallId call = this->Call(std::move(aBody), aEffects);
  aAttempt.lastCall = call;
  aAttempt.pendingCall = call;
  this->pending[call] = aAttempt.report.attempt;
}

void TaskRunner::End(LedgerAttempt& aAttempt, AttemptState aState, std::string aReason)
{
  aAttempt.report.reason = std::move(aReason);
  aAttempt.pendingCall = WorkerCallId{};
  this->ledger.SetState(aAttempt, aState);
}

} // namespace oriolespread
