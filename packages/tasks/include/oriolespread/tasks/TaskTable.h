// The jobs of one shard: the result of applying its journal records in order.
#pragma once

#include "oriolespread/tasks/JournalRecord.h"
#include "oriolespread/tasks/TaskState.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriolespread {

// A task fails for good after failing on this many distinct workers, or this often on fewer.
constexpr std::size_t kMaxFailedWorkers = 3;
constexpr std::uint32_t kMaxFailures = 6;
// Finished jobs beyond this number are forgotten in order of completion.
constexpr std::size_t kMaxFinishedJobs = 50'000;

struct TaskRecord
{
  TaskState state = TaskState::Queued;
  // Whether the last attempt may still hold its grant on its worker.
  bool hasAttempt = false;
  std::uint32_t failures = 0;
  AttemptToken token;
  WorkerId worker;
  Resources grant;
  // Last checkpoint; empty when there is none.
  std::string checkpoint;
  std::vector<WorkerId> failedWorkers;
};

using TaskCounts = std::array<std::uint32_t, 9>;

struct JobRecord
{
  JobSpec spec;
  // Emptied when the job is finished.
  std::vector<TaskRecord> tasks;
  // Number of tasks in each TaskState.
  TaskCounts counts{};
  std::uint32_t attempts = 0;
  bool finished = false;
  // Position in the journal's queue of the last change; see Journal::IsCommitted.
  std::uint64_t lastChangePosition = 0;

  std::uint32_t Count(TaskState aState) const
  {
    return this->counts[static_cast<std::size_t>(aState)];
  }
};

// Not thread-safe.
class TaskTable
{
public:
  // Applies a record. Returns false and changes nothing when it does not fit the state, for example
  // because it belongs to an earlier attempt.
  bool Apply(const JournalRecord& aRecord);
  // Notes an observed state (Starting, Running, Checkpointing) of the current attempt. Returns
  // whether the transition is allowed.
  bool Observe(const AttemptId& aAttempt, TaskState aState);

  JobRecord* FindJob(const JobId& aJob);
  const JobRecord* FindJob(const JobId& aJob) const;
  // Returns null for a task that does not exist or whose job is finished.
  const TaskRecord* Find(const TaskId& aTask) const;
  // Returns the task if `aAttempt` is its last attempt and may still hold its grant.
  const TaskRecord* FindLive(const AttemptId& aAttempt) const;

  const std::map<JobId, JobRecord>& Jobs() const { return this->jobs; }
  // Returns the jobs forgotten since the last call.
  std::vector<JobId> TakeRemovedJobs();

  // Return the whole state as bytes, and back; false when the bytes are not well formed.
  std::string Serialize() const;
  bool Deserialize(const std::string& aBytes);

private:
  bool ApplyBody(const JobSubmitted& aRecord);
  bool ApplyBody(const TasksCancelled& aRecord);
  bool ApplyBody(const TaskPlaced& aRecord);
  bool ApplyBody(const TaskProgressed& aRecord);
  bool ApplyBody(const GrantChanged& aRecord);
  bool ApplyBody(const AttemptEnded& aRecord);
  bool ApplyBody(const ReplicaReplaced& aRecord);

  TaskRecord* FindMutableLive(const AttemptId& aAttempt);
  bool Cancel(JobRecord& aJob, std::uint32_t aIndex);
  // Returns false when the transition is not allowed.
  bool Transition(JobRecord& aJob, TaskRecord& aTask, TaskState aState);
  void EndAttempt(JobRecord& aJob, TaskRecord& aTask);
  void FinishIfDone(JobRecord& aJob);

  std::map<JobId, JobRecord> jobs;
  std::deque<JobId> finishedOrder;
  std::vector<JobId> removedJobs;
};

} // namespace oriolespread
