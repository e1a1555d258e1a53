#include "oriolespread/jobs/JobSpec.h"

#include "absl/strings/str_cat.h"

#include "oriolespread/base/ExternalJson.h"
#include "oriolespread/jobs/JobRows.h"

#include <algorithm>
#include <numeric>

namespace oriolespread::jobs {

namespace {

// Limits that keep one job from exhausting an entry's memory. They are above the sizes of all
// described deployments.
constexpr std::size_t kMaxStepsPerJob = 100;
constexpr std::uint32_t kMaxTasksPerStep = 10000;
// Tasks of all occurrences, which the leader keeps in memory until the job ends.
constexpr std::uint64_t kMaxTasksPerJob = 100'000;
// The only field of a job's record that is a floating-point number.
constexpr const char* kFloatingPointField = "stretch";

bool IsBetween(std::int64_t aValue, std::int64_t aMin, std::int64_t aMax)
{
  return aMin <= aValue && aValue <= aMax;
}

bool IsValidStep(const StepSpec& aStep, std::size_t aIndex)
{
  const bool ordered = std::all_of(aStep.after.begin(),
                                   aStep.after.end(),
                                   [&](std::uint32_t aEarlier) { return aEarlier < aIndex; });
  return ordered && IsBetween(aStep.count, 1, kMaxTasksPerStep) && aStep.demand.IsNonNegative() &&
         aStep.demand.FitsIn({ kMaxAmount, kMaxAmount, kMaxAmount }) &&
         IsBetween(aStep.estimateMs, 0, kMaxDurationMs);
}

// Returns whether the store takes the rows with the job's key, and the one of its state, which has
// the name and the address of its queue.
bool FitsIntoRows(const JobRecord& aRecord)
{
  const StoredJobState longestState{
    JobState::Completed, kMaxUnixMs, aRecord.policy.queue, aRecord.policy.address
  };
  return IsBetween(static_cast<std::int64_t>(aRecord.id.size()), 1, kMaxJobKeyBytes) &&
         EncodeJobState(longestState).size() <= kMaxRowValueBytes;
}

// Returns the number of tasks of all occurrences.
std::uint64_t CountTasks(const JobSpec& aSpec)
{
  const std::uint64_t tasksPerOccurrence =
    std::accumulate(aSpec.steps.begin(),
                    aSpec.steps.end(),
                    std::uint64_t{ 0 },
                    [](std::uint64_t aSum, const StepSpec& aStep) { return aSum + aStep.count; });
  return tasksPerOccurrence * std::max(aSpec.repeats, 1U);
}

} // namespace

absl::Status CheckJobSpec(const JobSpec& aSpec)
{
  if (!IsBetween(static_cast<std::int64_t>(aSpec.steps.size()), 1, kMaxStepsPerJob)) {
    return absl::InvalidArgumentError("steps: expected 1 to 100");
  }
  for (std::size_t index = 0; index < aSpec.steps.size(); ++index) {
    if (!IsValidStep(aSpec.steps[index], index)) {
      return absl::InvalidArgumentError(absl::StrCat("step ", index, " is not valid"));
    }
  }
  if (CountTasks(aSpec) > kMaxTasksPerJob) {
    return absl::InvalidArgumentError(
      "steps, repeats: expected at most 100000 tasks over all occurrences");
  }
  if (!IsBetween(aSpec.initialDelayMs, 0, kMaxUnixMs) ||
      !IsBetween(aSpec.intervalMs, 0, kMaxDurationMs)) {
    return absl::InvalidArgumentError(
      "initial_delay_ms: expected 0 to the year 9999; interval_ms: expected 0 to 10 years");
  }
  return absl::OkStatus();
}

std::vector<std::int64_t> DeclaredDurationsMs(const JobSpec& aSpec)
{
  std::vector<std::int64_t> durationsMs;
  for (const StepSpec& step : aSpec.steps) {
    durationsMs.push_back(step.estimateMs);
  }
  return durationsMs;
}

std::int64_t CriticalPathMs(const JobSpec& aSpec)
{
  return CriticalPathMs(aSpec, DeclaredDurationsMs(aSpec));
}

std::int64_t CriticalPathMs(const JobSpec& aSpec, const std::vector<std::int64_t>& aDurationsMs)
{
  std::vector<std::int64_t> pathEndsMs(aSpec.steps.size(), 0);
  std::int64_t longestMs = 0;
  for (std::size_t index = 0; index < aSpec.steps.size(); ++index) {
    std::int64_t startMs = 0;
    for (const std::uint32_t prerequisite : aSpec.steps[index].after) {
      startMs = std::max(startMs, pathEndsMs[prerequisite]);
    }
    pathEndsMs[index] = startMs + aDurationsMs[index];
    longestMs = std::max(longestMs, pathEndsMs[index]);
  }
  return longestMs;
}

std::int64_t CriticalPathFromMs(const JobSpec& aSpec,
                                std::size_t aStep,
                                const std::vector<std::int64_t>& aDurationsMs)
{
  // Length of the longest path from aStep to the end of each step; -1 if there is no path.
  std::vector<std::int64_t> pathEndsMs(aSpec.steps.size(), -1);
  pathEndsMs[aStep] = aDurationsMs[aStep];
  std::int64_t longestMs = pathEndsMs[aStep];
  for (std::size_t index = aStep + 1; index < aSpec.steps.size(); ++index) {
    std::int64_t startMs = -1;
    for (const std::uint32_t prerequisite : aSpec.steps[index].after) {
      startMs = std::max(startMs, pathEndsMs[prerequisite]);
    }
    if (startMs >= 0) {
      pathEndsMs[index] = startMs + aDurationsMs[index];
      longestMs = std::max(longestMs, pathEndsMs[index]);
    }
  }
  return longestMs;
}

double TaskCoreSeconds(const StepSpec& aStep)
{
  return TaskCoreSeconds(aStep, aStep.estimateMs);
}

double TaskCoreSeconds(const StepSpec& aStep, std::int64_t aDurationMs)
{
  constexpr double kMilliSquared = 1e6;
  const double work =
    static_cast<double>(aDurationMs) * static_cast<double>(aStep.demand.milliCores);
  return std::max(work / kMilliSquared, 1e-3);
}

void to_json(nlohmann::json& aJson, const QueuePolicy& aPolicy)
{
  aJson = { { "queue", aPolicy.queue },
            { "address", aPolicy.address },
            { "service", aPolicy.service },
            { "priority", aPolicy.priority },
            { "maxAttempts", aPolicy.maxAttempts },
            { "stretch", aPolicy.stretch },
            { "targetLatencyMs", aPolicy.targetLatencyMs } };
}

void from_json(const nlohmann::json& aJson, QueuePolicy& aPolicy)
{
  aJson.at("queue").get_to(aPolicy.queue);
  aPolicy.address = aJson.value("address", std::string());
  aJson.at("service").get_to(aPolicy.service);
  aJson.at("priority").get_to(aPolicy.priority);
  aJson.at("maxAttempts").get_to(aPolicy.maxAttempts);
  aJson.at("stretch").get_to(aPolicy.stretch);
  aJson.at("targetLatencyMs").get_to(aPolicy.targetLatencyMs);
}

std::string EncodeJobRecord(const JobRecord& aRecord)
{
  std::string bytes;
  nlohmann::json::to_msgpack(nlohmann::json(aRecord), bytes);
  return bytes;
}

bool DecodeJobRecord(const std::string& aBytes, JobRecord& aRecord)
{
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed.ok() || !parsed->is_object() || HasFloatingPoint(*parsed, { kFloatingPointField })) {
    return false;
  }
  try {
    // Throws if a text is not UTF-8. The leader puts texts of the record into row keys and orders,
    // which are sent as JSON.
    static_cast<void>(parsed->dump());
    aRecord = parsed->get<JobRecord>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return FitsIntoRows(aRecord) && CheckJobSpec(aRecord.spec).ok();
}

} // namespace oriolespread::jobs
