#include "SoakJob.h"

#include <algorithm>

namespace oriolespread::soak {

namespace {

template<typename Predicate>
bool AnyTask(const SoakJob& aJob, Predicate aPredicate)
{
  return std::any_of(aJob.tasks.begin(), aJob.tasks.end(), [&](const auto& aTasks) {
    return std::any_of(aTasks.begin(), aTasks.end(), aPredicate);
  });
}

} // namespace

void SoakJob::SetSpec(jobs::JobSpec aSpec)
{
  this->spec = std::move(aSpec);
  this->tasks.clear();
  for (const jobs::StepSpec& step : this->spec.steps) {
    this->tasks.emplace_back(step.count);
  }
}

bool SoakJob::AllDone(std::size_t aStep) const
{
  const auto& stepTasks = this->tasks[aStep];
  return std::all_of(
    stepTasks.begin(), stepTasks.end(), [](const SoakTask& aTask) { return aTask.done; });
}

bool SoakJob::HasTurn(std::size_t aStep) const
{
  const auto& after = this->spec.steps[aStep].after;
  return std::all_of(
    after.begin(), after.end(), [this](std::uint32_t aEarlier) { return this->AllDone(aEarlier); });
}

bool SoakJob::IsCompleted() const
{
  return !AnyTask(*this, [](const SoakTask& aTask) { return !aTask.done; });
}

bool SoakJob::HasFailed() const
{
  for (std::size_t step = 0; step < this->tasks.size(); ++step) {
    if (this->spec.steps[step].longRunning) {
      continue;
    }
    for (const SoakTask& task : this->tasks[step]) {
      if (this->maxAttempts > 0 && task.failures >= this->maxAttempts) {
        return true;
      }
    }
  }
  return false;
}

bool SoakJob::HasRunning() const
{
  return AnyTask(*this, [](const SoakTask& aTask) { return !aTask.running.empty(); });
}

bool SoakJob::HasStarted() const
{
  return AnyTask(*this, [](const SoakTask& aTask) {
    return aTask.done || !aTask.running.empty() || aTask.lastEnd != Instant{};
  });
}

} // namespace oriolespread::soak
