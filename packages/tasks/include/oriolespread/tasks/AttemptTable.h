// The attempts that an agent knows, the resources that they hold, and tombstones of attempts that
// must not start any more.
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
  // Batch until a StartTask message states the class, also for attempts that are found on the
  // worker after a restart of the agent.
  TaskClass taskClass = TaskClass::Batch;
  // Last call that concerned this attempt. A list of the worker's tasks is used only if it was
  // requested later.
  WorkerCallId lastCall;
  // Call in flight that will change the state, 0 when there is none.
  WorkerCallId pendingCall;
  // The owner requested a stop; the stop call is repeated until the worker confirms it.
  bool stopRequested = false;
  // Sequence number of the first heartbeat that carried the current state; 0 if none has yet.
  std::uint64_t firstHeartbeat = 0;
  // Whether the owner has processed a heartbeat with the current state.
  bool acknowledged = false;
  // When the end of the attempt is reported next; used only once it has ended.
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
  // Replaces an ended attempt by a tombstone, so that a late start for it is refused.
  void Forget(const AttemptId& aAttempt);
  bool HasTombstone(const AttemptId& aAttempt) const
  {
    return this->tombstones.count(aAttempt) > 0;
  }
  // Called when a new session begins. Starts of earlier sessions are refused anyway, so their
  // tombstones are no longer needed.
  void ClearTombstones() { this->tombstones.clear(); }
  // Returns whether `aGrant` fits into the capacity together with all attempts that have not ended
  // other than `aExcept`.
  bool Fits(const Resources& aGrant, const AttemptId& aExcept) const;
  // Returns whether an attempt of the task has not ended.
  bool HasLiveAttempt(const TaskId& aTask) const;
  // Returns the reports for the heartbeat with this sequence number: of all attempts if `aAll`,
  // otherwise of those whose state no grant has acknowledged yet. Sets `firstHeartbeat` of states
  // that no heartbeat has carried yet.
  std::vector<AttemptReport> PrepareReports(bool aAll, std::uint64_t aSequence);
  // Marks the states that were first sent in this heartbeat or an earlier one as acknowledged by
  // the owner.
  void Acknowledge(std::uint64_t aSequence);

  std::map<AttemptId, TrackedAttempt>& All() { return this->attempts; }
  const Resources& Capacity() const { return this->capacity; }
  // Returns the sum of the grants of all attempts that have not ended.
  Resources Used() const;

private:
  Resources capacity;
  std::map<AttemptId, TrackedAttempt> attempts;
  std::set<AttemptId> tombstones;
};

} // namespace oriolespread
