// The task runner of an agent: runs attempts on the agent's worker while the leases of the shard
// owner permit it, and reports their states and results.
//
//   TaskRunner runner(options, bootTime, counters);
//   RunnerEffects effects;
//   runner.Handle(clock.Now(), EntryMessage{entry, message}, effects);
//   // Carry out the effects in order, and call Handle with a RunnerTick at runner.NextWakeup().
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/AttemptTable.h"
#include "oriolespread/tasks/RunnerTypes.h"

#include <map>
#include <set>
#include <string_view>

namespace oriolespread {

// Accepts commands only within the latest session of the highest epoch that it has seen. Checks the
// lease deadline before it handles an event, so that a process that was paused beyond the deadline
// pauses its tasks first. Not thread-safe; makes no system calls.
class TaskRunner
{
public:
  // `aCounters` must outlive this object.
  TaskRunner(RunnerOptions aOptions, Instant aNow, Counters& aCounters);

  void Handle(Instant aNow, const RunnerEvent& aEvent, RunnerEffects& aEffects);
  // Returns when the next RunnerTick is due.
  Instant NextWakeup() const;

  // Returns the current session; its number is 0 if there is none.
  const LeaseSession& Session() const { return this->session; }
  // Returns until when attempts may run; meaningful only while there is a session.
  Instant Deadline() const { return this->deadline; }
  // Returns the sum of the grants of all attempts that have not ended.
  Resources Used() const { return this->attemptTable.Used(); }

private:
  void OnEvent(Instant aNow, const RunnerTick& aTick, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const EntryConnected& aEvent, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const EntryDisconnected& aEvent, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const EntryMessage& aMessage, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const WorkerCallResult& aResult, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const WorkerCheckpointResult& aResult, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const WorkerListResult& aResult, RunnerEffects& aEffects);
  void OnEvent(Instant aNow, const WorkerUsageResult& aResult, RunnerEffects& aEffects);

  void OnGrant(Instant aNow,
               const EntryId& aEntry,
               const LeaseGrant& aGrant,
               RunnerEffects& aEffects);
  void AdoptSession(Instant aNow,
                    const EntryId& aEntry,
                    const LeaseSession& aSession,
                    RunnerEffects& aEffects);
  bool IsNewer(const LeaseSession& aSession) const;
  // Returns whether the session is the current one; counts a refused command otherwise.
  bool AcceptsSession(const LeaseSession& aSession, std::string_view aKind);
  void OnStart(const StartTask& aStart, RunnerEffects& aEffects);
  void OnCommand(const TaskCommand& aCommand, RunnerEffects& aEffects);
  void OnAck(const TaskEventAck& aAck, RunnerEffects& aEffects);
  void ExpireLease(RunnerEffects& aEffects);
  void MergeListedTask(const WorkerTask& aTask, WorkerCallId aListCall, RunnerEffects& aEffects);
  void EndUnlistedAttempts(const std::vector<WorkerTask>& aTasks, WorkerCallId aListCall);

  void SendHeartbeat(Instant aNow, const EntryId& aEntry, RunnerEffects& aEffects);
  void SendEvents(Instant aNow, RunnerEffects& aEffects);
  void RenewWorkerLeases(RunnerEffects& aEffects);
  Instant LeaseEndFor(TaskClass aClass) const;
  WorkerCallId CallWorker(WorkerCallBody aBody, RunnerEffects& aEffects);
  // Makes a call that will change the state of the attempt, and tracks its result.
  void CallForAttempt(TrackedAttempt& aAttempt, WorkerCallBody aBody, RunnerEffects& aEffects);
  void EndAttempt(TrackedAttempt& aAttempt, AttemptState aState, std::string aReason);

  RunnerOptions options;
  Counters& counters;
  AttemptTable attemptTable;
  std::set<EntryId> entries;

  LeaseSession session;
  // Newest session adopted so far; only a newer one may be adopted.
  LeaseSession highestSession;
  EntryId sessionEntry;
  Instant deadline{};
  // Whether heartbeats must carry all attempts; set until the owner has received them once.
  bool fullReportNeeded = false;
  // Sequence number of the first heartbeat of the session that carried all attempts; 0 if none did.
  std::uint64_t fullReportHeartbeat = 0;

  std::uint64_t sequence = 0;
  // When the latest heartbeats were sent, by sequence number.
  std::map<std::uint64_t, Instant> heartbeatSentAt;

  std::uint64_t lastCall = 0;
  std::map<WorkerCallId, AttemptId> pendingCalls;
  WorkerCallId listCall;
  WorkerCallId usageCall;
  // Whether the worker's tasks have been listed since the start of this process.
  bool workerListed = false;

  Instant nextHeartbeat;
  Instant nextEvents;
  Instant nextList;
  Instant nextUsage;
};

} // namespace oriolespread
