// Identifies tasks and the attempts to run them.
#pragma once

#include "oriolespread/base/Ids.h"

#include <cstdint>
#include <string>

namespace oriolespread {

// One task of a job; tasks of a job are numbered from 0.
struct TaskId
{
  JobId job;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const TaskId& aId)
  {
    return H::combine(std::move(aState), aId.job, aId.index);
  }
};

// Fencing token of one attempt. Tokens of one shard are totally ordered: a later attempt of a task
// has a greater token, also when another owner starts it.
struct AttemptToken
{
  Epoch epoch;
  std::uint64_t counter = 0;

  friend auto operator<=>(const AttemptToken&, const AttemptToken&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const AttemptToken& aToken)
  {
    return H::combine(std::move(aState), aToken.epoch, aToken.counter);
  }
};

// One attempt to run one task.
struct AttemptId
{
  TaskId task;
  AttemptToken token;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const AttemptId& aId)
  {
    return H::combine(std::move(aState), aId.task, aId.token);
  }
};

// Return "<job>/<index>" and "<job>/<index>#<epoch>.<counter>", the forms used in logs.
std::string ToString(const TaskId& aId);
std::string ToString(const AttemptId& aId);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskId, job, index)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptToken, epoch, counter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptId, task, token)

} // namespace oriolespread
