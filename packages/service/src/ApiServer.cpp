#include "oriolespread/service/ApiServer.h"

#include "ApiText.h"
#include "Await.h"

#include "oriolespread/auth/Sha256.h"
#include "oriolespread/platform/HttpListen.h"
#include "oriolespread/service/Log.h"
#include "oriolespread/service/MetricsText.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace oriolespread {

namespace {

constexpr const char* kJson = "application/json";
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Keep-alive connections that stay idle for longer give their thread back.
constexpr int kIdleSeconds = 5;
constexpr std::size_t kRequestsPerConnection = 100'000;
constexpr std::size_t kMaxHeaders = 100;
// The request engine answers every request by its deadline; waiting longer than this beyond it
// means that the engine has stopped.
constexpr Duration kAnswerGrace = std::chrono::seconds(2);
constexpr std::uint64_t kMaxLogPage = 1000;
constexpr Duration kControlLimit = std::chrono::seconds(10);

template<typename Begin>
JobAnswer AwaitJob(Begin aBegin)
{
  return internal::Await<JobAnswer>(kControlLimit, std::move(aBegin)).value_or(JobAnswer{});
}

std::string PeerTokenOf(const std::string& aLinkKey)
{
  return Sha256Hex("oriolespread peer " + aLinkKey);
}

} // namespace

ApiServer::ApiServer(const EntrySettings& aSettings,
                     TokenTable aTokens,
                     Incarnation aIncarnation,
                     RequestDriver& aRequests,
                     ControlDriver& aControl,
                     Counters& aCounters)
  : settings(aSettings)
  , tokens(std::move(aTokens))
  , incarnation(aIncarnation)
  , requests(aRequests)
  , control(aControl)
  , counters(aCounters)
  , peerToken(PeerTokenOf(aSettings.link.key))
  , config(std::make_shared<ConfigView>())
{
  this->server.new_task_queue = [threads = aSettings.entry.httpThreads] {
    return new httplib::ThreadPool(threads);
  };
  this->server.set_tcp_nodelay(true);
  this->server.set_keep_alive_timeout(kIdleSeconds);
  this->server.set_keep_alive_max_count(kRequestsPerConnection);
  this->server.set_payload_max_length(aSettings.limits.http.bodyBytes);
  this->AddServiceRoutes();
  this->AddJobRoutes();
  this->AddTicketRoutes();
  this->AddStatusRoutes();
}

ApiServer::~ApiServer()
{
  this->Stop();
}

absl::Status ApiServer::Bind()
{
  const auto bound = BindHttp(this->server, this->settings.entry.httpAddress);
  this->port = bound.value_or(0);
  return bound.status();
}

void ApiServer::Start()
{
  this->thread = ServeHttp(this->server);
}

void ApiServer::Stop()
{
  if (this->thread.joinable()) {
    this->server.stop();
    this->thread.join();
  }
}

void ApiServer::SetConfig(std::shared_ptr<const ConfigView> aConfig)
{
  const std::lock_guard lock(this->configMutex);
  this->config = std::move(aConfig);
}

std::shared_ptr<const ConfigView> ApiServer::Config() const
{
  const std::lock_guard lock(this->configMutex);
  return this->config;
}

void ApiServer::Refuse(httplib::Response& aResponse, int aStatus, const char* aReason)
{
  this->counters.Add("api_refused_total", aReason);
  internal::SetFailure(aResponse, aStatus, "not_run", aReason);
}

void ApiServer::LoseAnswer(httplib::Response& aResponse)
{
  this->counters.Add("api_refused_total", "answer_lost");
  internal::SetFailure(aResponse, kUnavailable, "unknown", "answer_lost");
}

bool ApiServer::IsWithinLimits(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const HttpLimits& limits = this->settings.limits.http;
  std::size_t headerBytes = 0;
  bool longLine = aRequest.target.size() > limits.lineBytes;
  for (const auto& [name, value] : aRequest.headers) {
    const std::size_t line = name.size() + value.size();
    headerBytes += line;
    longLine = longLine || line > limits.lineBytes;
  }
  if (longLine || headerBytes > limits.headerBytes || aRequest.headers.size() > kMaxHeaders) {
    this->Refuse(aResponse, kHeadersTooLarge, "headers_too_large");
    return false;
  }
  return true;
}

ApiServer::Handler ApiServer::ForOrganisation(
  std::function<void(const OrganisationId&, const httplib::Request&, httplib::Response&)> aHandler)
{
  return [this, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
    const auto principal = this->tokens.Authenticate(aRequest.get_header_value("Authorization"));
    if (!principal.has_value() || principal->role != Role::Organisation) {
      this->Refuse(aResponse, kUnauthorized, "unauthenticated");
      return;
    }
    if (this->IsWithinLimits(aRequest, aResponse)) {
      handler(principal->organisation, aRequest, aResponse);
    }
  };
}

ApiServer::Handler ApiServer::ForOperator(Handler aHandler)
{
  return [this, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
    const auto principal = this->tokens.Authenticate(aRequest.get_header_value("Authorization"));
    if (!principal.has_value() || principal->role != Role::Operator) {
      this->Refuse(aResponse, kUnauthorized, "unauthenticated");
      return;
    }
    if (this->IsWithinLimits(aRequest, aResponse)) {
      handler(aRequest, aResponse);
    }
  };
}

ApiServer::Handler ApiServer::ForPeer(Handler aHandler)
{
  return [this, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
    const Sha256Digest given = Sha256(aRequest.get_header_value("Authorization"));
    if (!DigestsEqual(given, Sha256("Bearer " + this->peerToken))) {
      this->Refuse(aResponse, kUnauthorized, "unauthenticated");
      return;
    }
    handler(aRequest, aResponse);
  };
}

// ---- Requests of callers ----

void ApiServer::AddServiceRoutes()
{
  const Handler handler =
    this->ForOrganisation([this](const auto& aOrganisation, const auto& aRequest, auto& aResponse) {
      this->ServeRequest(aOrganisation, aRequest, aResponse);
    });
  const char* pattern = "/v1/services/[^/]+(/.*)?";
  this->server.Get(pattern, handler);
  this->server.Post(pattern, handler);
  this->server.Put(pattern, handler);
  this->server.Patch(pattern, handler);
  this->server.Delete(pattern, handler);
  this->server.Options(pattern, handler);
}

void ApiServer::ServeRequest(const OrganisationId& aOrganisation,
                             const httplib::Request& aRequest,
                             httplib::Response& aResponse)
{
  const auto target = internal::ParseServiceTarget(aRequest.target);
  const auto view = this->Config();
  const OrganisationConfig* organisation = view->FindOrganisation(aOrganisation);
  const ServiceConfig* service =
    target.has_value() ? view->FindService(aOrganisation, target->service) : nullptr;
  if (organisation == nullptr || !organisation->enabled || service == nullptr) {
    this->Refuse(aResponse, kNotFound, "unknown_service");
    return;
  }
  const auto deadline =
    internal::ParseDeadline(aRequest, service->defaultDeadline, service->maxDeadline);
  if (!deadline.has_value()) {
    this->Refuse(aResponse, kBadRequest, "invalid_deadline");
    return;
  }
  NewRequest request;
  request.id = { this->incarnation, ++this->lastRequest };
  request.organisation = aOrganisation;
  request.service = target->service;
  request.requestClass = service->requestClass;
  request.content = internal::MakeContent(aRequest, target->path, request.id);
  request.deadline = BootClock::now() + *deadline;
  if (aRequest.has_header("Idempotency-Key")) {
    request.idempotencyKey = aRequest.get_header_value("Idempotency-Key");
    request.bodyDigest = Sha256Hex(aRequest.method + " " + aRequest.target + "\n" + aRequest.body);
  }
  aResponse.set_header("Oriolespread-Request-Id", ToString(request.id));
  bool taken = false;
  const auto answer = internal::Await<FinalResponse>(*deadline + kAnswerGrace, [&](auto aDone) {
    taken = this->requests.Submit(std::move(request), std::move(aDone));
  });
  if (!taken) {
    this->Refuse(aResponse, kUnavailable, "ring_full");
  } else if (answer.has_value()) {
    internal::SetAnswer(aResponse, *answer);
  } else {
    this->LoseAnswer(aResponse);
  }
}

// ---- Jobs ----

void ApiServer::AddJobRoutes()
{
  this->server.Post(
    "/v1/jobs",
    this->ForOrganisation([this](const auto& aOrganisation, const auto& aRequest, auto& aResponse) {
      this->ServeSubmit(aOrganisation, aRequest, aResponse);
    }));
  const char* pattern = "/v1/jobs/([A-Za-z0-9._-]+)";
  this->server.Get(
    pattern,
    this->ForOrganisation([this](const auto& aOrganisation, const auto& aRequest, auto& aResponse) {
      this->ServeShowJob(aOrganisation, aRequest, aResponse);
    }));
  this->server.Delete(
    pattern,
    this->ForOrganisation([this](const auto& aOrganisation, const auto& aRequest, auto& aResponse) {
      this->ServeCancel(aOrganisation, aRequest, aResponse);
    }));
  this->server.Get("/internal/v1/jobs/([A-Za-z0-9._-]+)/([A-Za-z0-9._-]+)",
                   this->ForPeer([this](const auto& aRequest, auto& aResponse) {
                     this->ServePeerJob(aRequest, aResponse);
                   }));
}

void ApiServer::ServeSubmit(const OrganisationId& aOrganisation,
                            const httplib::Request& aRequest,
                            httplib::Response& aResponse)
{
  Findings findings;
  std::optional<JobSpec> spec = ParseJobSpec(aRequest.body, "job", findings);
  if (!spec.has_value()) {
    this->counters.Add("api_refused_total", "invalid_job");
    internal::SetFindings(aResponse, "invalid_job", findings);
    return;
  }
  const auto view = this->Config();
  const QuotaConfig* quota = view->FindQuota(spec->team);
  if (!spec->team.Value().empty() &&
      (quota == nullptr ||
       std::find(quota->organisations.begin(), quota->organisations.end(), aOrganisation) ==
         quota->organisations.end())) {
    findings.Add({ "job", 0, 0, "$.team" },
                 "is not a team of this organisation",
                 "a team whose quota names the organisation");
    this->counters.Add("api_refused_total", "invalid_job");
    internal::SetFindings(aResponse, "invalid_job", findings);
    return;
  }
  const std::string name = spec->job.Value();
  spec->organisation = aOrganisation;
  spec->job = internal::ScopedJobId(aOrganisation, name);
  const JobAnswer answer =
    AwaitJob([&](auto aDone) { this->control.SubmitJob(*std::move(spec), std::move(aDone)); });
  internal::SetJobAnswer(aResponse, answer, name);
  if (answer.status == JobAnswerStatus::Ok) {
    aResponse.status = kAccepted;
  }
}

void ApiServer::ServeShowJob(const OrganisationId& aOrganisation,
                             const httplib::Request& aRequest,
                             httplib::Response& aResponse)
{
  const std::string name = aRequest.matches[1];
  JobAnswer answer = AwaitJob([&](auto aDone) {
    this->control.ShowJob(
      internal::ScopedJobId(aOrganisation, name), aOrganisation, std::move(aDone));
  });
  if (answer.status == JobAnswerStatus::Elsewhere) {
    answer = internal::AskPeer(answer.owner, this->peerToken, aOrganisation, name);
  }
  internal::SetJobAnswer(aResponse, answer, name);
}

void ApiServer::ServePeerJob(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const OrganisationId organisation{ aRequest.matches[1] };
  const std::string name = aRequest.matches[2];
  JobAnswer answer = AwaitJob([&](auto aDone) {
    this->control.ShowJob(
      internal::ScopedJobId(organisation, name), organisation, std::move(aDone));
  });
  if (answer.status == JobAnswerStatus::Elsewhere) {
    // The shard has just moved; the caller asks again.
    answer.status = JobAnswerStatus::NoOwner;
  }
  internal::SetJobAnswer(aResponse, answer, name);
}

void ApiServer::ServeCancel(const OrganisationId& aOrganisation,
                            const httplib::Request& aRequest,
                            httplib::Response& aResponse)
{
  const std::string name = aRequest.matches[1];
  const auto tasks = internal::ParseTaskList(aRequest.get_param_value("tasks"));
  if (!tasks.has_value()) {
    this->Refuse(aResponse, kBadRequest, "invalid_tasks");
    return;
  }
  CancelRequest request;
  request.job = internal::ScopedJobId(aOrganisation, name);
  request.tasks = *tasks;
  request.id = "cancel-" + Sha256Hex(name + "/" + aRequest.get_param_value("tasks"));
  const JobAnswer answer =
    AwaitJob([&](auto aDone) { this->control.CancelJob(std::move(request), std::move(aDone)); });
  internal::SetJobAnswer(aResponse, answer, name);
  if (answer.status == JobAnswerStatus::Ok) {
    aResponse.status = kAccepted;
  }
}

// ---- Tickets ----

void ApiServer::AddTicketRoutes()
{
  this->server.Post("/v1/tickets", this->ForOperator([this](const auto& aRequest, auto& aResponse) {
    this->ServeTicket(aRequest, aResponse);
  }));
  this->server.Get("/v1/tickets", this->ForOperator([this](const auto& aRequest, auto& aResponse) {
    this->ServeTicketLog(aRequest, aResponse);
  }));
  this->server.Get("/v1/state", this->ForOperator([this](const auto& aRequest, auto& aResponse) {
    this->ServeState(aRequest, aResponse);
  }));
  this->server.Post("/internal/v1/ticket-number",
                    this->ForPeer([this](const auto& aRequest, auto& aResponse) {
                      const auto number = internal::ParseNumber(aRequest.body);
                      if (number.has_value()) {
                        this->control.OnTicketNumber(TicketNumber{ *number });
                      }
                      aResponse.set_content("{}", kJson);
                    }));
}

void ApiServer::ServeTicket(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  Findings findings;
  auto ticket = ChangeTicket::Parse(aRequest.body, findings);
  if (!ticket.has_value()) {
    this->counters.Add("api_refused_total", "invalid_ticket");
    internal::SetFindings(aResponse, "invalid_ticket", findings);
    return;
  }
  SubmitAnswer lost;
  lost.ticket = ticket->id;
  const SubmitAnswer answer = internal::Await<SubmitAnswer>(kControlLimit, [&](auto aDone) {
                                this->control.SubmitTicket(*std::move(ticket), std::move(aDone));
                              }).value_or(lost);
  internal::SetTicketAnswer(aResponse, answer);
  if (answer.outcome == SubmitOutcome::Accepted) {
    this->NotifyPeers(answer.number);
  }
}

void ApiServer::ServeTicketLog(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const auto after = internal::ParseNumber(aRequest.get_param_value("after")).value_or(0);
  const auto limit = internal::ParseNumber(aRequest.get_param_value("limit")).value_or(100);
  const auto answer = internal::Await<LogAnswer>(kControlLimit, [&](auto aDone) {
    this->control.ReadTickets(
      TicketNumber{ after }, std::min<std::uint64_t>(limit, kMaxLogPage), std::move(aDone));
  });
  internal::SetLogAnswer(aResponse,
                         answer.value_or(LogAnswer{ 0, absl::UnavailableError("no answer") }));
}

void ApiServer::ServeState(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const auto number = internal::ParseNumber(aRequest.get_param_value("number"));
  if (!number.has_value()) {
    internal::SetState(aResponse, *this->Config());
    return;
  }
  const auto answer = internal::Await<StateAnswer>(kControlLimit, [&](auto aDone) {
    this->control.ReplayState(TicketNumber{ *number }, std::move(aDone));
  });
  internal::SetStateAnswer(aResponse,
                           answer.value_or(StateAnswer{ 0, absl::UnavailableError("no answer") }));
}

void ApiServer::NotifyPeers(TicketNumber aNumber)
{
  // Runs after the answer's content is set; peers that are missed find the number by polling.
  for (const std::string& address : this->control.PeerAddresses()) {
    internal::TellPeer(address, this->peerToken, aNumber);
  }
}

// ---- Status ----

void ApiServer::AddStatusRoutes()
{
  this->server.Get("/healthz", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  this->server.Get("/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
    const bool isReady = this->ready.load() && this->control.IsReady();
    aResponse.status = isReady ? 200 : kUnavailable;
    aResponse.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
  });
  this->server.Get("/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
    this->ServeMetrics(aResponse);
  });
  this->server.Get("/v1/status",
                   this->ForOperator([this](const httplib::Request&, httplib::Response& aResponse) {
                     this->ServeStatus(aResponse);
                   }));
}

void ApiServer::ServeMetrics(httplib::Response& aResponse)
{
  const std::map<std::string, double> gauges = {
    { "requests_in_progress", static_cast<double>(this->requests.InProgress()) },
    { "links", static_cast<double>(this->requests.Links()) },
    { "ticket_number", static_cast<double>(this->control.Status().ticket.Value()) },
  };
  const std::map<std::string, const LatencyHistogram*> histograms = {
    { "request", &this->requests.Latency() },
  };
  aResponse.set_content(MetricsText(this->counters, gauges, histograms),
                        "text/plain; version=0.0.4");
}

void ApiServer::ServeStatus(httplib::Response& aResponse)
{
  const ControlStatus status = this->control.Status();
  nlohmann::ordered_json body;
  body["entry"] = this->settings.entry.id.Value();
  body["data_centre"] = this->settings.entry.dataCentre.Value();
  body["ready"] = this->ready.load() && status.ready;
  body["ticket"] = status.ticket.Value();
  body["store_reachable"] = status.storeReachable;
  body["links"] = this->requests.Links();
  body["requests_in_progress"] = this->requests.InProgress();
  nlohmann::ordered_json shards = nlohmann::ordered_json::array();
  for (const ShardStatus& shard : status.shards) {
    shards.push_back({ { "shard", shard.shard.Value() },
                       { "role", std::string(ToString(shard.role)) },
                       { "epoch", shard.epoch.Value() },
                       { "owner", shard.owner.Value() } });
  }
  body["shards"] = shards;
  aResponse.set_content(body.dump(), kJson);
}

} // namespace oriolespread
