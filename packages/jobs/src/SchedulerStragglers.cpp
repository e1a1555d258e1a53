// The part of JobScheduler that finds runs without progress and runs on slow workers, and moves
// them.
#include "oriolespread/jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

namespace oriolespread::jobs {

namespace {

// Runs whose speeds differ by less than this factor are alike: the estimate of their step is wrong,
// rather than one worker slow.
constexpr double kAlikeSpeedFactor = 2.0;

// The least time between two lines about workers that are not avoided.
constexpr Duration kSkippedAvoidanceLogInterval = std::chrono::milliseconds(1000);

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
  const double speed = *run.speed.Last();
  if (!spec.fillsUnused) {
    aWorker.lastRunSpeed = speed;
    aWorker.lastRunSpeedAt = aNow.instant;
  }
  const bool knownSlow = aWorker.slowJobs.size() >= this->settings.slowJobLimit;
  if (spec.fillsUnused && !knownSlow) {
    return;
  }
  if (speed >= this->settings.slowRunSpeed) {
    aWorker.slowJobs.clear();
    aWorker.ignoredSlowJobs.clear();
    return;
  }
  const bool mostSlow = this->AreMostWorkersSlow(aWorker.state.service, aNow.instant);
  if (mostSlow && !aWorker.slowJobs.empty()) {
    this->SkipAvoidance(aWorker, AvoidReason::Slow, "most_slow", aNow);
    aWorker.slowJobs.clear();
  }
  const PeerSpeed peers =
    knownSlow && !mostSlow ? PeerSpeed::Faster : this->ComparePeers(aRunKey, speed);
  if (peers == PeerSpeed::Alike) {
    return;
  }
  if (!mostSlow) {
    this->AvoidIfSlow(aWorker, aRunKey.task.job, aNow);
  }
  if (peers == PeerSpeed::Unknown) {
    return;
  }
  Task& task = *this->FindTask(aRunKey.task);
  const Duration gain = MoveGain({ speed, run.percent, spec.estimateMs, spec.checkpointing });
  // Without another worker for the task, a run in an evacuated data centre is better than none.
  const bool canMove =
    !aWorker.evacuated ||
    this->HasSoundWorker(this->jobs.at(aRunKey.task.job).record.policy.service, spec, aNow.instant);
  if (task.moved || !canMove || gain < this->settings.minMoveGain) {
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

bool JobScheduler::AreMostWorkersSlow(const std::string& aService, Instant aNow) const
{
  std::size_t measured = 0;
  std::size_t slow = 0;
  for (const auto& [key, worker] : this->workers) {
    if (worker.lastRunSpeed.has_value() && worker.state.service == aService &&
        aNow - worker.lastRunSpeedAt <= this->settings.workerSpeedMemory) {
      ++measured;
      slow += *worker.lastRunSpeed < this->settings.slowRunSpeed ? 1 : 0;
    }
  }
  return measured >= this->settings.minComparedWorkers && 2 * slow > measured;
}

void JobScheduler::AvoidIfSlow(Worker& aWorker, const std::string& aJob, Now aNow)
{
  if (aWorker.ignoredSlowJobs.contains(aJob)) {
    return;
  }
  aWorker.slowJobs.insert(aJob);
  if (aWorker.slowJobs.size() < this->settings.slowJobLimit) {
    return;
  }
  const bool isAvoided = aNow.instant < aWorker.avoidUntil;
  if (isAvoided && aNow.instant - aWorker.avoidedSince >= this->settings.maxSlowAvoidance) {
    aWorker.ignoredSlowJobs = std::exchange(aWorker.slowJobs, {});
    this->SkipAvoidance(aWorker, AvoidReason::Slow, "avoided_long", aNow);
    return;
  }
  this->AvoidWorker(aWorker, AvoidReason::Slow, aNow);
}

void JobScheduler::AvoidWorker(Worker& aWorker, AvoidReason aReason, Now aNow)
{
  const bool isRenewed = aNow.instant < aWorker.avoidUntil;
  if (!isRenewed) {
    const auto [avoided, usable] = this->CountAvoidedWorkers(aWorker.state.service, aNow.instant);
    const auto limit = std::max<std::size_t>(
      static_cast<std::size_t>(this->settings.maxAvoidedShare * static_cast<double>(usable)), 1);
    if (avoided >= limit && aReason != AvoidReason::Failing) {
      this->SkipAvoidance(aWorker, aReason, "limit", aNow);
      return;
    }
    aWorker.avoidedSince = aNow.instant;
  }
  const Duration backoff = aReason == AvoidReason::Slow ? this->settings.slowWorkerBackoff
                                                        : this->settings.failingWorkerBackoff;
  aWorker.avoidUntil = std::max(aWorker.avoidUntil, aNow.instant + backoff);
  if (aReason == AvoidReason::Failing) {
    aWorker.failingUntil = aWorker.avoidUntil;
  } else if (isRenewed) {
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

void JobScheduler::SkipAvoidance(const Worker& aWorker,
                                 AvoidReason aReason,
                                 std::string_view aWhy,
                                 Now aNow)
{
  this->counters.Add("avoidances_skipped_total", aWhy);
  if (aNow.instant < this->nextSkippedAvoidanceLog) {
    return;
  }
  this->nextSkippedAvoidanceLog = aNow.instant + kSkippedAvoidanceLogInterval;
  this->log("avoidance_skipped",
            { { "worker", aWorker.key.id },
              { "reason", AvoidReasonName(aReason) },
              { "why", std::string(aWhy) } });
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
