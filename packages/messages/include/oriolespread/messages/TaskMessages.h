// Messages of the task path between an agent and the entry that owns the shard of its worker.
#pragma once

#include "oriolespread/base/AttemptId.h"
#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread {

// The authority behind a lease grant or a command. An agent obeys only the latest session of the
// highest epoch that it has seen for its shard; sessions of one epoch are numbered upwards.
struct LeaseSession
{
  ShardId shard;
  Epoch epoch;
  std::uint64_t number = 0;

  friend bool operator==(const LeaseSession&, const LeaseSession&) = default;
};

enum class TaskClass
{
  Batch,
  LatencyCritical,
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskClass,
                             { { TaskClass::Batch, "batch" },
                               { TaskClass::LatencyCritical, "latency_critical" } })

// State of one attempt as its agent sees it.
enum class AttemptState
{
  Starting,
  Running,
  Checkpointing,
  // Not running; its memory is kept. Entered when the lease lapses.
  Paused,
  Completed,
  Failed,
  // Stopped by a StopTask, or never started; it does not run again.
  Stopped,
};

NLOHMANN_JSON_SERIALIZE_ENUM(AttemptState,
                             { { AttemptState::Stopped, "stopped" },
                               { AttemptState::Starting, "starting" },
                               { AttemptState::Running, "running" },
                               { AttemptState::Checkpointing, "checkpointing" },
                               { AttemptState::Paused, "paused" },
                               { AttemptState::Completed, "completed" },
                               { AttemptState::Failed, "failed" } })

struct AttemptReport
{
  AttemptId attempt;
  AttemptState state = AttemptState::Stopped;
  // Reference of the last checkpoint; empty when there is none.
  std::string checkpoint;
  // Why the attempt failed or was refused; empty otherwise.
  std::string reason;
  Resources grant;
};

// Agent to owner, every 2 s. Lists all attempts after a connect or when the owner opens a session.
struct Heartbeat
{
  AgentId agent;
  Incarnation incarnation;
  WorkerId worker;
  std::uint64_t sequence = 0;
  // The session that the agent obeys; number 0 when it has none.
  LeaseSession session;
  // Whether `attempts` lists every attempt that the agent and its worker know of.
  bool whole = false;
  std::vector<AttemptReport> attempts;
  Resources capacity;
};

// Owner to agent, in answer to a heartbeat: the agent may run tasks for `durationMs`, counted from
// when it sent the heartbeat with sequence `heartbeat`.
struct LeaseGrant
{
  LeaseSession session;
  AgentId agent;
  Incarnation incarnation;
  std::uint64_t heartbeat = 0;
  std::uint64_t durationMs = 0;
};

// Agent to owner: an attempt changed state. Repeated until the owner acknowledges it.
struct TaskEvent
{
  AgentId agent;
  Incarnation incarnation;
  WorkerId worker;
  AttemptReport report;
};

// Owner to agent: the event of this attempt and state is journaled and may be forgotten.
struct TaskEventAck
{
  AttemptId attempt;
  AttemptState state = AttemptState::Stopped;
};

struct StartTask
{
  LeaseSession session;
  AttemptId attempt;
  TaskClass taskClass = TaskClass::Batch;
  OrganisationId organisation;
  std::string program;
  std::string arguments;
  // Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  Resources grant;
};

enum class TaskCommandKind
{
  Checkpoint,
  Stop,
  Throttle,
  Resume,
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskCommandKind,
                             { { TaskCommandKind::Stop, "stop" },
                               { TaskCommandKind::Checkpoint, "checkpoint" },
                               { TaskCommandKind::Throttle, "throttle" },
                               { TaskCommandKind::Resume, "resume" } })

// Owner to agent: CheckpointTask, StopTask, ThrottleTask and ResumeTask. `grant` counts for
// Throttle only. A Stop also takes effect for an attempt that the agent does not know, and prevents
// it from starting later.
struct TaskCommand
{
  LeaseSession session;
  AttemptId attempt;
  TaskCommandKind kind = TaskCommandKind::Stop;
  Resources grant;
};

struct TaskUsage
{
  AttemptId attempt;
  Resources used;
  std::uint64_t ageMs = 0;
};

// Agent to owner, every 10 s: what attempts use; the worker measured it `ageMs` ago.
struct UsageReport
{
  AgentId agent;
  WorkerId worker;
  std::vector<TaskUsage> tasks;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseSession, shard, epoch, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptReport, attempt, state, checkpoint, reason, grant)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat,
                                   agent,
                                   incarnation,
                                   worker,
                                   sequence,
                                   session,
                                   whole,
                                   attempts,
                                   capacity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseGrant, session, agent, incarnation, heartbeat, durationMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskEvent, agent, incarnation, worker, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskEventAck, attempt, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartTask,
                                   session,
                                   attempt,
                                   taskClass,
                                   organisation,
                                   program,
                                   arguments,
                                   checkpoint,
                                   grant)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskCommand, session, attempt, kind, grant)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskUsage, attempt, used, ageMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UsageReport, agent, worker, tasks)

} // namespace oriolespread
