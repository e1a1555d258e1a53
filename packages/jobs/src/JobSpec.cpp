#include "oriolespread/jobs/JobSpec.h"

#include "oriolespread/base/ExternalJson.h"

#include <algorithm>

namespace oriolespread::jobs {

std::int64_t CriticalPathMs(const JobSpec& aSpec)
{
  std::vector<std::int64_t> pathEndsMs(aSpec.steps.size(), 0);
  std::int64_t longestMs = 0;
  for (std::size_t index = 0; index < aSpec.steps.size(); ++index) {
    std::int64_t startMs = 0;
    for (const std::uint32_t prerequisite : aSpec.steps[index].after) {
      startMs = std::max(startMs, pathEndsMs[prerequisite]);
    }
    pathEndsMs[index] = startMs + aSpec.steps[index].estimateMs;
    longestMs = std::max(longestMs, pathEndsMs[index]);
  }
  return longestMs;
}

std::int64_t CriticalPathFromMs(const JobSpec& aSpec, std::size_t aStep)
{
  // Length of the longest path from aStep to the end of each step; -1 if there is no path.
  std::vector<std::int64_t> pathEndsMs(aSpec.steps.size(), -1);
  pathEndsMs[aStep] = aSpec.steps[aStep].estimateMs;
  std::int64_t longestMs = pathEndsMs[aStep];
  for (std::size_t index = aStep + 1; index < aSpec.steps.size(); ++index) {
    std::int64_t startMs = -1;
    for (const std::uint32_t prerequisite : aSpec.steps[index].after) {
      startMs = std::max(startMs, pathEndsMs[prerequisite]);
    }
    if (startMs >= 0) {
      pathEndsMs[index] = startMs + aSpec.steps[index].estimateMs;
      longestMs = std::max(longestMs, pathEndsMs[index]);
    }
  }
  return longestMs;
}

double TaskCoreSeconds(const StepSpec& aStep)
{
  constexpr double kMilliSquared = 1e6;
  const double work =
    static_cast<double>(aStep.estimateMs) * static_cast<double>(aStep.demand.milliCores);
  return std::max(work / kMilliSquared, 1e-3);
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
  if (!parsed.ok() || !parsed->is_object()) {
    return false;
  }
  try {
    aRecord = parsed->get<JobRecord>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

} // namespace oriolespread::jobs
