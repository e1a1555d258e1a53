// The part of JobScheduler that keeps a task from having a run on one worker while another one may
// carry out an earlier start of it.
//
// A worker that restarts under its id has forgotten which runs have ended, and carries out the
// calls to its earlier incarnation that it has not answered. The agent that sent them prevents
// that as long as it has a process, so that the next run of the task may be on any worker. When the
// agent can not be heard, the task has no run on another worker until the agent reports again, or
// until the time has passed in which the start may be carried out.
#include "oriolespread/jobs/JobScheduler.h"

#include <algorithm>

namespace oriolespread::jobs {

void JobScheduler::TakeOpenStarts(const std::string& aAgent, const WorkerReport& aReport, Now aNow)
{
  if (aReport.worker.id.empty()) {
    return;
  }
  AgentContact& contact = this->agentContacts[aAgent];
  if (contact.worker != aReport.worker.id) {
    contact.worker = aReport.worker.id;
    this->ForgetOtherOpenStarts(aAgent, contact.worker);
  }
  contact.isWorkerDraining = aReport.worker.draining;
  for (const OpenStart& open : aReport.openStarts) {
    RunKey runKey;
    if (!ParseRunRef(open.ref, runKey)) {
      continue;
    }
    const auto remaining = std::clamp<Duration>(
      std::chrono::milliseconds(open.remainingMs), Duration::zero(), this->settings.maxStartDelay);
    const KnownOpenStart start{
      aReport.worker.id, aAgent, aNow.instant + remaining, aNow.unixMs + ToMilliseconds(remaining)
    };
    // The report does not tell the service of the job.
    for (const std::string& id : this->JobsWithIdentifier(runKey.task.job)) {
      runKey.task.job = id;
      this->AddOpenStart(runKey.task, start);
    }
  }
}

// A worker with another id refuses the calls to the one whose place it has taken.
void JobScheduler::ForgetOtherOpenStarts(const std::string& aAgent, const std::string& aWorker)
{
  for (const TaskKey& key : this->tasksWithOpenStarts) {
    if (Task* task = this->FindTask(key); task != nullptr) {
      std::erase_if(task->openStarts, [&](const KnownOpenStart& aStart) {
        return aStart.agent == aAgent && aStart.worker != aWorker;
      });
    }
  }
}

void JobScheduler::AddOpenStart(const TaskKey& aTaskKey, KnownOpenStart aStart)
{
  Task* task = this->FindTask(aTaskKey);
  // Copies of a speculative task may run side by side.
  if (task == nullptr || task->state == TaskState::Done || this->SpecOf(aTaskKey).speculative) {
    return;
  }
  const auto known =
    std::find_if(task->openStarts.begin(),
                 task->openStarts.end(),
                 [&](const KnownOpenStart& aKnown) { return aKnown.worker == aStart.worker; });
  if (known == task->openStarts.end()) {
    this->counters.Add("starts_unanswered_total", "reported");
    task->openStarts.push_back(std::move(aStart));
    this->tasksWithOpenStarts.insert(aTaskKey);
    return;
  }
  known->agent = aStart.agent;
  known->until = std::max(known->until, aStart.until);
  known->untilUnixMs = std::max(known->untilUnixMs, aStart.untilUnixMs);
}

void JobScheduler::LoadOpenStarts(const TaskKey& aTaskKey, Task& aTask, Now aNow)
{
  if (aTask.openStarts.empty()) {
    return;
  }
  for (KnownOpenStart& start : aTask.openStarts) {
    const std::int64_t remainingMs =
      std::clamp<std::int64_t>(start.untilUnixMs,
                               aNow.unixMs,
                               aNow.unixMs + ToMilliseconds(this->settings.maxStartDelay)) -
      aNow.unixMs;
    start.until = aNow.instant + std::chrono::milliseconds(remainingMs);
  }
  this->tasksWithOpenStarts.insert(aTaskKey);
}

bool JobScheduler::IsPrevented(const KnownOpenStart& aStart, Now aNow) const
{
  const auto contact = this->agentContacts.find(aStart.agent);
  if (contact != this->agentContacts.end()) {
    return contact->second.isWorkerDraining ||
           aNow.instant - contact->second.lastReport <= this->settings.maxPreventionSilence;
  }
  // Agents need some time to follow a new leader.
  return aNow.instant - this->loadedAt <= this->settings.reportTimeout;
}

bool JobScheduler::HasUnpreventedStart(const Task& aTask)
{
  return std::any_of(aTask.openStarts.begin(),
                     aTask.openStarts.end(),
                     [](const KnownOpenStart& aStart) { return !aStart.isPrevented; });
}

void JobScheduler::ReviewOpenStarts(Now aNow)
{
  std::erase_if(this->tasksWithOpenStarts,
                [&](const TaskKey& aTaskKey) { return !this->ReviewOpenStarts(aTaskKey, aNow); });
}

bool JobScheduler::ReviewOpenStarts(const TaskKey& aTaskKey, Now aNow)
{
  Task* task = this->FindTask(aTaskKey);
  if (task == nullptr) {
    return false;
  }
  if (task->state == TaskState::Done || IsTerminal(this->jobs.at(aTaskKey.job).state)) {
    task->openStarts.clear();
  }
  std::erase_if(task->openStarts,
                [&](const KnownOpenStart& aStart) { return aStart.until < aNow.instant; });
  for (KnownOpenStart& start : task->openStarts) {
    start.isPrevented = this->IsPrevented(start, aNow);
    if (!start.isPrevented) {
      this->StopRunsBeside(aTaskKey, start, aNow);
    }
  }
  return !task->openStarts.empty();
}

void JobScheduler::StopRunsBeside(const TaskKey& aTaskKey, const KnownOpenStart& aStart, Now aNow)
{
  for (Run& run : this->FindTask(aTaskKey)->runs) {
    if (run.worker.id == aStart.worker || run.state == RunState::Stopping) {
      continue;
    }
    this->counters.Add("runs_stopped_total", "start_unanswered");
    this->log("run_beside_open_start",
              { { "task", ToRunRef({ aTaskKey, run.number }).task },
                { "run", run.number },
                { "worker", run.worker.id },
                { "starting_worker", aStart.worker },
                { "starting_agent", aStart.agent },
                { "open_ms", ToMilliseconds(aStart.until - aNow.instant) } });
    this->StopRun(aTaskKey, run);
  }
}

} // namespace oriolespread::jobs
