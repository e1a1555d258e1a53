// The part of TaskRunner that deals with the worker's results.
#include "oriolespread/tasks/TaskRunner.h"

#include <algorithm>

namespace oriolespread {

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const WorkerCallResult& aDone,
                         RunnerEffects& /*aEffects*/)
{
  const auto it = this->pending.find(aDone.call);
  if (it == this->pending.end()) {
    return;
  }
  LedgerAttempt* attempt = this->ledger.Find(it->second);
  this->pending.erase(it);
  if (attempt == nullptr || attempt->pendingCall != aDone.call || IsEnded(attempt->report.state)) {
    return;
  }
  attempt->pendingCall = WorkerCallId{};
  if (absl::IsUnavailable(aDone.status)) {
    // The effect is not known; the next list tells.
    this->counters.Add("runner_worker_calls_total", "unavailable");
    return;
  }
  if (attempt->stopWanted) {
    if (aDone.status.ok() || absl::IsNotFound(aDone.status)) {
      this->End(*attempt, AttemptState::Stopped, "stopped");
    }
    return;
  }
  if (aDone.status.ok() || absl::IsAlreadyExists(aDone.status)) {
    // The lease may have lapsed since the call; then a pause was sent after it.
    if (this->session.number != 0 || attempt->taskClass == TaskClass::LatencyCritical) {
      this->ledger.SetState(*attempt, AttemptState::Running);
    }
    return;
  }
  if (attempt->report.state == AttemptState::Starting ||
      (attempt->report.state == AttemptState::Paused && absl::IsAborted(aDone.status))) {
    const bool late = absl::IsAborted(aDone.status);
    this->End(*attempt,
              late ? AttemptState::Stopped : AttemptState::Failed,
              late ? "lease_ended" : std::string(aDone.status.message()));
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const WorkerCheckpointResult& aDone,
                         RunnerEffects& aEffects)
{
  const auto it = this->pending.find(aDone.call);
  if (it == this->pending.end()) {
    return;
  }
  LedgerAttempt* attempt = this->ledger.Find(it->second);
  this->pending.erase(it);
  if (attempt == nullptr || IsEnded(attempt->report.state)) {
    return;
  }
  if (!aDone.checkpoint.ok()) {
    this->counters.Add("runner_worker_calls_total", "checkpoint_failed");
    return;
  }
  attempt->report.checkpoint = *aDone.checkpoint;
  this->ledger.SetState(*attempt, attempt->report.state);
  if (this->session.number != 0) {
    // Sent once for speed; heartbeats carry it until a grant confirms it.
    TaskEvent event{ this->options.agent, this->options.incarnation, this->options.worker, {} };
    event.report = attempt->report;
    aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(event) });
  }
}

void TaskRunner::OnEvent(Instant aNow, const WorkerListResult& aListed, RunnerEffects& aEffects)
{
  if (aListed.call != this->listCall) {
    return;
  }
  if (!aListed.tasks.ok()) {
    this->counters.Add("runner_worker_calls_total", "list_failed");
    return;
  }
  for (const WorkerTask& task : *aListed.tasks) {
    this->Merge(task, aListed.call, aEffects);
  }
  this->DropUnlisted(*aListed.tasks, aListed.call);
  if (!this->ready) {
    this->ready = true;
    this->nextHeartbeat = aNow;
  }
}

void TaskRunner::Merge(const WorkerTask& aTask, WorkerCallId aListCall, RunnerEffects& aEffects)
{
  LedgerAttempt* attempt = this->ledger.Find(aTask.attempt);
  if (attempt == nullptr) {
    if (this->ledger.IsBarred(aTask.attempt)) {
      this->Call(WorkerStopCall{ aTask.attempt }, aEffects);
      this->Call(WorkerForgetCall{ aTask.attempt }, aEffects);
      return;
    }
    // Found after a restart of this agent.
    AttemptReport report{ aTask.attempt, AttemptState::Running, aTask.checkpoint, {}, {} };
    report.grant = aTask.grant;
    attempt = &this->ledger.Add(report);
    this->counters.Add("runner_attempts_total", "found_on_worker");
  }
  if (IsEnded(attempt->report.state) || attempt->lastCall > aListCall ||
      attempt->pendingCall.Value() != 0) {
    return;
  }
  if (!aTask.checkpoint.empty() && aTask.checkpoint != attempt->report.checkpoint) {
    attempt->report.checkpoint = aTask.checkpoint;
    this->ledger.SetState(*attempt, attempt->report.state);
  }
  switch (aTask.state) {
    case WorkerTaskState::Completed:
      this->End(*attempt, AttemptState::Completed, {});
      return;
    case WorkerTaskState::Failed:
      this->End(*attempt, AttemptState::Failed, aTask.reason);
      return;
    case WorkerTaskState::Stopped:
      this->End(*attempt, AttemptState::Stopped, "stopped");
      return;
    case WorkerTaskState::Paused:
      if (attempt->report.state != AttemptState::Paused) {
        this->ledger.SetState(*attempt, AttemptState::Paused);
      }
      break;
    case WorkerTaskState::Running:
      if (attempt->report.state == AttemptState::Starting) {
        this->ledger.SetState(*attempt, AttemptState::Running);
      } else if (attempt->report.state == AttemptState::Paused) {
        // The pause did not reach the worker.
        attempt->lastCall = this->Call(WorkerPauseCall{ aTask.attempt }, aEffects);
      }
      break;
  }
  if (attempt->stopWanted) {
    this->CallAbout(*attempt, WorkerStopCall{ aTask.attempt }, aEffects);
  }
}

void TaskRunner::DropUnlisted(const std::vector<WorkerTask>& aTasks, WorkerCallId aListCall)
{
  std::set<AttemptId> listed;
  for (const WorkerTask& task : aTasks) {
    listed.insert(task.attempt);
  }
  for (auto& [id, attempt] : this->ledger.All()) {
    if (IsEnded(attempt.report.state) || attempt.lastCall > aListCall ||
        attempt.pendingCall.Value() != 0 || listed.count(id) > 0) {
      continue;
    }
    this->counters.Add("runner_attempts_total", "lost_by_worker");
    this->End(attempt, AttemptState::Stopped, "lost_by_worker");
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/, const WorkerUsageResult& aUsed, RunnerEffects& aEffects)
{
  if (aUsed.call != this->usageCall || !aUsed.usage.ok() || this->session.number == 0) {
    return;
  }
  UsageReport report{ this->options.agent, this->options.worker, {} };
  for (const WorkerTaskUsage& usage : *aUsed.usage) {
    report.tasks.push_back(
      { usage.attempt, usage.used, static_cast<std::uint64_t>(ToMilliseconds(usage.age)) });
  }
  aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(report) });
}

} // namespace oriolespread
