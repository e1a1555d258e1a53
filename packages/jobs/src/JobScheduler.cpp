#include "oriolespread/jobs/JobScheduler.h"

#include "ProgressCodec.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/jobs/PlacementChoice.h"
#include "oriolespread/jobs/StepOrder.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

constexpr Duration kExpiryCheckInterval = std::chrono::seconds(1);
// How long a state row is kept after the job's row was removed. After the store has dropped its
// change history, reads may return rows as they were three seconds before.
constexpr Duration kStaleReadWindow = std::chrono::seconds(10);
// Weight of a new job in the moving average of the work of the jobs of its queue.
constexpr double kMeanWorkSmoothing = 0.1;

std::string EncodeState(const Job& aJob)
{
  const QueuePolicy& policy = aJob.record.policy;
  return EncodeJobState({ aJob.state, aJob.endedUnixMs, policy.queue, policy.address });
}

// Returns whether the change writes the state of a job that has ended.
bool StoresEnd(const RowChange& aChange)
{
  JobState state{};
  return aChange.row.table == kStateTable && !aChange.remove &&
         ParseJobState(std::string_view(aChange.value).substr(0, aChange.value.find(' ')), state) &&
         IsTerminal(state);
}

// Returns whether a task of the progress row has a run. A row that holds a whole wide step is
// replaced by the rows of its parts.
bool HasRuns(const Step& aStep, std::optional<std::uint32_t> aRow)
{
  if (!aRow.has_value() && aStep.tasks.size() > kTasksPerProgressRow) {
    return false;
  }
  const auto [first, end] = internal::TasksOfRow(aStep, aRow);
  return std::any_of(aStep.tasks.begin() + static_cast<std::ptrdiff_t>(first),
                     aStep.tasks.begin() + static_cast<std::ptrdiff_t>(end),
                     [](const Task& aTask) { return !aTask.runs.empty(); });
}

std::vector<RowKey> RowsOf(const StoreBatch& aBatch)
{
  std::vector<RowKey> rows;
  for (const RowChange& change : aBatch.changes) {
    rows.push_back(change.row);
  }
  return rows;
}

} // namespace

JobScheduler::JobScheduler(SchedulerSettings aSettings, Counters& aCounters, DecisionLog aLog)
  : settings(aSettings)
  , counters(aCounters)
  , log(std::move(aLog))
{
}

void JobScheduler::OnJobRow(const std::string& aKey, const std::string& aValue, Now aNow)
{
  if (aKey.size() > kCancelSuffix.size() && aKey.ends_with(kCancelSuffix)) {
    const std::string name = aKey.substr(0, aKey.size() - kCancelSuffix.size());
    if (IsEarlyCancelName(name)) {
      this->CancelEarly(name, aValue, aNow);
    } else {
      this->Cancel(name, aValue, aNow);
    }
    return;
  }
  if (this->jobs.contains(aKey)) {
    return;
  }
  if (auto orphaned = this->orphanedStates.extract(aKey); !orphaned.empty()) {
    // An earlier leader knew the job, and has removed its row unless the read is stale.
    this->loadedStates.emplace(aKey, std::move(orphaned.mapped().state));
    // The cancellation is applied to the loaded state, which would replace its outcome otherwise.
    const bool isCancelled = this->orphanedCancels.erase(aKey) > 0;
    this->LoadJob(aKey, aValue, aNow);
    const Job* job = this->FindJob(aKey);
    if (isCancelled || (job != nullptr && this->IsCancelledEarly(*job))) {
      this->Cancel(aKey, {}, aNow);
    }
    return;
  }
  JobRecord record;
  if (!DecodeJobRecord(aValue, record) || record.id != aKey) {
    this->ReportUnreadableRow(kJobsTable, aKey);
    return;
  }
  this->AddJob(std::move(record), aNow);
  const bool isCancelled = this->orphanedCancels.erase(aKey) > 0;
  if (isCancelled || this->IsCancelledEarly(this->jobs.at(aKey))) {
    // The time of the row does not tell how long the cancellation waited, since the job is new.
    this->Cancel(aKey, {}, aNow);
  }
}

void JobScheduler::AddJob(JobRecord aRecord, Now aNow)
{
  const std::string id = aRecord.id;
  Job& job = this->jobs[id];
  job.record = std::move(aRecord);
  this->IndexJob(id);
  job.firstSeen = aNow.instant;
  job.objectiveMs = ObjectiveMs(job.record);
  this->activeJobs.insert(id);
  this->prioritiesByService[job.record.policy.service].insert(job.record.policy.priority);
  for (const StepSpec& step : job.record.spec.steps) {
    job.workCoreSeconds += step.count * TaskCoreSeconds(step);
  }
  double& mean = this->meanWorkCoreSeconds.try_emplace(job.record.policy.queue, job.workCoreSeconds)
                   .first->second;
  mean += kMeanWorkSmoothing * (job.workCoreSeconds - mean);
  if (job.record.spec.repeats == 0) {
    job.occurrences[0] = internal::MakeOccurrence(job.record.spec);
    job.nextOccurrence = 1;
  } else {
    this->StartDueOccurrences(job, aNow);
  }
  if (this->loading) {
    return;
  }
  this->LogJob("job_known",
               job,
               { { "age_ms", aNow.unixMs - job.record.submittedUnixMs },
                 { "steps", job.record.spec.steps.size() },
                 { "fills", job.record.spec.steps.front().fillsUnused },
                 { "image", job.record.spec.steps.front().image },
                 { "milli_cores", job.record.spec.steps.front().demand.milliCores },
                 { "apart", job.record.spec.steps.front().maxPerWorker },
                 { "may_miss", job.record.spec.steps.front().maxUnavailable },
                 { "tasks", job.record.spec.steps.front().count } });
}

void JobScheduler::StartDueOccurrences(Job& aJob, Now aNow)
{
  const JobSpec& spec = aJob.record.spec;
  const std::int64_t marginMs = ToMilliseconds(this->settings.dueMargin);
  while (aJob.nextOccurrence < spec.repeats &&
         spec.initialDelayMs + spec.intervalMs * aJob.nextOccurrence + marginMs <= aNow.unixMs) {
    auto [it, inserted] = aJob.occurrences.try_emplace(aJob.nextOccurrence);
    if (inserted) {
      it->second = internal::MakeOccurrence(spec);
    }
    ++aJob.nextOccurrence;
  }
}

void JobScheduler::Cancel(const std::string& aId, const std::string& aValue, Now aNow)
{
  Job* job = this->FindJob(aId);
  if (job == nullptr || job->rowRemoval != RowRemoval::None) {
    this->orphanedCancels.try_emplace(aId, OrphanedCancel{ aNow.instant });
    return;
  }
  if (!IsTerminal(job->state)) {
    this->EndJob(*job, JobState::Cancelled, aNow);
    this->LogCancellation(*job, aValue, aNow);
  }
}

void JobScheduler::CancelEarly(const std::string& aName, const std::string& aValue, Now aNow)
{
  // Kept for a job that is stored later; the row is removed after a while in any case.
  this->orphanedCancels.try_emplace(aName, OrphanedCancel{ aNow.instant });
  for (const std::string& id : this->JobsWithIdentifier(IdentifierOf(aName))) {
    if (this->IsCancelledEarly(this->jobs.at(id))) {
      this->Cancel(id, aValue, aNow);
    }
  }
}

bool JobScheduler::IsCancelledEarly(const Job& aJob) const
{
  return aJob.rowRemoval == RowRemoval::None &&
         this->orphanedCancels.contains(
           EarlyCancelName(IdentifierOf(aJob.record.id), aJob.record.policy.queue));
}

void JobScheduler::IndexJob(const std::string& aId)
{
  if (const std::string identifier = IdentifierOf(aId); identifier != aId) {
    this->serviceJobs[identifier].insert(aId);
  }
}

std::vector<std::string> JobScheduler::JobsWithIdentifier(const std::string& aIdentifier) const
{
  std::vector<std::string> ids;
  if (this->jobs.contains(aIdentifier)) {
    ids.push_back(aIdentifier);
  }
  if (const auto others = this->serviceJobs.find(aIdentifier); others != this->serviceJobs.end()) {
    ids.insert(ids.end(), others->second.begin(), others->second.end());
  }
  return ids;
}

void JobScheduler::EndJob(Job& aJob, JobState aState, Now aNow)
{
  const std::string& id = aJob.record.id;
  aJob.state = aState;
  aJob.endedUnixMs = aNow.unixMs;
  aJob.endedAt = aNow.instant;
  this->activeJobs.erase(id);
  if (!aJob.started) {
    aJob.started = true;
    this->MarkRemovable(WaitingRow(aJob.record.policy.queue, id));
  }
  this->MarkChanged(StateRow(id));
  this->counters.Add("jobs_ended_total", JobStateName(aState));
  this->LogJob("job_ended",
               aJob,
               { { "state", std::string(JobStateName(aState)) },
                 { "age_ms", aNow.unixMs - aJob.record.submittedUnixMs } });
  this->StopAllRuns(aJob);
}

void JobScheduler::StopAllRuns(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        for (Run& run : tasks[index].runs) {
          this->StopRun({ aJob.record.id, number, step, index }, run);
        }
      }
    }
  }
}

void JobScheduler::StopRun(const TaskKey& aTaskKey, Run& aRun)
{
  if (aRun.state == RunState::Stopping) {
    return;
  }
  const bool ordered = aRun.state != RunState::Committing;
  aRun.state = RunState::Stopping;
  if (ordered) {
    this->OrderStop({ aTaskKey, aRun.number });
  }
}

RowChange JobScheduler::MakeChange(const RowKey& aRow) const
{
  // The row is removed if its contents are not needed any more.
  RowChange change{ aRow, {}, true };
  if (aRow.table == kStateTable) {
    if (const auto job = this->jobs.find(aRow.key); job != this->jobs.end()) {
      change = { aRow, EncodeState(job->second), false };
    }
  } else if (aRow.table == kLearnedTable) {
    change = { aRow, this->interference.Encode(), false };
  } else if (aRow.table == kProgressTable) {
    ProgressName name;
    ProgressName::Parse(aRow.key, name);
    const auto job = this->jobs.find(name.job);
    if (job != this->jobs.end() && job->second.occurrences.contains(name.occurrence)) {
      const Step& step = job->second.occurrences.at(name.occurrence).steps[name.step];
      // Once the end is stored, only runs that are not known to have ended are needed.
      if (!job->second.endStored || HasRuns(step, name.row)) {
        change = { aRow, this->EncodeRow(step, name.row), false };
      }
    }
  }
  return change;
}

std::string JobScheduler::EncodeRow(const Step& aStep, std::optional<std::uint32_t> aRow) const
{
  std::string value = internal::EncodeProgress(aStep, aRow, internal::Checkpoints::Keep);
  if (value.size() > this->settings.maxRowBytes) {
    // Work since the checkpoints is repeated only if this leader and the workers fail together.
    this->counters.Add("checkpoints_omitted_total", "row_too_long");
    value = internal::EncodeProgress(aStep, aRow, internal::Checkpoints::Omit);
  }
  return value;
}

StoreBatch JobScheduler::TakeBatch(std::size_t aMaxRows)
{
  StoreBatch batch;
  std::size_t bytes = 0;
  const std::vector<RowKey> taken = this->changedRows.Take([&](const RowKey& aRow) {
    if (batch.changes.size() >= aMaxRows) {
      return false;
    }
    RowChange change = this->MakeChange(aRow);
    bytes += change.value.size();
    if (!batch.empty() && bytes > this->settings.maxBatchBytes) {
      return false;
    }
    batch.changes.push_back(std::move(change));
    return true;
  });
  const std::set<RowKey> rows(taken.begin(), taken.end());
  // Orders whose row is not in this batch stay deferred.
  const auto firstTaken =
    std::stable_partition(this->deferredOrders.begin(),
                          this->deferredOrders.end(),
                          [&](const DeferredOrder& aOrder) { return !rows.contains(aOrder.row); });
  batch.orders.assign(std::make_move_iterator(firstTaken),
                      std::make_move_iterator(this->deferredOrders.end()));
  this->deferredOrders.erase(firstTaken, this->deferredOrders.end());
  return batch;
}

void JobScheduler::OnStored(StoreBatch aBatch, Now aNow)
{
  this->changedRows.OnApplied(RowsOf(aBatch));
  for (DeferredOrder& order : aBatch.orders) {
    if (order.start.has_value()) {
      if (Run* run = this->FindRun(*order.start); run == nullptr) {
        continue;
      } else if (run->state == RunState::Stopping) {
        // The start was never ordered, so there is nothing to stop.
        this->RemoveRun(*order.start);
      } else {
        run->state = RunState::Ordered;
        run->orderedAt = aNow.instant;
        run->percentChangedAt = aNow.instant;
        this->OrderStart(*order.start, false);
      }
      continue;
    }
    const auto worker = this->workers.find(order.worker);
    if (worker != this->workers.end()) {
      worker->second.pendingEnds.erase(order.endNumber);
      this->OrdersFor(order.agent, order.worker).acknowledgedEnds.push_back(order.endNumber);
    }
  }
  for (const RowChange& change : aBatch.changes) {
    // The job may have ended after the batch was formed, so its present state may not be stored.
    Job* job = StoresEnd(change) ? this->FindJob(change.row.key) : nullptr;
    if (job != nullptr) {
      job->endStored = true;
      this->DropProgress(*job);
    }
  }
}

void JobScheduler::OnRefused(StoreBatch aBatch, Now aNow)
{
  // The orders wait until their rows are stored.
  this->deferredOrders.insert(this->deferredOrders.begin(),
                              std::make_move_iterator(aBatch.orders.begin()),
                              std::make_move_iterator(aBatch.orders.end()));
  const auto withheldFor = this->changedRows.OnRefused(RowsOf(aBatch), aNow.instant);
  if (!withheldFor.has_value()) {
    return;
  }
  const RowChange& change = aBatch.changes.front();
  this->ReportRefusedRow(change, *withheldFor);
  this->RemoveUnstoredRuns(change.row);
}

void JobScheduler::ReportRefusedRow(const RowChange& aChange, Duration aWithheldFor)
{
  this->counters.Add("rows_refused_total", aChange.row.table);
  this->log("row_refused",
            { { "table", aChange.row.table },
              { "key", aChange.row.key },
              { "bytes", aChange.value.size() },
              { "removed", aChange.remove },
              { "retry_ms", ToMilliseconds(aWithheldFor) } });
}

void JobScheduler::RemoveUnstoredRuns(const RowKey& aRow)
{
  std::vector<RunKey> unstored;
  std::erase_if(this->deferredOrders, [&](const DeferredOrder& aOrder) {
    const bool isUnstored = aOrder.row == aRow && aOrder.start.has_value();
    if (isUnstored) {
      unstored.push_back(*aOrder.start);
    }
    return isUnstored;
  });
  for (const RunKey& run : unstored) {
    this->RemoveRun(run);
  }
}

void JobScheduler::DropProgress(const Job& aJob)
{
  if (!aJob.endStored) {
    return;
  }
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::size_t tasks = occurrence.steps[step].tasks.size();
      if (occurrence.steps[step].hasWholeRow) {
        this->MarkChanged(ProgressRow(aJob.record.id, number, step));
      }
      for (std::uint32_t first = 0; first < tasks; first += kTasksPerProgressRow) {
        this->MarkChanged(
          ProgressRow(aJob.record.id, number, step, ProgressRowNumber(tasks, first)));
      }
    }
  }
}

void JobScheduler::MarkRemovable(RowKey aRow)
{
  RowQueue& queue = this->removableRows[aRow.part];
  queue.Add(std::move(aRow));
}

std::vector<RowKey> JobScheduler::TakeRemovals(std::size_t aMaxRows)
{
  std::vector<RowKey> rows;
  auto queue = this->removableRows.upper_bound(this->lastRemovalPart);
  for (std::size_t tried = 0; tried < this->removableRows.size() && rows.empty(); ++tried) {
    if (queue == this->removableRows.end()) {
      queue = this->removableRows.begin();
    }
    std::size_t count = 0;
    rows = queue->second.Take([&](const RowKey& /*aRow*/) { return count++ < aMaxRows; });
    this->lastRemovalPart = queue->first;
    ++queue;
  }
  return rows;
}

void JobScheduler::OnRemoved(const std::vector<RowKey>& aRows, Now aNow)
{
  if (!aRows.empty()) {
    this->removableRows[aRows.front().part].OnApplied(aRows);
  }
  for (const RowKey& row : aRows) {
    if (Job* job = row.table == kJobsTable ? this->FindJob(row.key) : nullptr; job != nullptr) {
      job->rowRemoval = RowRemoval::Removed;
      job->removedAt = aNow.instant;
    }
    // A job that is stored until then is still cancelled.
    if (row.table == kJobsTable && row.key.ends_with(kCancelSuffix)) {
      this->orphanedCancels.erase(row.key.substr(0, row.key.size() - kCancelSuffix.size()));
    }
  }
}

void JobScheduler::OnRemovalFailed(std::vector<RowKey> aRows)
{
  RowQueue& queue = this->removableRows[aRows.front().part];
  queue.PutBack(std::move(aRows));
}

void JobScheduler::OnRemovalRefused(const std::vector<RowKey>& aRows, Now aNow)
{
  const auto withheldFor = this->removableRows[aRows.front().part].OnRefused(aRows, aNow.instant);
  if (withheldFor.has_value()) {
    this->ReportRefusedRow({ aRows.front(), {}, true }, *withheldFor);
  }
}

std::size_t JobScheduler::WithheldRows() const
{
  std::size_t count = this->changedRows.WithheldCount();
  for (const auto& [part, queue] : this->removableRows) {
    count += queue.WithheldCount();
  }
  return count;
}

void JobScheduler::RemoveExpiredJobs(Now aNow)
{
  if (aNow.instant < this->nextExpiryCheck) {
    return;
  }
  this->nextExpiryCheck = aNow.instant + kExpiryCheckInterval;
  // The state is removed after the job's row, so that no leader takes the job for a new one.
  std::erase_if(this->jobs, [&](const auto& aItem) {
    const Job& job = aItem.second;
    if (job.rowRemoval != RowRemoval::Removed || job.removedAt + kStaleReadWindow > aNow.instant) {
      return false;
    }
    this->MarkChanged(StateRow(aItem.first));
    if (const auto others = this->serviceJobs.find(IdentifierOf(aItem.first));
        others != this->serviceJobs.end() && others->second.erase(aItem.first) > 0 &&
        others->second.empty()) {
      this->serviceJobs.erase(others);
    }
    return true;
  });
  std::erase_if(this->orphanedStates, [&](const auto& aItem) {
    if (aItem.second.loadedAt + kStaleReadWindow > aNow.instant) {
      return false;
    }
    this->MarkChanged(StateRow(aItem.first));
    return true;
  });
  for (auto& [id, cancel] : this->orphanedCancels) {
    if (!cancel.removalRequested && cancel.readAt + this->settings.keepEnded <= aNow.instant) {
      cancel.removalRequested = true;
      this->MarkRemovable(CancelRow(id));
    }
  }
  for (auto& [id, job] : this->jobs) {
    if (job.rowRemoval != RowRemoval::None || !IsTerminal(job.state) || !job.endStored ||
        job.endedAt + this->settings.keepEnded > aNow.instant || job.HasActiveRuns()) {
      continue;
    }
    job.rowRemoval = RowRemoval::Requested;
    this->MarkRemovable(JobRow(id));
    this->MarkRemovable(CancelRow(id));
    // The row is normally removed when the first task starts, but a job that was loaded in its
    // terminal state may still have it: an earlier leader may have ended before it removed the row.
    this->MarkRemovable(WaitingRow(job.record.policy.queue, id));
  }
}

void JobScheduler::LogJob(std::string_view aEvent,
                          const Job& aJob,
                          const nlohmann::ordered_json& aFields)
{
  nlohmann::ordered_json fields{ { "job", aJob.record.id },
                                 { "queue", aJob.record.policy.queue },
                                 { "epoch", this->epoch.Value() } };
  fields.update(aFields);
  this->log(aEvent, fields);
}

Job* JobScheduler::FindJob(const std::string& aId)
{
  const auto it = this->jobs.find(aId);
  return it == this->jobs.end() ? nullptr : &it->second;
}

Step* JobScheduler::FindStep(const TaskKey& aTaskKey)
{
  Job* job = this->FindJob(aTaskKey.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto occurrence = job->occurrences.find(aTaskKey.occurrence);
  if (occurrence == job->occurrences.end() || aTaskKey.step >= occurrence->second.steps.size()) {
    return nullptr;
  }
  return &occurrence->second.steps[aTaskKey.step];
}

Task* JobScheduler::FindTask(const TaskKey& aTaskKey)
{
  Step* step = this->FindStep(aTaskKey);
  return step == nullptr || aTaskKey.index >= step->tasks.size() ? nullptr
                                                                 : &step->tasks[aTaskKey.index];
}

Run* JobScheduler::FindRun(const RunKey& aRunKey)
{
  Task* task = this->FindTask(aRunKey.task);
  if (task == nullptr) {
    return nullptr;
  }
  const auto it = std::find_if(task->runs.begin(), task->runs.end(), [&](const Run& aItem) {
    return aItem.number == aRunKey.number;
  });
  return it == task->runs.end() ? nullptr : &*it;
}

const StepSpec& JobScheduler::SpecOf(const TaskKey& aTaskKey) const
{
  return this->jobs.at(aTaskKey.job).record.spec.steps[aTaskKey.step];
}

RowKey JobScheduler::ProgressRowOf(const TaskKey& aTaskKey) const
{
  return ProgressRow(aTaskKey.job,
                     aTaskKey.occurrence,
                     aTaskKey.step,
                     ProgressRowNumber(this->SpecOf(aTaskKey).count, aTaskKey.index));
}

void JobScheduler::AddRun(const RunKey& aRunKey, RunState aState, Worker& aWorker)
{
  Step& step = *this->FindStep(aRunKey.task);
  Task& task = step.tasks[aRunKey.task.index];
  Run& run = task.runs.emplace_back();
  run.number = aRunKey.number;
  run.worker = aWorker.key;
  run.agent = aWorker.agent;
  run.state = aState;
  task.state = TaskState::Active;
  ++step.active;
  aWorker.runs.insert(aRunKey);
  const StepSpec& spec = this->SpecOf(aRunKey.task);
  this->AdjustReservation(aWorker, spec, 1);
  if (spec.longRunning && spec.latencyTargetMs > 0) {
    aWorker.servingHeadrooms.push_back({ this->interference.ServingImageIndex(spec.image),
                                         step.baseline.current,
                                         step.baseline.recentMin,
                                         0 });
    this->RecomputeHeadroomCosts(aWorker);
  }
}

void JobScheduler::RemoveRun(const RunKey& aRunKey)
{
  Task* task = this->FindTask(aRunKey.task);
  Run* run = this->FindRun(aRunKey);
  if (task == nullptr || run == nullptr) {
    return;
  }
  if (const auto worker = this->workers.find(run->worker); worker != this->workers.end()) {
    worker->second.runs.erase(aRunKey);
    this->AdjustReservation(worker->second, this->SpecOf(aRunKey.task), -1);
    if (this->SpecOf(aRunKey.task).fillsUnused) {
      this->RecomputeHeadroomCosts(worker->second);
    }
  }
  this->DropQueuedStart(*run, ToRunRef(aRunKey));
  std::erase_if(task->runs, [&](const Run& aItem) { return aItem.number == aRunKey.number; });
  if (task->runs.empty() && task->state == TaskState::Active) {
    task->state = TaskState::Waiting;
    --this->FindStep(aRunKey.task)->active;
  }
  this->MarkChanged(this->ProgressRowOf(aRunKey.task));
}

void JobScheduler::AdjustReservation(Worker& aWorker, const StepSpec& aStep, int aSign)
{
  Resources amount = aStep.demand;
  aWorker.servingMilliCores += aStep.longRunning ? aSign * aStep.demand.milliCores : 0;
  aWorker.servingRuns += aStep.longRunning ? aSign : 0;
  if (aStep.longRunning) {
    const auto image = aWorker.servingRunsByImage.try_emplace(aStep.image).first;
    image->second += aSign;
    if (image->second == 0) {
      aWorker.servingRunsByImage.erase(image);
    }
  }
  aWorker.bestEffortRuns += aStep.fillsUnused ? aSign : 0;
  if (aSign < 0) {
    aWorker.demanded -= amount;
  } else {
    aWorker.demanded += amount;
  }
  if (aStep.fillsUnused) {
    amount.milliCores = 0;
  }
  if (aSign < 0) {
    aWorker.reserved -= amount;
  } else {
    aWorker.reserved += amount;
  }
}

} // namespace oriolespread::jobs
