// The part of TaskRunner that handles results of calls to the worker.
#include "oriolespread/tasks/TaskRunner.h"

#include <algorithm>

namespace oriolespread {

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const WorkerCallResult& aResult,
                         RunnerEffects& /*aEffects*/)
{
  const auto it = this->pendingCalls.find(aResult.call);
  if (it == this->pendingCalls.end()) {
    return;
  }
  TrackedAttempt* attempt = this->attemptTable.Find(it->second);
  this->pendingCalls.erase(it);
  if (attempt == nullptr || attempt->pendingCall != aResult.call ||
      IsEnded(attempt->report.state)) {
    return;
  }
  attempt->pendingCall = WorkerCallId{};
  if (absl::IsUnavailable(aResult.status)) {
    // The call may or may not have taken effect; the worker's next task list shows which.
    this->counters.Add("runner_worker_calls_total", "unavailable");
    return;
  }
  if (attempt->stopRequested) {
    if (aResult.status.ok() || absl::IsNotFound(aResult.status)) {
      this->EndAttempt(*attempt, AttemptState::Stopped, "stopped");
    }
    return;
  }
  if (aResult.status.ok() || absl::IsAlreadyExists(aResult.status)) {
    // Without a session the lease has expired since the call, so a batch attempt stays paused.
    if (this->session.number != 0 || attempt->taskClass == TaskClass::LatencyCritical) {
      this->attemptTable.SetState(*attempt, AttemptState::Running);
    }
    return;
  }
  if (attempt->report.state == AttemptState::Starting ||
      (attempt->report.state == AttemptState::Paused && absl::IsAborted(aResult.status))) {
    const bool leaseEnded = absl::IsAborted(aResult.status);
    this->EndAttempt(*attempt,
                     leaseEnded ? AttemptState::Stopped : AttemptState::Failed,
                     leaseEnded ? "lease_ended" : std::string(aResult.status.message()));
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const WorkerCheckpointResult& aResult,
                         RunnerEffects& aEffects)
{
  const auto it = this->pendingCalls.find(aResult.call);
  if (it == this->pendingCalls.end()) {
    return;
  }
  TrackedAttempt* attempt = this->attemptTable.Find(it->second);
  this->pendingCalls.erase(it);
  if (attempt == nullptr || IsEnded(attempt->report.state)) {
    return;
  }
  if (!aResult.checkpoint.ok()) {
    this->counters.Add("runner_worker_calls_total", "checkpoint_failed");
    return;
  }
  attempt->report.checkpoint = *aResult.checkpoint;
  this->attemptTable.SetState(*attempt, attempt->report.state);
  if (this->session.number != 0) {
    // Sent once, without waiting for a heartbeat. Heartbeats carry the checkpoint until a grant
    // acknowledges it.
    TaskEvent event{ this->options.agent, this->options.incarnation, this->options.worker, {} };
    event.report = attempt->report;
    aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(event) });
  }
}

void TaskRunner::OnEvent(Instant aNow, const WorkerListResult& aResult, RunnerEffects& aEffects)
{
  if (aResult.call != this->listCall) {
    return;
  }
  if (!aResult.tasks.ok()) {
    this->counters.Add("runner_worker_calls_total", "list_failed");
    return;
  }
  for (const WorkerTask& task : *aResult.tasks) {
    this->MergeListedTask(task, aResult.call, aEffects);
  }
  this->EndUnlistedAttempts(*aResult.tasks, aResult.call);
  if (!this->workerListed) {
    this->workerListed = true;
    this->nextHeartbeat = aNow;
  }
}

void TaskRunner::MergeListedTask(const WorkerTask& aTask,
                                 WorkerCallId aListCall,
                                 RunnerEffects& aEffects)
{
  TrackedAttempt* attempt = this->attemptTable.Find(aTask.attempt);
  if (attempt == nullptr) {
    if (this->attemptTable.HasTombstone(aTask.attempt)) {
      this->CallWorker(WorkerStopCall{ aTask.attempt }, aEffects);
      this->CallWorker(WorkerForgetCall{ aTask.attempt }, aEffects);
      return;
    }
    // The attempt was started before this agent was restarted.
    AttemptReport report{ aTask.attempt, AttemptState::Running, aTask.checkpoint, {}, {} };
    report.grant = aTask.grant;
    attempt = &this->attemptTable.Add(report);
    this->counters.Add("runner_attempts_total", "found_on_worker");
  }
  if (IsEnded(attempt->report.state) || attempt->lastCall > aListCall ||
      attempt->pendingCall.Value() != 0) {
    return;
  }
  if (!aTask.checkpoint.empty() && aTask.checkpoint != attempt->report.checkpoint) {
    attempt->report.checkpoint = aTask.checkpoint;
    this->attemptTable.SetState(*attempt, attempt->report.state);
  }
  switch (aTask.state) {
    case WorkerTaskState::Completed:
      this->EndAttempt(*attempt, AttemptState::Completed, {});
      return;
    case WorkerTaskState::Failed:
      this->EndAttempt(*attempt, AttemptState::Failed, aTask.reason);
      return;
    case WorkerTaskState::Stopped:
      this->EndAttempt(*attempt, AttemptState::Stopped, "stopped");
      return;
    case WorkerTaskState::Paused:
      if (attempt->report.state != AttemptState::Paused) {
        this->attemptTable.SetState(*attempt, AttemptState::Paused);
      }
      break;
    case WorkerTaskState::Running:
      if (attempt->report.state == AttemptState::Starting) {
        this->attemptTable.SetState(*attempt, AttemptState::Running);
      } else if (attempt->report.state == AttemptState::Paused) {
        // The worker runs an attempt that must be paused, for example because a pause call was
        // lost.
        attempt->lastCall = this->CallWorker(WorkerPauseCall{ aTask.attempt }, aEffects);
      }
      break;
  }
  if (attempt->stopRequested) {
    this->CallForAttempt(*attempt, WorkerStopCall{ aTask.attempt }, aEffects);
  }
}

void TaskRunner::EndUnlistedAttempts(const std::vector<WorkerTask>& aTasks, WorkerCallId aListCall)
{
  std::set<AttemptId> listed;
  for (const WorkerTask& task : aTasks) {
    listed.insert(task.attempt);
  }
  for (auto& [id, attempt] : this->attemptTable.All()) {
    if (IsEnded(attempt.report.state) || attempt.lastCall > aListCall ||
        attempt.pendingCall.Value() != 0 || listed.count(id) > 0) {
      continue;
    }
    this->counters.Add("runner_attempts_total", "lost_by_worker");
    this->EndAttempt(attempt, AttemptState::Stopped, "lost_by_worker");
  }
}

void TaskRunner::OnEvent(Instant /*aNow*/,
                         const WorkerUsageResult& aResult,
                         RunnerEffects& aEffects)
{
  if (aResult.call != this->usageCall || !aResult.usage.ok() || this->session.number == 0) {
    return;
  }
  UsageReport report{ this->options.agent, this->options.worker, {} };
  for (const WorkerTaskUsage& usage : *aResult.usage) {
    report.tasks.push_back(
      { usage.attempt, usage.used, static_cast<std::uint64_t>(ToMilliseconds(usage.age)) });
  }
  aEffects.emplace_back(SendToEntry{ this->sessionEntry, std::move(report) });
}

} // namespace oriolespread
