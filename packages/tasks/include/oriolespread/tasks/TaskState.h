// The states of a task and the transitions between them.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace oriolespread {

// Completed, Failed and Cancelled are final; every other state can still lead to a completion.
// Starting, Running and Checkpointing are not journaled: after a recovery such a task is Placed
// until its agent reports it again.
enum class TaskState : std::uint8_t
{
  Queued,
  // A placement on a worker is staged in the journal; no start message has been sent.
  Placed,
  // The start message was sent to the agent.
  Starting,
  Running,
  Checkpointing,
  // The last attempt ended without a result; the task waits to be placed again and will resume from
  // its last checkpoint.
  Evicted,
  Completed,
  Failed,
  Cancelled,
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskState,
                             { { TaskState::Queued, "queued" },
                               { TaskState::Placed, "placed" },
                               { TaskState::Starting, "starting" },
                               { TaskState::Running, "running" },
                               { TaskState::Checkpointing, "checkpointing" },
                               { TaskState::Evicted, "evicted" },
                               { TaskState::Completed, "completed" },
                               { TaskState::Failed, "failed" },
                               { TaskState::Cancelled, "cancelled" } })

// Returns whether a task may change directly from one state to the other.
bool IsAllowedTransition(TaskState aFrom, TaskState aTo);
// Returns whether a task never leaves this state.
bool IsFinal(TaskState aState);
std::string_view ToString(TaskState aState);

} // namespace oriolespread
