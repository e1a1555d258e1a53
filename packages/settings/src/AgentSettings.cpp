#include "oriolespread/settings/AgentSettings.h"

#include "CommonSections.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace oriolespread {

namespace {

using namespace internal;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Choice<WorkerInterfaceKind> kWorkerKinds[] = { { "none", WorkerInterfaceKind::None },
                                                         { "http", WorkerInterfaceKind::Http } };

constexpr double kMilliCoresPerCore = 1'000.0;
constexpr std::uint64_t kMiB = std::uint64_t{ 1 } << 20U;

AgentProcessSettings ReadAgent(SettingsReader& aRoot)
{
  AgentProcessSettings agent;
  SettingsReader reader = aRoot.Section("agent", Presence::Required);
  reader.ReadName("id", agent.id, Presence::Required);
  reader.ReadName("worker", agent.worker, Presence::Required);
  reader.ReadName("data_centre", agent.dataCentre, Presence::Required);
  reader.ReadName("rack", agent.rack, Presence::Required);
  reader.ReadAddress("local_http_address", agent.localHttpAddress, Presence::Required);
  reader.ReadDuration("drain_time", agent.drainTime, kDrainRange);
  reader.Finish();
  return agent;
}

Resources ReadCapacity(SettingsReader& aRoot)
{
  double cores = 0.0;
  std::uint64_t memory = 0;
  std::uint32_t accelerators = 0;
  SettingsReader reader = aRoot.Section("capacity", Presence::Required);
  reader.ReadNumber("cores", cores, { 0.001, 65'536.0 }, Presence::Required);
  reader.ReadSize("memory", memory, { kMiB, std::uint64_t{ 1 } << 50U }, Presence::Required);
  reader.ReadInteger("accelerators", accelerators, { 0, 1'024 });
  reader.Finish();
  // Rounded down, so that no more is promised than there is.
  return { static_cast<std::int64_t>(std::floor(cores * kMilliCoresPerCore + 1e-6)),
           static_cast<std::int64_t>(memory / kMiB),
           accelerators };
}

EntryPeers ReadEntries(SettingsReader& aRoot)
{
  EntryPeers peers;
  SettingsReader reader = aRoot.Section("entries", Presence::Required);
  const auto texts = reader.ReadTexts("bootstrap", Presence::Required);
  if (reader.Has("bootstrap") && texts.empty()) {
    reader.Complain("bootstrap", "names no entry", "at least one link address");
  }
  for (const auto& [text, place] : texts) {
    const auto address = SocketAddress::Parse(text);
    if (!address.has_value() || address->port == 0 || address->IsWildcard()) {
      reader.ComplainAt(place,
                        "is \"" + text + "\"",
                        "an IP number and a port that can be connected to, such as "
                        "\"127.0.0.1:8080\"");
    } else if (std::count(peers.bootstrap.begin(), peers.bootstrap.end(), *address) > 0) {
      reader.ComplainAt(place, "is \"" + text + "\" again", "each address once");
    } else {
      peers.bootstrap.push_back(*address);
    }
  }
  reader.ReadInteger("links", peers.links, { 1, 64 });
  reader.Finish();
  return peers;
}

WorkerInterfaceSettings ReadWorker(SettingsReader& aRoot, const SocketAddress& aLocalAddress)
{
  WorkerInterfaceSettings worker;
  SettingsReader reader = aRoot.Section("worker");
  reader.ReadChoice("kind", worker.kind, kWorkerKinds);
  const bool http = worker.kind == WorkerInterfaceKind::Http;
  const bool valid =
    reader.ReadAddress("address", worker.address, http ? Presence::Required : Presence::Optional);
  if (!http && reader.Has("address")) {
    reader.Complain("address", "is set while kind is \"none\"", "no address, or kind \"http\"");
  }
  if (http && valid && (worker.address.port == 0 || worker.address.IsWildcard())) {
    reader.Complain(
      "address", "is " + ToString(worker.address), "an address that can be connected to");
  }
  if (http && valid && worker.address.ClashesWith(aLocalAddress)) {
    reader.Complain("address", "clashes with agent.local_http_address", "the worker's address");
  }
  reader.ReadDuration("timeout", worker.timeout, kTimeoutRange);
  reader.Finish();
  return worker;
}

AgentLimits ReadLimits(SettingsReader& aRoot)
{
  AgentLimits limits;
  SettingsReader reader = aRoot.Section("limits");
  limits.http = ReadHttpLimits(reader);
  reader.ReadInteger("slots", limits.slots, { 1, 65'536 });
  reader.ReadInteger("connections", limits.connections, { 1, 65'536 });
  reader.ReadInteger("queue_length", limits.queueLength, kLengthRange);
  reader.ReadInteger("ring_length", limits.ringLength, kLengthRange);
  if (limits.slots > limits.connections) {
    reader.Complain("slots", "is larger than connections", "at most connections");
  }
  reader.Finish();
  return limits;
}

ReportSettings ReadReports(SettingsReader& aRoot)
{
  ReportSettings reports;
  SettingsReader reader = aRoot.Section("reports");
  // An entry suspects an upstream after 1.5 s without a report and a task lease lasts 10 s; at most
  // a third of each leaves room for two lost messages.
  reader.ReadDuration(
    "load_interval", reports.loadInterval, { milliseconds(20), milliseconds(500) });
  reader.ReadDuration(
    "heartbeat_interval", reports.heartbeatInterval, { milliseconds(100), milliseconds(3'300) });
  reader.ReadDuration("usage_interval", reports.usageInterval, { milliseconds(100), minutes(10) });
  reader.Finish();
  return reports;
}

} // namespace

absl::StatusOr<AgentSettings> AgentSettings::Load(const std::string& aPath)
{
  const auto text = ReadFile(aPath, kMaxDocumentBytes);
  if (!text.ok()) {
    return text.status();
  }
  return AgentSettings::Parse(*text, aPath);
}

absl::StatusOr<AgentSettings> AgentSettings::Parse(std::string_view aText,
                                                   const std::string& aSource)
{
  Findings findings;
  auto settings = AgentSettings::Parse(aText, aSource, findings);
  if (!settings.has_value()) {
    return findings.ToStatus();
  }
  return *std::move(settings);
}

std::optional<AgentSettings> AgentSettings::Parse(std::string_view aText,
                                                  const std::string& aSource,
                                                  Findings& aFindings)
{
  AgentSettings settings;
  const auto read = [&](SettingsReader& aRoot) {
    settings.agent = ReadAgent(aRoot);
    settings.capacity = ReadCapacity(aRoot);
    settings.entries = ReadEntries(aRoot);
    settings.link = ReadLink(aRoot, aSource);
    settings.worker = ReadWorker(aRoot, settings.agent.localHttpAddress);
    settings.limits = ReadLimits(aRoot);
    settings.reports = ReadReports(aRoot);
    settings.log = ReadLog(aRoot);
  };
  if (!ReadDocument(aText, aSource, aFindings, read)) {
    return std::nullopt;
  }
  return settings;
}

} // namespace oriolespread
