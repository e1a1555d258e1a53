#include "oriolespread/tasks/TaskState.h"

#include <array>

namespace oriolespread {

namespace {

constexpr std::size_t kStateCount = 9;

constexpr std::uint16_t Bit(TaskState aState)
{
  return static_cast<std::uint16_t>(1U << static_cast<unsigned>(aState));
}

constexpr std::uint16_t kFinalStates =
  Bit(TaskState::Completed) | Bit(TaskState::Failed) | Bit(TaskState::Cancelled);

// The set of states that may follow each state, in the order of TaskState.
constexpr std::array<std::uint16_t, kStateCount> kAllowedTransitions = {
  Bit(TaskState::Placed) | Bit(TaskState::Cancelled),
  Bit(TaskState::Starting) | Bit(TaskState::Evicted) | kFinalStates,
  Bit(TaskState::Running) | Bit(TaskState::Evicted) | kFinalStates,
  Bit(TaskState::Checkpointing) | Bit(TaskState::Evicted) | kFinalStates,
  Bit(TaskState::Running) | Bit(TaskState::Evicted) | kFinalStates,
  Bit(TaskState::Placed) | Bit(TaskState::Cancelled),
  0,
  0,
  0,
};

constexpr std::array<std::string_view, kStateCount> kNames = {
  "queued",  "placed",    "starting", "running",   "checkpointing",
  "evicted", "completed", "failed",   "cancelled",
};

} // namespace

bool IsAllowedTransition(TaskState aFrom, TaskState aTo)
{
  return (kAllowedTransitions[static_cast<std::size_t>(aFrom)] & Bit(aTo)) != 0;
}

bool IsFinal(TaskState aState)
{
  return (kFinalStates & Bit(aState)) != 0;
}

std::string_view ToString(TaskState aState)
{
  return kNames[static_cast<std::size_t>(aState)];
}

} // namespace oriolespread
