#include "oriolespread/standins/MemoryWorker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace oriolespread {

namespace {

constexpr std::string_view kCheckpointPrefix = "progress-";
constexpr std::int64_t kDefaultRunMs = 1000;
constexpr Duration kUsageAge = std::chrono::seconds(1);

bool IsLive(WorkerTaskState aState)
{
  return aState == WorkerTaskState::Running || aState == WorkerTaskState::Paused;
}

Duration ProgressOf(std::string_view aCheckpoint)
{
  std::int64_t milliseconds = 0;
  if (aCheckpoint.starts_with(kCheckpointPrefix)) {
    aCheckpoint.remove_prefix(kCheckpointPrefix.size());
    std::from_chars(aCheckpoint.data(), aCheckpoint.data() + aCheckpoint.size(), milliseconds);
  }
  return std::chrono::milliseconds(milliseconds);
}

std::string CheckpointOf(Duration aProgress)
{
  return std::string(kCheckpointPrefix) + std::to_string(ToMilliseconds(aProgress));
}

} // namespace

MemoryWorker::MemoryWorker(const Resources& aCapacity)
  : capacity(aCapacity)
{
}

absl::Status MemoryWorker::Start(Instant aNow, const WorkerTaskStart& aStart, Duration aLease)
{
  this->Advance(aNow);
  if (this->tasks.contains(aStart.attempt)) {
    return absl::AlreadyExistsError("attempt is known");
  }
  if (!(this->Held() + aStart.grant).FitsIn(this->capacity)) {
    return absl::ResourceExhaustedError("capacity exceeded");
  }
  const auto arguments = nlohmann::json::parse(aStart.arguments, nullptr, false);
  Task task;
  task.shown = { aStart.attempt, WorkerTaskState::Running, aStart.grant, aStart.checkpoint, "" };
  task.use = aStart.grant;
  task.runTime = std::chrono::milliseconds(kDefaultRunMs);
  if (arguments.is_object()) {
    task.runTime = std::chrono::milliseconds(arguments.value("run_ms", kDefaultRunMs));
    task.fails = arguments.value("fail", false);
    task.use.milliCores = arguments.value("use_milli_cores", aStart.grant.milliCores);
    task.use.memoryMiB = arguments.value("use_memory_mib", aStart.grant.memoryMiB);
  }
  task.progress = ProgressOf(aStart.checkpoint);
  task.lastSeen = aNow;
  task.leaseEnd = aNow + aLease;
  this->tasks.emplace(aStart.attempt, std::move(task));
  ++this->starts;
  return absl::OkStatus();
}

absl::Status MemoryWorker::Renew(Instant aNow,
                                 const std::vector<AttemptId>& aAttempts,
                                 Duration aLease)
{
  this->Advance(aNow);
  for (const AttemptId& attempt : aAttempts) {
    if (Task* task = this->FindLive(attempt); task != nullptr) {
      task->leaseEnd = aNow + aLease;
    }
  }
  return absl::OkStatus();
}

absl::Status MemoryWorker::Pause(Instant aNow, const AttemptId& aAttempt)
{
  this->Advance(aNow);
  Task* task = this->FindLive(aAttempt);
  if (task == nullptr) {
    return absl::NotFoundError("no such live attempt");
  }
  task->shown.state = WorkerTaskState::Paused;
  return absl::OkStatus();
}

absl::Status MemoryWorker::Resume(Instant aNow, const AttemptId& aAttempt, Duration aLease)
{
  this->Advance(aNow);
  Task* task = this->FindLive(aAttempt);
  if (task == nullptr) {
    return absl::NotFoundError("no such live attempt");
  }
  task->shown.state = WorkerTaskState::Running;
  task->lastSeen = aNow;
  task->leaseEnd = aNow + aLease;
  return absl::OkStatus();
}

absl::StatusOr<std::string> MemoryWorker::Checkpoint(Instant aNow, const AttemptId& aAttempt)
{
  this->Advance(aNow);
  Task* task = this->FindLive(aAttempt);
  if (task == nullptr) {
    return absl::NotFoundError("no such live attempt");
  }
  task->shown.checkpoint = CheckpointOf(task->progress);
  return task->shown.checkpoint;
}

absl::Status MemoryWorker::Throttle(Instant aNow,
                                    const AttemptId& aAttempt,
                                    const Resources& aGrant)
{
  this->Advance(aNow);
  Task* task = this->FindLive(aAttempt);
  if (task == nullptr) {
    return absl::NotFoundError("no such live attempt");
  }
  if (!(this->Held() - task->shown.grant + aGrant).FitsIn(this->capacity)) {
    return absl::ResourceExhaustedError("capacity exceeded");
  }
  task->shown.grant = aGrant;
  return absl::OkStatus();
}

absl::Status MemoryWorker::Stop(Instant aNow, const AttemptId& aAttempt)
{
  this->Advance(aNow);
  if (Task* task = this->FindLive(aAttempt); task != nullptr) {
    task->shown.state = WorkerTaskState::Stopped;
  }
  return absl::OkStatus();
}

absl::Status MemoryWorker::Forget(const AttemptId& aAttempt)
{
  if (this->FindLive(aAttempt) != nullptr) {
    return absl::FailedPreconditionError("attempt is live");
  }
  this->tasks.erase(aAttempt);
  return absl::OkStatus();
}

std::vector<WorkerTask> MemoryWorker::List(Instant aNow)
{
  this->Advance(aNow);
  std::vector<WorkerTask> list;
  list.reserve(this->tasks.size());
  for (const auto& [attempt, task] : this->tasks) {
    list.push_back(task.shown);
  }
  return list;
}

std::vector<WorkerTaskUsage> MemoryWorker::Usage(Instant aNow)
{
  this->Advance(aNow);
  std::vector<WorkerTaskUsage> usage;
  for (const auto& [attempt, task] : this->tasks) {
    if (task.shown.state == WorkerTaskState::Running) {
      usage.push_back({ attempt, task.use, kUsageAge });
    }
  }
  return usage;
}

void MemoryWorker::Advance(Instant aNow)
{
  for (auto& [attempt, task] : this->tasks) {
    if (task.shown.state == WorkerTaskState::Running) {
      AdvanceTask(aNow, task);
    }
  }
}

void MemoryWorker::AdvanceTask(Instant aNow, Task& aTask)
{
  const Instant until = std::min(aNow, aTask.leaseEnd);
  if (until > aTask.lastSeen) {
    aTask.progress += until - aTask.lastSeen;
    aTask.lastSeen = until;
  }
  if (aTask.progress >= aTask.runTime) {
    aTask.shown.state = aTask.fails ? WorkerTaskState::Failed : WorkerTaskState::Completed;
    aTask.shown.reason = aTask.fails ? "exit status 1" : "";
  } else if (aNow >= aTask.leaseEnd) {
    aTask.shown.state = WorkerTaskState::Paused;
  }
}

MemoryWorker::Task* MemoryWorker::FindLive(const AttemptId& aAttempt)
{
  const auto it = this->tasks.find(aAttempt);
  if (it == this->tasks.end() || !IsLive(it->second.shown.state)) {
    return nullptr;
  }
  return &it->second;
}

Resources MemoryWorker::Held() const
{
  Resources held;
  for (const auto& [attempt, task] : this->tasks) {
    if (IsLive(task.shown.state)) {
      held += task.shown.grant;
    }
  }
  return held;
}

} // namespace oriolespread
