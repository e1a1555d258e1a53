// Plays jobs of several queues on a cluster that is too small for them at times, in simulated time
// and with the real scheduler, and reports what the callers of each queue get.
#pragma once

#include "SchedulerFixture.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/jobs/StepOrder.h"

#include <cmath>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// Jobs of two steps, one after the other.
struct PlayedQueue
{
  std::string name;
  int priority = 0;
  std::uint32_t tasks = 1;
  std::int64_t milliCores = 1000;
  std::int64_t taskMs = 1000;
  double jobsPerSecond = 1;
  // Factor on jobsPerSecond during the burst.
  double burstFactor = 1;
  // The duration of a step differs from taskMs by up to this share, and the declared one from the
  // duration of the step by up to the other.
  double spread = 0;
  double declaredError = 0;
  double stretch = 2;
  std::int64_t targetLatencyMs = 1000;
};

struct QueueOutcome
{
  std::size_t onTime = 0;
  std::size_t late = 0;
  std::size_t tooLate = 0;
  std::size_t open = 0;
  // The share of the value of all jobs that callers got; a late job has 0.15 of its value.
  double value = 0;
  double owed = 0;
  // The longest time that an ended job took, in multiples of its objective.
  double worstStretch = 0;

  double Share() const { return this->value / this->owed; }
};

class PlayedBacklog
{
public:
  PlayedBacklog(std::uint64_t aSeed, WaitingOrder aOrder, int aWorkers, std::int64_t aMilliCores)
    : random(aSeed)
    , fixture(MakeSettings(aOrder))
  {
    for (int index = 0; index < aWorkers; ++index) {
      this->fixture.AddAgent("agent-" + std::to_string(index), aMilliCores);
    }
  }

  // Submits jobs for `aSubmitting`, with a burst from a quarter to two fifths of that time, and
  // plays on until `aTotal` has passed. Returns the outcomes by queue.
  std::map<std::string, QueueOutcome> Run(const std::vector<PlayedQueue>& aQueues,
                                          Duration aSubmitting,
                                          Duration aTotal)
  {
    for (Duration elapsed{}; elapsed < aTotal; elapsed += kStep) {
      const bool burst = 4 * elapsed >= aSubmitting && 5 * elapsed < 2 * aSubmitting;
      for (const PlayedQueue& queue : aQueues) {
        if (elapsed < aSubmitting) {
          this->SubmitJobs(queue, burst ? queue.burstFactor : 1.0);
        }
      }
      this->EndRuns();
      for (auto& [agent, report] : this->fixture.agents) {
        for (RunningRun& running : report.running) {
          running.percent = 1 + running.percent % 99;
        }
        this->fixture.Report(agent);
      }
      this->fixture.RunUntilIdle();
      this->BeginRuns();
      this->fixture.Advance(kStep);
    }
    return this->Evaluate();
  }

  SchedulerFixture& Fixture() { return this->fixture; }

private:
  struct SubmittedJob
  {
    std::vector<std::int64_t> durationsMs;
    double value = 0;
    std::int64_t objectiveMs = 0;
  };

  struct ActiveRun
  {
    std::string agent;
    RunRef ref;
    Instant end{};
  };

  static constexpr Duration kStep = std::chrono::milliseconds(100);

  static SchedulerSettings MakeSettings(WaitingOrder aOrder)
  {
    SchedulerSettings settings;
    settings.waitingOrder = aOrder;
    return settings;
  }

  std::int64_t Vary(std::int64_t aMs, double aShare)
  {
    return std::llround(static_cast<double>(aMs) * (1 + aShare * (2 * this->random.Unit() - 1)));
  }

  void SubmitJobs(const PlayedQueue& aQueue, double aFactor)
  {
    double jobs = aQueue.jobsPerSecond * aFactor * std::chrono::duration<double>(kStep).count();
    for (; jobs > 0; jobs -= 1) {
      if (jobs < 1 && !this->random.Chance(jobs)) {
        break;
      }
      const std::string id = aQueue.name + "-" + std::to_string(this->submitted.size());
      SubmittedJob& job = this->submitted[id];
      JobRecord record = MakeJob(id, { MakeStep(aQueue.tasks), MakeStep(aQueue.tasks, { 0 }) });
      double work = 0;
      for (StepSpec& step : record.spec.steps) {
        const std::int64_t durationMs = this->Vary(aQueue.taskMs, aQueue.spread);
        step.demand.milliCores = aQueue.milliCores;
        step.estimateMs = this->Vary(durationMs, aQueue.declaredError);
        job.durationsMs.push_back(durationMs);
        work += static_cast<double>(durationMs) / (2.0 * static_cast<double>(aQueue.taskMs));
      }
      job.value = CompletionValue(work);
      record.policy = { aQueue.name, "service",      aQueue.priority,
                        20,          aQueue.stretch, aQueue.targetLatencyMs,
                        "" };
      record.submittedUnixMs = this->fixture.now.unixMs;
      job.objectiveMs = ObjectiveMs(record.policy, CriticalPathMs(record.spec, job.durationsMs));
      this->fixture.Submit(record);
    }
  }

  void BeginRuns()
  {
    for (; this->seenStarts < this->fixture.starts.size(); ++this->seenStarts) {
      const auto& [agent, start] = this->fixture.starts[this->seenStarts];
      TaskName name;
      TaskName::Parse(start.ref.task, name);
      const std::int64_t durationMs = this->submitted.at(name.job).durationsMs.at(name.step);
      this->active.push_back(
        { agent, start.ref, this->fixture.now.instant + std::chrono::milliseconds(durationMs) });
    }
  }

  void EndRuns()
  {
    const auto ended =
      std::stable_partition(this->active.begin(), this->active.end(), [&](const ActiveRun& aRun) {
        return aRun.end > this->fixture.now.instant;
      });
    const std::vector<ActiveRun> runs(ended, this->active.end());
    this->active.erase(ended, this->active.end());
    for (const ActiveRun& run : runs) {
      this->fixture.End(run.agent, run.ref, RunEnd::Done);
    }
  }

  std::map<std::string, QueueOutcome> Evaluate() const
  {
    std::map<std::string, QueueOutcome> outcomes;
    for (const auto& [id, job] : this->fixture.scheduler.Jobs()) {
      const SubmittedJob& submittedJob = this->submitted.at(id);
      QueueOutcome& outcome = outcomes[job.record.policy.queue];
      outcome.owed += submittedJob.value;
      if (!IsTerminal(job.state)) {
        ++outcome.open;
        continue;
      }
      const double stretch = static_cast<double>(job.endedUnixMs - job.record.submittedUnixMs) /
                             static_cast<double>(submittedJob.objectiveMs);
      outcome.worstStretch = std::max(outcome.worstStretch, stretch);
      if (stretch <= 1) {
        ++outcome.onTime;
        outcome.value += submittedJob.value;
      } else if (stretch <= kUsefulObjectiveFactor) {
        ++outcome.late;
        outcome.value += 0.15 * submittedJob.value;
      } else {
        ++outcome.tooLate;
      }
    }
    return outcomes;
  }

  RandomSource random;
  SchedulerFixture fixture;
  std::map<std::string, SubmittedJob> submitted;
  std::vector<ActiveRun> active;
  std::size_t seenStarts = 0;
};

} // namespace oriolespread::jobs
