// Settings of the binary `oriolespread-agent`, read from a TOML file; examples/agent.toml documents
// each. Used like EntrySettings.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Resources.h"
#include "oriolespread/settings/CommonSettings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread {

// [agent]
struct AgentProcessSettings
{
  AgentId id;
  WorkerId worker;
  DataCentreId dataCentre;
  RackId rack;
  // Where upstreams announce themselves.
  SocketAddress localHttpAddress;
  Duration drainTime = std::chrono::seconds(30);
};

// [entries]
struct EntryPeers
{
  // Link addresses of entries to ask for the directory of all entries.
  std::vector<SocketAddress> bootstrap;
  // How many entries to stay linked with.
  std::uint32_t links = 4;
};

enum class WorkerInterfaceKind
{
  // The machine runs upstreams only and takes no tasks.
  None,
  Http,
};

// [worker]
struct WorkerInterfaceSettings
{
  WorkerInterfaceKind kind = WorkerInterfaceKind::None;
  // Set with kind Http only.
  SocketAddress address;
  Duration timeout = std::chrono::seconds(1);
};

// [limits]
struct AgentLimits
{
  HttpLimits http;
  // At most this many are granted for each upstream, whatever it announces.
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Requests waiting for one upstream.
  std::uint32_t queueLength = 64;
  // Items waiting between two threads.
  std::uint32_t ringLength = 4'096;
};

// [reports]
struct ReportSettings
{
  Duration loadInterval = std::chrono::milliseconds(200);
  Duration heartbeatInterval = std::chrono::seconds(2);
  Duration usageInterval = std::chrono::seconds(10);
};

struct AgentSettings
{
  AgentProcessSettings agent;
  Resources capacity;
  EntryPeers entries;
  LinkSettings link;
  WorkerInterfaceSettings worker;
  AgentLimits limits;
  ReportSettings reports;
  LogSettings log;

  // As the functions of EntrySettings.
  static absl::StatusOr<AgentSettings> Load(const std::string& aPath);
  static absl::StatusOr<AgentSettings> Parse(std::string_view aText, const std::string& aSource);
  static std::optional<AgentSettings> Parse(std::string_view aText,
                                            const std::string& aSource,
                                            Findings& aFindings);
};

} // namespace oriolespread
