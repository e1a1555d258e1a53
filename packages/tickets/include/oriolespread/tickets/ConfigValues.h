// Typed values of the configuration, one type for each kind of key. In JSON, names are in
// snake_case, durations are whole milliseconds ending in _ms, and every member that has a default
// may be left out; unknown members are refused.
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"
#include "oriolespread/base/RequestClass.h"
#include "oriolespread/base/Resources.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/tickets/ConfigKey.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

// {"weight": 2.5, "enabled": true, "requests_per_second": 500, "requests_in_flight": 200}
struct OrganisationConfig
{
  // Share in fair queueing relative to the other organisations.
  double weight = 1.0;
  // A disabled organisation's requests and jobs are refused.
  bool enabled = true;
  // No limit when absent.
  std::optional<std::uint32_t> requestsPerSecond;
  std::optional<std::uint32_t> requestsInFlight;

  friend bool operator==(const OrganisationConfig&, const OrganisationConfig&) = default;
};

// {"class": "latency_critical", "objective_ms": 50, "default_deadline_ms": 1000,
//  "max_deadline_ms": 5000, "queue_length": 1000}
struct ServiceConfig
{
  RequestClass requestClass = RequestClass::LatencyCritical;
  // p99 latency above which the service counts as disturbed; none for batch services by default.
  std::optional<Duration> objective;
  Duration defaultDeadline = std::chrono::seconds(1);
  // Callers may ask for deadlines up to this one.
  Duration maxDeadline = std::chrono::seconds(60);
  std::uint32_t queueLength = 1'000;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

// {"resources": {"cores": 400.5, "memory_mib": 1600000, "accelerators": 0},
//  "organisations": ["acme"]}
struct QuotaConfig
{
  Resources resources;
  // Whose jobs may name the team.
  std::vector<OrganisationId> organisations;

  friend bool operator==(const QuotaConfig&, const QuotaConfig&) = default;
};

enum class WorkerMode
{
  Serve,
  // Takes no new work; running tasks are checkpointed and move.
  Drain,
};

// {"mode": "drain", "capacity": {"cores": 30, "memory_mib": 100000, "accelerators": 0}}
struct WorkerConfig
{
  WorkerMode mode = WorkerMode::Serve;
  // Replaces the capacity that the worker's agent announces, but never raises it.
  std::optional<Resources> capacity;

  friend bool operator==(const WorkerConfig&, const WorkerConfig&) = default;
};

// {"retry_budget": 0.1, "retry_reserve": 10, "hedge_budget": 0.02, "hedge_quantile": 0.95}
struct RequestPolicyConfig
{
  double retryBudget = 0.1;
  std::uint32_t retryReserve = 10;
  double hedgeBudget = 0.02;
  double hedgeQuantile = 0.95;

  friend bool operator==(const RequestPolicyConfig&, const RequestPolicyConfig&) = default;
};

// {"evictions_per_hour": 2, "quarantine_jobs": 3, "failed_workers": 3, "max_quarantined": 0.2,
//  "preemption_checkpoint_ms": 500, "usage_headroom": 0.15}
struct TaskPolicyConfig
{
  // Evictions of one job because of interference.
  std::uint32_t evictionsPerHour = 2;
  // Distinct jobs that fail on a worker before it is quarantined.
  std::uint32_t quarantineJobs = 3;
  // Distinct workers on which a task fails before it is given up.
  std::uint32_t failedWorkers = 3;
  // Largest fraction of all workers in quarantine.
  double maxQuarantined = 0.2;
  // How long a victim of preemption may take to checkpoint.
  Duration preemptionCheckpoint = std::chrono::milliseconds(500);
  // Fraction of the observed usage that is granted on top of it.
  double usageHeadroom = 0.15;

  friend bool operator==(const TaskPolicyConfig&, const TaskPolicyConfig&) = default;
};

using ConfigValue = std::variant<OrganisationConfig,
                                 ServiceConfig,
                                 QuotaConfig,
                                 WorkerConfig,
                                 RequestPolicyConfig,
                                 TaskPolicyConfig>;

// Returns the typed value of a key, or nothing and all findings. `aPlace` is the place of the value
// itself; the path of a member is appended to it. Accepts any JSON; never throws.
std::optional<ConfigValue> ParseConfigValue(ConfigKind aKind,
                                            const nlohmann::json& aValue,
                                            const Place& aPlace,
                                            Findings& aFindings);

} // namespace oriolespread
