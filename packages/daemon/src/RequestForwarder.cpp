#include "RequestForwarder.h"

#include "oriolespread/platformwire/CallerMessages.h"

#include <algorithm>

namespace oriolespread::daemon {

namespace {

// The time for which one entry is waited for. It commits within a tenth of it unless the store is
// slow.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(900);
// With less time left, a request is not passed on any more.
constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(100);

// Returns whether the status tells the caller what became of the request. Other entries answer 404
// if their configuration is older, and 503 if the store does not serve them either.
bool IsFinal(int aStatus)
{
  return aStatus == kHttpOk || aStatus == kHttpGone || aStatus == kHttpBadRequest;
}

} // namespace

RequestForwarder::RequestForwarder(asio::io_context& aContext, Counters& aCounters)
  : context(aContext)
  , counters(aCounters)
  , selector(cluster::PeerSettings{})
{
}

void RequestForwarder::SetPeers(const std::set<std::string>& aAddresses)
{
  this->selector.SetPeers(aAddresses);
}

void RequestForwarder::Forward(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->request = aRequest;
  attempt->deadline = aDeadline;
  attempt->callback = std::move(aCallback);
  this->AskNext(attempt);
}

void RequestForwarder::AskNext(const AttemptPtr& aAttempt)
{
  const Instant now = BootClock::now();
  const Duration timeout = std::min(kPeerTimeout, aAttempt->deadline - now);
  const std::optional<std::string> address =
    timeout < kMinPeerTimeout ? std::nullopt : this->selector.Choose(aAttempt->tried, now);
  HttpClient* client = address.has_value() ? this->ClientFor(*address) : nullptr;
  if (client == nullptr) {
    aAttempt->callback(aAttempt->result);
    return;
  }
  aAttempt->tried.insert(*address);
  HttpRequest request = aAttempt->request;
  // The other headers describe the caller's connection.
  request.headers = { { "Host", std::string(FindHeader(aAttempt->request.headers, "Host")) },
                      { "Content-Type", "application/json" },
                      { platformwire::kTimeoutHeader, std::to_string(ToMilliseconds(timeout)) } };
  client->Call(
    std::move(request), timeout, [this, aAttempt, address = *address](const HttpResult& aResult) {
      this->OnAnswer(aAttempt, address, aResult);
    });
}

void RequestForwarder::OnAnswer(const AttemptPtr& aAttempt,
                                const std::string& aAddress,
                                const HttpResult& aResult)
{
  const bool answered = aResult.end == HttpEnd::Answered;
  if (answered && IsFinal(aResult.response.status)) {
    this->selector.OnServed(aAddress);
    this->counters.Add("requests_forwarded_total", "served");
    aAttempt->result.response = aResult.response;
    aAttempt->callback(aAttempt->result);
    return;
  }
  this->selector.OnFailed(aAddress, BootClock::now());
  this->counters.Add("requests_forwarded_total",
                     answered ? std::string_view("not_served") : std::string_view(aResult.reason));
  const bool surelyNotApplied =
    answered ? aResult.response.status != kHttpGatewayTimeout
             : aResult.end == HttpEnd::NotSent || aResult.end == HttpEnd::Refused;
  aAttempt->result.maybeApplied |= !surelyNotApplied;
  this->AskNext(aAttempt);
}

HttpClient* RequestForwarder::ClientFor(const std::string& aAddress)
{
  std::unique_ptr<HttpClient>& client = this->clients[aAddress];
  if (client == nullptr) {
    auto created = HttpClient::Create(this->context, aAddress, {}, this->counters);
    if (!created.ok()) {
      this->counters.Add("requests_forwarded_total", "invalid_address");
      return nullptr;
    }
    client = *std::move(created);
  }
  return client.get();
}

} // namespace oriolespread::daemon
