// The workers of a shard as its owner sees them: links, lease sessions, and the attempts that each
// worker may be running.
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

// An attempt that a worker may be running.
struct LiveAttempt
{
  AttemptId attempt;
  // Copied from the task, so that an unchanged heartbeat needs no task lookup for each attempt.
  TaskClass taskClass = TaskClass::Batch;
  Resources grant;
  // Whether the placement has committed; no start is sent before.
  bool placementCommitted = false;
  // Whether a start may have reached the agent.
  bool mayHaveStarted = false;
  bool stopRequested = false;
  // No stop is sent before this time, which leaves time for a checkpoint.
  Instant stopAt{};
  // State last reported by the agent; empty until it reports the attempt.
  std::optional<AttemptState> reported;
  Resources reportedGrant;
  // When a command that is still due is sent next.
  Instant nextSend{};
  // When the next periodic checkpoint is due; empty until the attempt is reported as running.
  std::optional<Instant> nextCheckpoint;
};

struct WorkerLease
{
  WorkerSpec spec;
  AgentId agent;
  Incarnation incarnation;
  bool linked = false;
  // Highest heartbeat sequence number received from this incarnation.
  std::uint64_t lastHeartbeat = 0;

  // Number of the session opened last; 0 if none was opened.
  std::uint64_t session = 0;
  // Whether the session may still be extended by grants.
  bool sessionOpen = false;
  // Whether the agent has listed all its attempts within the session. From then on it follows this
  // owner only.
  bool reconciled = false;
  Instant sessionOpenedAt{};
  // When the last lease on the worker ends: no attempt runs later than this unless another grant is
  // given. Derived from the grants of this owner and the horizon of earlier owners.
  Instant deadline{};
  // Whether the worker may still hold a lease; cleared when the expiry has been processed.
  bool mayHoldLease = false;

  std::map<AttemptToken, LiveAttempt> attempts;
  // No attempt needs a command before this time. Find and Add reset it.
  Instant nextCommandCheck{};
  // Attempts that the agent reports but that the owner does not know; they are being stopped.
  std::set<AttemptId> unexpectedAttempts;

  // Returns whether new tasks may be placed on the worker.
  bool IsAvailable() const
  {
    return this->linked && this->sessionOpen && this->reconciled &&
           this->unexpectedAttempts.empty();
  }
  // Returns null if the attempt is not on the worker.
  LiveAttempt* Find(const AttemptId& aAttempt);
  void Add(const LiveAttempt& aAttempt);
};

// Not thread-safe.
class LeaseTable
{
public:
  // Drops sessions and attempts but keeps linked workers.
  void Reset();

  // Returns null if a higher incarnation of the agent is already known.
  WorkerLease* OnAgentConnected(const Announce& aAnnounce);
  // Returns null if the agent is not known.
  WorkerLease* OnAgentDisconnected(const AgentId& aAgent);

  WorkerLease* Find(const WorkerId& aWorker);
  WorkerLease* FindByAgent(const AgentId& aAgent);
  // Returns the worker; adds it as unlinked if it is not known.
  WorkerLease& GetOrAdd(const WorkerId& aWorker);
  std::map<WorkerId, WorkerLease>& All() { return this->workers; }

  std::uint64_t OpenSession(WorkerLease& aLease, Instant aNow);
  // Returns the number that the next session will have.
  std::uint64_t NextSession() const { return this->lastSession + 1; }
  // Returns the longest remaining lease among the workers that are not reconciled yet.
  Duration RemainingInheritedLease(Instant aNow) const;

private:
  std::map<WorkerId, WorkerLease> workers;
  std::map<AgentId, WorkerId> agents;
  std::uint64_t lastSession = 0;
};

} // namespace oriolespread
