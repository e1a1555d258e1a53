// Which tasks are started next, and where.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>
#include <tuple>

namespace oriolespread::jobs {

namespace {

// A job is of use to its caller, though late, up to this multiple of its objective.
constexpr double kLateFactor = 3.0;

// What a finished job is worth, against the mean of its queue.
constexpr double kWorthOfAny = 0.3;
constexpr double kWorthOfWork = 0.7;
constexpr double kMostWorth = 4.0;
constexpr double kLeastWork = 0.01;
constexpr double kLeastDisturbance = 0.3;
// The share of a worker's cores that a filling task usually takes.
constexpr double kTypicalCores = 0.1;
// Estimates are rough, so only this share of them counts against a deadline.
constexpr double kChainTrusted = 0.7;

// Whether a step can still end within its objective, or within its multiple.
enum Lateness
{
  InTime = 0,
  Late = 1,
  TooLate = 2,
};

std::int64_t ObjectiveMs(const JobRecord& aRecord)
{
  return static_cast<std::int64_t>(aRecord.policy.stretch *
                                   static_cast<double>(LongestChainMs(aRecord.spec))) +
         aRecord.policy.targetLatencyMs;
}

std::int64_t DueUnixMs(const JobRecord& aRecord, std::uint32_t aOccurrence)
{
  return aRecord.spec.repeats == 0
           ? aRecord.submittedUnixMs
           : aRecord.spec.initialDelayMs + aRecord.spec.intervalMs * aOccurrence;
}

} // namespace

void JobScheduler::Decide(Now aNow)
{
  std::vector<WorkerKey> silent;
  for (const auto& [key, worker] : this->workers) {
    if (aNow.instant > worker.leaseBound) {
      silent.push_back(key);
    }
  }
  for (const WorkerKey& key : silent) {
    this->LoseWorker(this->workers.at(key), "lease_lapsed", aNow);
  }
  for (const std::string& id : this->activeJobs) {
    Job& job = this->jobs.at(id);
    if (job.record.spec.repeats > 0) {
      this->StartDueOccurrences(job, aNow);
    }
  }
  std::vector<ReadyStep> ready = this->FindReadySteps(aNow);
  for (const ReadyStep& item : ready) {
    this->Place(item, aNow);
  }
  this->Forget(aNow);
  if (aNow.instant >= this->nextLearned && !this->interference.IsEmpty()) {
    this->nextLearned = aNow.instant + this->settings.learnedInterval;
    this->MarkChanged(LearnedRow());
  }
}

void JobScheduler::SumTakenHeadroom(Worker& aWorker) const
{
  for (ServingLoad& load : aWorker.servingLoads) {
    load.taken = 0;
  }
  if (aWorker.filling == 0 || aWorker.servingLoads.empty()) {
    return;
  }
  for (const WorkerRun& run : aWorker.runs) {
    if (const StepSpec& step = this->SpecOf(run.place); step.fillsUnused) {
      this->AddTakenHeadroom(aWorker, step);
    }
  }
}

void JobScheduler::AddTakenHeadroom(Worker& aWorker, const StepSpec& aStep) const
{
  const double cores = CoresTaken(aWorker, aStep);
  for (ServingLoad& load : aWorker.servingLoads) {
    load.taken += cores * this->interference.Weight(aStep.image, load.image);
  }
}

double JobScheduler::GainOf(const Job& aJob,
                            const Occurrence& aOccurrence,
                            const StepSpec& aStep) const
{
  double left = 0;
  for (std::size_t index = 0; index < aOccurrence.steps.size(); ++index) {
    const Step& step = aOccurrence.steps[index];
    left +=
      static_cast<double>(step.tasks.size() - step.done) * TaskWork(aJob.record.spec.steps[index]);
  }
  const double mean = std::max(this->meanWork.at(aJob.record.policy.queue), kLeastWork);
  // Finishing a job is worth something by itself, and the rest by its work.
  const double worth = kWorthOfAny + kWorthOfWork * std::min(aJob.work / mean, kMostWorth);
  const double disturbance =
    aStep.fillsUnused ? kTypicalCores * this->interference.MeanWeight(aStep.image) : 0;
  return worth / (std::max(left, kLeastWork) * (kLeastDisturbance + disturbance));
}

std::vector<JobScheduler::ReadyStep> JobScheduler::FindReadySteps(Now aNow)
{
  this->waitingTasks = 0;
  std::vector<ReadyStep> ready;
  for (const std::string& id : this->activeJobs) {
    Job& job = this->jobs.at(id);
    const std::int64_t objective = ObjectiveMs(job.record);
    if (job.lastActive == Instant{} || job.HasActiveRuns()) {
      job.lastActive = aNow.instant;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      const std::vector<Step>& steps = occurrence.steps;
      for (std::uint32_t index = 0; index < steps.size(); ++index) {
        const Step& step = steps[index];
        const auto& after = job.record.spec.steps[index].after;
        const bool turn = std::all_of(after.begin(), after.end(), [&](std::uint32_t aBefore) {
          return steps[aBefore].IsDone();
        });
        if (!turn || step.done + step.active == step.tasks.size()) {
          continue;
        }
        this->waitingTasks += step.tasks.size() - step.done - step.active;
        const std::int64_t due = DueUnixMs(job.record, number);
        const auto late = static_cast<std::int64_t>(kLateFactor * static_cast<double>(objective));
        const StepSpec& spec = job.record.spec.steps[index];
        const std::int64_t ends =
          aNow.unixMs + static_cast<std::int64_t>(
                          kChainTrusted * static_cast<double>(ChainFromMs(job.record.spec, index)));
        const bool inTime = spec.longRunning || ends < due + objective;
        const int lateness = inTime ? InTime : ends < due + late ? Late : TooLate;
        ready.push_back(
          { &job, number, index, lateness, due + objective, this->GainOf(job, occurrence, spec) });
      }
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    return std::tuple(aLeft.job->record.policy.priority,
                      aLeft.lateness,
                      -aLeft.gain,
                      aLeft.job->record.id,
                      aLeft.step) < std::tuple(aRight.job->record.policy.priority,
                                               aRight.lateness,
                                               -aRight.gain,
                                               aRight.job->record.id,
                                               aRight.step);
  });
  return ready;
}

PlacementRequest JobScheduler::RequestFor(const ReadyStep& aReady) const
{
  const JobRecord& record = aReady.job->record;
  PlacementRequest request;
  request.step = &record.spec.steps[aReady.step];
  request.service = record.policy.service;
  if (request.step->fillsUnused) {
    request.weights = this->interference.WeightsOf(request.step->image);
  }
  for (const Task& task : aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks) {
    for (const Run& run : task.runs) {
      ++request.sameStep[run.worker.id];
    }
  }
  return request;
}

void JobScheduler::Place(const ReadyStep& aReady, Now aNow)
{
  if (aReady.job->record.spec.steps[aReady.step].gang) {
    this->PlaceGang(aReady, aNow);
    return;
  }
  const auto& tasks = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  PlacementRequest request = this->RequestFor(aReady);
  request.mayDisturb = aNow.instant - aReady.job->lastActive > this->settings.disturbAfter;
  nlohmann::ordered_json placed = nlohmann::ordered_json::array();
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    if (task.state != TaskState::Waiting || aNow.instant < task.notBefore) {
      continue;
    }
    if (!this->PlaceTask(aReady, index, request, aNow)) {
      break;
    }
    const Run& run = task.runs.back();
    placed.push_back(nlohmann::ordered_json::array({ index, run.number, run.worker.id }));
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

bool JobScheduler::PlaceTask(const ReadyStep& aReady,
                             std::uint32_t aIndex,
                             PlacementRequest& aRequest,
                             Now aNow)
{
  const Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  aRequest.failedOn = step.tasks[aIndex].failedOn;
  Worker* worker = ChooseWorker(this->workers, aRequest, aNow.instant);
  if (worker == nullptr) {
    return false;
  }
  ++aRequest.sameStep[worker->key.id];
  if (aRequest.step->fillsUnused) {
    this->AddTakenHeadroom(*worker, *aRequest.step);
    aRequest.mayDisturb = false;
  }
  this->BeginRun(aReady, aIndex, *worker, aNow);
  return true;
}

void JobScheduler::PlaceGang(const ReadyStep& aReady, Now aNow)
{
  Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  const bool waits = std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& aTask) {
    return aNow.instant < aTask.notBefore;
  });
  if (step.active > 0 || waits) {
    return;
  }
  std::uint64_t number = 0;
  for (const Task& task : step.tasks) {
    number = std::max(number, task.nextRun);
  }
  PlacementRequest request = this->RequestFor(aReady);
  const std::string checkpoint = step.tasks[0].checkpoint;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    step.tasks[index].nextRun = number;
    step.tasks[index].checkpoint = checkpoint;
    if (!this->PlaceTask(aReady, index, request, aNow)) {
      // All or none: nothing was ordered yet, so that the members so far are just taken back.
      for (std::uint32_t undo = 0; undo < index; ++undo) {
        this->RemoveRun(
          { { aReady.job->record.id, aReady.occurrence, aReady.step, undo }, number });
      }
      return;
    }
  }
}

void JobScheduler::BeginRun(const ReadyStep& aReady,
                            std::uint32_t aIndex,
                            Worker& aWorker,
                            Now aNow)
{
  Job& job = *aReady.job;
  Step& step = job.occurrences.at(aReady.occurrence).steps[aReady.step];
  Task& task = step.tasks[aIndex];
  const TaskPlace place{ job.record.id, aReady.occurrence, aReady.step, aIndex };
  Run run;
  run.number = task.nextRun++;
  run.worker = aWorker.key;
  run.agent = aWorker.agent;
  run.since = aNow.instant;
  const WorkerRun workerRun{ place, run.number };
  task.runs.push_back(std::move(run));
  task.state = TaskState::Active;
  ++step.active;
  aWorker.runs.insert(workerRun);
  const StepSpec& spec = job.record.spec.steps[aReady.step];
  this->Reserve(aWorker, spec, 1);
  if (spec.longRunning && spec.latencyTargetMs > 0) {
    aWorker.servingLoads.push_back(
      { this->interference.NumberOf(spec.image), step.own.now, step.own.low, 0 });
    this->SumTakenHeadroom(aWorker);
  }
  RowKey row = ProgressRow(place.job, place.occurrence, place.step);
  if (!job.started) {
    job.started = true;
    job.state = JobState::Running;
    this->startDelays.push_back(aNow.instant - job.known);
    this->MarkChanged(StateRow(job.record.id));
    this->removable.push_back(WaitingRow(job.record.policy.queue, job.record.id));
  }
  this->MarkChanged(row);
  this->held.push_back({ std::move(row), aWorker.agent, aWorker.key, workerRun, 0 });
}

} // namespace oriolespread::jobs
