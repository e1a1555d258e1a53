// The scheduler's in-memory state of jobs, tasks and workers.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/jobs/InterferenceModel.h"
#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/jobs/JobSpec.h"
#include "oriolespread/jobs/Lateness.h"
#include "oriolespread/jobs/RunSpeed.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// Identifies a worker process. `born` distinguishes restarts of the worker `id`.
struct WorkerKey
{
  std::string id;
  std::int64_t born = 0;

  friend auto operator<=>(const WorkerKey&, const WorkerKey&) = default;
};

enum class RunState
{
  // The decision to start the run is not stored yet; the start order is sent once it is.
  Committing,
  // The start order is queued for the agent or was sent.
  Ordered,
  Running,
  // A stop was requested; the run is removed when the worker reports its end.
  Stopping,
};

struct Run
{
  std::uint64_t number = 0;
  WorkerKey worker;
  std::string agent;
  RunState state = RunState::Committing;
  // The sequence number of the WorkerOrders message that contains the start order or, once the run
  // is stopping, the stop order.
  std::uint64_t ordersSequence = 0;
  // When this leader ordered the start; zero if an earlier leader did.
  Instant orderedAt{};
  // Reported progress.
  int percent = 0;
  Instant percentChangedAt{};
  RunSpeed speed;
};

// A start of a run of a task that remained without an answer. If the worker restarts, it carries
// the start out, unless its agent has superseded the call by then or stops the run.
struct KnownOpenStart
{
  std::string worker;
  std::string agent;
  // When the worker carries the start out no more, also in Unix milliseconds, as it is stored.
  Instant until{};
  std::int64_t untilUnixMs = 0;
  // As of the last scheduling pass; see JobScheduler::IsPrevented.
  bool isPrevented = true;
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
  std::vector<KnownOpenStart> openStarts;
  // The worker on which a run last failed, stalled or was slow.
  std::string lastFailedWorker;
  // A run of the task was stopped because it was slow.
  bool moved = false;
  // No run of the task is started before this time.
  Instant notBefore{};
  // The delay after the last failure. Used for long-running tasks only.
  Duration restartDelay{};
  // When a worker last reported a run of the task at work; before that, when the task was first
  // considered. Used for long-running best-effort tasks only.
  Instant lastRunning{};
};

struct Step
{
  std::vector<Task> tasks;
  // The numbers of tasks in TaskState::Done and TaskState::Active.
  std::uint32_t done = 0;
  std::uint32_t active = 0;
  // Used for serving steps only.
  BaselineHeadroom baseline;
  // When each row of the progress was last stored only because of new checkpoints, by the row's
  // number.
  std::map<std::uint32_t, Instant> checkpointsStoredAt;
  // An earlier version has stored the progress of a wide step in one row. The rows that have been
  // stored since replace parts of it.
  bool hasWholeRow = false;
  // The tasks whose whole duration was measured, and the sum of their durations.
  std::uint32_t measuredTasks = 0;
  std::int64_t measuredMs = 0;
  // Since when a task of the step could not be placed; zero if all could be.
  Instant waitingSince{};

  bool IsDone() const { return this->done == this->tasks.size(); }
};

// One execution of a job's steps. A periodic job has several.
struct Occurrence
{
  std::vector<Step> steps;
  // The result of the last plan of the backlog; empty if none was made.
  std::optional<Lateness> plannedLateness;

  bool HasActiveRuns() const
  {
    return std::any_of(
      this->steps.begin(), this->steps.end(), [](const Step& aStep) { return aStep.active > 0; });
  }
};

// Progress of removing an ended job's row from the store.
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
  // A worker has started a run of the job, or the job has ended.
  bool started = false;
  // When this leader first read the job's row.
  Instant firstSeen{};
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t completedOccurrences = 0;
  std::uint32_t nextOccurrence = 0;
  // Unix time at which the job reached a terminal state, in milliseconds.
  std::int64_t endedUnixMs = 0;
  // The same on this leader's monotonic clock. For a job that was loaded in a terminal state, the
  // time of loading.
  Instant endedAt{};
  RowRemoval rowRemoval = RowRemoval::None;
  Instant removedAt{};
  // The time in which an occurrence should complete, counted from when it is due.
  std::int64_t objectiveMs = 0;
  // The estimated work of all tasks.
  double workCoreSeconds = 0;
  // When a run of the job was last placed; before that, when the job was first considered.
  Instant lastPlaced{};
  // When a worker last reported a run of the job at work; before that, when the job was first
  // considered. Unlike `lastPlaced`, placed runs that are refused do not change it.
  Instant lastRunning{};
  // The terminal state is stored, so the progress rows are no longer needed.
  bool endStored = false;

  bool HasActiveRuns() const
  {
    return std::any_of(this->occurrences.begin(), this->occurrences.end(), [](const auto& aItem) {
      return aItem.second.HasActiveRuns();
    });
  }
};

// Identifies a task in the scheduler's maps.
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

// Returns the run's reference in messages to agents, which name its job by the identifier.
inline RunRef ToRunRef(const RunKey& aRunKey)
{
  const TaskKey& task = aRunKey.task;
  const TaskName name{ IdentifierOf(task.job), task.occurrence, task.step, task.index };
  return { ToString(name), aRunKey.number };
}

// Returns whether the name of the task is valid, and then sets `aRunKey`, with the identifier in
// place of the job's key.
inline bool ParseRunRef(const RunRef& aRef, RunKey& aRunKey)
{
  TaskName name;
  if (!TaskName::Parse(aRef.task, name)) {
    return false;
  }
  aRunKey = { { name.job, name.occurrence, name.step, name.index }, aRef.run };
  return true;
}

// The headroom of a serving step with runs on one worker, as of the worker's last report.
struct ServingHeadroom
{
  // Index of the image, from InterferenceModel::ServingImageIndex.
  std::size_t imageIndex = 0;
  // The baseline headroom of the step and its recent minimum.
  double current = 0;
  double recentMin = 0;
  // The headroom that all best-effort runs on the worker cost while they are not throttled.
  double headroomCost = 0;
};

// Why a worker gets no new runs for a while.
enum class AvoidReason
{
  // Runs of several jobs failed.
  Failing,
  // A run made no progress.
  Stalled,
  // Runs of several jobs were slow.
  Slow,
};

struct Worker
{
  WorkerKey key;
  std::string agent;
  WorkerState state;
  // The worker's agent is connected to this leader.
  bool connected = false;
  // The worker has reported in this leader's epoch.
  bool reported = false;
  // The worker's data centre is evacuated: nothing is started there.
  bool evacuated = false;
  // A full report since the agent connected was compared with the expected runs.
  bool reconciled = false;
  Instant lastReport{};
  Instant lastFullReport{};
  // The latest time at which the leases of the worker's runs expire if no further report arrives.
  Instant latestLeaseExpiry{};
  // When the first report of a later process arrived that was not taken, as it listed no runs.
  Instant firstReportNotTaken{};
  // No new runs are placed before this time, after a rejected start.
  Instant rejectsUntil{};
  // Gangs are placed on other workers until then if any have room, after a rejected start.
  Instant refusingUntil{};
  // Set after a stalled run, slow runs or repeated failures. Until then, only long-running tasks
  // and jobs that have waited for a while are placed, and only if no other worker has room.
  Instant avoidUntil{};
  // Since when the worker is avoided without a pause.
  Instant avoidedSince{};
  // Until when the worker is avoided because runs of several jobs failed there.
  Instant failingUntil{};
  // While the worker is avoided for failures, no run but long-running ones is placed before this
  // time.
  Instant nextRunWhileFailing{};
  // No run beyond the cores that best-effort runs leave unused is placed before this time.
  Instant nextOvercommittedRun{};
  // Jobs with a failed run on this worker since its last successful run.
  std::set<std::string> failedJobs;
  // Jobs with a slow run on this worker since a run was last measured to be fast enough.
  std::set<std::string> slowJobs;
  // Jobs whose slow runs have kept the worker avoided for the longest time, and no longer count.
  std::set<std::string> ignoredSlowJobs;
  // The last speed of a run that was measured here, without best-effort runs.
  std::optional<double> lastRunSpeed;
  Instant lastRunSpeedAt{};
  std::uint32_t stalledRuns = 0;
  Resources reserved;
  // `reserved` plus the cores that best-effort runs request, which are not reserved.
  Resources demanded;
  // Runs of long-running steps.
  std::uint32_t servingRuns = 0;
  std::int64_t servingMilliCores = 0;
  std::vector<ServingHeadroom> servingHeadrooms;
  // The number of serving runs by image.
  std::map<std::string, std::uint32_t> servingRunsByImage;
  std::uint32_t bestEffortRuns = 0;
  std::set<RunKey> runs;
  // Numbers of run ends that were applied and are not stored yet.
  std::set<std::uint64_t> pendingEnds;
};

// Returns whether the worker can be given runs: it reports, its report was compared with the
// expected runs, it is not draining, and its data centre is not evacuated.
inline bool IsUsable(const Worker& aWorker)
{
  return aWorker.connected && aWorker.reported && aWorker.reconciled && !aWorker.state.draining &&
         !aWorker.evacuated;
}

} // namespace oriolespread::jobs
