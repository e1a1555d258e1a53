#include "WaitCheck.h"

#include <algorithm>
#include <utility>

namespace oriolespread::soak {

namespace {

// A job that could run may wait for this long.
constexpr Duration kMaxWait = std::chrono::seconds(3);
// A long-running task that could run has this long after its last run before its wait counts.
constexpr Duration kRestartTime = std::chrono::seconds(6);
// Below this share of reserved cores, nothing else is a reason to wait.
constexpr double kHalf = 0.5;

bool IsOpen(const SoakJob& aJob)
{
  return !aJob.cancelled && !aJob.ended && aJob.mayHaveEndedAt == Instant::max() &&
         !aJob.IsCompleted();
}

} // namespace

WaitCheck::WaitCheck(Promises& aPromises, InTouchSince aInTouchSince)
  : promises(aPromises)
  , inTouchSince(std::move(aInTouchSince))
{
}

void WaitCheck::Check(const std::vector<WorkerRoom>& aWorkers)
{
  this->now = BootClock::now();
  this->workers = aWorkers;
  Resources capacity;
  Resources reserved;
  for (const WorkerRoom& worker : this->workers) {
    capacity += worker.capacity;
    reserved += worker.reserved;
  }
  this->use = capacity.milliCores == 0 ? 1.0
                                       : static_cast<double>(reserved.milliCores) /
                                           static_cast<double>(capacity.milliCores);
  for (const auto& [id, job] : this->promises.jobs) {
    if (job.accepted) {
      this->CheckJob(id, job);
    }
  }
  this->CheckStandstill();
}

void WaitCheck::CheckStandstill()
{
  const std::size_t starts = this->promises.Starts();
  const bool started = std::exchange(this->starts, starts) != starts;
  const auto& jobs = this->promises.jobs;
  const bool waits = std::any_of(jobs.begin(), jobs.end(), [this](const auto& aJob) {
    return aJob.second.accepted && IsOpen(aJob.second) && this->HasWaitingTask(aJob.second);
  });
  if (this->standsSince != Instant{}) {
    this->longestStandstill = std::max(this->longestStandstill, this->now - this->standsSince);
  }
  if (!waits) {
    this->standsSince = {};
  } else if (started || this->standsSince == Instant{}) {
    this->standsSince = this->now;
  }
}

bool WaitCheck::HasWaitingTask(const SoakJob& aJob) const
{
  for (std::size_t step = 0; step < aJob.tasks.size(); ++step) {
    const auto& tasks = aJob.tasks[step];
    const bool waits = std::any_of(tasks.begin(), tasks.end(), [](const SoakTask& aTask) {
      return !aTask.done && aTask.running.empty();
    });
    if (waits && aJob.HasTurn(step) && this->HasRoomTwice(aJob, step)) {
      return true;
    }
  }
  return false;
}

void WaitCheck::CheckJob(const std::string& aId, const SoakJob& aJob)
{
  if (!IsOpen(aJob)) {
    this->waits.erase(aId);
    return;
  }
  std::string waiting;
  if (!aJob.HasRunning()) {
    for (std::size_t step = 0; step < aJob.tasks.size() && waiting.empty(); ++step) {
      if (!aJob.AllDone(step) && aJob.HasTurn(step) && this->HasRoomTwice(aJob, step)) {
        waiting =
          "step " + std::to_string(step) + (aJob.spec.steps[step].fillsUnused ? " fills" : "");
      }
    }
  }
  this->Note(aId, !waiting.empty(), aJob.acceptedAt, true, "has nothing running, " + waiting);
  this->CheckLastingTasks(aId, aJob);
}

void WaitCheck::CheckLastingTasks(const std::string& aId, const SoakJob& aJob)
{
  for (std::size_t step = 0; step < aJob.tasks.size(); ++step) {
    if (!aJob.spec.steps[step].longRunning) {
      continue;
    }
    for (std::size_t index = 0; index < aJob.tasks[step].size(); ++index) {
      const SoakTask& task = aJob.tasks[step][index];
      const Instant from = std::max(task.lastEnd, aJob.acceptedAt) + kRestartTime;
      const bool waits = task.running.empty() && this->now > from && this->HasRoomTwice(aJob, step);
      this->Note(aId + ".0." + std::to_string(step) + "." + std::to_string(index),
                 waits,
                 from,
                 false,
                 "lasts and has no run since " +
                   this->promises.TimeText(std::max(task.lastEnd, aJob.acceptedAt)));
    }
  }
}

void WaitCheck::Note(const std::string& aWhat,
                     bool aWaits,
                     Instant aFrom,
                     bool aOnlyBelowHalf,
                     const std::string& aText)
{
  if (!aWaits) {
    this->waits.erase(aWhat);
    return;
  }
  Wait& wait = this->waits.try_emplace(aWhat, Wait{ std::max(this->now, aFrom) }).first->second;
  wait.highestUse = std::max(wait.highestUse, this->use);
  const Instant since = std::max(wait.since, std::min(this->inTouchSince(), this->settledFrom));
  if (wait.reported || this->now <= since + kMaxWait) {
    return;
  }
  wait.reported = true;
  if (aOnlyBelowHalf && wait.highestUse >= kHalf) {
    ++this->waitsOnFullWorkers;
    return;
  }
  this->promises.Break("waits with room for it twice: " + aWhat + " " + aText + ", waits since " +
                       this->promises.TimeText(wait.since) + ", at most " +
                       std::to_string(static_cast<int>(wait.highestUse * 100)) +
                       "% of the cores reserved");
}

bool WaitCheck::HasRoomTwice(const SoakJob& aJob, std::size_t aStep) const
{
  const jobs::StepSpec& step = aJob.spec.steps[aStep];
  std::int64_t room = 0;
  for (const WorkerRoom& worker : this->workers) {
    const Resources free = worker.capacity - worker.reserved;
    std::int64_t fit = free.memoryMiB / std::max<std::int64_t>(1, step.demand.memoryMiB);
    if (!step.fillsUnused) {
      fit = std::min(fit, free.milliCores / std::max<std::int64_t>(1, step.demand.milliCores));
    }
    if (step.maxPerWorker > 0) {
      std::int64_t present = 0;
      for (const SoakTask& task : aJob.tasks[aStep]) {
        present += std::count_if(task.running.begin(), task.running.end(), [&](const auto& aRun) {
          return aRun.second.worker == worker.id;
        });
      }
      fit = std::min(fit, std::int64_t{ step.maxPerWorker } - present);
    }
    room += std::max<std::int64_t>(0, fit);
  }
  return room >= 2;
}

} // namespace oriolespread::soak
