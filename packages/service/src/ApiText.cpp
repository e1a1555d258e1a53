#include "ApiText.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace oriolespread::internal {

namespace {

constexpr const char* kJson = "application/json";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Headers that concern one connection only, or that the entry itself sets or consumes.
constexpr std::array<std::string_view, 14> kDroppedHeaders = {
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "remote_addr",
  "remote_port",
};

bool IsDropped(const std::string& aName)
{
  const std::string name = absl::AsciiStrToLower(aName);
  const bool listed =
    std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), name) != kDroppedHeaders.end();
  return listed || name.starts_with("oriolespread-") || name.starts_with("local_");
}

nlohmann::json ToJson(const Findings& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : aFindings.All()) {
    list.push_back({ { "place", finding.place.path },
                     { "line", finding.place.line },
                     { "column", finding.place.column },
                     { "problem", finding.problem },
                     { "expected", finding.expected } });
  }
  return list;
}

std::string Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int StatusOf(SubmitOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmitOutcome::Accepted:
      return 200;
    case SubmitOutcome::Conflict:
    case SubmitOutcome::IdReused:
      return kConflict;
    case SubmitOutcome::Invalid:
      return kBadRequest;
    case SubmitOutcome::StoreUnavailable:
    case SubmitOutcome::Busy:
    case SubmitOutcome::Unknown:
      return kUnavailable;
  }
  return kUnavailable;
}

std::unique_ptr<httplib::Client> MakePeerClient(const std::string& aAddress)
{
  auto client = std::make_unique<httplib::Client>("http://" + aAddress);
  client->set_connection_timeout(std::chrono::milliseconds(300));
  client->set_read_timeout(std::chrono::seconds(2));
  return client;
}

httplib::Headers PeerHeaders(const std::string& aToken)
{
  return { { "Authorization", "Bearer " + aToken } };
}

} // namespace

std::optional<ServiceTarget> ParseServiceTarget(const std::string& aTarget)
{
  if (!aTarget.starts_with(kServicePrefix)) {
    return std::nullopt;
  }
  const std::string rest = aTarget.substr(kServicePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  const std::string name = rest.substr(0, end);
  if (!IsValidName(name)) {
    return std::nullopt;
  }
  std::string path = end == std::string::npos ? "/" : rest.substr(end);
  if (path.front() == '?') {
    path.insert(path.begin(), '/');
  }
  return ServiceTarget{ ServiceName{ name }, std::move(path) };
}

std::optional<Duration> ParseDeadline(const httplib::Request& aRequest,
                                      Duration aDefault,
                                      Duration aMax)
{
  if (!aRequest.has_header("Oriolespread-Deadline-Ms")) {
    return std::min(aDefault, aMax);
  }
  const auto milliseconds = ParseNumber(aRequest.get_header_value("Oriolespread-Deadline-Ms"));
  if (!milliseconds.has_value() || *milliseconds == 0) {
    return std::nullopt;
  }
  // Compared as numbers first, so that a huge one cannot overflow the duration.
  if (*milliseconds > static_cast<std::uint64_t>(ToMilliseconds(aMax))) {
    return aMax;
  }
  return std::chrono::milliseconds(*milliseconds);
}

RequestContentPtr MakeContent(const httplib::Request& aRequest,
                              std::string aPath,
                              const RequestId& aId)
{
  auto content = std::make_shared<RequestContent>();
  content->method = aRequest.method;
  content->path = std::move(aPath);
  for (const auto& [name, value] : aRequest.headers) {
    if (!IsDropped(name)) {
      content->headers.emplace_back(absl::AsciiStrToLower(name), value);
    }
  }
  content->headers.emplace_back("oriolespread-request-id", ToString(aId));
  content->body = aRequest.body;
  return content;
}

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::vector<std::uint32_t>> ParseTaskList(const std::string& aText)
{
  std::vector<std::uint32_t> tasks;
  std::string_view rest = aText;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const auto number = ParseNumber(rest.substr(0, comma));
    if (!number.has_value() || *number > std::numeric_limits<std::uint32_t>::max()) {
      return std::nullopt;
    }
    tasks.push_back(static_cast<std::uint32_t>(*number));
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return tasks;
}

JobId ScopedJobId(const OrganisationId& aOrganisation, const std::string& aName)
{
  return JobId{ aOrganisation.Value() + "~" + aName };
}

void SetFailure(httplib::Response& aResponse,
                int aStatus,
                std::string_view aOutcome,
                std::string_view aReason)
{
  aResponse.status = aStatus;
  aResponse.set_header("Oriolespread-Outcome", std::string(aOutcome));
  aResponse.set_header("Oriolespread-Reason", std::string(aReason));
  if (aStatus == kUnavailable) {
    aResponse.set_header("Retry-After", "1");
  }
  aResponse.set_content(Dump({ { "outcome", aOutcome }, { "reason", aReason } }), kJson);
}

void SetFindings(httplib::Response& aResponse, std::string_view aReason, const Findings& aFindings)
{
  SetFailure(aResponse, kBadRequest, "not_run", aReason);
  aResponse.set_content(
    Dump({ { "outcome", "not_run" }, { "reason", aReason }, { "findings", ToJson(aFindings) } }),
    kJson);
}

void SetAnswer(httplib::Response& aResponse, const FinalResponse& aAnswer)
{
  aResponse.status = aAnswer.response->status;
  std::string contentType = "application/octet-stream";
  for (const auto& [name, value] : aAnswer.response->headers) {
    if (absl::AsciiStrToLower(name) == "content-type") {
      contentType = value;
    } else if (!IsDropped(name) || absl::AsciiStrToLower(name).starts_with("oriolespread-")) {
      aResponse.set_header(name, value);
    }
  }
  aResponse.set_content(aAnswer.response->body, contentType);
}

void SetJobAnswer(httplib::Response& aResponse, const JobAnswer& aAnswer, const std::string& aName)
{
  switch (aAnswer.status) {
    case JobAnswerStatus::Ok: {
      nlohmann::json body = aAnswer.job.is_null() ? nlohmann::json::object() : aAnswer.job;
      body["job"] = aName;
      aResponse.set_content(Dump(body), kJson);
      return;
    }
    case JobAnswerStatus::Exists:
      SetFailure(aResponse, kConflict, "not_run", "job_exists");
      return;
    case JobAnswerStatus::NotFound:
      SetFailure(aResponse, kNotFound, "not_run", "unknown_job");
      return;
    case JobAnswerStatus::Elsewhere:
    case JobAnswerStatus::NoOwner:
      SetFailure(aResponse, kUnavailable, "not_run", "no_shard_owner");
      return;
    case JobAnswerStatus::StoreUnavailable:
      SetFailure(aResponse, kUnavailable, "not_run", "store_unavailable");
      return;
    case JobAnswerStatus::Unknown:
      SetFailure(aResponse, kUnavailable, "unknown", "store_answer_lost");
      return;
    case JobAnswerStatus::Busy:
      SetFailure(aResponse, kUnavailable, "not_run", "ring_full");
      return;
  }
}

void SetTicketAnswer(httplib::Response& aResponse, const SubmitAnswer& aAnswer)
{
  const std::string outcome(ToString(aAnswer.outcome));
  nlohmann::json body = { { "ticket", aAnswer.ticket },
                          { "result", outcome },
                          { "number", aAnswer.number } };
  if (!aAnswer.findings.empty()) {
    body["findings"] = ToJson(aAnswer.findings);
  }
  for (const TicketConflict& conflict : aAnswer.conflicts) {
    body["conflicts"].push_back({ { "key", conflict.key }, { "number", conflict.number } });
  }
  if (aAnswer.outcome != SubmitOutcome::Accepted) {
    const bool unknown = aAnswer.outcome == SubmitOutcome::Unknown;
    SetFailure(aResponse, StatusOf(aAnswer.outcome), unknown ? "unknown" : "not_run", outcome);
  }
  aResponse.set_content(Dump(body), kJson);
}

void SetLogAnswer(httplib::Response& aResponse, const LogAnswer& aAnswer)
{
  if (!aAnswer.tickets.ok()) {
    SetFailure(aResponse, kUnavailable, "not_run", "store_unavailable");
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const NumberedTicket& numbered : *aAnswer.tickets) {
    nlohmann::json item = numbered.ticket.ToJson();
    item["number"] = numbered.number;
    list.push_back(std::move(item));
  }
  aResponse.set_content(Dump({ { "tickets", list } }), kJson);
}

void SetStateAnswer(httplib::Response& aResponse, const StateAnswer& aAnswer)
{
  if (absl::IsOutOfRange(aAnswer.states.status())) {
    SetFailure(aResponse, kNotFound, "not_run", "unknown_number");
    return;
  }
  if (!aAnswer.states.ok()) {
    SetFailure(aResponse, kUnavailable, "not_run", "store_unavailable");
    return;
  }
  aResponse.set_content(Dump({ { "states", *aAnswer.states } }), kJson);
}

void SetState(httplib::Response& aResponse, const ConfigView& aView)
{
  const TicketUpdate whole = aView.WholeState();
  aResponse.set_content(Dump({ { "number", whole.number }, { "states", whole.states } }), kJson);
}

JobAnswer AskPeer(const std::string& aAddress,
                  const std::string& aToken,
                  const OrganisationId& aOrganisation,
                  const std::string& aName)
{
  const auto client = MakePeerClient(aAddress);
  const auto result = client->Get(
    absl::StrCat("/internal/v1/jobs/", aOrganisation.Value(), "/", aName), PeerHeaders(aToken));
  if (!result || result->status == kUnavailable) {
    return { JobAnswerStatus::NoOwner, nullptr, {} };
  }
  if (result->status == kNotFound) {
    return { JobAnswerStatus::NotFound, nullptr, {} };
  }
  nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
  if (result->status != 200 || !body.is_object()) {
    return { JobAnswerStatus::NoOwner, nullptr, {} };
  }
  return { JobAnswerStatus::Ok, std::move(body), {} };
}

void TellPeer(const std::string& aAddress, const std::string& aToken, TicketNumber aNumber)
{
  const auto client = MakePeerClient(aAddress);
  client->Post("/internal/v1/ticket-number",
               PeerHeaders(aToken),
               std::to_string(aNumber.Value()),
               "text/plain");
}

} // namespace oriolespread::internal
