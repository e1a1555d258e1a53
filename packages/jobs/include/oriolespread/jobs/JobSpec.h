// The job description that callers submit, and the policy of its queue.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// A group of identical tasks.
struct StepSpec
{
  std::uint32_t count = 0;
  // Resources of each task.
  Resources demand;
  // Estimated duration of a task, in milliseconds.
  std::int64_t estimateMs = 0;
  // Indices of the earlier steps that must be done before tasks of this step start.
  std::vector<std::uint32_t> after;
  // A run can resume from a checkpoint of an earlier run of its task.
  bool checkpointing = false;
  // All tasks are placed together or not at all, and the successful end of one run completes the
  // step.
  bool gang = false;
  // `sameRack` and `speculative` are accepted and stored, but the scheduler does not use them.
  bool sameRack = false;
  bool speculative = false;
  // Runs until the job is cancelled; a run is restarted however it ends.
  bool longRunning = false;
  // The step is best-effort: its cores are not reserved, and its tasks use capacity that other runs
  // leave unused.
  bool fillsUnused = false;
  // A label that the worker must have; empty for any worker.
  std::string requiredLabel;
  // The rack close to the data; empty for no preference.
  std::string preferredRack;
  // Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t maxPerWorker = 0;
  std::string image;
  // Tail latency target of a long-running task, in milliseconds; 0 for none.
  std::int64_t latencyTargetMs = 0;
  // Maximum number of tasks of a long-running step that the system may make unavailable at once.
  std::uint32_t maxUnavailable = 0;
};

struct JobSpec
{
  // Opaque data that is passed to each run.
  std::string payload;
  std::vector<StepSpec> steps;
  // Number of occurrences of a periodic job; 0 for a job that runs once, immediately.
  std::uint32_t repeats = 0;
  // Occurrence k is due at the Unix time initialDelayMs + k x intervalMs, in milliseconds.
  // initialDelayMs is a point in time despite its name, which callers use.
  std::int64_t initialDelayMs = 0;
  std::int64_t intervalMs = 0;
};

// The queue settings that apply to a job, as of its submission.
struct QueuePolicy
{
  std::string queue;
  // The pool of workers that runs the tasks.
  std::string service;
  // Jobs with a lower value are placed first; 0 is the highest priority.
  int priority = 0;
  // Number of failed runs after which a task and its job fail.
  std::uint32_t maxAttempts = 1;
  // The completion objective is `stretch` times the critical path plus `targetLatencyMs`.
  double stretch = 1.0;
  std::int64_t targetLatencyMs = 0;
  // Where callers reach the queue; see QueueConfig::Address. Empty in records of earlier versions.
  std::string address;
};

struct JobRecord
{
  // The key of the job, in the form that JobRows.h describes.
  std::string id;
  QueuePolicy policy;
  JobSpec spec;
  std::int64_t submittedUnixMs = 0;
};

// Limits of the numbers in a job. Sums and multiples of numbers up to them do not overflow.
inline constexpr std::int64_t kMaxDurationMs = 10LL * 365 * 24 * 3600 * 1000;
inline constexpr std::int64_t kMaxUnixMs = 253'402'300'799'999; // the end of the year 9999
inline constexpr std::int64_t kMaxAmount = 1'000'000'000'000;   // of one resource

// Returns InvalidArgument if a field is out of its range, if a step waits for one that does not
// precede it, or if the job is so large that it would exhaust the memory of a leader.
absl::Status CheckJobSpec(const JobSpec& aSpec);

// Returns the estimated length of the critical path, in milliseconds. The specification must be one
// that CheckJobSpec accepts; likewise below.
std::int64_t CriticalPathMs(const JobSpec& aSpec);
// The same for these durations of the steps in place of the declared ones.
std::int64_t CriticalPathMs(const JobSpec& aSpec, const std::vector<std::int64_t>& aDurationsMs);

// Returns the estimated length of the longest path that begins with this step, in milliseconds.
std::int64_t CriticalPathFromMs(const JobSpec& aSpec,
                                std::size_t aStep,
                                const std::vector<std::int64_t>& aDurationsMs);
// Returns the declared durations of the steps.
std::vector<std::int64_t> DeclaredDurationsMs(const JobSpec& aSpec);

// Returns the estimated work of one task in core-seconds; always positive.
double TaskCoreSeconds(const StepSpec& aStep);
// The same for a task that takes this long.
double TaskCoreSeconds(const StepSpec& aStep, std::int64_t aDurationMs);

// Encode and decode a stored record. DecodeJobRecord returns false if the bytes are not a record,
// if CheckJobSpec rejects its specification, or if its key or its names are too long for the rows
// of the job. An entry stores only what DecodeJobRecord accepts, as a leader ignores the rest.
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
// `address` may be absent; the other fields must be present.
void to_json(nlohmann::json& aJson, const QueuePolicy& aPolicy);
void from_json(const nlohmann::json& aJson, QueuePolicy& aPolicy);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRecord, id, policy, spec, submittedUnixMs)

} // namespace oriolespread::jobs
