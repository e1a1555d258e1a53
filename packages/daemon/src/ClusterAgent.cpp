#include "oriolespread/daemon/ClusterAgent.h"

#include "EventLoop.h"
#include "MetricsServer.h"
#include "WorkerDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/daemon/EntryDirectory.h"
#include "oriolespread/link/LinkDialer.h"
#include "oriolespread/service/Log.h"

#include <asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <map>

namespace oriolespread::daemon {

namespace {

class ClusterAgent
{
public:
  explicit ClusterAgent(platformwire::DaemonSettings aSettings)
    : settings(std::move(aSettings))
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
  {
  }

  absl::Status Start();
  void Run();

private:
  struct EntryLink
  {
    std::string address;
    std::unique_ptr<LinkDialer> dialer;
    Epoch epoch;
  };

  void OnControlRequest(const HttpRequest& aRequest, const HttpServer::Reply& aReply);
  void OnDirectory(const std::string& aKey, const EntryDirectory::Entries& aEntries);
  void Dial(const std::string& aName, const std::string& aAddress, const std::string& aKey);
  void OnMessage(const std::string& aEntry, const LinkMessage& aMessage);
  void OnLinkDown(const std::string& aEntry, std::string_view aReason);
  void SendToLeader(const WorkerReport& aReport);
  void AwaitSignal();

  platformwire::DaemonSettings settings;
  Counters counters;
  asio::io_context context{ 1 };
  asio::signal_set signals;
  std::unique_ptr<HttpServer> control;
  std::unique_ptr<MetricsServer> metrics;
  std::unique_ptr<platformwire::StoreClient> store;
  std::unique_ptr<EntryDirectory> directory;
  std::unique_ptr<WorkerDriver> worker;
  std::map<std::string, EntryLink> entries;
  // The highest epoch that any entry claimed, and the entry that did.
  Epoch epoch;
  std::string leader;
};

absl::Status ClusterAgent::Start()
{
  auto client =
    platformwire::StoreClient::Create(this->context, this->settings.storeAddress, this->counters);
  if (!client.ok()) {
    return client.status();
  }
  this->store = *std::move(client);
  auto driver =
    WorkerDriver::Create(this->context,
                         this->settings.workerAddress,
                         this->settings.maxWorkerLease,
                         this->counters,
                         [this](const WorkerReport& aReport) { this->SendToLeader(aReport); });
  if (!driver.ok()) {
    return driver.status();
  }
  this->worker = *std::move(driver);
  auto server = HttpServer::Create(
    this->context,
    this->settings.control.ip,
    this->settings.control.port,
    {},
    [this](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
      this->OnControlRequest(aRequest, aReply);
    },
    this->counters);
  if (!server.ok()) {
    return server.status();
  }
  this->control = *std::move(server);
  this->metrics =
    std::make_unique<MetricsServer>(this->context, this->settings.ip, this->counters, [this] {
      MetricsServer::Values values;
      values.gauges["leader_epoch"] = static_cast<double>(this->epoch.Value());
      values.histograms["run_start"] = &this->worker->StartLatency();
      return values;
    });
  this->directory = std::make_unique<EntryDirectory>(this->context, *this->store, this->counters);
  this->directory->Follow([this](const std::string& aKey, const EntryDirectory::Entries& aEntries) {
    this->OnDirectory(aKey, aEntries);
  });
  this->AwaitSignal();
  Log(LogLevel::Info,
      "agent_started",
      { { "machine", this->settings.machine }, { "worker", this->settings.workerAddress } });
  return absl::OkStatus();
}

void ClusterAgent::AwaitSignal()
{
  this->signals.async_wait([this](asio::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    Log(LogLevel::Info, aSignal == SIGHUP ? "reload" : "stopping", { { "signal", aSignal } });
    if (aSignal == SIGHUP) {
      // Every setting of an agent is an address or a bound of the machine, fixed while it runs.
      this->AwaitSignal();
      return;
    }
    this->context.stop();
  });
}

void ClusterAgent::Run()
{
  RunEventLoop(this->context, this->counters);
  Log(LogLevel::Info, "agent_stopped");
}

void ClusterAgent::OnControlRequest(const HttpRequest& aRequest, const HttpServer::Reply& aReply)
{
  if (!std::string_view(aRequest.target).starts_with(platformwire::kHeartbeatPrefix)) {
    aReply({ kHttpNotFound, {}, {} });
    return;
  }
  const std::string id = aRequest.target.substr(platformwire::kHeartbeatPrefix.size());
  if (aRequest.method == "DELETE") {
    this->worker->OnLeave(id);
    aReply({ kHttpOk, {}, "{}" });
    return;
  }
  const auto beat = platformwire::DecodeHeartbeat(id, aRequest.body);
  if (!beat.ok()) {
    this->counters.Add("heartbeats_ignored_total", "unreadable");
    Log(LogLevel::Warning,
        "heartbeat_unreadable",
        { { "worker", id }, { "reason", std::string(beat.status().message()) } });
    aReply({ kHttpBadRequest, {}, {} });
    return;
  }
  this->worker->OnHeartbeat(*beat);
  aReply({ kHttpOk, { { "Content-Type", "application/json" } }, "{}" });
}

void ClusterAgent::OnDirectory(const std::string& aKey, const EntryDirectory::Entries& aEntries)
{
  std::erase_if(this->entries, [&](const auto& aItem) {
    const auto listed = aEntries.find(aItem.first);
    return listed == aEntries.end() || listed->second != aItem.second.address;
  });
  for (const auto& [name, address] : aEntries) {
    if (!this->entries.contains(name)) {
      this->Dial(name, address, aKey);
    }
  }
}

void ClusterAgent::Dial(const std::string& aName,
                        const std::string& aAddress,
                        const std::string& aKey)
{
  const auto address = SocketAddress::Parse(aAddress);
  if (!address.has_value()) {
    Log(LogLevel::Error, "entry_unusable", { { "entry", aName }, { "address", aAddress } });
    return;
  }
  LinkDialerOptions options;
  options.agent = AgentId{ this->settings.machine };
  options.dataCentre = DataCentreId{ this->settings.dataCentre };
  options.address = address->ip;
  options.port = address->port;
  options.sharedKey = aKey;
  options.connectTimeout = std::chrono::milliseconds(1000);
  options.backoffMax = std::chrono::milliseconds(1500);
  options.seed = std::hash<std::string>{}(this->settings.machine + aName);
  options.limits = ClusterLinkLimits();
  LinkDialerHandlers handlers;
  handlers.up = [aName](const EntryId& aEntry, const DataCentreId& /*aDataCentre*/) {
    Log(LogLevel::Info, "link_up", { { "entry", aEntry.Value() } });
  };
  handlers.down = [this, aName](std::string_view aReason) { this->OnLinkDown(aName, aReason); };
  handlers.message = [this, aName](const LinkMessage& aMessage) {
    this->OnMessage(aName, aMessage);
  };
  handlers.call = [](const CallRequest& /*aRequest*/,
                     const std::shared_ptr<Responder>& aResponder) {
    aResponder->Refuse("not_served_here");
  };
  auto dialer =
    LinkDialer::Create(this->context, std::move(options), std::move(handlers), this->counters);
  if (!dialer.ok()) {
    Log(LogLevel::Error,
        "entry_unusable",
        { { "entry", aName }, { "reason", std::string(dialer.status().message()) } });
    return;
  }
  this->entries[aName] = { aAddress, *std::move(dialer), {} };
}

void ClusterAgent::OnLinkDown(const std::string& aEntry, std::string_view aReason)
{
  Log(LogLevel::Info, "link_down", { { "entry", aEntry }, { "reason", std::string(aReason) } });
  if (this->leader == aEntry) {
    this->leader.clear();
    this->worker->LoseLeader();
  }
}

void ClusterAgent::OnMessage(const std::string& aEntry, const LinkMessage& aMessage)
{
  if (const auto* claim = std::get_if<LeaderClaim>(&aMessage)) {
    if (claim->epoch == Epoch{} || claim->epoch < this->epoch) {
      return;
    }
    Log(LogLevel::Info,
        "leader_followed",
        { { "entry", aEntry }, { "epoch", claim->epoch.Value() } });
    this->epoch = claim->epoch;
    this->leader = aEntry;
    this->worker->FollowLeader(claim->epoch);
    return;
  }
  if (aEntry != this->leader) {
    this->counters.Add("orders_ignored_total", "not_leader");
    return;
  }
  if (const auto* orders = std::get_if<WorkerOrders>(&aMessage)) {
    this->worker->OnOrders(*orders);
  } else if (const auto* extension = std::get_if<LeaseExtension>(&aMessage)) {
    this->worker->OnExtension(*extension);
  }
}

void ClusterAgent::SendToLeader(const WorkerReport& aReport)
{
  const auto entry = this->entries.find(this->leader);
  if (entry == this->entries.end() || !entry->second.dialer->Send(aReport)) {
    this->counters.Add("reports_dropped_total", "no_leader");
  }
}

} // namespace

absl::Status RunClusterAgent(platformwire::DaemonSettings aSettings)
{
  ClusterAgent agent(std::move(aSettings));
  const absl::Status status = agent.Start();
  if (status.ok()) {
    agent.Run();
  }
  return status;
}

} // namespace oriolespread::daemon
