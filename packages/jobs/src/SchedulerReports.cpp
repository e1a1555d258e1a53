// The part of JobScheduler that handles agent connections and worker reports.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// A best-effort run that uses fewer cores has just started or is paused, and causes no
// interference.
constexpr std::int64_t kMinActiveMilliCores = 100;

WorkerKey KeyOf(const WorkerReport& aReport)
{
  return { aReport.worker.id, aReport.worker.born };
}

} // namespace

void JobScheduler::OnAgentUp(const std::string& aAgent, Now aNow)
{
  const auto it = this->workerOfAgent.find(aAgent);
  if (it != this->workerOfAgent.end()) {
    Worker& worker = this->workers[it->second];
    worker.connected = true;
    worker.reconciled = false;
    worker.lastReport = std::max(worker.lastReport, aNow.instant - this->settings.reportTimeout);
    // The first report may take seconds if the worker does not answer; a stop does not wait for it.
    for (const RunKey& item : worker.runs) {
      if (const Run* run = this->FindRun(item); run->state == RunState::Stopping) {
        this->OrderStop(item);
      }
    }
  }
}

void JobScheduler::OnOrdersLost(const std::string& aAgent)
{
  const auto it = this->workerOfAgent.find(aAgent);
  if (it != this->workerOfAgent.end()) {
    this->workers[it->second].reconciled = false;
  }
}

void JobScheduler::OnAgentDown(const std::string& aAgent, Now /*aNow*/)
{
  this->outgoingOrders.erase(aAgent);
  this->agentContacts[aAgent].lastReport = {};
  const auto it = this->workerOfAgent.find(aAgent);
  if (it != this->workerOfAgent.end()) {
    Worker& worker = this->workers[it->second];
    worker.connected = false;
    worker.reconciled = false;
  }
}

void JobScheduler::OnReport(const std::string& aAgent, const WorkerReport& aReport, Now aNow)
{
  this->agentContacts[aAgent].lastReport = aNow.instant;
  this->TakeOpenStarts(aAgent, aReport, aNow);
  if (aReport.worker.id.empty()) {
    // The agent has been restarted and knows no worker. The worker that it served before has ended,
    // or all leases of that worker have expired.
    if (aReport.allLost) {
      this->RemoveOtherWorkers(aAgent, std::nullopt, "worker_absent", aNow);
    }
    return;
  }
  if (!aReport.full && !aReport.allLost && this->HasRunsOfOtherWorkers(aAgent, KeyOf(aReport))) {
    // The worker has restarted and may have carried out a late start of one of these runs. The next
    // full report lists what runs there.
    this->counters.Add("reports_ignored_total", "worker_restarted");
    this->CountLeasesOfOtherWorkers(aAgent, aReport, aNow);
    return;
  }
  Worker* worker = this->RegisterWorker(aAgent, aReport, aNow);
  worker->connected = true;
  worker->reported = true;
  worker->lastReport = aNow.instant;
  worker->latestLeaseExpiry = this->CountLeases(aReport, aNow);
  const bool startsDraining = aReport.worker.draining && !worker->state.draining;
  worker->state = aReport.worker;
  worker->evacuated = this->evacuatedDataCentres.contains(worker->state.dataCentre);
  for (const EndedRun& end : aReport.ended) {
    this->ApplyRunEnd(*worker, end, aNow);
  }
  for (const RejectedRun& rejected : aReport.rejected) {
    this->ApplyRejection(*worker, rejected, aReport.lastOrders, aNow);
  }
  if (aReport.allLost) {
    worker->reconciled = false;
    this->RemoveLostRuns(*worker, "worker_silent", aNow);
    return;
  }
  if (aReport.full) {
    this->IgnoreReportGap(*worker, aNow);
  }
  this->ApplyRunning(*worker, aReport, aNow);
  if (aReport.full) {
    this->UpdateInterference(*worker, aReport, aNow);
    this->Reconcile(*worker, aReport, aNow);
  }
  if (worker->evacuated) {
    this->WithdrawStarts(*worker);
  }
  if (startsDraining) {
    this->log("worker_draining",
              { { "worker", worker->key.id }, { "remaining_ms", worker->state.remainingMs } });
  }
  if (worker->state.draining) {
    this->StopResumableRuns(*worker);
  }
}

void JobScheduler::OnReportWhileLoading(const WorkerReport& aReport, Now aNow)
{
  this->CountLeases(aReport, aNow);
}

Instant JobScheduler::CountLeases(const WorkerReport& aReport, Now aNow)
{
  const auto longestMs = ToMilliseconds(this->settings.maxReportedLease);
  const std::chrono::milliseconds reported(
    std::clamp<std::int64_t>(aReport.leasesEndInMs, 0, longestMs));
  const Duration bound =
    std::max<Duration>(this->settings.LeaseBound(), reported + this->settings.reportedLeaseMargin);
  const Instant expiry = aNow.instant + bound;
  this->latestLeaseExpiry = std::max(this->latestLeaseExpiry, expiry);
  return expiry;
}

void JobScheduler::CountLeasesOfOtherWorkers(const std::string& aAgent,
                                             const WorkerReport& aReport,
                                             Now aNow)
{
  const Instant expiry = this->CountLeases(aReport, aNow);
  for (const WorkerKey& key : this->OtherWorkers(aAgent, KeyOf(aReport))) {
    Worker& worker = this->workers.at(key);
    // Starts that this process was ordered are refused, and the refusals are not taken.
    worker.reconciled = false;
    if (worker.firstReportNotTaken == Instant{}) {
      worker.firstReportNotTaken = aNow.instant;
    }
    // A worker whose lists are not readable never sends the full report that settles these runs.
    if (aNow.instant - worker.firstReportNotTaken < this->settings.LeaseBound()) {
      worker.latestLeaseExpiry = std::max(worker.latestLeaseExpiry, expiry);
    }
  }
}

Worker* JobScheduler::RegisterWorker(const std::string& aAgent,
                                     const WorkerReport& aReport,
                                     Now aNow)
{
  const WorkerKey key = KeyOf(aReport);
  this->RemoveOtherWorkers(aAgent, key, "worker_restarted", aNow);
  this->workerOfAgent[aAgent] = key;
  Worker& worker = this->workers[key];
  if (!worker.reported) {
    this->log("worker_known",
              { { "worker", key.id },
                { "born", key.born },
                { "agent", aAgent },
                { "data_centre", aReport.worker.dataCentre },
                { "leases_end_in_ms", aReport.leasesEndInMs } });
  }
  worker.key = key;
  worker.agent = aAgent;
  return &worker;
}

std::set<WorkerKey> JobScheduler::OtherWorkers(const std::string& aAgent,
                                               const std::optional<WorkerKey>& aCurrent) const
{
  std::set<WorkerKey> others;
  if (const auto loaded = this->loadedWorkersOfAgent.find(aAgent);
      loaded != this->loadedWorkersOfAgent.end()) {
    others = loaded->second;
  }
  if (const auto known = this->workerOfAgent.find(aAgent); known != this->workerOfAgent.end()) {
    others.insert(known->second);
  }
  std::erase_if(others, [&](const WorkerKey& aKey) {
    return aCurrent == aKey || !this->workers.contains(aKey);
  });
  return others;
}

bool JobScheduler::HasRunsOfOtherWorkers(const std::string& aAgent, const WorkerKey& aCurrent) const
{
  const std::set<WorkerKey> others = this->OtherWorkers(aAgent, aCurrent);
  return std::any_of(others.begin(), others.end(), [&](const WorkerKey& aKey) {
    return !this->workers.at(aKey).runs.empty();
  });
}

void JobScheduler::RemoveOtherWorkers(const std::string& aAgent,
                                      const std::optional<WorkerKey>& aCurrent,
                                      std::string_view aReason,
                                      Now aNow)
{
  for (const WorkerKey& key : this->OtherWorkers(aAgent, aCurrent)) {
    this->RemoveLostWorker(this->workers.at(key), aReason, aNow);
  }
  this->loadedWorkersOfAgent.erase(aAgent);
}

bool JobScheduler::ResolveRun(const Worker& aWorker, const RunRef& aRef, RunKey& aRunKey) const
{
  if (!ParseRunRef(aRef, aRunKey)) {
    return false;
  }
  if (aWorker.runs.contains(aRunKey)) {
    return true;
  }
  const std::string identifier = aRunKey.task.job;
  std::string ofService;
  for (const std::string& id : this->JobsWithIdentifier(identifier)) {
    aRunKey.task.job = id;
    if (aWorker.runs.contains(aRunKey)) {
      return true;
    }
    const std::string& service = this->jobs.at(id).record.policy.service;
    if (service.empty() || service == aWorker.state.service) {
      ofService = id;
    }
  }
  // No job of another service runs there, so that the run must not be adopted for one.
  aRunKey.task.job =
    ofService.empty() ? ServiceJobKey(identifier, aWorker.state.service) : ofService;
  return true;
}

// A run is unknown if its job has ended, or if it was considered lost and its task was started
// again.
bool JobScheduler::StopIfUnknown(Worker& aWorker, const RunRef& aRef)
{
  RunKey runKey;
  const bool isReadable = this->ResolveRun(aWorker, aRef, runKey);
  const Run* run = isReadable ? this->FindRun(runKey) : nullptr;
  if (run != nullptr && run->worker == aWorker.key) {
    return false;
  }
  if (isReadable && this->AdoptRun(aWorker, runKey)) {
    return this->FindRun(runKey)->state == RunState::Stopping;
  }
  this->OrdersFor(aWorker.agent, aWorker.key).stops.push_back(aRef);
  this->counters.Add("runs_stopped_total", "unknown");
  this->log("run_unknown",
            { { "task", aRef.task }, { "run", aRef.run }, { "worker", aWorker.key.id } });
  return true;
}

bool JobScheduler::AdoptRun(Worker& aWorker, const RunKey& aRunKey)
{
  const Task* task = this->FindTask(aRunKey.task);
  // A run that a worker of an evacuated data centre has started late is stopped instead.
  if (task == nullptr || task->state != TaskState::Waiting || aWorker.evacuated ||
      aRunKey.number >= task->nextRunNumber || IsTerminal(this->jobs.at(aRunKey.task.job).state)) {
    return false;
  }
  this->AddRun(aRunKey, RunState::Ordered, aWorker);
  this->RecomputeHeadroomCosts(aWorker);
  const StepSpec& step = this->SpecOf(aRunKey.task);
  this->MarkChanged(this->ProgressRowOf(aRunKey.task));
  this->counters.Add("runs_adopted_total", step.gang ? "stopped" : "kept");
  this->log("run_adopted",
            { { "task", ToRunRef(aRunKey).task },
              { "run", aRunKey.number },
              { "worker", aWorker.key.id },
              { "stopping", step.gang } });
  if (step.gang) {
    // The other members may be stopped already. The gang is placed again once all are gone.
    this->StopRun(aRunKey.task, *this->FindRun(aRunKey));
  }
  return true;
}

void JobScheduler::ApplyRunning(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  for (const RunningRun& running : aReport.running) {
    RunKey runKey;
    if (!this->ResolveRun(aWorker, running.ref, runKey)) {
      continue;
    }
    if (this->StopIfUnknown(aWorker, running.ref)) {
      this->OnRunStarted(runKey, aNow);
      continue;
    }
    Run* run = this->FindRun(runKey);
    if (run->state == RunState::Ordered) {
      this->OnRunStarted(runKey, aNow);
      run->state = RunState::Running;
      run->percentChangedAt = aNow.instant;
      if (this->FindTask(runKey.task)->checkpoint.empty()) {
        run->speed.Restart(running.percent, aNow.instant);
      } else {
        run->speed.RestartAfter(running.percent);
      }
    }
    this->jobs.at(runKey.task.job).lastRunning = aNow.instant;
    this->FindTask(runKey.task)->lastRunning = aNow.instant;
    if (run->percent != running.percent) {
      run->percent = running.percent;
      run->percentChangedAt = aNow.instant;
    }
    if (!running.checkpoint.empty()) {
      this->UpdateCheckpoint(runKey.task, running.checkpoint, aNow);
    }
    this->StopIfStalled(aWorker, runKey, aNow);
    this->StopIfSlow(aWorker, runKey, aNow);
  }
  for (const RunRef& ref : aReport.undescribed) {
    RunKey runKey;
    const Run* run = this->ResolveRun(aWorker, ref, runKey) ? this->FindRun(runKey) : nullptr;
    if (run != nullptr && run->worker == aWorker.key && run->state == RunState::Running) {
      this->OrderStart(runKey, true);
    }
  }
}

void JobScheduler::OnRunStarted(const RunKey& aRunKey, Now aNow)
{
  Job* job = this->FindJob(aRunKey.task.job);
  const Task* task = this->FindTask(aRunKey.task);
  if (task == nullptr || job->started || aRunKey.number >= task->nextRunNumber) {
    return;
  }
  this->startDelays.push_back(aNow.instant - job->firstSeen);
  this->MarkStarted(*job);
}

void JobScheduler::MarkStarted(Job& aJob)
{
  aJob.started = true;
  aJob.state = JobState::Running;
  this->MarkChanged(StateRow(aJob.record.id));
  this->MarkRemovable(WaitingRow(aJob.record.policy.queue, aJob.record.id));
}

// The stored checkpoints are used when the leader fails together with the workers, for example in a
// loss of power.
void JobScheduler::UpdateCheckpoint(const TaskKey& aTaskKey,
                                    const std::string& aCheckpoint,
                                    Now aNow)
{
  Task& task = *this->FindTask(aTaskKey);
  if (task.checkpoint == aCheckpoint) {
    return;
  }
  task.checkpoint = aCheckpoint;
  Step& step = *this->FindStep(aTaskKey);
  Instant& storedAt =
    step.checkpointsStoredAt[ProgressRowNumber(step.tasks.size(), aTaskKey.index).value_or(0)];
  if (aNow.instant - storedAt >= this->settings.checkpointStoreInterval) {
    storedAt = aNow.instant;
    this->MarkChanged(this->ProgressRowOf(aTaskKey));
  }
}

void JobScheduler::UpdateInterference(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  std::vector<InterferenceModel::CoRunner> coRunners;
  std::vector<std::pair<TaskKey, double>> servingTasks;
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(aWorker.state.capacity.milliCores, 1));
  for (const RunningRun& running : aReport.running) {
    RunKey runKey;
    if (!this->ResolveRun(aWorker, running.ref, runKey) || this->FindRun(runKey) == nullptr) {
      continue;
    }
    const StepSpec& step = this->SpecOf(runKey.task);
    if (step.longRunning && step.latencyTargetMs > 0) {
      const double headroom = running.figure > 0 ? static_cast<double>(step.latencyTargetMs) /
                                                     static_cast<double>(running.figure)
                                                 : 0;
      servingTasks.emplace_back(runKey.task, headroom);
    } else if (step.fillsUnused && running.figure > kMinActiveMilliCores) {
      coRunners.push_back({ step.image, static_cast<double>(running.figure) / capacity });
    }
  }
  std::map<BaselineHeadroom*, std::size_t> baselines;
  for (const auto& [taskKey, headroom] : servingTasks) {
    BaselineHeadroom& baseline = this->FindStep(taskKey)->baseline;
    const std::size_t imageIndex =
      this->interference.ServingImageIndex(this->SpecOf(taskKey).image);
    if (headroom > 0) {
      this->interference.Observe(imageIndex, headroom, coRunners, baseline, aNow.instant);
    }
    baselines[&baseline] = imageIndex;
  }
  aWorker.servingHeadrooms.clear();
  for (const auto& [baseline, imageIndex] : baselines) {
    aWorker.servingHeadrooms.push_back({ imageIndex, baseline->current, baseline->recentMin, 0 });
  }
  this->RecomputeHeadroomCosts(aWorker);
}

std::map<std::string, double> JobScheduler::BestEffortHeadroomCosts(const std::string& aAgent) const
{
  std::map<std::string, double> costs;
  const auto key = this->workerOfAgent.find(aAgent);
  const auto worker =
    key == this->workerOfAgent.end() ? this->workers.end() : this->workers.find(key->second);
  if (worker == this->workers.end()) {
    return costs;
  }
  for (const RunKey& run : worker->second.runs) {
    const StepSpec& step = this->SpecOf(run.task);
    if (!step.fillsUnused) {
      continue;
    }
    double& highest = costs[step.image];
    for (const ServingHeadroom& headroom : worker->second.servingHeadrooms) {
      highest = std::max(highest,
                         this->interference.Weight(step.image, headroom.imageIndex) *
                           BestEffortCoreShare(worker->second, step));
    }
  }
  return costs;
}

void JobScheduler::ApplyRejection(Worker& aWorker,
                                  const RejectedRun& aRejected,
                                  std::uint64_t aLastOrders,
                                  Now aNow)
{
  RunKey runKey;
  Run* run = this->ResolveRun(aWorker, aRejected.ref, runKey) ? this->FindRun(runKey) : nullptr;
  if (run == nullptr || run->worker != aWorker.key) {
    return;
  }
  if (aLastOrders < run->ordersSequence) {
    // The agent rejected an earlier order for the run. It will carry out the one that is under way.
    this->counters.Add("rejections_ignored_total", "ordered_again");
    return;
  }
  this->counters.Add("starts_rejected_total", aRejected.reason);
  this->log("start_rejected",
            { { "task", aRejected.ref.task },
              { "run", aRejected.ref.run },
              { "worker", aWorker.key.id },
              { "reason", aRejected.reason } });
  this->FindTask(runKey.task)->notBefore = aNow.instant + this->settings.retryDelay;
  this->RemoveRun(runKey);
  if (aRejected.reason == kEvacuatedReason) {
    // This tells nothing about the worker once the evacuation ends.
    return;
  }
  aWorker.rejectsUntil = aNow.instant + this->settings.rejectionBackoff;
  aWorker.refusingUntil = aNow.instant + this->settings.failingWorkerBackoff;
}

void JobScheduler::Reconcile(Worker& aWorker, const WorkerReport& aReport, Now aNow)
{
  std::set<RunRef> running;
  for (const RunningRun& item : aReport.running) {
    running.insert(item.ref);
  }
  std::set<RunRef> present = running;
  for (const RunRef& ref : aReport.starting) {
    present.insert(ref);
    this->StopIfUnknown(aWorker, ref);
  }
  for (const EndedRun& end : aReport.ended) {
    present.insert(end.ref);
  }
  const bool isFirstFullReport = !aWorker.reconciled;
  aWorker.reconciled = true;
  const std::set<RunKey> runs = aWorker.runs;
  for (const RunKey& item : runs) {
    Run* run = this->FindRun(item);
    const bool listed = present.contains(ToRunRef(item));
    if (run == nullptr || run->state == RunState::Committing) {
      continue;
    }
    const bool ordersArrived = !isFirstFullReport && aReport.lastOrders >= run->ordersSequence;
    if (run->state == RunState::Stopping) {
      if (!listed && ordersArrived) {
        this->log("run_stopped",
                  { { "task", ToRunRef(item).task },
                    { "run", item.number },
                    { "worker", aWorker.key.id } });
        this->RemoveRun(item);
      } else if (isFirstFullReport) {
        // A run that is not listed may still be started by an order that an earlier process of the
        // agent sent, unless it is stopped.
        this->OrderStop(item);
      }
    } else if (isFirstFullReport && run->state == RunState::Ordered &&
               !running.contains(ToRunRef(item))) {
      if (aWorker.evacuated) {
        // WithdrawStarts stops the run.
        continue;
      }
      // The order may have been lost with the connection, and an agent does not repeat the starts
      // of an earlier connection by itself. Repeating a start order is safe.
      this->OrderStart(item, true);
    } else if (!listed && (isFirstFullReport || ordersArrived)) {
      this->counters.Add("runs_lost_total", "vanished");
      this->log("run_lost",
                { { "task", ToRunRef(item).task },
                  { "run", item.number },
                  { "worker", aWorker.key.id },
                  { "reason", "vanished" } });
      this->FindTask(item.task)->notBefore = aNow.instant + this->settings.retryDelay;
      this->RemoveRun(item);
    } else if (isFirstFullReport) {
      // The agent counts the orders of a connection, and has the one for this run from an earlier
      // connection.
      run->ordersSequence = 0;
    }
  }
}

void JobScheduler::RemoveLostRuns(Worker& aWorker, std::string_view aReason, Now aNow)
{
  const std::set<RunKey> runs = aWorker.runs;
  for (const RunKey& item : runs) {
    this->counters.Add("runs_lost_total", aReason);
    this->RemoveRun(item);
  }
  if (!runs.empty()) {
    this->log(
      "runs_lost",
      { { "worker", aWorker.key.id },
        { "born", aWorker.key.born },
        { "runs", runs.size() },
        { "reason", std::string(aReason) },
        { "reported", aWorker.reported },
        { "silent_ms", aWorker.reported ? ToMilliseconds(aNow.instant - aWorker.lastReport) : -1 },
        { "lease_ends_in_ms", ToMilliseconds(aWorker.latestLeaseExpiry - aNow.instant) } });
  }
}

void JobScheduler::RemoveLostWorker(Worker& aWorker, std::string_view aReason, Now aNow)
{
  this->RemoveLostRuns(aWorker, aReason, aNow);
  const WorkerKey key = aWorker.key;
  const auto agent = this->workerOfAgent.find(aWorker.agent);
  if (agent != this->workerOfAgent.end() && agent->second == key) {
    this->workerOfAgent.erase(agent);
  }
  std::erase_if(this->deferredOrders, [&](const DeferredOrder& aOrder) {
    return aOrder.worker == key && !aOrder.start.has_value();
  });
  this->workers.erase(key);
}

void JobScheduler::StopResumableRuns(Worker& aWorker)
{
  const std::set<RunKey> runs = aWorker.runs;
  for (const RunKey& item : runs) {
    Run* run = this->FindRun(item);
    const StepSpec& step = this->SpecOf(item.task);
    if (run != nullptr && run->state != RunState::Stopping && !step.gang &&
        (step.longRunning || step.checkpointing)) {
      this->counters.Add("runs_stopped_total", "draining");
      this->StopRun(item.task, *run);
    }
  }
}

} // namespace oriolespread::jobs
