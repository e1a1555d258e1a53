#include "Promises.h"

namespace oriolespread::soak {

namespace {

// A cancellation has to reach every worker within this time of its acknowledgement.
constexpr Duration kCancelTime = std::chrono::milliseconds(3000);
// Runs have to end within this time of it: 4 s for starts by the users' rules, and 0.9 s for stops.
constexpr Duration kCancelledRunTime = std::chrono::milliseconds(4900);

struct TaskParts
{
  std::string job;
  std::size_t step = 0;
  std::uint32_t index = 0;
};

TaskParts Split(const std::string& aTask)
{
  const std::size_t first = aTask.find('.');
  const std::size_t second = aTask.find('.', first + 1);
  const std::size_t third = aTask.find('.', second + 1);
  return { aTask.substr(0, first),
           std::stoul(aTask.substr(second + 1, third - second - 1)),
           static_cast<std::uint32_t>(std::stoul(aTask.substr(third + 1))) };
}

} // namespace

void Promises::Break(const std::string& aText)
{
  const std::int64_t at = ToMilliseconds(BootClock::now() - this->start);
  this->broken.push_back(std::to_string(at) + " ms: " + aText);
}

bool Promises::AllDone(const std::string& aJob, std::size_t aSteps) const
{
  const SoakJob& job = this->jobs.at(aJob);
  for (std::size_t step = 0; step < aSteps; ++step) {
    for (std::uint32_t index = 0; index < job.steps[step]; ++index) {
      const std::string task = aJob + ".0." + std::to_string(step) + "." + std::to_string(index);
      if (!this->done.contains(task)) {
        return false;
      }
    }
  }
  return true;
}

void Promises::OnStarted(const std::string& aWorker,
                         const std::string& aTask,
                         std::uint64_t aRun,
                         const std::string& aPayload)
{
  ++this->starts;
  const std::string what = aTask + " run " + std::to_string(aRun) + " on " + aWorker;
  const TaskParts parts = Split(aTask);
  const auto job = this->jobs.find(parts.job);
  if (job == this->jobs.end() || parts.step >= job->second.steps.size() ||
      parts.index >= job->second.steps[parts.step] || job->second.payload != aPayload) {
    this->Break("started what nobody submitted: " + what);
    return;
  }
  if (const auto other = this->running.find(aTask); other != this->running.end()) {
    this->Break("runs twice, also on " + other->second + ": " + what);
  }
  if (this->acknowledgedDone.contains(aTask)) {
    this->Break("started after its end was acknowledged: " + what);
  }
  if (!this->AllDone(parts.job, parts.step)) {
    this->Break("started before the step ahead was done: " + what);
  }
  const SoakJob& known = job->second;
  if (known.cancelled && BootClock::now() > known.cancelledAt + kCancelTime) {
    this->Break("started after its cancellation: " + what);
  }
  this->running[aTask] = aWorker;
}

void Promises::OnEnded(const std::string& aWorker,
                       const std::string& aTask,
                       const std::string& aHow)
{
  const auto it = this->running.find(aTask);
  if (it != this->running.end() && it->second == aWorker) {
    this->running.erase(it);
  }
  if (aHow == "done") {
    this->done.insert(aTask);
  }
}

void Promises::CheckCancelledRuns()
{
  for (auto it = this->running.begin(); it != this->running.end();) {
    const auto& [task, worker] = *it;
    const SoakJob& job = this->jobs.at(Split(task).job);
    if (!job.cancelled || BootClock::now() <= job.cancelledAt + kCancelledRunTime) {
      ++it;
      continue;
    }
    this->Break("runs on after its cancellation: " + task + " on " + worker);
    // Reported once.
    it = this->running.erase(it);
  }
}

void Promises::OnAcknowledged(const std::string& aTask, const std::string& aHow)
{
  if (aHow == "done") {
    this->acknowledgedDone.insert(aTask);
  }
}

void Promises::OnShown(const std::string& aJob, const std::string& aState)
{
  SoakJob& job = this->jobs.at(aJob);
  if (aState == "completed" && !this->AllDone(aJob, job.steps.size())) {
    this->Break("shown as completed with tasks that are not done: " + aJob);
  }
  if (aState == "cancelled" && !job.cancelled) {
    this->Break("shown as cancelled without a cancellation: " + aJob);
  }
  if (aState == "failed") {
    this->Break("shown as failed without a failed run: " + aJob);
  }
  job.ended = job.ended || (aState != "queued" && aState != "running");
}

void Promises::OnUnknown(const std::string& aJob)
{
  if (this->jobs.at(aJob).accepted) {
    this->Break("an accepted job is not known: " + aJob);
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
    bool ran = false;
    for (const std::string& task : this->done) {
      ran = ran || task.starts_with(id + ".");
    }
    if (!job.accepted && !job.submitting && job.onlyRefused && ran) {
      this->Break("a job ran whose every try was refused: " + id);
    }
  }
}

} // namespace oriolespread::soak
