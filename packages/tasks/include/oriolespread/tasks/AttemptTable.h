// The attempts that an agent knows of, what they hold of its worker, and which may never start.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/TaskMessages.h"
#include "oriolespread/tasks/RunnerTypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolespread {

// Returns whether an attempt in this state will not run again.
bool IsEnded(AttemptState aState);

struct TrackedAttempt
{
  AttemptReport report;
  // Batch until a StartTask says otherwise, also for attempts found on the worker after a restart.
  TaskClass taskClass = TaskClass::Batch;
  // Last call about this attempt; the worker's list is trusted only when it was asked for later.
  WorkerCallId lastCall;
  // Call in flight that will change the state, 0 when there is none.
  WorkerCallId pendingCall;
  // The owner wants it stopped; repeated until the worker confirms.
  bool stopRequested = false;
  // First heartbeat that carried the current state; 0 when none did yet.
  std::uint64_t firstHeartbeat = 0;
  bool acknowledged = false;
  Instant nextEvent{};
};

// Not thread-safe.
class AttemptTable
{
public:
  explicit AttemptTable(const Resources& aCapacity)
    : capacity(aCapacity)
  {
  }

  TrackedAttempt* Find(const AttemptId& aAttempt);
  // Adds an attempt and returns it.
  TrackedAttempt& Add(const AttemptReport& aReport);
  // Changes the state, so that the next heartbeat carries it.
  void SetState(TrackedAttempt& aAttempt, AttemptState aState);
  // Forgets an ended attempt and bars it from starting.
  void Forget(const AttemptId& aAttempt);
  bool HasTombstone(const AttemptId& aAttempt) const
  {
    return this->tombstones.count(aAttempt) > 0;
  }
  // Commands of earlier sessions are refused, so attempts barred under them need no record.
  void ClearTombstones() { this->tombstones.clear(); }
  // Returns whether `aGrant` fits beside all attempts that are not ended, leaving out `aExcept`.
  bool Fits(const Resources& aGrant, const AttemptId& aExcept) const;
  // Returns whether another attempt of the same task has not ended.
  bool HasLiveAttempt(const TaskId& aTask) const;
  // Returns reports of all attempts, or of those whose state no grant has confirmed yet, and notes
  // that the heartbeat with this sequence carries them.
  std::vector<AttemptReport> TakeReports(bool aAll, std::uint64_t aSequence);
  // The owner has processed the heartbeat with this sequence.
  void Acknowledge(std::uint64_t aSequence);

  std::map<AttemptId, TrackedAttempt>& All() { return this->attempts; }
  const Resources& Capacity() const { return this->capacity; }
  Resources Used() const;

private:
  Resources capacity;
  std::map<AttemptId, TrackedAttempt> attempts;
  std::set<AttemptId> tombstones;
};

} // namespace oriolespread
