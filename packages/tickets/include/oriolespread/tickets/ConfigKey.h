// Keys of the configuration that change tickets set, such as "service/acme/search".
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

enum class ConfigKind
{
  // organisation/<name>
  Organisation,
  // service/<organisation>/<name>
  Service,
  // quota/<team>
  Quota,
  // worker/<id>
  Worker,
  // policy/requests
  RequestPolicy,
  // policy/tasks
  TaskPolicy,
};

// A key taken apart; names that a kind does not have are empty.
struct ConfigKey
{
  ConfigKind kind = ConfigKind::Organisation;
  // The organisation, team or worker.
  std::string name;
  std::string service;

  // Returns nothing for an unknown kind or an invalid name.
  static std::optional<ConfigKey> Parse(std::string_view aText);

  friend bool operator==(const ConfigKey&, const ConfigKey&) = default;
};

// Returns the form that Parse accepts.
std::string ToString(const ConfigKey& aKey);

} // namespace oriolespread
