#include "oriolespread/daemon/ClusterAgent.h"

#include "ClientBudget.h"
#include "EventLoop.h"
#include "LoopMonitor.h"
#include "MetricsServer.h"
#include "WorkerDriver.h"

#include "oriolespread/cluster/FollowedLeader.h"
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
  };

  void OnControlRequest(const HttpRequest& aRequest, const HttpServer::Reply& aReply);
  void OnEntriesChanged(const std::string& aLinkKey, const EntryDirectory::Entries& aEntries);
  void DialEntry(const std::string& aName,
                 const std::string& aAddress,
                 const std::string& aLinkKey);
  void OnLinkMessage(const std::string& aEntry, const LinkMessage& aMessage);
  void OnLinkDown(const std::string& aEntry, std::string_view aReason);
  void SendToLeader(const WorkerReport& aReport);
  void WaitForSignal();

  platformwire::DaemonSettings settings;
  Counters counters;
  std::shared_ptr<MemoryBudget> clientBudget = CreateClientBudget(this->settings);
  asio::io_context context{ 1 };
  asio::signal_set signals;
  LoopMonitor loopMonitor{ this->context, this->counters };
  std::unique_ptr<HttpServer> controlServer;
  std::unique_ptr<MetricsServer> metrics;
  std::unique_ptr<platformwire::StoreClient> store;
  std::unique_ptr<EntryDirectory> directory;
  std::unique_ptr<WorkerDriver> workerDriver;
  std::map<std::string, EntryLink> entryLinks;
  cluster::FollowedLeader leader;
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
  this->workerDriver = *std::move(driver);
  auto server = HttpServer::Create(
    this->context,
    this->settings.control.ip,
    this->settings.control.port,
    { .budget = this->clientBudget },
    [this](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
      this->OnControlRequest(aRequest, aReply);
    },
    this->counters);
  if (!server.ok()) {
    return server.status();
  }
  this->controlServer = *std::move(server);
  this->metrics = std::make_unique<MetricsServer>(
    this->context,
    this->settings.ip,
    this->counters,
    [this] {
      MetricsServer::Values values;
      values.gauges["leader_epoch"] = static_cast<double>(this->leader.LatestEpoch().Value());
      values.histograms["run_start"] = &this->workerDriver->StartLatency();
      values.histograms["loop_lateness"] = &this->loopMonitor.Lateness();
      return values;
    },
    this->clientBudget);
  this->directory = std::make_unique<EntryDirectory>(this->context, *this->store, this->counters);
  this->directory->Subscribe(
    [this](const std::string& aLinkKey, const EntryDirectory::Entries& aEntries) {
      this->OnEntriesChanged(aLinkKey, aEntries);
    });
  this->WaitForSignal();
  Log(LogLevel::Info,
      "agent_started",
      { { "machine", this->settings.machine }, { "worker", this->settings.workerAddress } });
  return absl::OkStatus();
}

void ClusterAgent::WaitForSignal()
{
  this->signals.async_wait([this](asio::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    Log(LogLevel::Info, aSignal == SIGHUP ? "reload" : "stopping", { { "signal", aSignal } });
    if (aSignal == SIGHUP) {
      // There is nothing to reload: an agent's settings are addresses and limits of the machine,
      // fixed while it runs.
      this->WaitForSignal();
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
    this->workerDriver->OnWorkerLeaving(id);
    aReply({ kHttpOk, {}, "{}" });
    return;
  }
  const auto heartbeat = platformwire::DecodeHeartbeat(id, aRequest.body);
  if (!heartbeat.ok()) {
    this->counters.Add("heartbeats_ignored_total", "unreadable");
    Log(LogLevel::Warning,
        "heartbeat_unreadable",
        { { "worker", id }, { "reason", std::string(heartbeat.status().message()) } });
    aReply({ kHttpBadRequest, {}, {} });
    return;
  }
  this->workerDriver->OnHeartbeat(*heartbeat);
  aReply({ kHttpOk, { { "Content-Type", "application/json" } }, "{}" });
}

void ClusterAgent::OnEntriesChanged(const std::string& aLinkKey,
                                    const EntryDirectory::Entries& aEntries)
{
  std::erase_if(this->entryLinks, [&](const auto& aLink) {
    const auto listed = aEntries.find(aLink.first);
    return listed == aEntries.end() || listed->second != aLink.second.address;
  });
  for (const auto& [name, address] : aEntries) {
    if (!this->entryLinks.contains(name)) {
      this->DialEntry(name, address, aLinkKey);
    }
  }
}

void ClusterAgent::DialEntry(const std::string& aName,
                             const std::string& aAddress,
                             const std::string& aLinkKey)
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
  options.sharedKey = aLinkKey;
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
    this->OnLinkMessage(aName, aMessage);
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
  this->entryLinks[aName] = { aAddress, *std::move(dialer) };
}

void ClusterAgent::OnLinkDown(const std::string& aEntry, std::string_view aReason)
{
  Log(LogLevel::Info, "link_down", { { "entry", aEntry }, { "reason", std::string(aReason) } });
  if (this->leader.OnLinkDown(aEntry)) {
    this->workerDriver->OnLeaderLost();
  }
}

void ClusterAgent::OnLinkMessage(const std::string& aEntry, const LinkMessage& aMessage)
{
  if (const auto* claim = std::get_if<LeaderClaim>(&aMessage)) {
    const bool follows = this->leader.OnClaim(aEntry, *claim);
    if (follows) {
      this->workerDriver->FollowLeader(claim->epoch);
    }
    Log(LogLevel::Info,
        follows ? "leader_followed" : "claim_ignored",
        { { "entry", aEntry },
          { "epoch", claim->epoch.Value() },
          { "latest_epoch", this->leader.LatestEpoch().Value() },
          { "renewed", claim->renewed },
          { "repeated", claim->repeated } });
    return;
  }
  if (aEntry != this->leader.Entry()) {
    this->counters.Add("orders_ignored_total", "not_leader");
    return;
  }
  if (const auto* orders = std::get_if<WorkerOrders>(&aMessage)) {
    this->workerDriver->OnOrders(*orders);
  } else if (const auto* extension = std::get_if<LeaseExtension>(&aMessage)) {
    this->workerDriver->OnLeaseExtension(*extension);
  }
}

void ClusterAgent::SendToLeader(const WorkerReport& aReport)
{
  const auto entry = this->entryLinks.find(this->leader.Entry());
  if (entry == this->entryLinks.end() || !entry->second.dialer->Send(aReport)) {
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
