// What a caller submits: a job of equal tasks.
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/placement/PlacementTypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

constexpr std::uint32_t kMaxTasksPerJob = 100'000;
constexpr std::size_t kMaxProgramBytes = 4096;

struct JobSpec
{
  JobId job;
  // Not part of the JSON text: set by the entry from the caller's credentials.
  OrganisationId organisation;
  TeamId team;
  TaskClass taskClass = TaskClass::Batch;
  bool urgent = false;
  std::string program;
  std::string arguments;
  // Tasks of one kind use resources alike; the program when the caller names none.
  std::string kind;
  // Set for replicas of a service; required with latency_critical.
  ServiceName service;
  std::uint32_t tasks = 1;
  // Declared need of each task.
  Resources resources;
};

// Parses the JSON text of a submission:
//
//   {"job": "nightly", "program": "report", "arguments": "", "tasks": 4, "class": "batch",
//    "urgent": false, "team": "", "kind": "", "service": "",
//    "resources": {"cores": 0.5, "memory_mib": 512, "accelerators": 0}}
//
// Adds a finding for everything that is wrong, unknown keys
// included, and returns nothing when there is any. `aSource` names the text in the findings.
std::optional<JobSpec> ParseJobSpec(std::string_view aText,
                                    const std::string& aSource,
                                    Findings& aFindings);

// Returns what a placer needs to know about one task of the job.
PlacementRequest MakePlacementRequest(const JobSpec& aSpec, std::uint32_t aIndex);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSpec,
                                   job,
                                   organisation,
                                   team,
                                   taskClass,
                                   urgent,
                                   program,
                                   arguments,
                                   kind,
                                   service,
                                   tasks,
                                   resources)

} // namespace oriolespread
