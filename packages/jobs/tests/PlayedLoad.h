// Plays a load of jobs on the scheduler in simulated time and reports what callers get: how many
// jobs end within their objective, late, or not at all. Workers run each task for about its
// estimated duration, and some runs fail.
#pragma once

#include "SchedulerFixture.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/jobs/StepOrder.h"

#include <string>
#include <vector>

namespace oriolespread::jobs {

// A class of jobs with two steps of `tasks` tasks each, all of one core.
struct PlayedClass
{
  std::uint32_t minTasks = 1;
  std::uint32_t maxTasks = 1;
  std::int64_t taskMs = 1000;
  double jobsPerSecond = 1;
  // Factor on jobsPerSecond between the two times.
  double burstFactor = 1;
  Duration burstBegin{};
  Duration burstEnd{};
  double failureShare = 0;
};

struct PlayedOutcome
{
  std::size_t onTime = 0;
  std::size_t late = 0;
  std::size_t tooLate = 0;
  std::size_t open = 0;
  // Open jobs that have missed their objective with at most two tasks left, none of which runs.
  std::size_t nearlyDoneAndWaiting = 0;
  // The longest time that a job took, relative to its objective.
  double worstStretch = 0;
};

class PlayedLoad
{
public:
  PlayedLoad(std::uint64_t aSeed, int aWorkers, std::int64_t aMilliCoresPerWorker)
    : random(aSeed)
  {
    for (int index = 0; index < aWorkers; ++index) {
      this->fixture.AddAgent("agent-" + std::to_string(index), aMilliCoresPerWorker);
    }
  }

  // Submits jobs of the class for `aSubmitting`, then plays until `aTotal` has passed.
  PlayedOutcome Run(const PlayedClass& aClass, Duration aSubmitting, Duration aTotal)
  {
    for (Duration elapsed{}; elapsed < aTotal; elapsed += kStep) {
      if (elapsed < aSubmitting) {
        this->SubmitJobs(aClass, elapsed);
      }
      this->EndRuns();
      this->ReportProgress();
      this->fixture.RunUntilIdle();
      this->BeginRuns(aClass);
      this->fixture.Advance(kStep);
    }
    return this->Evaluate();
  }

private:
  struct ActiveRun
  {
    std::string agent;
    RunRef ref;
    Instant end{};
    bool fails = false;
  };

  static constexpr Duration kStep = std::chrono::milliseconds(100);

  void SubmitJobs(const PlayedClass& aClass, Duration aElapsed)
  {
    const bool burst = aElapsed >= aClass.burstBegin && aElapsed < aClass.burstEnd;
    const double perStep = aClass.jobsPerSecond * (burst ? aClass.burstFactor : 1.0) *
                           std::chrono::duration<double>(kStep).count();
    if (!this->random.Chance(perStep)) {
      return;
    }
    const auto tasks = static_cast<std::uint32_t>(
      aClass.minTasks + this->random.Below(aClass.maxTasks - aClass.minTasks + 1));
    StepSpec first = MakeStep(tasks);
    StepSpec second = MakeStep(tasks, { 0 });
    first.estimateMs = aClass.taskMs;
    second.estimateMs = aClass.taskMs;
    JobRecord record = MakeJob("job-" + std::to_string(this->submitted++), { first, second });
    record.policy.maxAttempts = 20;
    record.submittedUnixMs = this->fixture.now.unixMs;
    this->fixture.Submit(record);
  }

  void BeginRuns(const PlayedClass& aClass)
  {
    for (; this->seenStarts < this->fixture.starts.size(); ++this->seenStarts) {
      const auto& [agent, start] = this->fixture.starts[this->seenStarts];
      const double durationMs =
        static_cast<double>(aClass.taskMs) * (0.8 + 0.4 * this->random.Unit());
      this->active.push_back(
        { agent,
          start.ref,
          this->fixture.now.instant + std::chrono::milliseconds(static_cast<int>(durationMs)),
          this->random.Chance(aClass.failureShare) });
    }
  }

  void EndRuns()
  {
    std::vector<ActiveRun> ended;
    std::erase_if(this->active, [&](const ActiveRun& aRun) {
      if (aRun.end > this->fixture.now.instant) {
        return false;
      }
      ended.push_back(aRun);
      return true;
    });
    for (const ActiveRun& run : ended) {
      this->fixture.End(run.agent, run.ref, run.fails ? RunEnd::Failed : RunEnd::Done);
    }
  }

  void ReportProgress()
  {
    for (auto& [agent, report] : this->fixture.agents) {
      for (RunningRun& running : report.running) {
        running.percent = 1 + running.percent % 99;
      }
      this->fixture.Report(agent);
    }
  }

  static std::size_t TasksLeft(const Job& aJob)
  {
    std::size_t left = 0;
    for (const Step& step : aJob.occurrences.at(0).steps) {
      left += step.tasks.size() - step.done;
    }
    return left;
  }

  PlayedOutcome Evaluate() const
  {
    PlayedOutcome outcome;
    for (const auto& [id, job] : this->fixture.scheduler.Jobs()) {
      if (!IsTerminal(job.state)) {
        ++outcome.open;
        const bool isLate = this->fixture.now.unixMs > job.record.submittedUnixMs + job.objectiveMs;
        outcome.nearlyDoneAndWaiting +=
          isLate && TasksLeft(job) <= 2 && !job.HasActiveRuns() ? 1 : 0;
        continue;
      }
      const double stretch = static_cast<double>(job.endedUnixMs - job.record.submittedUnixMs) /
                             static_cast<double>(job.objectiveMs);
      outcome.worstStretch = std::max(outcome.worstStretch, stretch);
      ++(stretch <= 1 ? outcome.onTime : stretch <= 3 ? outcome.late : outcome.tooLate);
    }
    return outcome;
  }

  RandomSource random;
  SchedulerFixture fixture;
  std::vector<ActiveRun> active;
  std::size_t seenStarts = 0;
  std::size_t submitted = 0;
};

} // namespace oriolespread::jobs
