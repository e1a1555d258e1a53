// A worker that only keeps account of tasks instead of running programs. A task's arguments are a
// JSON object: {"run_ms": 500, "fail": false, "use_milli_cores": 200, "use_memory_mib": 64}.
#pragma once

#include "oriolespread/platform/WorkerPort.h"

#include <map>
#include <optional>
#include <vector>

namespace oriolespread {

// Runs tasks under leases in virtual time: every call takes the present instant. Checkpoints are
// references of the form "progress-<ms>". Not thread-safe.
class MemoryWorker
{
public:
  explicit MemoryWorker(const Resources& aCapacity);

  absl::Status Start(Instant aNow, const WorkerTaskStart& aStart, Duration aLease);
  absl::Status Renew(Instant aNow, const std::vector<AttemptId>& aAttempts, Duration aLease);
  absl::Status Pause(Instant aNow, const AttemptId& aAttempt);
  absl::Status Resume(Instant aNow, const AttemptId& aAttempt, Duration aLease);
  absl::StatusOr<std::string> Checkpoint(Instant aNow, const AttemptId& aAttempt);
  absl::Status Throttle(Instant aNow, const AttemptId& aAttempt, const Resources& aGrant);
  absl::Status Stop(Instant aNow, const AttemptId& aAttempt);
  absl::Status Forget(const AttemptId& aAttempt);
  std::vector<WorkerTask> List(Instant aNow);
  std::vector<WorkerTaskUsage> Usage(Instant aNow);
  // Returns how many attempts were ever started.
  std::size_t Starts() const { return this->starts; }

private:
  struct Task
  {
    WorkerTask shown;
    Duration runTime{};
    bool fails = false;
    Resources use;
    Duration progress{};
    Instant lastSeen;
    Instant leaseEnd;
  };

  // Brings the progress of every task up to `aNow`, pausing those whose lease ended before.
  void Advance(Instant aNow);
  static void AdvanceTask(Instant aNow, Task& aTask);
  // Returns the task when it is neither unknown nor ended.
  Task* FindLive(const AttemptId& aAttempt);
  Resources Held() const;

  Resources capacity;
  std::map<AttemptId, Task> tasks;
  std::size_t starts = 0;
};

} // namespace oriolespread
