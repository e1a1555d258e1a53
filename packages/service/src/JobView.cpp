#include "JobView.h"

#include <array>

namespace oriolespread::internal {

namespace {

std::int64_t Share(std::int64_t aAmount, std::uint32_t aShards)
{
  return (aAmount + aShards - 1) / aShards;
}

} // namespace

nlohmann::json JobToJson(const JobView& aView)
{
  const JobRecord& job = *aView.job;
  nlohmann::json counts = nlohmann::json::object();
  for (std::size_t index = 0; index < job.counts.size(); ++index) {
    if (job.counts[index] > 0) {
      counts[std::string(ToString(static_cast<TaskState>(index)))] = job.counts[index];
    }
  }
  nlohmann::json json = { { "job", NameOfJob(job.spec.job) },
                          { "finished", job.finished },
                          { "durable", aView.durable },
                          { "tasks", counts },
                          { "live_attempts", job.attempts } };
  if (aView.unplaceable != nullptr && !aView.unplaceable->empty()) {
    nlohmann::json reasons = nlohmann::json::array();
    for (const Finding& finding : aView.unplaceable->All()) {
      reasons.push_back(ToString(finding));
    }
    json["unplaceable"] = reasons;
  }
  return json;
}

nlohmann::json WaitingJobToJson(const JobId& aJob)
{
  return { { "job", NameOfJob(aJob) },
           { "finished", false },
           { "durable", true },
           { "tasks", nlohmann::json::object() },
           { "live_attempts", 0 } };
}

Resources ShareOfQuota(const Resources& aQuota, std::uint32_t aShards)
{
  return { Share(aQuota.milliCores, aShards),
           Share(aQuota.memoryMiB, aShards),
           Share(aQuota.accelerators, aShards) };
}

std::string NameOfJob(const JobId& aJob)
{
  const std::string& id = aJob.Value();
  return id.substr(id.find('~') + 1);
}

} // namespace oriolespread::internal
