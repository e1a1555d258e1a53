#include "oriolespread/service/EntryServer.h"

#include "NewIncarnation.h"
#include "PolicyOfConfig.h"

#include "oriolespread/service/Log.h"

#include <utility>

namespace oriolespread {

namespace {

constexpr std::size_t kStoreThreads = 8;
constexpr std::size_t kStoreRing = 4096;
// The balancer takes about this long to notice that readiness fails.
constexpr Duration kReadinessLead = std::chrono::milliseconds(500);
// A store that is slower than this is not waited for: the lease lapses by itself.
constexpr Duration kReleaseLimit = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(5);

std::unique_ptr<StorePool> MakeStore(const EntrySettings& aSettings)
{
  const PlatformSettings& platform = aSettings.platform;
  if (platform.kind == PlatformKind::Embedded) {
    Log(LogLevel::Warning,
        "embedded_platform",
        { { "note", "state is held in memory and is lost when this process ends" } });
    auto embedded = std::make_shared<EmbeddedPlatform>();
    return std::make_unique<StorePool>(
      kStoreThreads, kStoreRing, [embedded] { return PlatformClient::Embedded(embedded); });
  }
  const SocketAddress table = platform.tableAddress;
  const SocketAddress objects = platform.objectAddress;
  return std::make_unique<StorePool>(
    kStoreThreads, kStoreRing, [table, objects, timeout = platform.timeout] {
      return PlatformClient::Http(table, objects, timeout);
    });
}

std::string WithPort(SocketAddress aAddress, std::uint16_t aPort)
{
  if (aAddress.port == 0) {
    aAddress.port = aPort;
  }
  return ToString(aAddress);
}

} // namespace

EntryServer::EntryServer(EntrySettings aSettings)
  : settings(std::move(aSettings))
  , incarnation(internal::NewIncarnation())
  , store(MakeStore(this->settings))
  , requestLoop("requests", this->settings.limits.ringLength, this->counters)
  , controlLoop("control", this->settings.limits.ringLength, this->counters)
{
}

EntryServer::~EntryServer()
{
  this->Abort();
}

absl::StatusOr<std::unique_ptr<EntryServer>> EntryServer::Create(EntrySettings aSettings)
{
  std::unique_ptr<EntryServer> server(new EntryServer(std::move(aSettings)));
  if (const absl::Status status = server->Open(); !status.ok()) {
    return status;
  }
  return server;
}

absl::Status EntryServer::Open()
{
  auto tokens = TokenTable::Create(this->settings.tokens);
  if (!tokens.ok()) {
    return tokens.status();
  }
  RequestEngineOptions engine;
  engine.entry = this->settings.entry.id;
  engine.incarnation = this->incarnation;
  engine.dataCentre = this->settings.entry.dataCentre;
  engine.seed = this->incarnation.Value();
  RequestDriverHooks hooks;
  hooks.agentUp = [this](const AgentId& aAgent) { this->control->OnAgentUp(aAgent); };
  hooks.agentDown = [this](const AgentId& aAgent) { this->control->OnAgentDown(aAgent); };
  hooks.message = [this](const AgentId& aAgent, const LinkMessage& aMessage) {
    this->control->OnMessage(aAgent, aMessage);
  };
  this->requests = std::make_unique<RequestDriver>(
    this->requestLoop, *this->store, std::move(engine), std::move(hooks), this->counters);

  LinkListenerOptions links;
  links.entry = this->settings.entry.id;
  links.dataCentre = this->settings.entry.dataCentre;
  links.address = this->settings.entry.linkAddress.ip;
  links.port = this->settings.entry.linkAddress.port;
  links.sharedKey = this->settings.link.key;
  if (const absl::Status status = this->requests->Listen(std::move(links)); !status.ok()) {
    return status;
  }

  // The API server needs the control side and its own port goes into the directory of entries, so
  // it is bound between the two.
  ControlOptions options;
  options.entry = this->settings.entry.id;
  options.incarnation = this->incarnation;
  options.dataCentre = this->settings.entry.dataCentre;
  options.linkAddress =
    WithPort(this->settings.entry.advertisedLinkAddress, this->requests->LinkPort());
  options.shards = this->settings.shards;
  ControlHooks controlHooks;
  controlHooks.send = [this](const AgentId& aAgent, const LinkMessage& aMessage) {
    this->requests->Send(aAgent, aMessage);
  };
  controlHooks.configChanged = [this](const ConfigView& aView) {
    this->requests->SetPolicy(internal::MakeRequestPolicy(aView, this->settings.limits));
    this->api->SetConfig(std::make_shared<const ConfigView>(aView));
  };
  this->control = std::make_unique<ControlDriver>(
    this->controlLoop, *this->store, std::move(options), std::move(controlHooks), this->counters);
  this->api = std::make_unique<ApiServer>(this->settings,
                                          *std::move(tokens),
                                          this->incarnation,
                                          *this->requests,
                                          *this->control,
                                          this->counters);
  if (const absl::Status status = this->api->Bind(); !status.ok()) {
    return status;
  }
  this->control->SetHttpAddress(
    WithPort(this->settings.entry.advertisedHttpAddress, this->api->Port()));
  return absl::OkStatus();
}

void EntryServer::Start()
{
  this->running = true;
  // The control side is set up before links can bring it messages.
  this->controlLoop.Start();
  this->control->Start();
  this->requestLoop.Start();
  this->api->Start();
  Log(LogLevel::Info,
      "listening",
      { { "entry", this->settings.entry.id.Value() },
        { "http", WithPort(this->settings.entry.httpAddress, this->api->Port()) },
        { "link", WithPort(this->settings.entry.linkAddress, this->requests->LinkPort()) } });
}

bool EntryServer::Shutdown()
{
  Log(LogLevel::Info, "drain_started", { { "requests", this->requests->InProgress() } });
  this->api->FailReadiness();
  const Instant end = BootClock::now() + this->settings.entry.drainTime;
  std::this_thread::sleep_for(std::min(kReadinessLead, this->settings.entry.drainTime / 4));
  this->requests->Drain(std::max<Duration>(end - BootClock::now(), Duration::zero()));
  while (!this->requests->IsDrained() && BootClock::now() < end + kReadinessLead) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool drained = this->requests->IsDrained();
  const bool released = this->control->ReleaseShards(kReleaseLimit);
  // Waits until the last answers are written to their callers.
  this->api->Stop();
  Log(
    LogLevel::Info, "drain_finished", { { "complete", drained }, { "shards_released", released } });
  this->Abort();
  return drained;
}

void EntryServer::Abort()
{
  if (!this->running) {
    return;
  }
  this->running = false;
  // The loops end first: a handler of the API that waits for an answer is released by the
  // destruction of what it waits for.
  this->requestLoop.Stop();
  this->controlLoop.Stop();
  this->store->Stop();
  this->api->Stop();
}

} // namespace oriolespread
