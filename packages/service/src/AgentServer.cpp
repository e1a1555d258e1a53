#include "oriolespread/service/AgentServer.h"

#include "oriolespread/platform/HttpListen.h"
#include "oriolespread/service/AgentCore.h"
#include "oriolespread/service/Log.h"
#include "oriolespread/service/MetricsText.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace oriolespread {

namespace {

constexpr const char* kJson = "application/json";
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kIdleSeconds = 5;
constexpr std::size_t kHttpThreads = 16;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } << 10U;
constexpr Duration kDrainPoll = std::chrono::milliseconds(5);
// Entries learn within this time that the upstreams leave; new calls are refused from the first
// moment, with proof that they were not run.
constexpr Duration kLeaveLead = std::chrono::milliseconds(300);

struct ParsedAnnouncement
{
  std::optional<LocalAnnouncement> announcement;
  Findings findings;
};

std::string TextMember(const nlohmann::json& aBody, const char* aName, Findings& aFindings)
{
  const auto it = aBody.find(aName);
  if (it == aBody.end() || !it->is_string()) {
    aFindings.Add({ "announcement", 0, 0, aName }, "is missing or no string", "a string");
    return {};
  }
  return it->get<std::string>();
}

std::string NameMember(const nlohmann::json& aBody, const char* aName, Findings& aFindings)
{
  std::string text = TextMember(aBody, aName, aFindings);
  if (!text.empty() && !IsValidName(text)) {
    aFindings.Add({ "announcement", 0, 0, aName }, "is not a valid name", "letters, digits, . _ -");
  }
  return text;
}

std::uint64_t NumberMember(const nlohmann::json& aBody,
                           const char* aName,
                           std::uint64_t aMax,
                           Findings& aFindings)
{
  const auto it = aBody.find(aName);
  if (it == aBody.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
      it->get<std::uint64_t>() > aMax) {
    aFindings.Add({ "announcement", 0, 0, aName },
                  "is missing or out of range",
                  "an integer from 1 to " + std::to_string(aMax));
    return 0;
  }
  return it->get<std::uint64_t>();
}

ParsedAnnouncement ParseAnnouncement(const std::string& aText)
{
  ParsedAnnouncement parsed;
  Findings& findings = parsed.findings;
  const auto body = nlohmann::json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    findings.Add({ "announcement", 0, 0, "" }, "is no JSON object");
    return parsed;
  }
  LocalAnnouncement announcement;
  UpstreamInfo& info = announcement.info;
  info.upstream = UpstreamId{ NameMember(body, "upstream", findings) };
  info.organisation = OrganisationId{ NameMember(body, "organisation", findings) };
  info.service = ServiceName{ NameMember(body, "service", findings) };
  info.incarnation = Incarnation{ NumberMember(
    body, "incarnation", std::numeric_limits<std::uint64_t>::max(), findings) };
  info.slots = static_cast<std::uint32_t>(NumberMember(body, "slots", 1'000'000, findings));
  info.connections =
    static_cast<std::uint32_t>(NumberMember(body, "connections", 1'000'000, findings));
  const auto address = SocketAddress::Parse(TextMember(body, "address", findings));
  if (!address.has_value() || address->port == 0) {
    findings.Add({ "announcement", 0, 0, "address" }, "is no IP address with port");
  } else {
    announcement.address = *address;
  }
  if (findings.empty()) {
    parsed.announcement = announcement;
  }
  return parsed;
}

} // namespace

AgentServer::AgentServer(AgentSettings aSettings)
  : settings(std::move(aSettings))
  , loop("links", this->settings.limits.ringLength, this->counters)
  , core(std::make_unique<AgentCore>(this->loop, this->settings, this->counters))
{
  this->server.new_task_queue = [] { return new httplib::ThreadPool(kHttpThreads); };
  this->server.set_keep_alive_timeout(kIdleSeconds);
  this->server.set_payload_max_length(kMaxBodyBytes);
  this->AddRoutes();
}

AgentServer::~AgentServer()
{
  this->Abort();
}

absl::StatusOr<std::unique_ptr<AgentServer>> AgentServer::Create(AgentSettings aSettings)
{
  std::unique_ptr<AgentServer> agent(new AgentServer(std::move(aSettings)));
  if (const absl::Status status = agent->Bind(); !status.ok()) {
    return status;
  }
  return agent;
}

absl::Status AgentServer::Bind()
{
  const auto bound = BindHttp(this->server, this->settings.agent.localHttpAddress);
  this->port = bound.value_or(0);
  return bound.status();
}

void AgentServer::AddRoutes()
{
  this->server.Post("/v1/upstreams",
                    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                      this->ServeAnnouncement(aRequest, aResponse);
                    });
  this->server.Delete("/v1/upstreams/([A-Za-z0-9._-]+)",
                      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                        this->ServeWithdrawal(aRequest, aResponse);
                      });
  this->server.Get("/v1/status", [this](const httplib::Request&, httplib::Response& aResponse) {
    this->ServeStatus(aResponse);
  });
  this->server.Get("/healthz", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  this->server.Get("/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
    const bool isReady = this->ready.load() && this->core->Status().links > 0;
    aResponse.status = isReady ? 200 : kUnavailable;
    aResponse.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
  });
  this->server.Get("/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
    const AgentStatus status = this->core->Status();
    const std::map<std::string, double> gauges = {
      { "links", static_cast<double>(status.links) },
      { "upstreams", static_cast<double>(status.upstreams) },
      { "calls_in_flight", static_cast<double>(status.callsInFlight) },
      { "ticket_number", static_cast<double>(status.ticket.Value()) },
    };
    aResponse.set_content(
      MetricsText(this->counters, gauges, { { "call", &this->core->CallLatency() } }),
      "text/plain; version=0.0.4");
  });
}

void AgentServer::ServeAnnouncement(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const ParsedAnnouncement parsed = ParseAnnouncement(aRequest.body);
  if (!parsed.announcement.has_value()) {
    this->counters.Add("announcements_refused_total", "invalid");
    aResponse.status = kBadRequest;
    aResponse.set_content(parsed.findings.Report(), "text/plain");
    return;
  }
  if (!this->core->Announce(*parsed.announcement)) {
    aResponse.status = kUnavailable;
    return;
  }
  aResponse.set_content("{}", kJson);
}

void AgentServer::ServeWithdrawal(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  if (!this->core->Withdraw(UpstreamId{ aRequest.matches[1] })) {
    aResponse.status = kUnavailable;
    return;
  }
  aResponse.set_content("{}", kJson);
}

void AgentServer::ServeStatus(httplib::Response& aResponse)
{
  const AgentStatus status = this->core->Status();
  const nlohmann::ordered_json body = { { "agent", this->settings.agent.id.Value() },
                                        { "worker", this->settings.agent.worker.Value() },
                                        { "links", status.links },
                                        { "upstreams", status.upstreams },
                                        { "calls_in_flight", status.callsInFlight },
                                        { "ticket", status.ticket.Value() } };
  aResponse.set_content(body.dump(), kJson);
}

void AgentServer::Start()
{
  this->running = true;
  this->loop.Start();
  this->core->Start();
  this->thread = ServeHttp(this->server);
  SocketAddress address = this->settings.agent.localHttpAddress;
  address.port = this->port;
  Log(LogLevel::Info,
      "listening",
      { { "agent", this->settings.agent.id.Value() }, { "http", ToString(address) } });
}

bool AgentServer::Shutdown()
{
  Log(LogLevel::Info, "drain_started", { { "calls", this->core->Status().callsInFlight } });
  this->ready = false;
  const Instant end = BootClock::now() + this->settings.agent.drainTime;
  this->core->Drain();
  std::this_thread::sleep_for(std::min(kLeaveLead, this->settings.agent.drainTime / 4));
  while (!this->core->IsDrained() && BootClock::now() < end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool drained = this->core->IsDrained();
  this->core->CloseLinks();
  std::this_thread::sleep_for(std::min(kLeaveLead, this->settings.agent.drainTime / 4));
  Log(LogLevel::Info, "drain_finished", { { "complete", drained } });
  this->Abort();
  return drained;
}

void AgentServer::Abort()
{
  if (!this->running) {
    return;
  }
  this->running = false;
  this->loop.Stop();
  this->server.stop();
  this->thread.join();
}

} // namespace oriolespread
