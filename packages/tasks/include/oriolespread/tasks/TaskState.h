// The life of a task and the transitions that it may take.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace oriolespread {

// Queued to Checkpointing and Evicted can still lead to a completion; the last three are final.
// Starting, Running and Checkpointing are observed through the agent and are not journaled: after a
// recovery such a task is Placed until its agent reports it.
enum class TaskState : std::uint8_t
{
  Queued,
  // An attempt with a worker is staged in the journal; nothing was sent yet.
  Placed,
  // The start was sent to the agent.
  Starting,
  Running,
  Checkpointing,
  // The last attempt ended without a result; waits for a new one from the last checkpoint.
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

// Returns whether a task may go from one state to the other in one step.
bool IsAllowedTransition(TaskState aFrom, TaskState aTo);
// Returns whether the state never changes again.
bool IsFinal(TaskState aState);
std::string_view ToString(TaskState aState);

} // namespace oriolespread
