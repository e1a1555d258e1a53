// The part of JobScheduler that finds runs without progress and runs on slow workers, and moves
// them.
#include "oriolespread/jobs/JobScheduler.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// Runs whose speeds differ by less than this factor are alike: the estimate of their step is wrong,
// rather than one worker slow.
constexpr double kAlikeSpeedFactor = 2.0;

// Computed in milliseconds, because the estimate is the caller's and may be any number.
std::int64_t StallTimeoutMs(const SchedulerSettings& aSettings, const StepSpec& aStep)
{
  const auto estimateShareMs =
    static_cast<std::int64_t>(aSettings.stallEstimateShare * static_cast<double>(aStep.estimateMs));
  return std::max(ToMilliseconds(aSettings.stallTimeout), estimateShareMs);
}

Duration SpeedWindow(const SchedulerSettings& aSettings, const StepSpec& aStep)
{
  const auto estimateShareMs =
    static_cast<std::int64_t>(aSettings.speedEstimateShare * static_cast<double>(aStep.estimateMs));
  return std::max<Duration>(aSettings.speedWindow, std::chrono::milliseconds(estimateShareMs));
}

std::string_view AvoidReasonName(AvoidReason aReason)
{
  switch (aReason) {
    case AvoidReason::Failing:
      return "failing";
    case AvoidReason::Stalled:
      return "stalled";
    case AvoidReason::Slow:
      return "slow";
  }
  return "unknown";
}

} // namespace

// After a gap in the full reports, unchanged progress only shows that the worker was silent, so the
// runs get the whole time again.
void JobScheduler::IgnoreReportGap(Worker& aWorker, Now aNow)
{
  const Duration gap = aNow.instant - aWorker.lastFullReport;
  aWorker.lastFullReport = aNow.instant;
  if (gap <= this->settings.speedWindow) {
    return;
  }
  for (const RunKey& key : aWorker.runs) {
    Run* run = this->FindRun(key);
    if (run == nullptr) {
      continue;
    }
    run->speed.Restart(run->percent, aNow.instant);
    if (gap > this->settings.stallTimeout) {
      run->percentChangedAt = aNow.instant;
    }
  }
}

void JobScheduler::StopIfStalled(Worker& aWorker, const RunKey& aRunKey, Now aNow)
{
  Run& run = *this->FindRun(aRunKey);
  const StepSpec& step = this->SpecOf(aRunKey.task);
  const Duration stalledFor = aNow.instant - run.percentChangedAt;
  if (run.state != RunState::Running || step.longRunning || step.gang ||
      ToMilliseconds(stalledFor) < StallTimeoutMs(this->settings, step)) {
    return;
  }
  // A best-effort run on a worker with serving runs has more likely been paused for them than
  // stalled by a fault of the worker.
  const bool maybePaused = step.fillsUnused && aWorker.servingRuns > 0;
  if (maybePaused && !step.checkpointing && stalledFor < this->settings.pausedStallTimeout) {
    return;
  }
  this->counters.Add("runs_stopped_total", "stalled");
  this->log("run_stalled",
            { { "task", ToRunRef(aRunKey).task },
              { "run", aRunKey.number },
              { "worker", aWorker.key.id },
              { "percent", run.percent },
              { "still_ms", ToMilliseconds(aNow.instant - run.percentChangedAt) } });
  this->FindTask(aRunKey.task)->lastFailedWorker = aWorker.key.id;
  if (!maybePaused) {
    this->AvoidWorker(aWorker, AvoidReason::Stalled, aNow);
  }
  this->StopRun(aRunKey.task, run);
}

// A worker that has become slow delays each job that has a task on it. Best-effort runs may be
// paced for serving runs, so their speed counts only on workers that other runs have shown to be
// slow. A task is moved at most once: if it is slow again, its estimate is more likely wrong.
void JobScheduler::StopIfSlow(Worker& aWorker, const RunKey& aRunKey, Now aNow)
{
  Run& run = *this->FindRun(aRunKey);
  const StepSpec& spec = this->SpecOf(aRunKey.task);
  if (run.state != RunState::Running || spec.longRunning || spec.gang ||
      !run.speed.Update(
        run.percent, spec.estimateMs, SpeedWindow(this->settings, spec), aNow.instant)) {
    return;
  }
  const bool knownSlow = aWorker.slowJobs.size() >= this->settings.slowJobLimit;
  if (spec.fillsUnused && !knownSlow) {
    return;
  }
  const double speed = *run.speed.Last();
  if (speed >= this->settings.slowRunSpeed) {
    aWorker.slowJobs.clear();
    return;
  }
  const PeerSpeed peers = knownSlow ? PeerSpeed::Faster : this->ComparePeers(aRunKey, speed);
  if (peers == PeerSpeed::Alike) {
    return;
  }
  this->AvoidIfSlow(aWorker, aRunKey.task.job, aNow);
  if (peers == PeerSpeed::Unknown) {
    return;
  }
  Task& task = *this->FindTask(aRunKey.task);
  const Duration gain = MoveGain({ speed, run.percent, spec.estimateMs, spec.checkpointing });
  if (task.moved || gain < this->settings.minMoveGain) {
    return;
  }
  this->counters.Add("runs_stopped_total", "slow");
  this->log("run_slow",
            { { "task", ToRunRef(aRunKey).task },
              { "run", aRunKey.number },
              { "worker", aWorker.key.id },
              { "percent", run.percent },
              { "speed", speed },
              { "gain_ms", ToMilliseconds(gain) } });
  task.moved = true;
  task.lastFailedWorker = aWorker.key.id;
  this->StopRun(aRunKey.task, run);
}

JobScheduler::PeerSpeed JobScheduler::ComparePeers(const RunKey& aRunKey, double aSpeed)
{
  const WorkerKey worker = this->FindRun(aRunKey)->worker;
  PeerSpeed peers = PeerSpeed::Unknown;
  for (const Task& task : this->FindStep(aRunKey.task)->tasks) {
    for (const Run& other : task.runs) {
      if (other.worker == worker || other.state != RunState::Running) {
        continue;
      }
      if (other.speed.Last().value_or(0) < kAlikeSpeedFactor * aSpeed) {
        return PeerSpeed::Alike;
      }
      peers = PeerSpeed::Faster;
    }
  }
  return peers;
}

void JobScheduler::AvoidIfSlow(Worker& aWorker, const std::string& aJob, Now aNow)
{
  aWorker.slowJobs.insert(aJob);
  if (aWorker.slowJobs.size() < this->settings.slowJobLimit) {
    return;
  }
  this->AvoidWorker(aWorker, AvoidReason::Slow, aNow);
}

void JobScheduler::AvoidWorker(Worker& aWorker, AvoidReason aReason, Now aNow)
{
  const bool isRenewed = aNow.instant < aWorker.avoidUntil;
  aWorker.avoidUntil =
    std::max(aWorker.avoidUntil,
             aNow.instant + (aReason == AvoidReason::Slow ? this->settings.slowWorkerBackoff
                                                          : this->settings.failingWorkerBackoff));
  if (isRenewed && aReason != AvoidReason::Failing) {
    return;
  }
  const auto [avoided, usable] = this->CountAvoidedWorkers(aWorker.state.service, aNow.instant);
  this->counters.Add("workers_avoided_total", AvoidReasonName(aReason));
  this->log("worker_avoided",
            { { "worker", aWorker.key.id },
              { "reason", AvoidReasonName(aReason) },
              { "avoided", avoided },
              { "usable", usable } });
}

JobScheduler::AvoidedCount JobScheduler::CountAvoidedWorkers(const std::string& aService,
                                                             Instant aNow) const
{
  AvoidedCount count;
  for (const auto& [key, worker] : this->workers) {
    if (worker.state.service == aService && IsUsable(worker)) {
      ++count.usable;
      count.avoided += aNow < worker.avoidUntil ? 1 : 0;
    }
  }
  return count;
}

std::size_t JobScheduler::AvoidedWorkers(Now aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(this->workers.begin(), this->workers.end(), [&](const auto& aItem) {
      return IsUsable(aItem.second) && aNow.instant < aItem.second.avoidUntil;
    }));
}

} // namespace oriolespread::jobs
