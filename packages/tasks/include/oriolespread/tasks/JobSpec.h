// The specification of a job: a number of identical tasks.
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
  // Not part of the submitted JSON: the entry sets it from the caller's credentials.
  OrganisationId organisation;
  TeamId team;
  TaskClass taskClass = TaskClass::Batch;
  bool urgent = false;
  std::string program;
  std::string arguments;
  // Tasks of the same kind are expected to use similar resources. Defaults to the program.
  std::string kind;
  // The service whose replicas the tasks are; required for latency-critical tasks.
  ServiceName service;
  std::uint32_t tasks = 1;
  // Resources that each task requests.
  Resources resources;
};

// Parses the JSON text of a submission:
//
//   {"job": "nightly", "program": "report", "arguments": "", "tasks": 4, "class": "batch",
//    "urgent": false, "team": "", "kind": "", "service": "",
//    "resources": {"cores": 0.5, "memory_mib": 512, "accelerators": 0}}
//
// Adds a finding for every error, unknown keys included, and returns nothing if there is one.
// `aSource` names the text in the findings.
std::optional<JobSpec> ParseJobSpec(std::string_view aText,
                                    const std::string& aSource,
                                    Findings& aFindings);

// Returns the placement request for one task of the job.
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
