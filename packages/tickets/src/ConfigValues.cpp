#include "oriolespread/tickets/ConfigValues.h"

#include "JsonReader.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace oriolespread {

namespace {

using internal::Bounds;
using internal::Describe;
using internal::JsonReader;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr Bounds<Duration> kDeadlineBounds{ milliseconds(1), hours(1) };
constexpr Bounds<std::uint32_t> kCountBounds{ 1, 1'000'000 };

OrganisationConfig ReadOrganisation(JsonReader& aReader)
{
  OrganisationConfig config;
  aReader.ReadNumber("weight", config.weight, { 0.001, 1'000.0 });
  aReader.ReadBool("enabled", config.enabled);
  aReader.ReadInteger("requests_per_second", config.requestsPerSecond, kCountBounds);
  aReader.ReadInteger("requests_in_flight", config.requestsInFlight, kCountBounds);
  return config;
}

void ReadClass(JsonReader& aReader, RequestClass& aTarget)
{
  const nlohmann::json* member = aReader.Require("class", "\"latency_critical\" or \"batch\"");
  if (member == nullptr) {
    return;
  }
  if (*member == "latency_critical") {
    aTarget = RequestClass::LatencyCritical;
  } else if (*member == "batch") {
    aTarget = RequestClass::Batch;
  } else {
    aReader.Complain("class", Describe(*member), "\"latency_critical\" or \"batch\"");
  }
}

ServiceConfig ReadService(JsonReader& aReader)
{
  ServiceConfig config;
  ReadClass(aReader, config.requestClass);
  config.defaultDeadline =
    config.requestClass == RequestClass::Batch ? std::chrono::seconds(10) : std::chrono::seconds(1);
  aReader.ReadMilliseconds("default_deadline_ms", config.defaultDeadline, kDeadlineBounds);
  config.maxDeadline = std::max(config.maxDeadline, config.defaultDeadline);
  aReader.ReadMilliseconds("max_deadline_ms", config.maxDeadline, kDeadlineBounds);
  aReader.ReadInteger("queue_length", config.queueLength, kCountBounds);
  if (aReader.Take("objective_ms") != nullptr) {
    Duration objective = config.defaultDeadline;
    aReader.ReadMilliseconds("objective_ms", objective, kDeadlineBounds);
    config.objective = objective;
  }
  if (config.defaultDeadline > config.maxDeadline) {
    aReader.Complain("default_deadline_ms", "is above max_deadline_ms", "at most max_deadline_ms");
  }
  if (config.objective.value_or(Duration::zero()) > config.maxDeadline) {
    aReader.Complain("objective_ms", "is above max_deadline_ms", "at most max_deadline_ms");
  }
  return config;
}

std::vector<OrganisationId> ReadOrganisations(JsonReader& aReader, Findings& aFindings)
{
  std::vector<OrganisationId> organisations;
  const nlohmann::json* member = aReader.Require("organisations", "an array of names");
  if (member == nullptr) {
    return organisations;
  }
  if (!member->is_array()) {
    aReader.Complain("organisations", Describe(*member), "an array of names");
    return organisations;
  }
  for (std::size_t i = 0; i < member->size(); ++i) {
    const nlohmann::json& item = (*member)[i];
    const auto* name = item.get_ptr<const std::string*>();
    const std::string where = absl::StrCat("organisations[", i, "]");
    if (name == nullptr || !IsValidName(*name)) {
      aFindings.Add(aReader.PlaceOf(where), Describe(item), "the name of an organisation");
    } else if (std::count(organisations.begin(), organisations.end(), OrganisationId{ *name }) >
               0) {
      aFindings.Add(aReader.PlaceOf(where), "is \"" + *name + "\" again", "each name once");
    } else {
      organisations.emplace_back(*name);
    }
  }
  return organisations;
}

QuotaConfig ReadQuota(JsonReader& aReader, Findings& aFindings)
{
  QuotaConfig config;
  aReader.Require("resources", "an object with cores, memory_mib and accelerators");
  aReader.ReadResources("resources", config.resources);
  config.organisations = ReadOrganisations(aReader, aFindings);
  return config;
}

WorkerConfig ReadWorker(JsonReader& aReader)
{
  WorkerConfig config;
  const nlohmann::json* mode = aReader.Require("mode", "\"serve\" or \"drain\"");
  if (mode != nullptr && *mode == "drain") {
    config.mode = WorkerMode::Drain;
  } else if (mode != nullptr && *mode != "serve") {
    aReader.Complain("mode", Describe(*mode), "\"serve\" or \"drain\"");
  }
  if (aReader.Take("capacity") != nullptr) {
    aReader.ReadResources("capacity", config.capacity.emplace());
  }
  return config;
}

RequestPolicyConfig ReadRequestPolicy(JsonReader& aReader)
{
  RequestPolicyConfig policy;
  aReader.ReadNumber("retry_budget", policy.retryBudget, { 0.0, 1.0 });
  aReader.ReadInteger("retry_reserve", policy.retryReserve, { 0, 10'000 });
  aReader.ReadNumber("hedge_budget", policy.hedgeBudget, { 0.0, 1.0 });
  aReader.ReadNumber("hedge_quantile", policy.hedgeQuantile, { 0.5, 0.999 });
  return policy;
}

TaskPolicyConfig ReadTaskPolicy(JsonReader& aReader)
{
  TaskPolicyConfig policy;
  aReader.ReadInteger("evictions_per_hour", policy.evictionsPerHour, { 0, 1'000 });
  aReader.ReadInteger("quarantine_jobs", policy.quarantineJobs, { 1, 1'000 });
  aReader.ReadInteger("failed_workers", policy.failedWorkers, { 1, 1'000 });
  aReader.ReadNumber("max_quarantined", policy.maxQuarantined, { 0.0, 1.0 });
  aReader.ReadMilliseconds("preemption_checkpoint_ms",
                           policy.preemptionCheckpoint,
                           { Duration::zero(), std::chrono::minutes(1) });
  aReader.ReadNumber("usage_headroom", policy.usageHeadroom, { 0.0, 10.0 });
  return policy;
}

ConfigValue ReadValue(ConfigKind aKind, JsonReader& aReader, Findings& aFindings)
{
  switch (aKind) {
    case ConfigKind::Organisation:
      return ReadOrganisation(aReader);
    case ConfigKind::Service:
      return ReadService(aReader);
    case ConfigKind::Quota:
      return ReadQuota(aReader, aFindings);
    case ConfigKind::Worker:
      return ReadWorker(aReader);
    case ConfigKind::RequestPolicy:
      return ReadRequestPolicy(aReader);
    case ConfigKind::TaskPolicy:
      return ReadTaskPolicy(aReader);
  }
  return TaskPolicyConfig{};
}

} // namespace

std::optional<ConfigValue> ParseConfigValue(ConfigKind aKind,
                                            const nlohmann::json& aValue,
                                            const Place& aPlace,
                                            Findings& aFindings)
{
  const std::size_t before = aFindings.size();
  JsonReader reader(aValue, aPlace, aFindings);
  if (!reader.IsObject()) {
    return std::nullopt;
  }
  ConfigValue value = ReadValue(aKind, reader, aFindings);
  reader.Finish();
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  return value;
}

} // namespace oriolespread
