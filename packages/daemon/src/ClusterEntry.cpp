#include "oriolespread/daemon/ClusterEntry.h"

#include "ClientBudget.h"
#include "ConfigWatcher.h"
#include "EventLoop.h"
#include "JobApi.h"
#include "LeaderDriver.h"
#include "LoopMonitor.h"
#include "MetricsServer.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/cluster/Readiness.h"
#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/daemon/EntryDirectory.h"
#include "oriolespread/link/LinkListener.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <random>

namespace oriolespread::daemon {

namespace {

// Requests that another entry passes on arrive at this many ports above the one for links.
constexpr std::uint16_t kForwardPortOffset = 1;
constexpr int kMaxPort = 65535;
// How often a stopping entry checks whether the last request has been answered.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// The event loop stops this long before the grace period ends, so that the last responses are sent
// and the process exits in time.
constexpr Duration kStopMargin = std::chrono::milliseconds(700);
// Requests without a response this long before the event loop stops are given up.
constexpr Duration kLastResponseTime = std::chrono::milliseconds(100);

std::string GenerateProcessId()
{
  std::random_device randomDevice;
  return absl::StrCat(absl::Hex(randomDevice(), absl::kZeroPad8),
                      absl::Hex(randomDevice(), absl::kZeroPad8));
}

class ClusterEntry
{
public:
  explicit ClusterEntry(platformwire::DaemonSettings aSettings)
    : settings(std::move(aSettings))
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
    , drainTimer(this->context)
  {
  }

  absl::Status Start();
  void Run();

private:
  absl::Status StartServers();
  void StartForwardServer();
  absl::Status StartLinks(const std::string& aLinkKey);
  void OnConfigChanged(const cluster::ClusterConfig& aConfig);
  void OnEntriesChanged(const EntryDirectory::Entries& aEntries);
  // Decides whether the load balancer may send callers here, and logs each change.
  bool UpdateReadiness();
  bool SendToAgent(const std::string& aAgent, const LinkMessage& aMessage);
  void WaitForSignal();
  void Drain();
  // Stops the event loop once the leadership is released and each request has its response, at the
  // latest at `aLatest`.
  void StopWhenIdle(Instant aLatest);
  std::size_t OpenConnections() const;
  void CallAt(Instant aTime, std::function<void()> aCall);

  platformwire::DaemonSettings settings;
  Counters counters;
  std::shared_ptr<MemoryBudget> clientBudget = CreateClientBudget(this->settings);
  asio::io_context context{ 1 };
  asio::signal_set signals;
  asio::steady_timer drainTimer;
  LoopMonitor loopMonitor{ this->context, this->counters };
  std::unique_ptr<platformwire::StoreClient> store;
  std::unique_ptr<ConfigWatcher> configWatcher;
  RequestForwarder forwarder{ this->context, this->counters };
  std::unique_ptr<JobApi> jobApi;
  std::unique_ptr<HttpServer> apiServer;
  // For requests that other entries pass on; null if it could not be started.
  std::unique_ptr<HttpServer> forwardServer;
  std::unique_ptr<HttpServer> readinessServer;
  std::unique_ptr<MetricsServer> metrics;
  std::unique_ptr<EntryDirectory> directory;
  std::unique_ptr<LinkListener> listener;
  std::unique_ptr<LeaderDriver> leader;
  std::map<std::string, LinkId> linkByAgent;
  std::map<LinkId, std::string> agentByLink;
  bool draining = false;
  bool released = false;
  // The last result of UpdateReadiness.
  bool ready = false;
};

absl::Status ClusterEntry::Start()
{
  auto client =
    platformwire::StoreClient::Create(this->context, this->settings.storeAddress, this->counters);
  if (!client.ok()) {
    return client.status();
  }
  this->store = *std::move(client);
  this->configWatcher = std::make_unique<ConfigWatcher>(
    this->context, *this->store, this->counters, [this](const cluster::ClusterConfig& aConfig) {
      this->OnConfigChanged(aConfig);
    });
  this->configWatcher->SubscribeToEvacuations(this->settings.dataCentres,
                                              [this](const std::set<std::string>& aDataCentres) {
                                                this->leader->SetEvacuatedDataCentres(aDataCentres);
                                              });
  this->jobApi = std::make_unique<JobApi>(
    this->context, *this->store, *this->configWatcher, this->forwarder, this->counters);
  LeaderDriverOptions options;
  options.entry = this->settings.machine;
  options.process = GenerateProcessId();
  options.workerLease = WorkerLease(this->settings.maxWorkerLease);
  options.endedJobRetention = this->settings.keepEnded;
  if (this->settings.waitingOrder == platformwire::kBacklogPlan) {
    options.waitingOrder = jobs::WaitingOrder::BacklogPlan;
  }
  // The event loop runs on one thread, which uses no more than one core.
  options.coreShare = std::min(this->settings.cpuShare, 1.0);
  this->leader =
    std::make_unique<LeaderDriver>(this->context,
                                   *this->store,
                                   options,
                                   this->counters,
                                   [this](const std::string& aAgent, const LinkMessage& aMessage) {
                                     return this->SendToAgent(aAgent, aMessage);
                                   });
  this->jobApi->RefuseByWaits([this](const std::string& aService, int aPriority) {
    return this->leader->FindPublishedWait(aService, aPriority);
  });
  if (const absl::Status status = this->StartServers(); !status.ok()) {
    return status;
  }
  this->directory = std::make_unique<EntryDirectory>(this->context, *this->store, this->counters);
  this->directory->Register(
    this->settings.machine,
    ToString(SocketAddress{ this->settings.ip, this->settings.internalPort }));
  this->directory->Subscribe(
    [this](const std::string& aLinkKey, const EntryDirectory::Entries& aEntries) {
      this->OnEntriesChanged(aEntries);
      if (this->listener != nullptr) {
        return;
      }
      if (const absl::Status status = this->StartLinks(aLinkKey); !status.ok()) {
        Log(LogLevel::Error, "links_unavailable", { { "reason", std::string(status.message()) } });
      }
    });
  this->configWatcher->Start();
  this->WaitForSignal();
  Log(LogLevel::Info,
      "entry_started",
      { { "machine", this->settings.machine },
        { "process", options.process },
        { "front", ToString(this->settings.front) },
        { "cpu_share", this->settings.cpuShare },
        { "cpu_cores", this->settings.cpuCores } });
  return absl::OkStatus();
}

absl::Status ClusterEntry::StartServers()
{
  auto apiServer = HttpServer::Create(
    this->context,
    this->settings.front.ip,
    this->settings.front.port,
    { .budget = this->clientBudget },
    [this](const HttpRequest& aRequest, HttpServer::Reply aReply) {
      this->jobApi->Handle(aRequest, JobApi::Sender::Caller, std::move(aReply));
    },
    this->counters);
  if (!apiServer.ok()) {
    return apiServer.status();
  }
  this->apiServer = *std::move(apiServer);
  this->StartForwardServer();
  auto readinessServer = HttpServer::Create(
    this->context,
    this->settings.ready.ip,
    this->settings.ready.port,
    { .budget = this->clientBudget },
    [this](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
      const bool knownPath = aRequest.target == platformwire::kReadyPath;
      aReply({ !knownPath                ? kHttpNotFound
               : this->UpdateReadiness() ? kHttpOk
                                         : kHttpUnavailable,
               {},
               {} });
    },
    this->counters);
  if (!readinessServer.ok()) {
    return readinessServer.status();
  }
  this->readinessServer = *std::move(readinessServer);
  this->metrics = std::make_unique<MetricsServer>(
    this->context,
    this->settings.ip,
    this->counters,
    [this] {
      return MetricsServer::Values{ this->leader->Gauges(),
                                    { { "request", &this->jobApi->Latency() },
                                      { "commit", &this->leader->CommitLatency() },
                                      { "job_start", &this->leader->JobStartLatency() },
                                      { "loop_lateness", &this->loopMonitor.Lateness() } } };
    },
    this->clientBudget);
  return absl::OkStatus();
}

// An entry without this server still serves its own callers, so that a port in use is no reason to
// end.
void ClusterEntry::StartForwardServer()
{
  auto created = HttpServer::Create(
    this->context,
    this->settings.ip,
    this->settings.internalPort + kForwardPortOffset,
    { .budget = this->clientBudget },
    [this](const HttpRequest& aRequest, HttpServer::Reply aReply) {
      this->jobApi->Handle(aRequest, JobApi::Sender::Entry, std::move(aReply));
    },
    this->counters);
  if (!created.ok()) {
    this->counters.Add("listeners_unavailable_total", "forward");
    Log(LogLevel::Error,
        "forwarding_unavailable",
        { { "reason", std::string(created.status().message()) } });
    return;
  }
  this->forwardServer = *std::move(created);
}

absl::Status ClusterEntry::StartLinks(const std::string& aLinkKey)
{
  LinkListenerOptions options;
  options.entry = EntryId{ this->settings.machine };
  options.dataCentre = DataCentreId{ this->settings.dataCentre };
  options.address = this->settings.ip;
  options.port = this->settings.internalPort;
  options.sharedKey = aLinkKey;
  options.limits = ClusterLinkLimits();
  LinkListenerHandlers handlers;
  handlers.up = [this](LinkId aLink, const AgentId& aAgent, const DataCentreId& /*aDataCentre*/) {
    const std::string agent = aAgent.Value();
    if (const auto previous = this->linkByAgent.find(agent); previous != this->linkByAgent.end()) {
      this->agentByLink.erase(previous->second);
      this->leader->OnAgentDown(agent);
    }
    this->linkByAgent[agent] = aLink;
    this->agentByLink[aLink] = agent;
    this->leader->OnAgentUp(agent);
  };
  handlers.down = [this](LinkId aLink, std::string_view aReason) {
    const auto it = this->agentByLink.find(aLink);
    if (it == this->agentByLink.end()) {
      return;
    }
    Log(LogLevel::Info,
        "agent_link_down",
        { { "agent", it->second }, { "reason", std::string(aReason) } });
    this->linkByAgent.erase(it->second);
    this->leader->OnAgentDown(it->second);
    this->agentByLink.erase(it);
  };
  handlers.message = [this](LinkId aLink, const LinkMessage& aMessage) {
    const auto it = this->agentByLink.find(aLink);
    if (const auto* report = std::get_if<WorkerReport>(&aMessage);
        report != nullptr && it != this->agentByLink.end()) {
      this->leader->OnReport(it->second, *report);
    }
  };
  auto created =
    LinkListener::Create(this->context, std::move(options), std::move(handlers), this->counters);
  if (!created.ok()) {
    return created.status();
  }
  this->listener = *std::move(created);
  this->leader->Start();
  return absl::OkStatus();
}

void ClusterEntry::OnConfigChanged(const cluster::ClusterConfig& aConfig)
{
  HttpServerLimits limits;
  limits.headerBytes = aConfig.limits.headerBytes;
  limits.bodyBytes = aConfig.limits.bodyBytes;
  limits.readTimeout = std::chrono::milliseconds(aConfig.limits.headerTimeoutMs);
  limits.idleTimeout = std::chrono::milliseconds(aConfig.limits.idleTimeoutMs);
  this->apiServer->SetLimits(limits);
  if (this->forwardServer != nullptr) {
    this->forwardServer->SetLimits(limits);
  }
}

void ClusterEntry::OnEntriesChanged(const EntryDirectory::Entries& aEntries)
{
  std::set<std::string> peers;
  for (const auto& [entry, linkAddress] : aEntries) {
    if (entry == this->settings.machine) {
      continue;
    }
    auto address = SocketAddress::Parse(linkAddress);
    if (!address.has_value() || address->port > kMaxPort - kForwardPortOffset) {
      this->counters.Add("directory_rows_invalid_total", "forward_port");
      Log(LogLevel::Warning,
          "entry_address_invalid",
          { { "entry", entry }, { "address", linkAddress } });
      continue;
    }
    address->port += kForwardPortOffset;
    peers.insert(ToString(*address));
  }
  this->forwarder.SetPeers(peers);
}

bool ClusterEntry::UpdateReadiness()
{
  const Instant now = BootClock::now();
  cluster::EntryCondition condition;
  condition.draining = this->draining;
  condition.hasConfig = this->configWatcher->Config().has_value();
  condition.configAge = now - this->configWatcher->ConfirmedAt();
  condition.storeSilence = now - this->store->LastAnswerAt();
  const bool isReady = cluster::IsReady(condition, cluster::ReadinessSettings{});
  if (isReady != this->ready) {
    Log(
      isReady ? LogLevel::Info : LogLevel::Warning,
      isReady ? "entry_ready" : "entry_not_ready",
      { { "draining", condition.draining },
        { "configured", condition.hasConfig },
        { "config_age_ms", condition.hasConfig ? ToMilliseconds(condition.configAge) : 0 },
        { "store_silent_ms", condition.hasConfig ? ToMilliseconds(condition.storeSilence) : 0 } });
  }
  this->ready = isReady;
  return isReady;
}

bool ClusterEntry::SendToAgent(const std::string& aAgent, const LinkMessage& aMessage)
{
  const auto link = this->linkByAgent.find(aAgent);
  return link != this->linkByAgent.end() && this->listener->Send(link->second, aMessage);
}

void ClusterEntry::WaitForSignal()
{
  this->signals.async_wait([this](asio::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    Log(LogLevel::Info, aSignal == SIGHUP ? "reload" : "stopping", { { "signal", aSignal } });
    if (aSignal == SIGHUP) {
      // There is nothing to reload: the settings of an entry are fixed while it runs, and operators
      // change the configuration, which arrives through the store.
      this->WaitForSignal();
      return;
    }
    this->Drain();
  });
}

void ClusterEntry::Drain()
{
  this->draining = true;
  this->apiServer->Drain();
  if (this->forwardServer != nullptr) {
    this->forwardServer->Drain();
  }
  const Instant now = BootClock::now();
  const Duration time = std::max(this->settings.stopGrace - kStopMargin, Duration::zero());
  const Instant latest = now + time;
  this->jobApi->RespondBy(latest);
  this->leader->Release([this] {
    Log(LogLevel::Info, "leadership_left");
    this->released = true;
  });
  // While connections are accepted, callers that send one request after the other keep the entry
  // from ever being idle. The second half of the time is left for their last responses.
  this->CallAt(now + std::min(kEntryDrainTime, time / 2), [this, latest] {
    this->apiServer->StopAccepting();
    if (this->forwardServer != nullptr) {
      this->forwardServer->StopAccepting();
    }
    Log(LogLevel::Info, "accepting_stopped", { { "open_connections", this->OpenConnections() } });
    this->StopWhenIdle(latest);
  });
  // Calls that were in flight at the signal may take longer than RespondBy allows for.
  this->CallAt(std::max(latest - kLastResponseTime, now), [this] {
    this->apiServer->RespondToAll({ kHttpGatewayTimeout, {}, {} });
    if (this->forwardServer != nullptr) {
      this->forwardServer->RespondToAll({ kHttpGatewayTimeout, {}, {} });
    }
  });
  // Stops in time whatever the loop of StopWhenIdle waits for.
  this->CallAt(latest, [this] { this->context.stop(); });
}

void ClusterEntry::CallAt(Instant aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aTime - BootClock::now());
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

void ClusterEntry::StopWhenIdle(Instant aLatest)
{
  this->drainTimer.expires_after(kDrainPollInterval);
  this->drainTimer.async_wait([this, aLatest](asio::error_code aError) {
    if (aError) {
      return;
    }
    if (BootClock::now() >= aLatest || (this->released && this->OpenConnections() == 0)) {
      this->context.stop();
      return;
    }
    this->StopWhenIdle(aLatest);
  });
}

std::size_t ClusterEntry::OpenConnections() const
{
  return this->apiServer->OpenConnections() +
         (this->forwardServer == nullptr ? 0 : this->forwardServer->OpenConnections());
}

void ClusterEntry::Run()
{
  RunEventLoop(this->context, this->counters);
  const std::size_t inFlight =
    this->apiServer->InFlight() +
    (this->forwardServer == nullptr ? 0 : this->forwardServer->InFlight());
  Log(inFlight == 0 ? LogLevel::Info : LogLevel::Warning,
      "entry_stopped",
      { { "in_flight", inFlight }, { "open_connections", this->OpenConnections() } });
}

} // namespace

absl::Status RunClusterEntry(platformwire::DaemonSettings aSettings)
{
  ClusterEntry entry(std::move(aSettings));
  const absl::Status status = entry.Start();
  if (status.ok()) {
    entry.Run();
  }
  return status;
}

} // namespace oriolespread::daemon
