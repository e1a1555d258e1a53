#include "oriolespread/tickets/ConfigKey.h"

#include "oriolespread/base/Ids.h"

namespace oriolespread {

namespace {

constexpr std::string_view kOrganisation = "organisation/";
constexpr std::string_view kService = "service/";
constexpr std::string_view kQuota = "quota/";
constexpr std::string_view kWorker = "worker/";
constexpr std::string_view kRequestPolicy = "policy/requests";
constexpr std::string_view kTaskPolicy = "policy/tasks";

std::optional<ConfigKey> NamedKey(ConfigKind aKind, std::string_view aName)
{
  if (!IsValidName(aName)) {
    return std::nullopt;
  }
  return ConfigKey{ aKind, std::string(aName), {} };
}

std::optional<ConfigKey> ServiceKey(std::string_view aNames)
{
  const std::size_t slash = aNames.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view organisation = aNames.substr(0, slash);
  const std::string_view service = aNames.substr(slash + 1);
  if (!IsValidName(organisation) || !IsValidName(service)) {
    return std::nullopt;
  }
  return ConfigKey{ ConfigKind::Service, std::string(organisation), std::string(service) };
}

} // namespace

std::optional<ConfigKey> ConfigKey::Parse(std::string_view aText)
{
  if (aText == kRequestPolicy) {
    return ConfigKey{ ConfigKind::RequestPolicy, {}, {} };
  }
  if (aText == kTaskPolicy) {
    return ConfigKey{ ConfigKind::TaskPolicy, {}, {} };
  }
  if (aText.starts_with(kOrganisation)) {
    return NamedKey(ConfigKind::Organisation, aText.substr(kOrganisation.size()));
  }
  if (aText.starts_with(kService)) {
    return ServiceKey(aText.substr(kService.size()));
  }
  if (aText.starts_with(kQuota)) {
    return NamedKey(ConfigKind::Quota, aText.substr(kQuota.size()));
  }
  if (aText.starts_with(kWorker)) {
    return NamedKey(ConfigKind::Worker, aText.substr(kWorker.size()));
  }
  return std::nullopt;
}

std::string ToString(const ConfigKey& aKey)
{
  switch (aKey.kind) {
    case ConfigKind::Organisation:
      return std::string(kOrganisation) + aKey.name;
    case ConfigKind::Service:
      return std::string(kService) + aKey.name + "/" + aKey.service;
    case ConfigKind::Quota:
      return std::string(kQuota) + aKey.name;
    case ConfigKind::Worker:
      return std::string(kWorker) + aKey.name;
    case ConfigKind::RequestPolicy:
      return std::string(kRequestPolicy);
    case ConfigKind::TaskPolicy:
      return std::string(kTaskPolicy);
  }
  return {};
}

} // namespace oriolespread
