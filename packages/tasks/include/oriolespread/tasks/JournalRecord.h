// The records of a shard's journal. The state of a shard is the result of its records in order.
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
// Cancels the named tasks, or all when none is named.
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
// The attempt has a new checkpoint.
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
  // Ended without a result: stopped, refused, lapsed or lost.
  Evicted,
};

NLOHMANN_JSON_SERIALIZE_ENUM(AttemptEnd,
                             { { AttemptEnd::Evicted, "evicted" },
                               { AttemptEnd::Completed, "completed" },
                               { AttemptEnd::Failed, "failed" } })

// The attempt holds nothing any more. An empty checkpoint keeps the one known.
struct AttemptEnded
{
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::Evicted;
  std::string checkpoint;
  std::string reason;
};
// A lost replica of a service: its id is retired and a new task of the job takes its place.
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

// Return the compact form kept in journal rows, and back; nothing when it is not well formed.
nlohmann::json EncodeRecord(const JournalRecord& aRecord);
std::optional<JournalRecord> DecodeRecord(const nlohmann::json& aValue);

} // namespace oriolespread
