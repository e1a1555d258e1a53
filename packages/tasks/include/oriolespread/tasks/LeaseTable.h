// The owner's view of the workers of its shard: links, lease sessions, and the attempts that each
// worker may hold.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/TaskMessages.h"
#include "oriolespread/placement/PlacementTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriolespread {

// One attempt that a worker may hold.
struct LiveAttempt
{
  AttemptId attempt;
  // Copies of the task's data, so that an unchanged heartbeat costs no look-up of each attempt.
  TaskClass taskClass = TaskClass::Batch;
  Resources grant;
  // Whether its placement has committed, so that a start may be sent.
  bool committed = false;
  // Whether a start may have reached the agent.
  bool mayHaveStarted = false;
  bool stopRequested = false;
  // A stop is not sent before this, to leave time for a checkpoint.
  Instant stopAt{};
  // State last reported by the agent; nothing when it has not reported the attempt.
  std::optional<AttemptState> reported;
  Resources reportedGrant;
  // The command that is due is sent again from this time on.
  Instant nextSend{};
  // When the next periodic checkpoint is due; nothing before the attempt is reported running.
  std::optional<Instant> nextCheckpoint;
};

struct WorkerLease
{
  WorkerSpec spec;
  AgentId agent;
  Incarnation incarnation;
  bool linked = false;
  // Highest sequence of a heartbeat of this incarnation.
  std::uint64_t lastHeartbeat = 0;

  // Session last opened; 0 when none was.
  std::uint64_t session = 0;
  // Whether grants still extend the session.
  bool open = false;
  // Whether the agent has listed all attempts under the session, so that it obeys this owner only.
  bool reconciled = false;
  Instant sessionOpenedAt{};
  // From this time on no attempt on the worker runs unless a grant is given meanwhile. Counted from
  // grants given, or from the horizon of earlier owners.
  Instant deadline{};
  // Whether the deadline is still ahead or not yet acted upon.
  bool mayHoldLease = false;

  std::map<AttemptToken, LiveAttempt> attempts;
  // No command to an attempt is due before this time; Find and Add reset it.
  Instant nextCommandCheck{};
  // Attempts reported by the agent that should not exist; they are being stopped.
  std::set<AttemptId> unexpectedAttempts;

  // Returns whether new tasks may be placed here.
  bool IsAvailable() const
  {
    return this->linked && this->open && this->reconciled && this->unexpectedAttempts.empty();
  }
  // Returns null for an attempt that the worker does not hold.
  LiveAttempt* Find(const AttemptId& aAttempt);
  void Add(const LiveAttempt& aAttempt);
};

// Not thread-safe.
class LeaseTable
{
public:
  // Forgets sessions and attempts, keeps links.
  void Reset();

  // Returns null for an agent of a lower incarnation than known.
  WorkerLease* OnAgentUp(const Announce& aAnnounce);
  WorkerLease* OnAgentDown(const AgentId& aAgent);

  WorkerLease* Find(const WorkerId& aWorker);
  WorkerLease* FindByAgent(const AgentId& aAgent);
  // Returns the worker, adding it unlinked if it is not known.
  WorkerLease& Get(const WorkerId& aWorker);
  std::map<WorkerId, WorkerLease>& All() { return this->workers; }

  std::uint64_t OpenSession(WorkerLease& aLease, Instant aNow);
  // Returns a number above that of every session opened.
  std::uint64_t NextSession() const { return this->lastSession + 1; }
  // Returns the longest time that a worker which has not settled must still be waited for.
  Duration RemainingInheritedLease(Instant aNow) const;

private:
  std::map<WorkerId, WorkerLease> workers;
  std::map<AgentId, WorkerId> agents;
  std::uint64_t lastSession = 0;
};

} // namespace oriolespread
