// JSON forms of jobs for the HTTP interface.
#pragma once

#include "oriolespread/tasks/ShardCore.h"

#include <nlohmann/json.hpp>

namespace oriolespread::internal {

// Returns the state of a job that its owner knows.
nlohmann::json JobToJson(const JobView& aView);

// Returns the state of a job that is submitted and not yet taken by its owner.
nlohmann::json WaitingJobToJson(const JobId& aJob);

// Returns the part of a team's quota that one shard may use.
Resources ShareOfQuota(const Resources& aQuota, std::uint32_t aShards);

// Returns the job's name within its organisation.
std::string NameOfJob(const JobId& aJob);

} // namespace oriolespread::internal
