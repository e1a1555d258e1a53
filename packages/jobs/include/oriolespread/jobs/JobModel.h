// The state of jobs, tasks and workers that the scheduler decides on.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/jobs/InterferenceModel.h"
#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/jobs/JobSpec.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// A life of a worker.
struct WorkerKey
{
  std::string id;
  std::int64_t born = 0;

  friend auto operator<=>(const WorkerKey&, const WorkerKey&) = default;
};

enum class RunState
{
  // Decided; the order is held back until the decision is stored.
  Committing,
  // The order was given to the agent.
  Ordered,
  Running,
  // To be stopped; ends when the worker lists its end.
  Stopping,
};

struct Run
{
  std::uint64_t number = 0;
  WorkerKey worker;
  std::string agent;
  RunState state = RunState::Committing;
  Instant stateSince{};
  // The orders message in which the start was sent.
  std::uint64_t ordersSequence = 0;
  int percent = 0;
  Instant percentChangedAt{};
};

enum class TaskState
{
  Waiting,
  Active,
  Done,
};

struct Task
{
  TaskState state = TaskState::Waiting;
  std::uint64_t nextRunNumber = 1;
  std::uint32_t failedRuns = 0;
  std::string checkpoint;
  std::vector<Run> runs;
  // The worker on which a run failed last.
  std::string lastFailedWorker;
  // The task is not started again before this time.
  Instant notBefore{};
};

struct Step
{
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  std::uint32_t active = 0;
  // Of a step that serves users.
  BaselineHeadroom baseline;

  bool IsDone() const { return this->done == this->tasks.size(); }
};

struct Occurrence
{
  std::vector<Step> steps;

  bool HasActiveRuns() const
  {
    return std::any_of(
      this->steps.begin(), this->steps.end(), [](const Step& aStep) { return aStep.active > 0; });
  }
};

// How far the removal of an ended job's row has come.
enum class RowRemoval
{
  None,
  Requested,
  Removed,
};

struct Job
{
  JobRecord record;
  JobState state = JobState::Queued;
  bool started = false;
  // When this leader first read of the job.
  Instant firstSeen{};
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t completedOccurrences = 0;
  std::uint32_t nextOccurrence = 0;
  // Unix time in milliseconds at which the job became terminal.
  std::int64_t endedUnixMs = 0;
  // The same on this leader's clock, which does not jump; for a job that had ended before, when it
  // was loaded.
  Instant endedAt{};
  RowRemoval rowRemoval = RowRemoval::None;
  Instant removedAt{};
  // Core-seconds of all tasks by their estimates.
  double workCoreSeconds = 0;
  // When a run of the job was last active.
  Instant lastActive{};
  // The terminal state is stored, so that the rows of progress are not needed any more.
  bool endStored = false;

  bool HasActiveRuns() const
  {
    return std::any_of(this->occurrences.begin(), this->occurrences.end(), [](const auto& aItem) {
      return aItem.second.HasActiveRuns();
    });
  }
};

// Names a task within the scheduler's own maps.
struct TaskKey
{
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

struct RunKey
{
  TaskKey task;
  std::uint64_t number = 0;

  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

// A serving step with runs on one worker, as it was when the worker last reported.
struct ServingHeadroom
{
  // By InterferenceModel::ServingImageIndex.
  std::size_t imageIndex = 0;
  // The headroom of the step by itself, and the least that it came down to lately.
  double current = 0;
  double recentMin = 0;
  // What all runs on the worker that use unused capacity take of it at full pace.
  double headroomCost = 0;
};

struct Worker
{
  WorkerKey key;
  std::string agent;
  WorkerState state;
  bool linked = false;
  // Reported to this leader in its epoch.
  bool reported = false;
  // A full report after the link came up has been compared with what should run.
  bool reconciled = false;
  // When the last report arrived.
  Instant lastReport{};
  // After this time every lease on the worker has lapsed, if no report comes.
  Instant latestLeaseExpiry{};
  // No new runs before this time, after a rejection or a series of failures.
  Instant avoidUntil{};
  // Jobs, one a queue entry, whose runs failed here since the last run that was done.
  std::set<std::string> failedJobs;
  std::uint32_t stalledRuns = 0;
  Resources reserved;
  // `reserved` and what runs that use unused capacity ask for.
  Resources demanded;
  // Runs that serve users with a latency target, and runs that use unused capacity.
  std::uint32_t servingRuns = 0;
  std::int64_t servingMilliCores = 0;
  std::vector<ServingHeadroom> servingHeadrooms;
  // Runs by the image of their long-running step.
  std::map<std::string, std::uint32_t> servingRunsByImage;
  std::uint32_t bestEffortRuns = 0;
  std::set<RunKey> runs;
  // Ends that are decided and not stored yet.
  std::set<std::uint64_t> pendingEnds;
};

} // namespace oriolespread::jobs
