// The records of a shard's journal. Applying them in order yields the state of the shard.
#pragma once

#include "oriolespread/tasks/JobSpec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

struct JobSubmitted
{
  JobSpec spec;
};
// Cancels the listed tasks, or all tasks of the job if the list is empty.
struct TasksCancelled
{
  JobId job;
  std::vector<std::uint32_t> tasks;
};
struct TaskPlaced
{
  AttemptId attempt;
  WorkerId worker;
  Resources grant;
};
// The attempt has written a new checkpoint.
struct TaskProgressed
{
  AttemptId attempt;
  std::string checkpoint;
};
struct GrantChanged
{
  AttemptId attempt;
  Resources grant;
};

enum class AttemptEnd
{
  Completed,
  Failed,
  // Ended without a result: stopped, refused by the agent, or lost with its lease or worker.
  Evicted,
};

NLOHMANN_JSON_SERIALIZE_ENUM(AttemptEnd,
                             { { AttemptEnd::Evicted, "evicted" },
                               { AttemptEnd::Completed, "completed" },
                               { AttemptEnd::Failed, "failed" } })

// The attempt has ended and holds no resources any more. An empty checkpoint keeps the task's
// previous one.
struct AttemptEnded
{
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::Evicted;
  std::string checkpoint;
  std::string reason;
};
// A replica of a service was lost: its task fails, and a new task of the job replaces it.
struct ReplicaReplaced
{
  AttemptId attempt;
};

using JournalRecord = std::variant<JobSubmitted,
                                   TasksCancelled,
                                   TaskPlaced,
                                   TaskProgressed,
                                   GrantChanged,
                                   AttemptEnded,
                                   ReplicaReplaced>;

// Returns the compact form that is stored in journal rows.
nlohmann::json EncodeRecord(const JournalRecord& aRecord);
// Returns the record, or nothing if the value is malformed.
std::optional<JournalRecord> DecodeRecord(const nlohmann::json& aValue);

} // namespace oriolespread
