// The part of JobScheduler that loads the stored rows in a new leader.
#include "ProgressCodec.h"

#include "oriolespread/jobs/JobScheduler.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// Time in which agents follow a new leader and send their first reports.
constexpr Duration kAwaitedLogDelay = std::chrono::milliseconds(1500);

template<typename Predicate>
bool HasTask(const Job& aJob, const Predicate& aPredicate)
{
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (const Step& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(), aPredicate)) {
        return true;
      }
    }
  }
  return false;
}

// Returns whether the progress shows that a worker has started a run.
bool HasStarted(const Job& aJob)
{
  return HasTask(aJob, [](const Task& aTask) {
    return aTask.state == TaskState::Done || aTask.failedRuns > 0 || !aTask.checkpoint.empty();
  });
}

// Returns whether a task has failed as often as its queue's policy allows.
bool HasFailed(const Job& aJob)
{
  return HasTask(aJob, [&](const Task& aTask) {
    return aTask.state != TaskState::Done && aTask.failedRuns > 0 &&
           aTask.failedRuns >= aJob.record.policy.maxAttempts;
  });
}

} // namespace

void JobScheduler::ReportUnreadableRow(std::string_view aTable, const std::string& aKey)
{
  this->counters.Add("rows_unreadable_total", aTable);
  this->log("row_unreadable", { { "table", std::string(aTable) }, { "key", aKey } });
}

void JobScheduler::LoadState(const std::string& aKey, const std::string& aValue)
{
  std::optional<StoredJobState> stored = DecodeJobState(aValue);
  if (!stored.has_value()) {
    this->ReportUnreadableRow(kStateTable, aKey);
    return;
  }
  this->loadedStates[aKey] = *std::move(stored);
}

void JobScheduler::LoadProgress(const std::string& aKey, const std::string& aValue)
{
  StoredProgress stored;
  if (!ProgressName::Parse(aKey, stored.name)) {
    this->ReportUnreadableRow(kProgressTable, aKey);
    return;
  }
  stored.value = aValue;
  this->loadedProgress[stored.name.job].push_back(std::move(stored));
}

void JobScheduler::LoadInterferenceWeights(const std::string& aKey, const std::string& aValue)
{
  if (aKey != InterferenceWeightsRow().key || !this->interference.Restore(aValue)) {
    this->ReportUnreadableRow(kLearnedTable, aKey);
  }
}

void JobScheduler::LoadJob(const std::string& aKey, const std::string& aValue, Now aNow)
{
  if (aKey.ends_with(kCancelSuffix)) {
    // FinishLoading applies the cancellation, when the runs of all jobs are known.
    this->loadedCancels.emplace_back(aKey, aValue);
    return;
  }
  const auto state = this->loadedStates.extract(aKey);
  const auto progress = this->loadedProgress.extract(aKey);
  const bool ended = !state.empty() && IsTerminal(state.mapped().state);
  if (ended && progress.empty()) {
    this->LoadEndedJob(aKey, state.mapped(), aNow);
    return;
  }
  this->OnJobRow(aKey, aValue, aNow);
  Job* job = this->FindJob(aKey);
  if (job == nullptr) {
    return;
  }
  if (!state.empty()) {
    job->started = true;
    job->state = state.mapped().state;
    job->endStored = ended;
    job->endedUnixMs = state.mapped().endedUnixMs;
    job->endedAt = aNow.instant;
    // The earlier leader may have ended before it removed the row.
    this->MarkRemovable(WaitingRow(job->record.policy.queue, aKey));
  }
  if (!progress.empty()) {
    for (const StoredProgress& stored : progress.mapped()) {
      this->ApplyProgress(*job, stored);
    }
  }
  if (!job->started && HasStarted(*job)) {
    // The earlier leader has stored the progress, but not the state.
    this->MarkStarted(*job);
  }
}

void JobScheduler::LoadEndedJob(const std::string& aId, StoredJobState aStored, Now aNow)
{
  Job& job = this->jobs[aId];
  job.record.id = aId;
  this->IndexJob(aId);
  job.record.policy.queue = std::move(aStored.queue);
  job.record.policy.address = std::move(aStored.address);
  job.state = aStored.state;
  job.started = true;
  job.endStored = true;
  job.endedUnixMs = aStored.endedUnixMs;
  job.endedAt = aNow.instant;
}

void JobScheduler::ApplyProgress(Job& aJob, const StoredProgress& aStored)
{
  const std::string key = ToString(aStored.name);
  if (aStored.name.step >= aJob.record.spec.steps.size() ||
      aStored.name.occurrence >= std::max(aJob.record.spec.repeats, 1U)) {
    this->ReportUnreadableRow(kProgressTable, key);
    return;
  }
  auto& occurrence = aJob.occurrences[aStored.name.occurrence];
  if (occurrence.steps.empty()) {
    occurrence = internal::MakeOccurrence(aJob.record.spec);
  }
  Step& step = occurrence.steps[aStored.name.step];
  const bool isWide = step.tasks.size() > kTasksPerProgressRow;
  if ((aStored.name.row.has_value() && !isWide) ||
      !internal::DecodeProgress(aStored.value, aStored.name.row, step)) {
    this->ReportUnreadableRow(kProgressTable, key);
    return;
  }
  step.hasWholeRow = step.hasWholeRow || (isWide && !aStored.name.row.has_value());
}

void JobScheduler::CompleteLoadedGang(const std::string& aJob,
                                      std::uint32_t aOccurrence,
                                      std::uint32_t aStep)
{
  Step& step = this->jobs.at(aJob).occurrences.at(aOccurrence).steps[aStep];
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    if (step.tasks[index].state != TaskState::Done) {
      step.tasks[index].state = TaskState::Done;
      this->MarkChanged(this->ProgressRowOf({ aJob, aOccurrence, aStep, index }));
    }
  }
  step.done = static_cast<std::uint32_t>(step.tasks.size());
  step.active = 0;
}

void JobScheduler::FinishLoading(Epoch aEpoch, Instant aEarlierLeasesExpiry, Now aNow)
{
  this->epoch = aEpoch;
  this->loading = false;
  this->loadedAt = aNow.instant;
  this->awaitedLogAt = aNow.instant + kAwaitedLogDelay;
  for (auto& [id, stored] : std::exchange(this->loadedStates, {})) {
    // An earlier leader removed the job's row, but ended before it removed the state row.
    this->orphanedStates.emplace(id, OrphanedState{ std::move(stored), aNow.instant });
  }
  for (const auto& [id, stored] : std::exchange(this->loadedProgress, {})) {
    this->ReportUnreadableRow(kProgressTable, id);
  }
  // This leader has extended leases as well, of agents that followed it while it loaded the rows.
  const Instant latestLeaseExpiry = std::max(
    { aEarlierLeasesExpiry, this->latestLeaseExpiry, aNow.instant + this->settings.LeaseBound() });
  for (auto& [id, job] : this->jobs) {
    for (auto& [number, occurrence] : job.occurrences) {
      std::uint32_t doneSteps = 0;
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (job.record.spec.steps[step].gang && occurrence.steps[step].done > 0) {
          this->CompleteLoadedGang(id, number, step);
        }
        doneSteps += occurrence.steps[step].IsDone() ? 1 : 0;
        for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
          Task& task = occurrence.steps[step].tasks[index];
          this->LoadOpenStarts({ id, number, step, index }, task, aNow);
          for (Run& run : task.runs) {
            Worker& worker = this->workers[run.worker];
            worker.key = run.worker;
            worker.agent = run.agent;
            worker.latestLeaseExpiry = latestLeaseExpiry;
            worker.runs.insert({ { id, number, step, index }, run.number });
            const auto known = this->workerOfAgent.try_emplace(run.agent, run.worker).first;
            if (known->second != run.worker) {
              this->loadedWorkersOfAgent[run.agent].insert(run.worker);
            }
            this->AdjustReservation(worker, job.record.spec.steps[step], 1);
            if (task.state == TaskState::Done) {
              // The earlier leader has not stored that the run is stopped.
              this->StopRun({ id, number, step, index }, run);
            }
          }
        }
      }
      job.completedOccurrences += doneSteps == occurrence.steps.size() ? 1 : 0;
    }
    if (IsTerminal(job.state)) {
      this->activeJobs.erase(id);
      this->StopAllRuns(job);
      this->DropProgress(job);
    } else if (job.completedOccurrences >= std::max(job.record.spec.repeats, 1U)) {
      // The earlier leader has stored the last progress, but not the end of the job.
      this->EndJob(job, JobState::Completed, aNow);
    } else if (HasFailed(job)) {
      this->EndJob(job, JobState::Failed, aNow);
    }
  }
  for (const auto& [key, value] : std::exchange(this->loadedCancels, {})) {
    this->OnJobRow(key, value, aNow);
  }
}

} // namespace oriolespread::jobs
