// The agent's task side: runs attempts on the worker beside it for as long as the owner's leases
// allow, and reports what became of them.
//
//   TaskRunner runner(options, bootTime, counters);
//   RunnerEffects effects;
//   runner.Handle(clock.Now(), EntryMessage{entry, message}, effects);
//   // carry out the effects in order; call again with RunnerTick at runner.NextWakeup()
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/AttemptTable.h"
#include "oriolespread/tasks/RunnerTypes.h"

#include <map>
#include <set>
#include <string_view>

namespace oriolespread {

// Obeys only the latest session of the highest epoch that it has seen. Checks its lease deadline
// before it acts on any event, so that a process that was paused past it pauses its tasks first.
// Not thread-safe. Makes no system calls.
class TaskRunner
{
public:
  // `aCounters` must outlive this object.
  TaskRunner(RunnerOptions aOptions, Instant aNow, Counters& aCounters);

  void Handle(Instant aNow, const RunnerEvent& aEvent, RunnerEffects& aEffects);
  // Returns when the next RunnerTick is due.
  Instant NextWakeup() const;

  // Returns the session obeyed now; its number is 0 when there is none.
  const LeaseSession& Session() const { return this->session; }
  // Returns until when attempts may run; meaningful only with a session.
  Instant Deadline() const { return this->deadline; }
  // Returns what all attempts that are not ended hold.
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
  // Makes a call that will change the state of the attempt.
  void CallForAttempt(TrackedAttempt& aAttempt, WorkerCallBody aBody, RunnerEffects& aEffects);
  void EndAttempt(TrackedAttempt& aAttempt, AttemptState aState, std::string aReason);

  RunnerOptions options;
  Counters& counters;
  AttemptTable attemptTable;
  std::set<EntryId> entries;

  LeaseSession session;
  // Highest session ever adopted; only a newer one may be adopted.
  LeaseSession highestSession;
  EntryId sessionEntry;
  Instant deadline{};
  bool fullReportNeeded = false;
  std::uint64_t fullReportHeartbeat = 0;

  std::uint64_t sequence = 0;
  // When the latest heartbeats were sent, by sequence.
  std::map<std::uint64_t, Instant> heartbeatSentAt;

  std::uint64_t lastCall = 0;
  std::map<WorkerCallId, AttemptId> pendingCalls;
  WorkerCallId listCall;
  WorkerCallId usageCall;
  // Whether the worker's list has been read since the start of this process.
  bool workerListed = false;

  Instant nextHeartbeat;
  Instant nextEvents;
  Instant nextList;
  Instant nextUsage;
};

} // namespace oriolespread
