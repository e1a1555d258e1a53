// The jobs and tasks of one shard: a state machine that applies the shard's journal records in
// order.
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

// A task fails permanently once it has failed on this many distinct workers.
constexpr std::size_t kMaxFailedWorkers = 3;
// A task fails permanently after this many failures, on however few workers.
constexpr std::uint32_t kMaxFailures = 6;
// Once there are more finished jobs than this, those that finished first are removed.
constexpr std::size_t kMaxFinishedJobs = 50'000;

struct TaskRecord
{
  TaskState state = TaskState::Queued;
  // Whether the last attempt may still hold resources on its worker.
  bool hasAttempt = false;
  std::uint32_t failures = 0;
  AttemptToken token;
  WorkerId worker;
  Resources grant;
  // Last checkpoint; empty if there is none.
  std::string checkpoint;
  std::vector<WorkerId> failedWorkers;
};

// One element for each TaskState.
using TaskCounts = std::array<std::uint32_t, 9>;

struct JobRecord
{
  JobSpec spec;
  // Cleared when the job finishes.
  std::vector<TaskRecord> tasks;
  // Number of tasks in each state, indexed by TaskState.
  TaskCounts counts{};
  std::uint32_t attempts = 0;
  bool finished = false;
  // Position of the last change in the journal's queue; see Journal::IsCommitted.
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
  // Applies a record. Returns false and changes nothing if the record is not valid in the current
  // state, for example because it belongs to an earlier attempt.
  bool Apply(const JournalRecord& aRecord);
  // Sets a state that is not journaled (Starting, Running or Checkpointing) for the current
  // attempt. Returns whether the transition is allowed.
  bool SetUnjournaledState(const AttemptId& aAttempt, TaskState aState);

  JobRecord* FindJob(const JobId& aJob);
  const JobRecord* FindJob(const JobId& aJob) const;
  // Returns null if the task does not exist or its job has finished.
  const TaskRecord* Find(const TaskId& aTask) const;
  // Returns the task if `aAttempt` is its last attempt and may still hold resources, otherwise
  // null.
  const TaskRecord* FindLive(const AttemptId& aAttempt) const;

  const std::map<JobId, JobRecord>& Jobs() const { return this->jobs; }
  // Returns the jobs that were removed since the last call.
  std::vector<JobId> TakeRemovedJobs();

  // Returns the whole state in serialized form.
  std::string Serialize() const;
  // Replaces the state. Returns false and changes nothing if the bytes are malformed.
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
  // In the order in which the jobs finished.
  std::deque<JobId> finishedJobs;
  std::vector<JobId> removedJobs;
};

} // namespace oriolespread
