// What callers are told about a job they submitted, cancelled or asked for.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace oriolespread {

enum class JobAnswerStatus
{
  // Done; `job` holds the job's state when it was asked for.
  Ok,
  // The job was submitted before under this name; the first submission stands.
  Exists,
  NotFound,
  // Another entry owns the job's shard: ask at `owner`.
  Elsewhere,
  // No entry owns the job's shard now.
  NoOwner,
  // Nothing was written.
  StoreUnavailable,
  // Whether it was written could not be found out; repeating the same call is safe.
  Unknown,
  Busy,
};

struct JobAnswer
{
  JobAnswerStatus status = JobAnswerStatus::Unknown;
  nlohmann::json job;
  // HTTP address of the owner, with Elsewhere.
  std::string owner;
};

} // namespace oriolespread
