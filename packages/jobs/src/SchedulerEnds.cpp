// The part of JobScheduler that applies the ends of runs.
#include "oriolespread/jobs/JobScheduler.h"

#include <algorithm>

namespace oriolespread::jobs {

void JobScheduler::ApplyRunEnd(Worker& aWorker, const EndedRun& aEnd, Now aNow)
{
  if (aWorker.pendingEnds.contains(aEnd.number)) {
    return;
  }
  RunKey runKey;
  const bool isReadable = this->ResolveRun(aWorker, aEnd.ref, runKey);
  if (isReadable) {
    // A short run may end before any report lists it as running.
    this->OnRunStarted(runKey, aNow);
  }
  Run* run = isReadable ? this->FindRun(runKey) : nullptr;
  const bool isCurrentRun = run != nullptr && run->worker == aWorker.key;
  // The successful end of a run that was considered lost is accepted too, so that its work is not
  // repeated.
  Task* task = this->FindTask(runKey.task);
  const bool isLateEnd = !isCurrentRun && aEnd.how == RunEnd::Done && task != nullptr &&
                         task->state != TaskState::Done && aEnd.ref.run < task->nextRunNumber &&
                         !IsTerminal(this->jobs.at(runKey.task.job).state);
  if (!isCurrentRun && !isLateEnd) {
    // The end that made this one needless, maybe the same one, may not be stored yet.
    this->AcknowledgeOnceStored(aWorker, runKey.task, aEnd.number);
    return;
  }
  Job& job = this->jobs.at(runKey.task.job);
  const bool stopping = isCurrentRun && run->state == RunState::Stopping;
  if (!aEnd.checkpoint.empty()) {
    task->checkpoint = aEnd.checkpoint;
  }
  if (isCurrentRun) {
    if (aEnd.how == RunEnd::Done) {
      this->MeasureDuration(job, runKey.task, *run, aNow);
    }
    this->RemoveRun(runKey);
  }
  this->MarkChanged(this->ProgressRowOf(runKey.task));
  this->counters.Add("runs_ended_total", nlohmann::json(aEnd.how).get_ref<const std::string&>());
  this->log("run_ended",
            { { "task", aEnd.ref.task },
              { "run", aEnd.ref.run },
              { "worker", aWorker.key.id },
              { "how", aEnd.how },
              { "stopping", stopping },
              { "given_up", isLateEnd } });
  if (!IsTerminal(job.state) && aEnd.how == RunEnd::Done) {
    aWorker.failedJobs.clear();
    this->OnRunDone(job, runKey.task, aNow);
  } else if (!IsTerminal(job.state) && aEnd.how == RunEnd::Failed) {
    this->OnRunFailed(job, runKey.task, aWorker, aNow);
  }
  this->AcknowledgeOnceStored(aWorker, runKey.task, aEnd.number);
}

void JobScheduler::AcknowledgeOnceStored(Worker& aWorker,
                                         const TaskKey& aTaskKey,
                                         std::uint64_t aEndNumber)
{
  const Task* task = this->FindTask(aTaskKey);
  const bool isSettled = task != nullptr && (task->state == TaskState::Done ||
                                             IsTerminal(this->jobs.at(aTaskKey.job).state));
  if (isSettled && !task->runs.empty()) {
    // Another run of the task is being stopped, and may start until then. The agent reports the end
    // again.
    return;
  }
  if (task == nullptr || this->jobs.at(aTaskKey.job).endStored) {
    this->OrdersFor(aWorker.agent, aWorker.key).acknowledgedEnds.push_back(aEndNumber);
    return;
  }
  const RowKey row = this->ProgressRowOf(aTaskKey);
  this->MarkChanged(row);
  aWorker.pendingEnds.insert(aEndNumber);
  this->deferredOrders.push_back({ row, aWorker.agent, aWorker.key, std::nullopt, aEndNumber });
}

void JobScheduler::OnRunDone(Job& aJob, const TaskKey& aTaskKey, Now aNow)
{
  const StepSpec& spec = this->SpecOf(aTaskKey);
  if (spec.longRunning) {
    return;
  }
  Occurrence& occurrence = aJob.occurrences.at(aTaskKey.occurrence);
  Step& step = occurrence.steps[aTaskKey.step];
  if (step.tasks[aTaskKey.index].state == TaskState::Done) {
    // Another member of the gang or another run of the task was done first.
    return;
  }
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    Task& task = step.tasks[index];
    // The end of one member ends its whole gang.
    if (task.state == TaskState::Done || (index != aTaskKey.index && !spec.gang)) {
      continue;
    }
    for (Run& run : task.runs) {
      this->StopRun({ aTaskKey.job, aTaskKey.occurrence, aTaskKey.step, index }, run);
    }
    step.active -= task.state == TaskState::Active ? 1 : 0;
    task.state = TaskState::Done;
    ++step.done;
    if (spec.gang) {
      this->MarkChanged(
        this->ProgressRowOf({ aTaskKey.job, aTaskKey.occurrence, aTaskKey.step, index }));
    }
  }
  const bool occurrenceDone = std::all_of(occurrence.steps.begin(),
                                          occurrence.steps.end(),
                                          [](const Step& aStep) { return aStep.IsDone(); });
  if (!occurrenceDone) {
    return;
  }
  ++aJob.completedOccurrences;
  if (aJob.completedOccurrences >= std::max(aJob.record.spec.repeats, 1U)) {
    this->EndJob(aJob, JobState::Completed, aNow);
  }
}

void JobScheduler::OnRunFailed(Job& aJob, const TaskKey& aTaskKey, Worker& aWorker, Now aNow)
{
  Task& task = *this->FindTask(aTaskKey);
  if (task.state == TaskState::Done) {
    // A run that was being stopped, as another one was done first.
    return;
  }
  const StepSpec& spec = this->SpecOf(aTaskKey);
  task.lastFailedWorker = aWorker.key.id;
  // Long-running tasks are placed on an avoided worker at any time. Their failures must not keep
  // the others away for longer.
  if (!spec.longRunning || aNow.instant >= aWorker.avoidUntil) {
    aWorker.failedJobs.insert(aTaskKey.job);
  }
  if (aWorker.failedJobs.size() >= this->settings.failingJobLimit) {
    aWorker.failedJobs.clear();
    this->AvoidWorker(aWorker, AvoidReason::Failing, aNow);
  }
  if (spec.longRunning) {
    const bool failedSoon = aNow.instant < task.notBefore + this->settings.failingWorkerBackoff;
    task.restartDelay = std::clamp(failedSoon ? 2 * task.restartDelay : Duration::zero(),
                                   this->settings.retryDelay,
                                   this->settings.maxRestartDelay);
    task.notBefore = aNow.instant + task.restartDelay;
    return;
  }
  ++task.failedRuns;
  if (task.failedRuns >= aJob.record.policy.maxAttempts) {
    this->EndJob(aJob, JobState::Failed, aNow);
  }
}

} // namespace oriolespread::jobs
