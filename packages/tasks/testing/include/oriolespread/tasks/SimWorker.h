// A simulated worker: runs attempts, pauses them when their lease ends, and loses them in a crash.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/tasks/RunnerTypes.h"
#include "oriolespread/tasks/SimChecks.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread::sim {

class SimWorker
{
public:
  SimWorker(EventQueue& aQueue,
            RandomSource& aRandom,
            SimChecks& aChecks,
            const LocalClock& aClock,
            const Resources& aCapacity)
    : queue(aQueue)
    , random(aRandom)
    , checks(aChecks)
    , clock(aClock)
    , capacity(aCapacity)
  {
  }

  // Probability that an attempt fails at its end. The program of a task is its running time in
  // milliseconds.
  double failureRate = 0.0;
  // Totals over all attempts, in queue time.
  Duration pausedTime{};
  Duration lostWork{};

  void Crash()
  {
    ++this->incarnation;
    for (auto& [id, task] : this->tasks) {
      this->SetState(task, WorkerTaskState::Stopped);
      this->lostWork += task.workDone - task.savedWork;
    }
    this->tasks.clear();
  }

  std::size_t Running() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->tasks.begin(), this->tasks.end(), [](const auto& aEntry) {
        return aEntry.second.info.state == WorkerTaskState::Running;
      }));
  }

  absl::Status Execute(const WorkerStartCall& aCall, Duration aLease)
  {
    if (this->tasks.count(aCall.start.attempt) > 0) {
      return absl::AlreadyExistsError("known");
    }
    this->checks.OnStart(aCall.start.attempt, aCall.start.checkpoint);
    Task& task = this->tasks[aCall.start.attempt];
    task.info = { aCall.start.attempt, WorkerTaskState::Paused, aCall.start.grant, {}, {} };
    task.info.checkpoint = aCall.start.checkpoint;
    task.length = milliseconds(std::stol(aCall.start.program));
    // A checkpoint ends with the milliseconds of work that it contains.
    const std::size_t separator = aCall.start.checkpoint.rfind('@');
    task.workDone = separator == std::string::npos
                      ? Duration{}
                      : milliseconds(std::stol(aCall.start.checkpoint.substr(separator + 1)));
    task.savedWork = task.workDone;
    task.pausedAt = this->queue.Now();
    this->CheckCapacity();
    this->Run(task, aLease);
    return absl::OkStatus();
  }

  void Renew(const AttemptId& aAttempt, Duration aLease)
  {
    Task* task = this->Find(aAttempt);
    if (task != nullptr && task->info.state == WorkerTaskState::Running) {
      this->SetLease(*task, aLease);
    }
  }

  absl::Status Execute(const WorkerPauseCall& aCall)
  {
    return this->ApplyTo(aCall.attempt, [this](Task& aTask) { this->Pause(aTask); });
  }

  absl::Status Execute(const WorkerResumeCall& aCall, Duration aLease)
  {
    return this->ApplyTo(aCall.attempt, [&](Task& aTask) {
      if (aTask.info.state == WorkerTaskState::Paused) {
        this->checks.OnResume(aCall.attempt);
        this->Run(aTask, aLease);
      }
    });
  }

  absl::StatusOr<std::string> Checkpoint(const AttemptId& aAttempt)
  {
    Task* task = this->Find(aAttempt);
    if (task == nullptr || this->IsEnded(*task)) {
      return absl::NotFoundError("no such attempt");
    }
    this->UpdateProgress(*task);
    task->savedWork = task->workDone;
    task->info.checkpoint = absl::StrCat(ToString(aAttempt), "@", ToMilliseconds(task->workDone));
    return task->info.checkpoint;
  }

  absl::Status Execute(const WorkerThrottleCall& aCall)
  {
    return this->ApplyTo(aCall.attempt, [&](Task& aTask) {
      aTask.info.grant = aCall.grant;
      this->CheckCapacity();
    });
  }

  absl::Status Execute(const WorkerStopCall& aCall)
  {
    return this->ApplyTo(aCall.attempt, [this](Task& aTask) {
      if (!this->IsEnded(aTask)) {
        this->UpdateProgress(aTask);
        this->lostWork += aTask.workDone - aTask.savedWork;
        this->SetState(aTask, WorkerTaskState::Stopped);
      }
    });
  }

  absl::Status Execute(const WorkerForgetCall& aCall)
  {
    Task* task = this->Find(aCall.attempt);
    if (task != nullptr && this->IsEnded(*task)) {
      this->tasks.erase(aCall.attempt);
    }
    return absl::OkStatus();
  }

  std::vector<WorkerTask> List() const
  {
    std::vector<WorkerTask> list;
    for (const auto& [id, task] : this->tasks) {
      list.push_back(task.info);
    }
    return list;
  }

private:
  struct Task
  {
    WorkerTask info;
    Duration length{};
    Duration workDone{};
    Duration savedWork{};
    Duration runningSince{};
    Duration pausedAt{};
    Duration leaseEnd{};
    std::uint64_t runNumber = 0;
  };

  Task* Find(const AttemptId& aAttempt)
  {
    const auto it = this->tasks.find(aAttempt);
    return it == this->tasks.end() ? nullptr : &it->second;
  }

  absl::Status ApplyTo(const AttemptId& aAttempt, const std::function<void(Task&)>& aFunction)
  {
    Task* task = this->Find(aAttempt);
    if (task == nullptr) {
      return absl::NotFoundError("no such attempt");
    }
    aFunction(*task);
    return absl::OkStatus();
  }

  static bool IsEnded(const Task& aTask)
  {
    return aTask.info.state != WorkerTaskState::Running &&
           aTask.info.state != WorkerTaskState::Paused;
  }

  void SetState(Task& aTask, WorkerTaskState aState)
  {
    const bool wasRunning = aTask.info.state == WorkerTaskState::Running;
    const bool isRunning = aState == WorkerTaskState::Running;
    aTask.info.state = aState;
    if (wasRunning != isRunning) {
      this->checks.OnRunning(aTask.info.attempt, isRunning ? 1 : -1);
    }
  }

  void UpdateProgress(Task& aTask)
  {
    if (aTask.info.state == WorkerTaskState::Running) {
      aTask.workDone += this->queue.Now() - aTask.runningSince;
      aTask.runningSince = this->queue.Now();
    }
  }

  void Run(Task& aTask, Duration aLease)
  {
    this->pausedTime += this->queue.Now() - aTask.pausedAt;
    this->SetState(aTask, WorkerTaskState::Running);
    aTask.runningSince = this->queue.Now();
    const std::uint64_t runNumber = ++aTask.runNumber;
    this->ScheduleWhileRunning(
      aTask, this->queue.Now() + aTask.length - aTask.workDone, runNumber, [this](Task& aDone) {
        this->UpdateProgress(aDone);
        const bool fails = this->random.Chance(this->failureRate);
        aDone.info.reason = fails ? "exit 1" : "";
        this->SetState(aDone, fails ? WorkerTaskState::Failed : WorkerTaskState::Completed);
      });
    this->SetLease(aTask, aLease);
  }

  void SetLease(Task& aTask, Duration aLease)
  {
    const Instant end = this->clock.At(this->queue.Now()) + aLease;
    aTask.leaseEnd = this->clock.QueueTimeAt(end);
    this->ScheduleWhileRunning(aTask, aTask.leaseEnd, aTask.runNumber, [this](Task& aExpired) {
      if (this->queue.Now() >= aExpired.leaseEnd) {
        this->Pause(aExpired);
      }
    });
  }

  void Pause(Task& aTask)
  {
    if (aTask.info.state == WorkerTaskState::Running) {
      this->UpdateProgress(aTask);
      aTask.pausedAt = this->queue.Now();
      this->SetState(aTask, WorkerTaskState::Paused);
    }
  }

  // Calls `aFunction` at `aTime` if the attempt has been running without interruption until then.
  void ScheduleWhileRunning(const Task& aTask,
                            Duration aTime,
                            std::uint64_t aRunNumber,
                            const std::function<void(Task&)>& aFunction)
  {
    if (aTime > this->queue.Now() + std::chrono::hours(24)) {
      return;
    }
    this->queue.At(
      aTime, [this, aRunNumber, aFunction, id = aTask.info.attempt, started = this->incarnation] {
        Task* task = started == this->incarnation ? this->Find(id) : nullptr;
        if (task != nullptr && task->runNumber == aRunNumber &&
            task->info.state == WorkerTaskState::Running) {
          aFunction(*task);
        }
      });
  }

  void CheckCapacity()
  {
    Resources sum;
    for (const auto& [id, task] : this->tasks) {
      if (!this->IsEnded(task)) {
        sum += task.info.grant;
      }
    }
    if (!sum.FitsIn(this->capacity)) {
      this->checks.Fail("attempts on a worker exceed its capacity");
    }
  }

  EventQueue& queue;
  RandomSource& random;
  SimChecks& checks;
  LocalClock clock;
  Resources capacity;
  std::map<AttemptId, Task> tasks;
  std::uint64_t incarnation = 0;
};

} // namespace oriolespread::sim
