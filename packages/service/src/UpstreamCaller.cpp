#include "oriolespread/service/UpstreamCaller.h"

#include "absl/strings/ascii.h"

#include "oriolespread/platform/HttpError.h"

#include <algorithm>
#include <utility>

namespace oriolespread {

namespace {

// A connect that meets a full queue of the upstream is repeated by the system after 1 s.
constexpr std::chrono::microseconds kConnectTimeout = std::chrono::milliseconds(1500);
constexpr Duration kMinTimeout = std::chrono::milliseconds(1);

bool MayLackBody(const std::string& aMethod, int aStatus)
{
  return aMethod == "HEAD" || aStatus == 204 || aStatus == 304 || (aStatus >= 100 && aStatus < 200);
}

bool IsWhole(const CallRequest& aRequest, const httplib::Response& aResponse)
{
  if (MayLackBody(aRequest.method, aResponse.status) || aResponse.has_header("Transfer-Encoding")) {
    return true;
  }
  // The library has checked that the body has the declared length.
  return aResponse.has_header("Content-Length");
}

CallAnswer ToAnswer(const httplib::Response& aResponse)
{
  CallAnswer answer;
  answer.status = aResponse.status;
  for (const auto& [name, value] : aResponse.headers) {
    const std::string lower = absl::AsciiStrToLower(name);
    const bool perConnection = lower == "connection" || lower == "keep-alive" ||
                               lower == "transfer-encoding" || lower == "content-length";
    if (!perConnection) {
      answer.headers.push_back({ lower, value });
    }
  }
  answer.body = aResponse.body;
  return answer;
}

} // namespace

httplib::Client& UpstreamClients::For(const SocketAddress& aAddress)
{
  std::unique_ptr<httplib::Client>& client = this->clients[ToString(aAddress)];
  if (client == nullptr) {
    client = std::make_unique<httplib::Client>(aAddress.ip, aAddress.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    client->set_url_encode(false);
    client->set_follow_location(false);
  }
  return *client;
}

UpstreamCaller::UpstreamCaller(std::size_t aThreads)
  : pool(aThreads, aThreads, [] { return UpstreamClients(); })
{
}

bool UpstreamCaller::Call(const SocketAddress& aAddress, CallRequest aRequest, Done aDone)
{
  return this->pool.TryRun(
    [aAddress, request = std::move(aRequest), done = std::move(aDone)](UpstreamClients& aClients) {
      done(CallUpstream(aClients.For(aAddress), request));
    });
}

UpstreamResult CallUpstream(httplib::Client& aClient, const CallRequest& aRequest)
{
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  for (const HeaderField& header : aRequest.headers) {
    request.headers.emplace(header.name, header.value);
  }
  request.body = aRequest.body;
  const auto timeout = std::chrono::duration_cast<std::chrono::microseconds>(
    std::max(aRequest.deadlineLeft, kMinTimeout));
  aClient.set_connection_timeout(std::min(timeout, kConnectTimeout));
  aClient.set_read_timeout(timeout);
  aClient.set_write_timeout(timeout);
  const httplib::Result result = aClient.send(request);
  if (!result) {
    return { SurelyNotSent(result.error()) ? UpstreamEnd::NotConnected : UpstreamEnd::Failed, {} };
  }
  if (!IsWhole(aRequest, *result)) {
    return { UpstreamEnd::Failed, {} };
  }
  return { UpstreamEnd::Answered, ToAnswer(*result) };
}

} // namespace oriolespread
