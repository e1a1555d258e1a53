// What a caller submits: a job of steps that depend on one another, and the policy of its queue.
#pragma once

#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// A group of equal tasks.
struct StepSpec
{
  std::uint32_t count = 0;
  // Of each task.
  Resources demand;
  // Rough duration of a task, in milliseconds.
  std::int64_t estimateMs = 0;
  // Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> after;
  bool checkpointing = false;
  bool gang = false;
  bool sameRack = false;
  bool speculative = false;
  // Runs until the job is cancelled, and is restarted however a run ends.
  bool longRunning = false;
  // The demand of processors is not reserved; the tasks use what others leave.
  bool fillsUnused = false;
  // A label that the worker must have; empty for none.
  std::string requiredLabel;
  // The rack near the data; empty for none.
  std::string preferredRack;
  // Tasks of the step on one worker; 0 for no bound.
  std::uint32_t maxPerWorker = 0;
  std::string image;
  // Tail latency that a long-running task has to keep, in milliseconds; 0 for none.
  std::int64_t latencyTargetMs = 0;
  // Tasks of a long-running step that may be unavailable at once through the system's actions.
  std::uint32_t maxUnavailable = 0;
};

struct JobSpec
{
  // Passed to each run unread.
  std::string payload;
  std::vector<StepSpec> steps;
  // Number of occurrences; 0 for a job that runs once and at once.
  std::uint32_t repeats = 0;
  // Occurrence k is due at initialDelayMs + k x intervalMs of Unix time.
  std::int64_t initialDelayMs = 0;
  std::int64_t intervalMs = 0;
};

// The settings of a queue that apply to its jobs, as they were at submission.
struct QueuePolicy
{
  std::string queue;
  // The pool of workers that runs the tasks.
  std::string service;
  // 0 comes first.
  int priority = 0;
  // Failed runs after which a task, and with it its job, has failed.
  std::uint32_t maxAttempts = 1;
  // The objective for completion is `stretch` times the longest chain plus `targetLatencyMs`.
  double stretch = 1.0;
  std::int64_t targetLatencyMs = 0;
};

struct JobRecord
{
  std::string id;
  QueuePolicy policy;
  JobSpec spec;
  std::int64_t submittedUnixMs = 0;
};

// Returns the length of the longest chain of steps, in milliseconds, by the estimates.
std::int64_t CriticalPathMs(const JobSpec& aSpec);

// As CriticalPathMs, for the chains that begin with this step.
std::int64_t CriticalPathFromMs(const JobSpec& aSpec, std::size_t aStep);

// Returns the work of one task in core-seconds, by its estimate; never 0.
double TaskCoreSeconds(const StepSpec& aStep);

// Encodes a record for the store, and reads it back; nothing for bytes that are not a record.
std::string EncodeJobRecord(const JobRecord& aRecord);
bool DecodeJobRecord(const std::string& aBytes, JobRecord& aRecord);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StepSpec,
                                   count,
                                   demand,
                                   estimateMs,
                                   after,
                                   checkpointing,
                                   gang,
                                   sameRack,
                                   speculative,
                                   longRunning,
                                   fillsUnused,
                                   requiredLabel,
                                   preferredRack,
                                   maxPerWorker,
                                   image,
                                   latencyTargetMs,
                                   maxUnavailable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSpec, payload, steps, repeats, initialDelayMs, intervalMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QueuePolicy,
                                   queue,
                                   service,
                                   priority,
                                   maxAttempts,
                                   stretch,
                                   targetLatencyMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRecord, id, policy, spec, submittedUnixMs)

} // namespace oriolespread::jobs
