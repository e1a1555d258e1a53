// Starts and commands to agents.
#include "oriolespread/tasks/ShardCore.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Attempts of a worker are looked through at least this often.
constexpr Duration kMaxQuiet = std::chrono::minutes(1);
// A command is repeated with each heartbeat until the agent reports its effect.
constexpr Duration kCommandRepeat = std::chrono::milliseconds(1900);

} // namespace

void ShardCore::PumpCommands(Instant aNow, WorkerLease& aLease, OwnerEffects& aEffects)
{
  if (!aLease.open || !aLease.settled || aNow < aLease.quietUntil) {
    return;
  }
  // Most attempts need no command for minutes, and most heartbeats change nothing.
  Instant quiet = aNow + kMaxQuiet;
  for (auto& [token, live] : aLease.attempts) {
    this->SendDue(aNow, aLease, live, aEffects);
    if (live.stopWanted && live.stopAt > aNow) {
      this->evicting.insert(aLease.spec.worker);
    }
    const bool steady = live.committed && !live.stopWanted &&
                        live.reported == AttemptState::Running && live.reportedGrant == live.grant;
    quiet = steady ? std::min(quiet, live.nextCheckpoint.value_or(quiet)) : Instant{};
  }
  aLease.quietUntil = quiet;
}

void ShardCore::SendDue(Instant aNow,
                        WorkerLease& aLease,
                        LiveAttempt& aAttempt,
                        OwnerEffects& aEffects)
{
  if (!aAttempt.committed || aNow < aAttempt.nextSend) {
    return;
  }
  aAttempt.nextSend = aNow + kCommandRepeat;
  if (aAttempt.stopWanted) {
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
    this->CheckpointIfDue(aNow, aLease, aAttempt, aEffects);
  }
}

void ShardCore::CheckpointIfDue(Instant aNow,
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
  aAttempt.maybeSent = true;
  this->table.Observe(aAttempt.attempt, TaskState::Starting);
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
