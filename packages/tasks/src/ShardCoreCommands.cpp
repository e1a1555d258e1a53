// The part of ShardCore that sends starts and commands to agents.
#include "oriolespread/tasks/ShardCore.h"

#include <algorithm>

namespace oriolespread {

namespace {

// The attempts of a worker are checked for due commands at least this often.
constexpr Duration kMaxCommandCheckPeriod = std::chrono::minutes(1);
// A command is repeated until the agent reports its effect. Slightly less than the heartbeat period
// of 2 s, so that every heartbeat repeats it.
constexpr Duration kCommandRetryPeriod = std::chrono::milliseconds(1900);

} // namespace

void ShardCore::SendDueCommands(Instant aNow, WorkerLease& aLease, OwnerEffects& aEffects)
{
  if (!aLease.sessionOpen || !aLease.reconciled || aNow < aLease.nextCommandCheck) {
    return;
  }
  // Skips checks while no command can be due: most attempts need none for minutes, and most
  // heartbeats change nothing.
  Instant nextCheck = aNow + kMaxCommandCheckPeriod;
  for (auto& [token, live] : aLease.attempts) {
    this->SendDueCommand(aNow, aLease, live, aEffects);
    if (live.stopRequested && live.stopAt > aNow) {
      this->evictingWorkers.insert(aLease.spec.worker);
    }
    const bool steady = live.placementCommitted && !live.stopRequested &&
                        live.reported == AttemptState::Running && live.reportedGrant == live.grant;
    nextCheck = steady ? std::min(nextCheck, live.nextCheckpoint.value_or(nextCheck)) : Instant{};
  }
  aLease.nextCommandCheck = nextCheck;
}

void ShardCore::SendDueCommand(Instant aNow,
                               WorkerLease& aLease,
                               LiveAttempt& aAttempt,
                               OwnerEffects& aEffects)
{
  if (!aAttempt.placementCommitted || aNow < aAttempt.nextSend) {
    return;
  }
  aAttempt.nextSend = aNow + kCommandRetryPeriod;
  if (aAttempt.stopRequested) {
    if (aNow >= aAttempt.stopAt) {
      this->SendCommand(aLease, aAttempt.attempt, TaskCommandKind::Stop, aEffects);
    } else {
      aAttempt.nextSend = aAttempt.stopAt;
    }
  } else if (!aAttempt.reported.has_value()) {
    this->SendStart(aLease, aAttempt, aEffects);
  } else if (*aAttempt.reported == AttemptState::Paused) {
    this->SendCommand(aLease, aAttempt.attempt, TaskCommandKind::Resume, aEffects);
  } else if (aAttempt.reportedGrant != aAttempt.grant) {
    this->SendCommand(aLease, aAttempt.attempt, TaskCommandKind::Throttle, aEffects);
  } else {
    aAttempt.nextSend = Instant{};
    this->RequestCheckpointIfDue(aNow, aLease, aAttempt, aEffects);
  }
}

void ShardCore::RequestCheckpointIfDue(Instant aNow,
                                       const WorkerLease& aLease,
                                       LiveAttempt& aAttempt,
                                       OwnerEffects& aEffects)
{
  const Duration period = this->options.checkpointPeriod;
  if (period == Duration{} || *aAttempt.reported != AttemptState::Running ||
      aAttempt.taskClass != TaskClass::Batch) {
    return;
  }
  if (!aAttempt.nextCheckpoint.has_value()) {
    aAttempt.nextCheckpoint = aNow + period;
  } else if (aNow >= *aAttempt.nextCheckpoint) {
    aAttempt.nextCheckpoint = aNow + period;
    this->SendCommand(aLease, aAttempt.attempt, TaskCommandKind::Checkpoint, aEffects);
  }
}

void ShardCore::SendStart(WorkerLease& aLease, LiveAttempt& aAttempt, OwnerEffects& aEffects)
{
  const TaskRecord& task = *this->table.FindLive(aAttempt.attempt);
  const JobSpec& spec = this->table.FindJob(aAttempt.attempt.task.job)->spec;
  aAttempt.mayHaveStarted = true;
  this->table.SetUnjournaledState(aAttempt.attempt, TaskState::Starting);
  StartTask start;
  start.session = this->SessionOf(aLease);
  start.attempt = aAttempt.attempt;
  start.taskClass = spec.taskClass;
  start.organisation = spec.organisation;
  start.program = spec.program;
  start.arguments = spec.arguments;
  start.checkpoint = task.checkpoint;
  start.grant = task.grant;
  aEffects.emplace_back(SendToAgent{ aLease.agent, std::move(start) });
}

void ShardCore::SendCommand(const WorkerLease& aLease,
                            const AttemptId& aAttempt,
                            TaskCommandKind aKind,
                            OwnerEffects& aEffects)
{
  TaskCommand command{ this->SessionOf(aLease), aAttempt, aKind, {} };
  if (const TaskRecord* task = this->table.FindLive(aAttempt)) {
    command.grant = task->grant;
  }
  aEffects.emplace_back(SendToAgent{ aLease.agent, command });
}

} // namespace oriolespread
