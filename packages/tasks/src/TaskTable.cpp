#include "oriolespread/tasks/TaskTable.h"

#include <algorithm>

namespace oriolespread {

// Found by argument-dependent lookup, so not in the unnamed namespace. Encoded as an array, because
// the keys of an object would double the size of a snapshot and the processor time that it takes.
void to_json(nlohmann::json& aJson, const TaskRecord& aTask)
{
  aJson = nlohmann::json::array({ static_cast<int>(aTask.state),
                                  aTask.hasAttempt,
                                  aTask.failures,
                                  aTask.token.epoch.Value(),
                                  aTask.token.counter,
                                  aTask.worker.Value(),
                                  aTask.grant.milliCores,
                                  aTask.grant.memoryMiB,
                                  aTask.grant.accelerators,
                                  aTask.checkpoint,
                                  aTask.failedWorkers });
}

void from_json(const nlohmann::json& aJson, TaskRecord& aTask)
{
  aTask.state = static_cast<TaskState>(aJson.at(0).get<int>());
  aTask.hasAttempt = aJson.at(1).get<bool>();
  aTask.failures = aJson.at(2).get<std::uint32_t>();
  aTask.token = { aJson.at(3).get<Epoch>(), aJson.at(4).get<std::uint64_t>() };
  aTask.worker = aJson.at(5).get<WorkerId>();
  aTask.grant = { aJson.at(6).get<std::int64_t>(),
                  aJson.at(7).get<std::int64_t>(),
                  aJson.at(8).get<std::int64_t>() };
  aTask.checkpoint = aJson.at(9).get<std::string>();
  aTask.failedWorkers = aJson.at(10).get<std::vector<WorkerId>>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRecord, spec, tasks, counts, attempts, finished)

namespace {

constexpr const char* kJobsKey = "jobs";
constexpr const char* kFinishedKey = "finished";

std::uint32_t& CountOf(JobRecord& aJob, TaskState aState)
{
  return aJob.counts[static_cast<std::size_t>(aState)];
}

} // namespace

bool TaskTable::Apply(const JournalRecord& aRecord)
{
  return std::visit([this](const auto& aBody) { return this->ApplyBody(aBody); }, aRecord);
}

bool TaskTable::ApplyBody(const JobSubmitted& aRecord)
{
  const auto [it, isNew] = this->jobs.try_emplace(aRecord.spec.job);
  if (!isNew) {
    return false;
  }
  it->second.spec = aRecord.spec;
  it->second.tasks.resize(aRecord.spec.tasks);
  CountOf(it->second, TaskState::Queued) = aRecord.spec.tasks;
  return true;
}

bool TaskTable::ApplyBody(const TasksCancelled& aRecord)
{
  JobRecord* job = this->FindJob(aRecord.job);
  if (job == nullptr || job->finished) {
    return false;
  }
  bool changed = false;
  if (aRecord.tasks.empty()) {
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index) {
      changed = this->Cancel(*job, index) || changed;
    }
  }
  for (const std::uint32_t index : aRecord.tasks) {
    changed = this->Cancel(*job, index) || changed;
  }
  this->FinishIfDone(*job);
  return changed;
}

bool TaskTable::Cancel(JobRecord& aJob, std::uint32_t aIndex)
{
  return aIndex < aJob.tasks.size() &&
         this->Transition(aJob, aJob.tasks[aIndex], TaskState::Cancelled);
}

bool TaskTable::ApplyBody(const TaskPlaced& aRecord)
{
  JobRecord* job = this->FindJob(aRecord.attempt.task.job);
  if (job == nullptr || aRecord.attempt.task.index >= job->tasks.size()) {
    return false;
  }
  TaskRecord& task = job->tasks[aRecord.attempt.task.index];
  if (task.hasAttempt || aRecord.attempt.token <= task.token ||
      !this->Transition(*job, task, TaskState::Placed)) {
    return false;
  }
  task.hasAttempt = true;
  task.token = aRecord.attempt.token;
  task.worker = aRecord.worker;
  task.grant = aRecord.grant;
  ++job->attempts;
  return true;
}

bool TaskTable::ApplyBody(const TaskProgressed& aRecord)
{
  TaskRecord* task = this->FindMutableLive(aRecord.attempt);
  if (task == nullptr) {
    return false;
  }
  task->checkpoint = aRecord.checkpoint;
  return true;
}

bool TaskTable::ApplyBody(const GrantChanged& aRecord)
{
  TaskRecord* task = this->FindMutableLive(aRecord.attempt);
  if (task == nullptr) {
    return false;
  }
  task->grant = aRecord.grant;
  return true;
}

bool TaskTable::ApplyBody(const AttemptEnded& aRecord)
{
  TaskRecord* task = this->FindMutableLive(aRecord.attempt);
  if (task == nullptr) {
    return false;
  }
  JobRecord& job = *this->FindJob(aRecord.attempt.task.job);
  if (!aRecord.checkpoint.empty()) {
    task->checkpoint = aRecord.checkpoint;
  }
  TaskState next = TaskState::Evicted;
  if (aRecord.end == AttemptEnd::Completed) {
    next = TaskState::Completed;
  } else if (aRecord.end == AttemptEnd::Failed) {
    ++task->failures;
    if (std::count(task->failedWorkers.begin(), task->failedWorkers.end(), task->worker) == 0) {
      task->failedWorkers.push_back(task->worker);
    }
    const bool isPermanent =
      task->failedWorkers.size() >= kMaxFailedWorkers || task->failures >= kMaxFailures;
    next = isPermanent ? TaskState::Failed : TaskState::Evicted;
  }
  // For a cancelled task the transition is not allowed: it keeps its state and only its attempt
  // ends.
  this->Transition(job, *task, next);
  this->EndAttempt(job, *task);
  return true;
}

bool TaskTable::ApplyBody(const ReplicaReplaced& aRecord)
{
  TaskRecord* task = this->FindMutableLive(aRecord.attempt);
  if (task == nullptr) {
    return false;
  }
  JobRecord& job = *this->FindJob(aRecord.attempt.task.job);
  const bool replace = this->Transition(job, *task, TaskState::Failed);
  task->hasAttempt = false;
  --job.attempts;
  if (replace) {
    job.tasks.emplace_back();
    ++CountOf(job, TaskState::Queued);
  }
  this->FinishIfDone(job);
  return true;
}

bool TaskTable::SetUnjournaledState(const AttemptId& aAttempt, TaskState aState)
{
  TaskRecord* task = this->FindMutableLive(aAttempt);
  if (task == nullptr || task->state == aState) {
    return task != nullptr;
  }
  JobRecord& job = *this->FindJob(aAttempt.task.job);
  if (task->state == TaskState::Placed && aState != TaskState::Starting) {
    this->Transition(job, *task, TaskState::Starting);
  }
  if (task->state == TaskState::Starting && aState == TaskState::Checkpointing) {
    this->Transition(job, *task, TaskState::Running);
  }
  return this->Transition(job, *task, aState);
}

JobRecord* TaskTable::FindJob(const JobId& aJob)
{
  const auto it = this->jobs.find(aJob);
  return it == this->jobs.end() ? nullptr : &it->second;
}

const JobRecord* TaskTable::FindJob(const JobId& aJob) const
{
  const auto it = this->jobs.find(aJob);
  return it == this->jobs.end() ? nullptr : &it->second;
}

const TaskRecord* TaskTable::Find(const TaskId& aTask) const
{
  const JobRecord* job = this->FindJob(aTask.job);
  return job == nullptr || aTask.index >= job->tasks.size() ? nullptr : &job->tasks[aTask.index];
}

const TaskRecord* TaskTable::FindLive(const AttemptId& aAttempt) const
{
  const TaskRecord* task = this->Find(aAttempt.task);
  const bool live = task != nullptr && task->hasAttempt && task->token == aAttempt.token;
  return live ? task : nullptr;
}

TaskRecord* TaskTable::FindMutableLive(const AttemptId& aAttempt)
{
  // The record is a member of this non-const table, so casting away the const is safe.
  return const_cast<TaskRecord*>(this->FindLive(aAttempt));
}

bool TaskTable::Transition(JobRecord& aJob, TaskRecord& aTask, TaskState aState)
{
  if (!IsAllowedTransition(aTask.state, aState)) {
    return false;
  }
  --CountOf(aJob, aTask.state);
  ++CountOf(aJob, aState);
  aTask.state = aState;
  return true;
}

void TaskTable::EndAttempt(JobRecord& aJob, TaskRecord& aTask)
{
  aTask.hasAttempt = false;
  --aJob.attempts;
  this->FinishIfDone(aJob);
}

void TaskTable::FinishIfDone(JobRecord& aJob)
{
  const std::uint32_t ended = aJob.Count(TaskState::Completed) + aJob.Count(TaskState::Failed) +
                              aJob.Count(TaskState::Cancelled);
  if (aJob.finished || ended != aJob.tasks.size() || aJob.attempts != 0) {
    return;
  }
  aJob.finished = true;
  std::vector<TaskRecord>().swap(aJob.tasks);
  this->finishedJobs.push_back(aJob.spec.job);
  if (this->finishedJobs.size() > kMaxFinishedJobs) {
    this->jobs.erase(this->finishedJobs.front());
    this->removedJobs.push_back(std::move(this->finishedJobs.front()));
    this->finishedJobs.pop_front();
  }
}

std::vector<JobId> TaskTable::TakeRemovedJobs()
{
  return std::exchange(this->removedJobs, {});
}

std::string TaskTable::Serialize() const
{
  nlohmann::json state;
  state[kJobsKey] = nlohmann::json::array();
  for (const auto& [id, job] : this->jobs) {
    state[kJobsKey].emplace_back(job);
  }
  state[kFinishedKey] = this->finishedJobs;
  std::string bytes;
  nlohmann::json::to_msgpack(state, bytes);
  return bytes;
}

bool TaskTable::Deserialize(const std::string& aBytes)
{
  TaskTable table;
  try {
    const nlohmann::json state = nlohmann::json::from_msgpack(aBytes);
    for (const nlohmann::json& value : state.at(kJobsKey)) {
      auto job = value.get<JobRecord>();
      const JobId id = job.spec.job;
      table.jobs.emplace(id, std::move(job));
    }
    table.finishedJobs = state.at(kFinishedKey).get<std::deque<JobId>>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  *this = std::move(table);
  return true;
}

} // namespace oriolespread
