#include "oriolespread/jobs/JobSpec.h"

#include <algorithm>

namespace oriolespread::jobs {

std::int64_t LongestChainMs(const JobSpec& aSpec)
{
  std::vector<std::int64_t> ends(aSpec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t index = 0; index < aSpec.steps.size(); ++index) {
    std::int64_t start = 0;
    for (const std::uint32_t before : aSpec.steps[index].after) {
      start = std::max(start, ends[before]);
    }
    ends[index] = start + aSpec.steps[index].estimateMs;
    longest = std::max(longest, ends[index]);
  }
  return longest;
}

std::string EncodeJobRecord(const JobRecord& aRecord)
{
  std::string bytes;
  nlohmann::json::to_msgpack(nlohmann::json(aRecord), bytes);
  return bytes;
}

bool DecodeJobRecord(const std::string& aBytes, JobRecord& aRecord)
{
  const auto parsed = nlohmann::json::from_msgpack(aBytes, true, false);
  if (!parsed.is_object()) {
    return false;
  }
  try {
    aRecord = parsed.get<JobRecord>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

} // namespace oriolespread::jobs
