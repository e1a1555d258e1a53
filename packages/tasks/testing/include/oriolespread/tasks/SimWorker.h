// A worker on the virtual clock: runs attempts, pauses them when their lease ends, dies with
// everything that it holds.
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

  // Running time of a task; the program names it in milliseconds.
  double failureRate = 0.0;
  // Sums over all attempts, in queue time.
  Duration pausedTime{};
  Duration lostWork{};

  void Die()
  {
    ++this->life;
    for (auto& [id, task] : this->tasks) {
      this->SetState(task, WorkerTaskState::Stopped);
      this->lostWork += task.done - task.saved;
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

  absl::Status Do(const WorkerStartCall& aCall, Duration aLease)
  {
    if (this->tasks.count(aCall.start.attempt) > 0) {
      return absl::AlreadyExistsError("known");
    }
    this->checks.OnStart(aCall.start.attempt, aCall.start.checkpoint);
    Task& task = this->tasks[aCall.start.attempt];
    task.info = { aCall.start.attempt, WorkerTaskState::Paused, aCall.start.grant, {}, {} };
    task.info.checkpoint = aCall.start.checkpoint;
    task.length = milliseconds(std::stol(aCall.start.program));
    // A checkpoint names the milliseconds of work that it holds.
    const std::size_t mark = aCall.start.checkpoint.rfind('@');
    task.done = mark == std::string::npos
                  ? Duration{}
                  : milliseconds(std::stol(aCall.start.checkpoint.substr(mark + 1)));
    task.saved = task.done;
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

  absl::Status Do(const WorkerPauseCall& aCall)
  {
    return this->With(aCall.attempt, [this](Task& aTask) { this->Pause(aTask); });
  }

  absl::Status Do(const WorkerResumeCall& aCall, Duration aLease)
  {
    return this->With(aCall.attempt, [&](Task& aTask) {
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
    this->Progress(*task);
    task->saved = task->done;
    task->info.checkpoint = absl::StrCat(ToString(aAttempt), "@", ToMilliseconds(task->done));
    return task->info.checkpoint;
  }

  absl::Status Do(const WorkerThrottleCall& aCall)
  {
    return this->With(aCall.attempt, [&](Task& aTask) {
      aTask.info.grant = aCall.grant;
      this->CheckCapacity();
    });
  }

  absl::Status Do(const WorkerStopCall& aCall)
  {
    return this->With(aCall.attempt, [this](Task& aTask) {
      if (!this->IsEnded(aTask)) {
        this->Progress(aTask);
        this->lostWork += aTask.done - aTask.saved;
        this->SetState(aTask, WorkerTaskState::Stopped);
      }
    });
  }

  absl::Status Do(const WorkerForgetCall& aCall)
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
    Duration done{};
    Duration saved{};
    Duration runningSince{};
    Duration pausedAt{};
    Duration leaseEnd{};
    std::uint64_t run = 0;
  };

  Task* Find(const AttemptId& aAttempt)
  {
    const auto it = this->tasks.find(aAttempt);
    return it == this->tasks.end() ? nullptr : &it->second;
  }

  absl::Status With(const AttemptId& aAttempt, const std::function<void(Task&)>& aDo)
  {
    Task* task = this->Find(aAttempt);
    if (task == nullptr) {
      return absl::NotFoundError("no such attempt");
    }
    aDo(*task);
    return absl::OkStatus();
  }

  static bool IsEnded(const Task& aTask)
  {
    return aTask.info.state != WorkerTaskState::Running &&
           aTask.info.state != WorkerTaskState::Paused;
  }

  void SetState(Task& aTask, WorkerTaskState aState)
  {
    const bool was = aTask.info.state == WorkerTaskState::Running;
    const bool is = aState == WorkerTaskState::Running;
    aTask.info.state = aState;
    if (was != is) {
      this->checks.OnRunning(aTask.info.attempt, is ? 1 : -1);
    }
  }

  void Progress(Task& aTask)
  {
    if (aTask.info.state == WorkerTaskState::Running) {
      aTask.done += this->queue.Now() - aTask.runningSince;
      aTask.runningSince = this->queue.Now();
    }
  }

  void Run(Task& aTask, Duration aLease)
  {
    this->pausedTime += this->queue.Now() - aTask.pausedAt;
    this->SetState(aTask, WorkerTaskState::Running);
    aTask.runningSince = this->queue.Now();
    const std::uint64_t run = ++aTask.run;
    this->Watch(aTask, this->queue.Now() + aTask.length - aTask.done, run, [this](Task& aDone) {
      this->Progress(aDone);
      const bool fails = this->random.Chance(this->failureRate);
      aDone.info.reason = fails ? "exit 1" : "";
      this->SetState(aDone, fails ? WorkerTaskState::Failed : WorkerTaskState::Completed);
    });
    this->SetLease(aTask, aLease);
  }

  void SetLease(Task& aTask, Duration aLease)
  {
    const Instant end = this->clock.At(this->queue.Now()) + aLease;
    aTask.leaseEnd = this->clock.When(end);
    this->Watch(aTask, aTask.leaseEnd, aTask.run, [this](Task& aLapsed) {
      if (this->queue.Now() >= aLapsed.leaseEnd) {
        this->Pause(aLapsed);
      }
    });
  }

  void Pause(Task& aTask)
  {
    if (aTask.info.state == WorkerTaskState::Running) {
      this->Progress(aTask);
      aTask.pausedAt = this->queue.Now();
      this->SetState(aTask, WorkerTaskState::Paused);
    }
  }

  // Runs `aDo` at a time if the attempt is then still in the same run.
  void Watch(const Task& aTask,
             Duration aTime,
             std::uint64_t aRun,
             const std::function<void(Task&)>& aDo)
  {
    if (aTime > this->queue.Now() + std::chrono::hours(24)) {
      return;
    }
    this->queue.At(aTime, [this, aRun, aDo, id = aTask.info.attempt, started = this->life] {
      Task* task = started == this->life ? this->Find(id) : nullptr;
      if (task != nullptr && task->run == aRun && task->info.state == WorkerTaskState::Running) {
        aDo(*task);
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
      this->checks.Fail("worker holds more than its capacity");
    }
  }

  EventQueue& queue;
  RandomSource& random;
  SimChecks& checks;
  LocalClock clock;
  Resources capacity;
  std::map<AttemptId, Task> tasks;
  std::uint64_t life = 0;
};

} // namespace oriolespread::sim
