// What the scheduler learns from agents.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// A run that uses less than this is new or paused, and disturbs nobody.
constexpr std::int64_t kLeastFillingMilliCores = 100;

bool ToPlace(const RunRef& aRef, WorkerRun& aRun)
{
  TaskName name;
  if (!TaskName::Parse(aRef.task, name)) {
    return false;
  }
  aRun = { { name.job, name.occurrence, name.step, name.index }, aRef.run };
  return true;
}

RunRef ToRef(const WorkerRun& aRun)
{
  return { ToString(
             TaskName{ aRun.place.job, aRun.place.occurrence, aRun.place.step, aRun.place.index }),
           aRun.number };
}

} // namespace

void JobScheduler::OnAgentUp(const std::string& aAgent, Now aNow)
{
  const auto it = this->workerOfAgent.find(aAgent);
  if (it != this->workerOfAgent.end()) {
    Worker& worker = this->workers[it->second];
    worker.linked = true;
    worker.reconciled = false;
    worker.lastReport = std::max(worker.lastReport, aNow.instant - this->settings.reportTimeout);
  }
}

void JobScheduler::OnAgentDown(const std::string& aAgent, Now /*aNow*/)
{
  this->outgoing.erase(aAgent);
  const auto it = this->workerOfAgent.find(aAgent);
  if (it != this->workerOfAgent.end()) {
    Worker& worker = this->workers[it->second];
    worker.linked = false;
    worker.reconciled = false;
  }
}

void JobScheduler::OnReport(const std::string& aAgent, const WorkerReport& aReport, Now aNow)
{
  if (aReport.worker.id.empty()) {
    return;
  }
  Worker* worker = this->AcceptIdentity(aAgent, aReport, aNow);
  worker->linked = true;
  worker->reported = true;
  worker->lastReport = aNow.instant;
  worker->leaseBound =
    aNow.instant + this->settings.leaseMargin +
    std::chrono::duration_cast<Duration>(this->settings.workerLease * this->settings.leaseDrift);
  const bool drains = aReport.worker.draining && !worker->state.draining;
  worker->state = aReport.worker;
  for (const EndedRun& end : aReport.ended) {
    this->ApplyEnd(*worker, end, aNow);
  }
  for (const RejectedRun& rejected : aReport.rejected) {
    this->ApplyRejection(*worker, rejected, aNow);
  }
  if (aReport.allLost) {
    worker->reconciled = false;
    this->LoseRuns(*worker, "worker_silent", aNow);
    return;
  }
  this->ApplyRunning(*worker, aReport, aNow);
  if (aReport.full) {
    this->LearnInterference(*worker, aReport, aNow);
    this->Reconcile(*worker, aReport, aNow);
  }
  if (drains) {
    this->log("worker_draining",
              { { "worker", worker->key.id }, { "remaining_ms", worker->state.remainingMs } });
  }
  if (worker->state.draining) {
    this->LeaveDrainingWorker(*worker);
  }
}

Worker* JobScheduler::AcceptIdentity(const std::string& aAgent,
                                     const WorkerReport& aReport,
                                     Now aNow)
{
  const WorkerKey key{ aReport.worker.id, aReport.worker.born };
  const auto known = this->workerOfAgent.find(aAgent);
  if (known != this->workerOfAgent.end() && known->second != key) {
    // An agent serves one worker, so that a new life proves the end of the earlier one.
    if (const auto old = this->workers.find(known->second); old != this->workers.end()) {
      this->LoseWorker(old->second, "worker_restarted", aNow);
    }
  }
  this->workerOfAgent[aAgent] = key;
  Worker& worker = this->workers[key];
  if (!worker.reported) {
    this->log("worker_known",
              { { "worker", key.id },
                { "born", key.born },
                { "agent", aAgent },
                { "data_centre", aReport.worker.dataCentre } });
  }
  worker.key = key;
  worker.agent = aAgent;
  return &worker;
}

void JobScheduler::ApplyRunning(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  for (const RunningRun& running : aReport.running) {
    WorkerRun place;
    if (!ToPlace(running.ref, place)) {
      continue;
    }
    Run* run = this->FindRun(place);
    if (run == nullptr || run->worker != aWorker.key) {
      // Not known: its job has ended, or it was given up on and started elsewhere.
      this->OrdersFor(aWorker.agent, aWorker.key).stops.push_back(running.ref);
      this->counters.Add("runs_stopped_total", "unknown");
      continue;
    }
    if (run->state == RunState::Ordered) {
      run->state = RunState::Running;
      run->since = aNow.instant;
      run->percentChanged = aNow.instant;
    }
    if (run->percent != running.percent) {
      run->percent = running.percent;
      run->percentChanged = aNow.instant;
    }
    if (!running.checkpoint.empty()) {
      this->FindTask(place.place)->checkpoint = running.checkpoint;
    }
    this->StopStalled(aWorker, place, aNow);
  }
  for (const RunRef& ref : aReport.undescribed) {
    WorkerRun place;
    const Run* run = ToPlace(ref, place) ? this->FindRun(place) : nullptr;
    if (run != nullptr && run->worker == aWorker.key && run->state == RunState::Running) {
      this->OrderStart(place);
    }
  }
}

void JobScheduler::LearnInterference(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  std::vector<InterferenceModel::Company> company;
  std::vector<std::pair<TaskPlace, double>> serving;
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
  for (const RunningRun& running : aReport.running) {
    WorkerRun place;
    if (!ToPlace(running.ref, place) || this->FindRun(place) == nullptr) {
      continue;
    }
    const StepSpec& step = this->SpecOf(place.place);
    if (step.longRunning && step.latencyTargetMs > 0) {
      const double headroom = running.figure > 0 ? static_cast<double>(step.latencyTargetMs) /
                                                     static_cast<double>(running.figure)
                                                 : 0;
      serving.emplace_back(place.place, headroom);
    } else if (step.fillsUnused && running.figure > kLeastFillingMilliCores) {
      company.push_back({ step.image, static_cast<double>(running.figure) / capacity });
    }
  }
  std::map<OwnHeadroom*, std::size_t> steps;
  for (const auto& [place, headroom] : serving) {
    OwnHeadroom& own = this->FindStep(place)->own;
    const std::size_t image = this->interference.NumberOf(this->SpecOf(place).image);
    if (headroom > 0) {
      this->interference.Observe(image, headroom, company, own, aNow.instant);
    }
    steps[&own] = image;
  }
  aWorker.servingLoads.clear();
  for (const auto& [own, image] : steps) {
    aWorker.servingLoads.push_back({ image, own->now, own->low, 0 });
  }
  this->SumTakenHeadroom(aWorker);
}

std::map<std::string, double> JobScheduler::BestEffortHeadroomCosts(const std::string& aAgent) const
{
  std::map<std::string, double> taken;
  const auto key = this->workerOfAgent.find(aAgent);
  const auto worker =
    key == this->workerOfAgent.end() ? this->workers.end() : this->workers.find(key->second);
  if (worker == this->workers.end()) {
    return taken;
  }
  for (const WorkerRun& run : worker->second.runs) {
    const StepSpec& step = this->SpecOf(run.place);
    if (!step.fillsUnused) {
      continue;
    }
    double& most = taken[step.image];
    for (const ServingLoad& load : worker->second.servingLoads) {
      most = std::max(
        most, this->interference.Weight(step.image, load.image) * CoresTaken(worker->second, step));
    }
  }
  return taken;
}

void JobScheduler::StopStalled(Worker& aWorker, const WorkerRun& aRun, Now aNow)
{
  Run& run = *this->FindRun(aRun);
  const StepSpec& step = this->SpecOf(aRun.place);
  const Duration still = aNow.instant - run.percentChanged;
  if (run.state != RunState::Running || step.longRunning || step.gang ||
      still < this->settings.stallTimeout) {
    return;
  }
  // Beside runs that serve it is rather paused for them, which is no fault of the worker.
  const bool paused = step.fillsUnused && aWorker.serving > 0;
  if (paused && !step.checkpointing && still < this->settings.pausedTimeout) {
    return;
  }
  this->counters.Add("runs_stopped_total", "stalled");
  this->log("run_stalled",
            { { "task", ToRef(aRun).task },
              { "run", aRun.number },
              { "worker", aWorker.key.id },
              { "percent", run.percent },
              { "still_ms", ToMilliseconds(aNow.instant - run.percentChanged) } });
  this->FindTask(aRun.place)->failedOn = aWorker.key.id;
  if (!paused) {
    aWorker.avoidUntil = std::max(aWorker.avoidUntil, aNow.instant + this->settings.failingAvoid);
  }
  this->StopRun(aRun.place, run);
}

void JobScheduler::ApplyEnd(Worker& aWorker, const EndedRun& aEnd, Now aNow)
{
  if (aWorker.endsInCommit.contains(aEnd.number)) {
    return;
  }
  WorkerRun place;
  Run* run = ToPlace(aEnd.ref, place) ? this->FindRun(place) : nullptr;
  const bool current = run != nullptr && run->worker == aWorker.key;
  // A run that was given up on counts all the same when it was done: its work need not be repeated.
  Task* task = this->FindTask(place.place);
  const bool late = !current && aEnd.how == RunEnd::Done && task != nullptr &&
                    task->state != TaskState::Done && aEnd.ref.run < task->nextRun &&
                    !IsTerminal(this->jobs.at(place.place.job).state);
  if (!current && !late) {
    this->OrdersFor(aWorker.agent, aWorker.key).acknowledgedEnds.push_back(aEnd.number);
    return;
  }
  Job& job = this->jobs.at(place.place.job);
  const bool stopping = current && run->state == RunState::Stopping;
  if (!aEnd.checkpoint.empty()) {
    task->checkpoint = aEnd.checkpoint;
  }
  if (current) {
    this->RemoveRun(place);
  }
  const RowKey row = ProgressRow(place.place.job, place.place.occurrence, place.place.step);
  this->MarkChanged(row);
  aWorker.endsInCommit.insert(aEnd.number);
  this->held.push_back({ row, aWorker.agent, aWorker.key, std::nullopt, aEnd.number });
  this->counters.Add("runs_ended_total", nlohmann::json(aEnd.how).get_ref<const std::string&>());
  this->log("run_ended",
            { { "task", aEnd.ref.task },
              { "run", aEnd.ref.run },
              { "worker", aWorker.key.id },
              { "how", aEnd.how },
              { "stopping", stopping },
              { "given_up", late } });
  if (IsTerminal(job.state)) {
    return;
  }
  if (aEnd.how == RunEnd::Done) {
    aWorker.failedJobs.clear();
    this->OnRunDone(job, place.place, aNow);
  } else if (aEnd.how == RunEnd::Failed) {
    this->OnRunFailed(job, place.place, aWorker, aNow);
  }
}

void JobScheduler::OnRunDone(Job& aJob, const TaskPlace& aPlace, Now aNow)
{
  const StepSpec& spec = this->SpecOf(aPlace);
  if (spec.longRunning) {
    return;
  }
  Occurrence& occurrence = aJob.occurrences.at(aPlace.occurrence);
  Step& step = occurrence.steps[aPlace.step];
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    Task& task = step.tasks[index];
    // The end of one member stands for its whole gang.
    if (task.state == TaskState::Done || (index != aPlace.index && !spec.gang)) {
      continue;
    }
    for (Run& run : task.runs) {
      this->StopRun({ aPlace.job, aPlace.occurrence, aPlace.step, index }, run);
    }
    step.active -= task.state == TaskState::Active ? 1 : 0;
    task.state = TaskState::Done;
    ++step.done;
  }
  const bool occurrenceDone = std::all_of(occurrence.steps.begin(),
                                          occurrence.steps.end(),
                                          [](const Step& aStep) { return aStep.IsDone(); });
  if (!occurrenceDone) {
    return;
  }
  ++aJob.completedOccurrences;
  if (aJob.completedOccurrences >= std::max(aJob.record.spec.repeats, 1U)) {
    this->End(aJob, JobState::Completed, aNow);
  }
}

void JobScheduler::OnRunFailed(Job& aJob, const TaskPlace& aPlace, Worker& aWorker, Now aNow)
{
  Task& task = *this->FindTask(aPlace);
  const StepSpec& spec = this->SpecOf(aPlace);
  task.failedOn = aWorker.key.id;
  aWorker.failedJobs.insert(aPlace.job);
  if (aWorker.failedJobs.size() >= this->settings.failingJobs) {
    aWorker.avoidUntil = aNow.instant + this->settings.failingAvoid;
    aWorker.failedJobs.clear();
    this->counters.Add("workers_avoided_total", "failing");
    this->log("worker_avoided", { { "worker", aWorker.key.id }, { "reason", "failing" } });
  }
  if (spec.longRunning) {
    return;
  }
  ++task.failures;
  if (task.failures >= aJob.record.policy.maxAttempts) {
    this->End(aJob, JobState::Failed, aNow);
  }
}

void JobScheduler::ApplyRejection(Worker& aWorker, const RejectedRun& aRejected, Now aNow)
{
  WorkerRun place;
  Run* run = ToPlace(aRejected.ref, place) ? this->FindRun(place) : nullptr;
  if (run == nullptr || run->worker != aWorker.key) {
    return;
  }
  this->counters.Add("starts_rejected_total", aRejected.reason);
  this->log("start_rejected",
            { { "task", aRejected.ref.task },
              { "run", aRejected.ref.run },
              { "worker", aWorker.key.id },
              { "reason", aRejected.reason } });
  this->FindTask(place.place)->notBefore = aNow.instant + this->settings.retryDelay;
  this->RemoveRun(place);
  aWorker.avoidUntil = std::max(aWorker.avoidUntil, aNow.instant + this->settings.rejectedAvoid);
}

void JobScheduler::Reconcile(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  std::set<RunRef> present;
  for (const RunningRun& running : aReport.running) {
    present.insert(running.ref);
  }
  present.insert(aReport.starting.begin(), aReport.starting.end());
  for (const EndedRun& end : aReport.ended) {
    present.insert(end.ref);
  }
  const bool first = !aWorker.reconciled;
  aWorker.reconciled = true;
  const std::set<WorkerRun> runs = aWorker.runs;
  for (const WorkerRun& item : runs) {
    Run* run = this->FindRun(item);
    const bool listed = present.contains(ToRef(item));
    if (run == nullptr || run->state == RunState::Committing) {
      continue;
    }
    if (run->state == RunState::Stopping) {
      if (!listed && (first || aReport.lastOrders >= run->orders)) {
        this->RemoveRun(item);
      } else if (first) {
        WorkerOrders& orders = this->OrdersFor(aWorker.agent, aWorker.key);
        orders.stops.push_back(ToRef(item));
        run->orders = orders.sequence;
      }
    } else if (!listed && first && run->state == RunState::Ordered) {
      // The order may have been lost with the link. Starting the same run again is harmless.
      this->OrderStart(item);
    } else if (!listed && (first || aReport.lastOrders >= run->orders)) {
      this->counters.Add("runs_lost_total", "vanished");
      this->log("run_lost",
                { { "task", ToRef(item).task },
                  { "run", item.number },
                  { "worker", aWorker.key.id },
                  { "reason", "vanished" } });
      this->FindTask(item.place)->notBefore = aNow.instant + this->settings.retryDelay;
      this->RemoveRun(item);
    }
  }
}

void JobScheduler::LoseRuns(Worker& aWorker, std::string_view aReason, Now /*aNow*/)
{
  const std::set<WorkerRun> runs = aWorker.runs;
  for (const WorkerRun& item : runs) {
    this->counters.Add("runs_lost_total", aReason);
    this->RemoveRun(item);
  }
  if (!runs.empty()) {
    this->log("runs_lost",
              { { "worker", aWorker.key.id },
                { "born", aWorker.key.born },
                { "runs", runs.size() },
                { "reason", std::string(aReason) } });
  }
}

void JobScheduler::LoseWorker(Worker& aWorker, std::string_view aReason, Now aNow)
{
  this->LoseRuns(aWorker, aReason, aNow);
  const WorkerKey key = aWorker.key;
  const auto agent = this->workerOfAgent.find(aWorker.agent);
  if (agent != this->workerOfAgent.end() && agent->second == key) {
    this->workerOfAgent.erase(agent);
  }
  std::erase_if(this->held, [&](const HeldOrder& aOrder) {
    return aOrder.worker == key && !aOrder.start.has_value();
  });
  this->workers.erase(key);
}

void JobScheduler::LeaveDrainingWorker(Worker& aWorker)
{
  const std::set<WorkerRun> runs = aWorker.runs;
  for (const WorkerRun& item : runs) {
    Run* run = this->FindRun(item);
    const StepSpec& step = this->SpecOf(item.place);
    if (run != nullptr && run->state != RunState::Stopping && !step.gang &&
        (step.longRunning || step.checkpointing)) {
      this->counters.Add("runs_stopped_total", "draining");
      this->StopRun(item.place, *run);
    }
  }
}

} // namespace oriolespread::jobs
