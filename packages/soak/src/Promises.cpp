#include "Promises.h"

#include <algorithm>
#include <utility>

namespace oriolespread::soak {

namespace {

struct TaskParts
{
  std::string job;
  std::string occurrence;
  std::size_t step = 0;
  std::size_t index = 0;
};

TaskParts Split(const std::string& aTask)
{
  const std::size_t first = aTask.find('.');
  const std::size_t second = aTask.find('.', first + 1);
  const std::size_t third = aTask.find('.', second + 1);
  return { aTask.substr(0, first),
           aTask.substr(first + 1, second - first - 1),
           std::stoul(aTask.substr(second + 1, third - second - 1)),
           std::stoul(aTask.substr(third + 1)) };
}

} // namespace

Promises::Promises(Instant aStart, PromiseBounds aBounds, InTouchSince aInTouchSince)
  : start(aStart)
  , bounds(aBounds)
  , inTouchSince(std::move(aInTouchSince))
{
}

std::string Promises::TimeText(Instant aTime) const
{
  return std::to_string(ToMilliseconds(aTime - this->start)) + " ms";
}

void Promises::Break(const std::string& aText)
{
  this->broken.push_back(this->TimeText(BootClock::now()) + ": " + aText);
}

bool Promises::IsInTouch() const
{
  return !this->bounds.onlyInTouch || this->inTouchSince() <= BootClock::now();
}

SoakTask* Promises::FindTask(const std::string& aTask)
{
  const TaskParts parts = Split(aTask);
  const auto it = this->jobs.find(parts.job);
  if (it == this->jobs.end() || parts.occurrence != "0") {
    return nullptr;
  }
  SoakJob& job = it->second;
  return parts.step < job.tasks.size() && parts.index < job.tasks[parts.step].size()
           ? &job.tasks[parts.step][parts.index]
           : nullptr;
}

void Promises::OnResumed(const std::string& aWorker,
                         const std::string& aTask,
                         std::uint64_t aRun,
                         const std::string& aCheckpoint)
{
  ++this->resumed;
  const std::string what =
    aTask + " run " + std::to_string(aRun) + " on " + aWorker + " from checkpoint " + aCheckpoint;
  const SoakTask* task = this->FindTask(aTask);
  if (task == nullptr) {
    this->Break("resumed what nobody submitted: " + what);
    return;
  }
  const auto saved = task->checkpoints.find(aCheckpoint);
  if (saved == task->checkpoints.end()) {
    this->Break("resumed from a checkpoint that is not the task's: " + what);
  } else if (saved->second >= aRun) {
    this->Break("resumed from a checkpoint of run " + std::to_string(saved->second) + ": " + what);
  }
}

void Promises::OnStarted(const std::string& aWorker,
                         const std::string& aTask,
                         std::uint64_t aRun,
                         const std::string& aPayload)
{
  ++this->starts;
  const Instant now = BootClock::now();
  const std::string what = aTask + " run " + std::to_string(aRun) + " on " + aWorker;
  SoakTask* task = this->FindTask(aTask);
  if (task == nullptr) {
    this->Break("started what nobody submitted: " + what);
    return;
  }
  const TaskParts parts = Split(aTask);
  const SoakJob& job = this->jobs.at(parts.job);
  if (job.spec.payload != aPayload) {
    this->Break("started with another spec: " + what + ", spec " + aPayload);
  }
  for (const auto& [number, run] : task->running) {
    this->Break("runs twice, also as run " + std::to_string(number) + " on " + run.worker +
                " since " + this->TimeText(run.started) + ": " + what);
  }
  if (task->acknowledgedDone) {
    this->Break("started after its end was acknowledged: " + what);
  }
  if (!job.spec.steps[parts.step].longRunning && job.maxAttempts > 0 &&
      task->acknowledgedFailures >= job.maxAttempts) {
    this->Break("started after its last attempt had failed: " + what);
  }
  if (!job.HasTurn(parts.step)) {
    this->Break("started before the step ahead was done: " + what);
  }
  if (job.cancelled && now > job.cancelledAt + this->bounds.cancelTime && this->IsInTouch()) {
    this->Break("started after its cancellation, acknowledged at " +
                this->TimeText(job.cancelledAt) + ": " + what);
  }
  task->running[aRun] = { aWorker, now };
}

void Promises::OnSaved(const std::string& aTask, std::uint64_t aRun, const std::string& aCheckpoint)
{
  if (SoakTask* task = this->FindTask(aTask); task != nullptr) {
    task->checkpoints[aCheckpoint] = aRun;
  }
}

void Promises::OnEnded(const std::string& aWorker,
                       const std::string& aTask,
                       std::uint64_t aRun,
                       const std::string& aHow)
{
  SoakTask* task = this->FindTask(aTask);
  if (task == nullptr) {
    return;
  }
  const Instant now = BootClock::now();
  const auto it = task->running.find(aRun);
  if (it != task->running.end() && it->second.worker == aWorker) {
    task->running.erase(it);
  }
  task->lastEnd = now;
  task->done = task->done || aHow == "done";
  task->failures += aHow == "failed" ? 1 : 0;
  SoakJob& job = this->jobs.at(Split(aTask).job);
  if ((aHow == "done" && job.IsCompleted()) || (aHow == "failed" && job.HasFailed())) {
    job.mayHaveEndedAt = std::min(job.mayHaveEndedAt, now);
  }
}

void Promises::OnAcknowledged(const std::string& aTask, const std::string& aHow)
{
  if (SoakTask* task = this->FindTask(aTask); task != nullptr) {
    task->acknowledgedDone = task->acknowledgedDone || aHow == "done";
    task->acknowledgedFailures += aHow == "failed" ? 1 : 0;
  }
}

void Promises::OnShown(const std::string& aJob, const std::string& aState)
{
  SoakJob& job = this->jobs.at(aJob);
  if (aState == "completed" && !job.IsCompleted()) {
    this->Break("shown as completed with tasks that are not done: " + aJob);
  }
  if (aState == "cancelled" && !job.cancelled) {
    this->Break("shown as cancelled without a cancellation: " + aJob);
  }
  if (aState == "failed" && !job.HasFailed()) {
    this->Break("shown as failed without failed runs: " + aJob);
  }
  job.ended = job.ended || (aState != "queued" && aState != "running");
}

void Promises::OnUnknown(const std::string& aJob)
{
  SoakJob& job = this->jobs.at(aJob);
  const bool mayBeForgotten = job.mayHaveEndedAt < Instant::max() - this->bounds.keepEnded &&
                              BootClock::now() >= job.mayHaveEndedAt + this->bounds.keepEnded;
  if (job.accepted && !mayBeForgotten) {
    this->Break("an accepted job is not known: " + aJob + ", accepted at " +
                this->TimeText(job.acceptedAt));
  }
  job.ended = job.ended || mayBeForgotten;
}

void Promises::CheckCancelled()
{
  const Instant now = BootClock::now();
  for (auto& [id, job] : this->jobs) {
    if (!job.cancelled) {
      continue;
    }
    const Instant from =
      this->bounds.onlyInTouch ? std::max(job.cancelledAt, this->inTouchSince()) : job.cancelledAt;
    if (now <= from + this->bounds.cancelledRunTime || !job.HasRunning()) {
      continue;
    }
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
      for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
        for (auto& [number, run] : job.tasks[step][index].running) {
          if (std::exchange(run.overdueReported, true)) {
            continue;
          }
          this->Break("works on after its cancellation, acknowledged at " +
                      this->TimeText(job.cancelledAt) + ": " + id + ".0." + std::to_string(step) +
                      "." + std::to_string(index) + " run " + std::to_string(number) + " on " +
                      run.worker + " since " + this->TimeText(run.started));
        }
      }
    }
  }
}

std::size_t Promises::OpenJobs() const
{
  std::size_t open = 0;
  for (const auto& [id, job] : this->jobs) {
    // What a submission without an answer has done is not known before it is answered.
    open += job.submitting || (job.accepted && !job.ended) ? 1 : 0;
  }
  return open;
}

void Promises::CheckEnd()
{
  for (const auto& [id, job] : this->jobs) {
    if (job.accepted && !job.ended) {
      this->Break("an accepted job did not end: " + id);
    }
    if (!job.accepted && !job.submitting && job.onlyRefused && job.HasStarted()) {
      this->Break("a job ran whose every try was refused: " + id);
    }
  }
}

} // namespace oriolespread::soak
