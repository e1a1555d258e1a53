// The part of JobScheduler that selects the tasks to start and places them.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"
#include "oriolespread/jobs/StepOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriolespread::jobs {

namespace {

bool ArePrerequisitesDone(const JobSpec& aSpec, const Occurrence& aOccurrence, std::uint32_t aStep)
{
  const auto& after = aSpec.steps[aStep].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aPrerequisite) {
    return aOccurrence.steps[aPrerequisite].IsDone();
  });
}

// Returns whether each task of the step has a right of its own to a run, and may need workers that
// other runs use. Other long-running tasks find room beside best-effort runs anyway.
bool HaveTasksOwnRight(const StepSpec& aStep)
{
  return aStep.longRunning && aStep.fillsUnused;
}

void MarkTasksConsidered(const StepSpec& aSpec, Step& aStep, Instant aNow)
{
  if (!HaveTasksOwnRight(aSpec)) {
    return;
  }
  for (Task& task : aStep.tasks) {
    if (task.lastRunning == Instant{}) {
      task.lastRunning = aNow;
    }
  }
}

} // namespace

void JobScheduler::Decide(Now aNow)
{
  this->changedRows.Release(aNow.instant);
  for (auto& [part, queue] : this->removableRows) {
    queue.Release(aNow.instant);
  }
  std::vector<WorkerKey> expired;
  for (const auto& [key, worker] : this->workers) {
    if (aNow.instant > worker.latestLeaseExpiry) {
      expired.push_back(key);
    }
  }
  for (const WorkerKey& key : expired) {
    this->RemoveLostWorker(this->workers.at(key), "lease_lapsed", aNow);
  }
  for (const std::string& id : this->activeJobs) {
    Job& job = this->jobs.at(id);
    if (job.record.spec.repeats > 0) {
      this->StartDueOccurrences(job, aNow);
    }
  }
  this->LogAwaitedWorkers(aNow);
  this->LogUnconfirmedRuns(aNow);
  this->LogCancelledRuns(aNow);
  this->ReviewOpenStarts(aNow);
  this->PlaceReadySteps(aNow);
  this->RemoveExpiredJobs(aNow);
  if (aNow.instant >= this->nextWeightsStore && !this->interference.IsEmpty()) {
    this->nextWeightsStore = aNow.instant + this->settings.weightsStoreInterval;
    this->MarkChanged(InterferenceWeightsRow());
  }
}

void JobScheduler::PlaceReadySteps(Now aNow)
{
  this->PlanBacklogs(aNow);
  std::vector<ReadyStep> ready = this->FindReadySteps(aNow);
  if (ready.empty()) {
    return;
  }
  this->PromoteOverdueStep(ready, aNow);
  const std::set<std::string> servicesWithFreeCores = this->FindServicesWithFreeCores();
  this->UpdateLargestRooms(aNow);
  for (const ReadyStep& item : ready) {
    this->ExpediteRows(item);
    this->PlaceStep(item, servicesWithFreeCores.contains(item.job->record.policy.service), aNow);
  }
  this->LogStandingJobs(ready, servicesWithFreeCores, aNow);
}

void JobScheduler::ExpediteRows(const ReadyStep& aReady)
{
  if (this->changedRows.WithheldCount() == 0) {
    return;
  }
  const auto& tasks = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  const auto isWaiting = [](const Task& aTask) { return aTask.state == TaskState::Waiting; };
  for (std::uint32_t first = 0; first < tasks.size(); first += kTasksPerProgressRow) {
    const std::size_t end = std::min<std::size_t>(first + kTasksPerProgressRow, tasks.size());
    if (std::any_of(
          tasks.begin() + first, tasks.begin() + static_cast<std::ptrdiff_t>(end), isWaiting)) {
      this->changedRows.Expedite(
        this->ProgressRowOf({ aReady.job->record.id, aReady.occurrence, aReady.step, first }));
    }
  }
}

void JobScheduler::RecomputeHeadroomCosts(Worker& aWorker) const
{
  for (ServingHeadroom& headroom : aWorker.servingHeadrooms) {
    headroom.headroomCost = 0;
  }
  if (aWorker.bestEffortRuns == 0 || aWorker.servingHeadrooms.empty()) {
    return;
  }
  for (const RunKey& run : aWorker.runs) {
    if (const StepSpec& step = this->SpecOf(run.task); step.fillsUnused) {
      this->AddHeadroomCost(aWorker, step);
    }
  }
}

void JobScheduler::AddHeadroomCost(Worker& aWorker, const StepSpec& aStep) const
{
  const double coreShare = BestEffortCoreShare(aWorker, aStep);
  for (ServingHeadroom& headroom : aWorker.servingHeadrooms) {
    headroom.headroomCost +=
      coreShare * this->interference.Weight(aStep.image, headroom.imageIndex);
  }
}

double JobScheduler::RankStep(const Job& aJob,
                              const Occurrence& aOccurrence,
                              std::uint32_t aStep,
                              std::int64_t aSinceDueMs) const
{
  if (this->settings.waitingOrder == WaitingOrder::Arrival) {
    return static_cast<double>(aSinceDueMs);
  }
  const StepSpec& spec = aJob.record.spec.steps[aStep];
  const std::vector<std::int64_t> durationsMs = this->ExpectedDurationsMs(aJob, aOccurrence);
  StepCandidate candidate;
  if (aOccurrence.plannedLateness.has_value() && !spec.longRunning) {
    candidate.lateness = *aOccurrence.plannedLateness;
  } else if (!spec.longRunning) {
    const std::int64_t objectiveMs =
      this->settings.waitingOrder == WaitingOrder::BacklogPlan
        ? ObjectiveMs(aJob.record.policy, CriticalPathMs(aJob.record.spec, durationsMs))
        : aJob.objectiveMs;
    candidate.lateness = EstimateLateness(
      aSinceDueMs, CriticalPathFromMs(aJob.record.spec, aStep, durationsMs), objectiveMs);
  }
  for (std::size_t index = 0; index < aOccurrence.steps.size(); ++index) {
    const Step& step = aOccurrence.steps[index];
    candidate.remainingCoreSeconds +=
      static_cast<double>(step.tasks.size() - step.done) *
      TaskCoreSeconds(aJob.record.spec.steps[index], durationsMs[index]);
  }
  candidate.relativeWork = this->RelativeWork(aJob);
  return ValueDensity(candidate);
}

std::vector<JobScheduler::ReadyStep> JobScheduler::FindReadySteps(Now aNow)
{
  this->waitingTasks = 0;
  std::vector<ReadyStep> ready;
  for (const std::string& id : this->activeJobs) {
    Job& job = this->jobs.at(id);
    if (job.lastRunning == Instant{}) {
      job.lastRunning = aNow.instant;
    }
    if (job.lastPlaced == Instant{}) {
      job.lastPlaced = aNow.instant;
    }
    for (auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
        const Step& step = occurrence.steps[index];
        if (step.done + step.active == step.tasks.size() ||
            !ArePrerequisitesDone(job.record.spec, occurrence, index)) {
          continue;
        }
        this->waitingTasks += step.tasks.size() - step.done - step.active;
        MarkTasksConsidered(job.record.spec.steps[index], occurrence.steps[index], aNow.instant);
        const std::int64_t dueUnixMs = DueUnixMs(job.record, number);
        ready.push_back({ &job,
                          number,
                          index,
                          dueUnixMs + job.objectiveMs,
                          this->RankStep(job, occurrence, index, aNow.unixMs - dueUnixMs) });
      }
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    return std::tuple(
             aLeft.job->record.policy.priority, -aLeft.rank, aLeft.job->record.id, aLeft.step) <
           std::tuple(
             aRight.job->record.policy.priority, -aRight.rank, aRight.job->record.id, aRight.step);
  });
  return ready;
}

PlacementRequest JobScheduler::MakePlacementRequest(const ReadyStep& aReady,
                                                    bool aHasFreeCores,
                                                    Now aNow) const
{
  const Job& job = *aReady.job;
  const JobRecord& record = job.record;
  PlacementRequest request;
  request.step = &record.spec.steps[aReady.step];
  request.service = record.policy.service;
  const Duration allowInterferenceAfter = aHasFreeCores
                                            ? this->settings.allowInterferenceAfterWithFreeCores
                                            : this->settings.allowInterferenceAfter;
  // Placed runs that are refused do not prolong the wait.
  request.allowInterference = this->HadNoRunFor(job, allowInterferenceAfter, aNow.instant);
  request.allowAvoided = this->HadNoRunFor(job, this->settings.allowAvoidedAfter, aNow.instant);
  if (request.step->fillsUnused) {
    request.weights = this->interference.WeightsByServingImage(request.step->image);
    request.allowOvercommit =
      aHasFreeCores && this->HadNoRunFor(job, this->settings.allowOvercommitAfter, aNow.instant);
  }
  for (const Task& task : aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks) {
    for (const Run& run : task.runs) {
      ++request.sameStepTasks[run.worker.id];
    }
  }
  return request;
}

std::set<std::string> JobScheduler::FindServicesWithFreeCores() const
{
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> reservedAndCapacity;
  for (const auto& [key, worker] : this->workers) {
    // Draining and evacuated workers take no new tasks, so their reservations do not count.
    if (worker.connected && worker.reported && !worker.state.draining && !worker.evacuated) {
      auto& [reserved, capacity] = reservedAndCapacity[worker.state.service];
      reserved += worker.reserved.milliCores;
      capacity += worker.state.capacity.milliCores;
    }
  }
  std::set<std::string> services;
  for (const auto& [service, sums] : reservedAndCapacity) {
    const auto& [reserved, capacity] = sums;
    if (static_cast<double>(reserved) <=
        this->settings.lowReservedShare * static_cast<double>(capacity)) {
      services.insert(service);
    }
  }
  return services;
}

void JobScheduler::UpdateLargestRooms(Now aNow)
{
  this->largestRooms.clear();
  for (const auto& [key, worker] : this->workers) {
    if (IsUsable(worker)) {
      this->largestRooms[worker.state.service].Add(worker,
                                                   aNow.instant >= worker.nextOvercommittedRun);
    }
  }
}

void JobScheduler::PlaceStep(const ReadyStep& aReady, bool aHasFreeCores, Now aNow)
{
  PlacementRequest request = this->MakePlacementRequest(aReady, aHasFreeCores, aNow);
  Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  const auto& tasks = step.tasks;
  const auto hasStood = [&](const Task& aTask) {
    return this->HasTaskStood(*request.step, aTask, aHasFreeCores, aNow);
  };
  if (request.step->gang) {
    if (std::all_of(tasks.begin(), tasks.end(), hasStood)) {
      request.allowInterference = true;
      request.allowOvercommit = true;
    }
    this->PlaceGang(aReady, std::move(request), aNow);
    return;
  }
  const bool haveOwnRight = HaveTasksOwnRight(*request.step);
  bool othersWait = false;
  bool lastAttemptWaits = false;
  nlohmann::ordered_json placed = nlohmann::ordered_json::array();
  bool allPlaced = true;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    if (task.state != TaskState::Waiting || this->IsPlacementDelayed(aReady, index, aNow)) {
      continue;
    }
    // The tasks of a step differ only in the workers that their last attempt may use.
    request.allowFailing =
      this->MayUseFailingWorkers(*aReady.job, *request.step, task, aNow.instant);
    if (lastAttemptWaits && !request.allowFailing) {
      continue;
    }
    const bool taskHasStood = hasStood(task);
    if (othersWait && !taskHasStood) {
      continue;
    }
    if (!this->PlaceTask(aReady, index, taskHasStood, request, aNow)) {
      allPlaced = false;
      this->LogWaitingStep(aReady, request, aNow);
      if (haveOwnRight && !taskHasStood) {
        // A later task that has waited for longer may use more workers.
        othersWait = true;
        continue;
      }
      if (haveOwnRight || request.allowFailing || !request.allowAvoided) {
        break;
      }
      lastAttemptWaits = true;
      continue;
    }
    const Run& run = task.runs.back();
    placed.push_back(nlohmann::ordered_json::array({ index, run.number, run.worker.id }));
  }
  if (allPlaced) {
    step.waitingSince = {};
  }
  if (!placed.empty()) {
    nlohmann::ordered_json fields;
    fields["occurrence"] = aReady.occurrence;
    fields["step"] = aReady.step;
    fields["to_deadline_ms"] = aReady.deadlineUnixMs - aNow.unixMs;
    fields["task_run_worker"] = std::move(placed);
    this->LogJob("tasks_placed", *aReady.job, fields);
  }
}

bool JobScheduler::MayHaveRunAtWork(const Job& aJob) const
{
  const auto mayBeAtWork = [this](const Run& aRun) {
    if (aRun.state != RunState::Ordered) {
      // The store may be slow for another run as well as for one that it has not taken.
      return true;
    }
    const auto worker = this->workers.find(aRun.worker);
    return worker == this->workers.end() || !worker->second.reported;
  };
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        if (std::any_of(task.runs.begin(), task.runs.end(), mayBeAtWork)) {
          return true;
        }
      }
    }
  }
  return false;
}

bool JobScheduler::HadNoRunFor(const Job& aJob, Duration aTime, Instant aNow) const
{
  return aNow - aJob.lastRunning >= aTime &&
         (!aJob.HasActiveRuns() ||
          (aNow - aJob.lastPlaced >= aTime && !this->MayHaveRunAtWork(aJob)));
}

bool JobScheduler::IsPlacementDelayed(const ReadyStep& aReady, std::uint32_t aIndex, Now aNow) const
{
  const Occurrence& occurrence = aReady.job->occurrences.at(aReady.occurrence);
  const Task& task = occurrence.steps[aReady.step].tasks[aIndex];
  return aNow.instant < task.notBefore || HasUnpreventedStart(task) ||
         (this->changedRows.WithheldCount() > 0 &&
          this->changedRows.IsWithheld(this->ProgressRowOf(
            { aReady.job->record.id, aReady.occurrence, aReady.step, aIndex })));
}

// A task that fails on its last attempt ends its job, so it rather waits for a sound worker.
bool JobScheduler::MayUseFailingWorkers(const Job& aJob,
                                        const StepSpec& aStep,
                                        const Task& aTask,
                                        Instant aNow) const
{
  return aTask.failedRuns + 1 < aJob.record.policy.maxAttempts ||
         !this->HasSoundWorker(aJob.record.policy.service, aStep, aNow);
}

bool JobScheduler::HasSoundWorker(const std::string& aService,
                                  const StepSpec& aStep,
                                  Instant aNow) const
{
  return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& aItem) {
    const Worker& worker = aItem.second;
    return worker.state.service == aService && IsUsable(worker) && aNow >= worker.failingUntil &&
           CanEverTake(worker, aStep);
  });
}

bool JobScheduler::HasTaskStood(const StepSpec& aStep,
                                const Task& aTask,
                                bool aHasFreeCores,
                                Now aNow) const
{
  return aHasFreeCores && HaveTasksOwnRight(aStep) &&
         aNow.instant - aTask.lastRunning >= this->settings.allowLongRunningTaskAfter;
}

bool JobScheduler::PlaceTask(const ReadyStep& aReady,
                             std::uint32_t aIndex,
                             bool aHasStood,
                             PlacementRequest& aRequest,
                             Now aNow)
{
  const Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  const bool allowInterference = aRequest.allowInterference;
  const bool allowOvercommit = aRequest.allowOvercommit;
  aRequest.allowInterference = allowInterference || aHasStood;
  aRequest.allowOvercommit = allowOvercommit || aHasStood;
  Worker* worker = this->SelectWorker(step.tasks[aIndex], aRequest, aNow);
  // The job's permissions end with its first run, those of a task hold for this task only.
  aRequest.allowInterference = aRequest.allowInterference && allowInterference;
  aRequest.allowOvercommit = aRequest.allowOvercommit && allowOvercommit;
  if (worker == nullptr) {
    return false;
  }
  this->BeginRun(aReady, aIndex, *worker, aNow);
  return true;
}

Worker* JobScheduler::SelectWorker(const Task& aTask, PlacementRequest& aRequest, Now aNow)
{
  const auto room = this->largestRooms.find(aRequest.service);
  if (room == this->largestRooms.end() ||
      !room->second.MayFit(*aRequest.step, aRequest.allowOvercommit)) {
    return nullptr;
  }
  aRequest.lastFailedWorker = aTask.lastFailedWorker;
  this->assessedWorkers += this->workers.size();
  Worker* worker = ChooseWorker(this->workers, aRequest, aNow.instant);
  if (worker == nullptr) {
    return nullptr;
  }
  ++aRequest.sameStepTasks[worker->key.id];
  if (aRequest.step->fillsUnused) {
    this->AddHeadroomCost(*worker, *aRequest.step);
    aRequest.allowInterference = false;
  }
  if (aNow.instant < worker->avoidUntil && !aRequest.step->gang) {
    // One run suffices for the job not to stand still. The others wait for better workers.
    aRequest.allowAvoided = false;
  }
  if (!aRequest.step->gang) {
    // The same holds for a run beyond the unused cores.
    aRequest.allowOvercommit = false;
  }
  return worker;
}

void JobScheduler::PlaceGang(const ReadyStep& aReady, PlacementRequest aRequest, Now aNow)
{
  Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  if (step.active > 0) {
    this->StopRestOfGang(aReady);
    return;
  }
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    if (this->IsPlacementDelayed(aReady, index, aNow)) {
      return;
    }
  }
  // Members on their last attempt may use fewer workers, so theirs are selected first.
  std::vector<std::pair<bool, std::uint32_t>> members;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    members.emplace_back(
      this->MayUseFailingWorkers(*aReady.job, *aRequest.step, step.tasks[index], aNow.instant),
      index);
  }
  std::sort(members.begin(), members.end());
  const bool allowInterference = aRequest.allowInterference;
  std::size_t selectedCount = 0;
  std::vector<Worker*> selected(step.tasks.size());
  for (const auto& [allowFailing, index] : members) {
    aRequest.allowInterference = allowInterference;
    aRequest.allowFailing = allowFailing;
    selected[index] = this->SelectWorker(step.tasks[index], aRequest, aNow);
    if (selected[index] == nullptr) {
      break;
    }
    this->AdjustReservation(*selected[index], *aRequest.step, 1);
    ++selectedCount;
  }
  // The runs reserve their workers themselves when they begin.
  for (Worker* worker : selected) {
    if (worker != nullptr) {
      this->AdjustReservation(*worker, *aRequest.step, -1);
      this->RecomputeHeadroomCosts(*worker);
    }
  }
  if (selectedCount < step.tasks.size()) {
    this->LogWaitingStep(aReady, aRequest, aNow);
    return;
  }
  std::uint64_t runNumber = 0;
  for (const Task& task : step.tasks) {
    runNumber = std::max(runNumber, task.nextRunNumber);
  }
  const std::string checkpoint = step.tasks[0].checkpoint;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    step.tasks[index].nextRunNumber = runNumber;
    step.tasks[index].checkpoint = checkpoint;
    this->BeginRun(aReady, index, *selected[index], aNow);
    this->RecomputeHeadroomCosts(*selected[index]);
  }
  step.waitingSince = {};
}

void JobScheduler::StopRestOfGang(const ReadyStep& aReady)
{
  auto& tasks = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  std::size_t stopped = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    for (Run& run : tasks[index].runs) {
      stopped += run.state == RunState::Stopping ? 0 : 1;
      this->StopRun({ aReady.job->record.id, aReady.occurrence, aReady.step, index }, run);
    }
  }
  if (stopped > 0) {
    this->counters.Add("runs_stopped_total", "gang_incomplete", stopped);
    this->LogJob(
      "gang_incomplete",
      *aReady.job,
      { { "occurrence", aReady.occurrence }, { "step", aReady.step }, { "stopped", stopped } });
  }
}

void JobScheduler::BeginRun(const ReadyStep& aReady,
                            std::uint32_t aIndex,
                            Worker& aWorker,
                            Now aNow)
{
  const bool failing = aNow.instant < aWorker.failingUntil;
  if (aNow.instant < aWorker.avoidUntil) {
    this->counters.Add("runs_on_avoided_workers_total", failing ? "failing" : "slow_or_stalled");
  }
  if (failing && !aReady.job->record.spec.steps[aReady.step].longRunning) {
    aWorker.nextRunWhileFailing = aNow.instant + this->settings.failingWorkerRunInterval;
  }
  const StepSpec& step = aReady.job->record.spec.steps[aReady.step];
  if (step.fillsUnused && !HasCapacityFor(aWorker, step)) {
    this->counters.Add("runs_overcommitted_total", step.gang ? "gang" : "single");
    if (aNow.instant >= aWorker.nextOvercommittedRun) {
      this->largestRooms[aWorker.state.service].OnOvercommitted();
    }
    aWorker.nextOvercommittedRun = aNow.instant + this->settings.overcommitInterval;
  }
  Job& job = *aReady.job;
  job.lastPlaced = aNow.instant;
  Task& task = job.occurrences.at(aReady.occurrence).steps[aReady.step].tasks[aIndex];
  const TaskKey taskKey{ job.record.id, aReady.occurrence, aReady.step, aIndex };
  const RunKey runKey{ taskKey, task.nextRunNumber++ };
  this->AddRun(runKey, RunState::Committing, aWorker);
  RowKey row = this->ProgressRowOf(taskKey);
  this->MarkChanged(row);
  this->deferredOrders.push_back({ std::move(row), aWorker.agent, aWorker.key, runKey, 0 });
}

} // namespace oriolespread::jobs
