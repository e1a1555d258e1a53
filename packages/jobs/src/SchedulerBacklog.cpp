// The part of JobScheduler that plans the work that waits for capacity.
#include "oriolespread/jobs/BacklogPlan.h"
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/StepOrder.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

constexpr double kMillisPerSecond = 1000.0;
constexpr double kMilliCoresPerCore = 1000.0;
// Bounds the wait while the capacity is nearly zero.
constexpr double kMaxWaitSeconds = 3600;
constexpr double kPercent = 100.0;
constexpr Duration kBacklogLogInterval = std::chrono::seconds(1);
// How many measured tasks of a step weigh as much as what is known of its queue.
constexpr std::int64_t kQueueWeight = 2;

} // namespace

struct JobScheduler::ClassBacklog
{
  std::vector<BacklogItem> items;
  std::vector<Occurrence*> occurrences;
  // The cores that the tasks at work use, and the work that is left of them.
  double activeCores = 0;
  double begunCoreSeconds = 0;
  // A task of the class could not be placed in the last pass.
  bool waits = false;
};

double JobScheduler::RelativeWork(const Job& aJob) const
{
  return aJob.workCoreSeconds / this->meanWorkCoreSeconds.at(aJob.record.policy.queue);
}

void JobScheduler::MeasureDuration(const Job& aJob,
                                   const TaskKey& aTaskKey,
                                   const Run& aRun,
                                   Now aNow)
{
  const StepSpec& spec = this->SpecOf(aTaskKey);
  // Later runs may have resumed from a checkpoint.
  if (aRun.orderedAt == Instant{} || aRun.number != 1 || spec.longRunning || spec.gang) {
    return;
  }
  const std::int64_t measuredMs = ToMilliseconds(aNow.instant - aRun.orderedAt);
  this->durations.Observe(aJob.record.policy.queue, spec.estimateMs, measuredMs);
  Step& step = *this->FindStep(aTaskKey);
  ++step.measuredTasks;
  step.measuredMs += measuredMs;
}

std::vector<std::int64_t> JobScheduler::ExpectedDurationsMs(const Job& aJob,
                                                            const Occurrence& aOccurrence) const
{
  std::vector<std::int64_t> durationsMs = DeclaredDurationsMs(aJob.record.spec);
  if (this->settings.waitingOrder != WaitingOrder::BacklogPlan) {
    return durationsMs;
  }
  for (std::size_t index = 0; index < durationsMs.size(); ++index) {
    const Step& step = aOccurrence.steps[index];
    const std::int64_t expectedMs =
      this->durations.ExpectMs(aJob.record.policy.queue, durationsMs[index]);
    durationsMs[index] =
      (kQueueWeight * expectedMs + step.measuredMs) / (kQueueWeight + step.measuredTasks);
  }
  return durationsMs;
}

void JobScheduler::PlanBacklogs(Now aNow)
{
  if (this->settings.waitingOrder != WaitingOrder::BacklogPlan ||
      aNow.instant < this->nextBacklogPlan) {
    return;
  }
  this->nextBacklogPlan = aNow.instant + this->settings.backlogPlanInterval;
  std::map<JobClass, ClassBacklog> backlogs;
  for (const std::string& id : this->activeJobs) {
    Job& job = this->jobs.at(id);
    const QueuePolicy& policy = job.record.policy;
    if (this->prioritiesByService.at(policy.service).size() < 2) {
      continue;
    }
    ClassBacklog& backlog = backlogs[{ policy.service, policy.priority }];
    for (auto& [number, occurrence] : job.occurrences) {
      occurrence.plannedLateness.reset();
      this->AddToBacklog(job, number, aNow, backlog);
    }
  }
  this->expectedWaits.clear();
  for (auto& [jobClass, backlog] : backlogs) {
    ClassCapacity& capacity = this->classCapacities[jobClass];
    const double age = std::chrono::duration<double>(aNow.instant - capacity.measuredAt) /
                       std::chrono::duration<double>(this->settings.capacityMemory);
    capacity.cores = std::max(backlog.activeCores, capacity.cores * std::exp(-age));
    capacity.measuredAt = aNow.instant;
    if (!backlog.waits) {
      continue;
    }
    const BacklogPlan plan = PlanBacklog(backlog.items, capacity.cores, backlog.begunCoreSeconds);
    if (plan.displaced > 0 && aNow.instant >= this->nextBacklogLog) {
      this->nextBacklogLog = aNow.instant + kBacklogLogInterval;
      this->log("backlog_exceeds_capacity",
                { { "service", jobClass.first },
                  { "priority", jobClass.second },
                  { "jobs", backlog.items.size() },
                  { "displaced", plan.displaced },
                  { "cores", capacity.cores },
                  { "on_time_ms", std::llround(kMillisPerSecond * plan.onTimeSeconds) } });
    }
    for (std::size_t index = 0; index < backlog.items.size(); ++index) {
      backlog.occurrences[index]->plannedLateness = plan.lateness[index];
    }
    this->expectedWaits[jobClass] = std::chrono::milliseconds(
      std::llround(kMillisPerSecond * std::min(plan.onTimeSeconds, kMaxWaitSeconds)));
  }
}

void JobScheduler::PromoteOverdueStep(std::vector<ReadyStep>& aReady, Now aNow)
{
  if (this->settings.waitingOrder != WaitingOrder::BacklogPlan ||
      aNow.instant < this->nextOverdueStep) {
    return;
  }
  const auto stands = [](const ReadyStep& aStep) {
    return aStep.job->HasActiveRuns() ? Instant::max() : aStep.job->lastRunning;
  };
  const auto oldest = std::min_element(
    aReady.begin(), aReady.end(), [&](const ReadyStep& aLeft, const ReadyStep& aRight) {
      return stands(aLeft) < stands(aRight);
    });
  if (oldest == aReady.end() || stands(*oldest) == Instant::max() ||
      aNow.instant - stands(*oldest) < this->settings.maxStandingTime) {
    return;
  }
  this->nextOverdueStep = aNow.instant + this->settings.overdueInterval;
  this->counters.Add("steps_promoted_total", "overdue");
  const int priority = oldest->job->record.policy.priority;
  const auto first = std::find_if(aReady.begin(), oldest, [priority](const ReadyStep& aStep) {
    return aStep.job->record.policy.priority == priority;
  });
  std::rotate(first, oldest, std::next(oldest));
}

void JobScheduler::AddToBacklog(Job& aJob,
                                std::uint32_t aOccurrence,
                                Now aNow,
                                ClassBacklog& aBacklog) const
{
  Occurrence& occurrence = aJob.occurrences.at(aOccurrence);
  const JobSpec& spec = aJob.record.spec;
  const std::vector<std::int64_t> durationsMs = this->ExpectedDurationsMs(aJob, occurrence);
  BacklogItem item;
  for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
    const Step& step = occurrence.steps[index];
    const StepSpec& stepSpec = spec.steps[index];
    if (stepSpec.longRunning || step.IsDone()) {
      continue;
    }
    const double taskCoreSeconds = TaskCoreSeconds(stepSpec, durationsMs[index]);
    for (const Task& task : step.tasks) {
      if (task.state == TaskState::Waiting) {
        item.coreSeconds += taskCoreSeconds;
      } else if (task.state == TaskState::Active) {
        const int percent = task.runs.empty() ? 0 : task.runs.back().percent;
        aBacklog.begunCoreSeconds += taskCoreSeconds * (1 - percent / kPercent);
        aBacklog.activeCores +=
          static_cast<double>(stepSpec.demand.milliCores) / kMilliCoresPerCore;
      }
    }
    aBacklog.waits = aBacklog.waits || step.waitingSince != Instant{};
    item.path = std::max(item.path,
                         static_cast<double>(CriticalPathFromMs(spec, index, durationsMs)) /
                           kMillisPerSecond);
  }
  if (item.coreSeconds <= 0) {
    return;
  }
  const double sinceDue =
    static_cast<double>(aNow.unixMs - DueUnixMs(aJob.record, aOccurrence)) / kMillisPerSecond;
  const double objective =
    static_cast<double>(ObjectiveMs(aJob.record.policy, CriticalPathMs(spec, durationsMs))) /
    kMillisPerSecond;
  item.deadline = objective - sinceDue;
  item.usefulUntil = kUsefulObjectiveFactor * objective - sinceDue;
  item.value = CompletionValue(this->RelativeWork(aJob));
  aBacklog.items.push_back(item);
  aBacklog.occurrences.push_back(&occurrence);
}

} // namespace oriolespread::jobs
