// An HTTP/1.1 client on one event loop, with a bounded pool of kept connections for one address.
//
//   auto client = HttpClient::Create(context, "127.0.0.1:8080", {}, counters);
//   (*client)->Call(request, std::chrono::seconds(1), [](const HttpResult& aResult) { ... });
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/http/HttpTypes.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolespread {

namespace internal {
class ClientCore;
}

enum class HttpEnd
{
  // A whole response arrived.
  Answered,
  // The server certainly did not get the request: it could not be connected to.
  NotSent,
  // As NotSent, and the address answered that nothing listens there.
  Refused,
  // Anything else: the request may have been handled, or may be later.
  Unknown,
};

struct HttpResult
{
  HttpEnd end = HttpEnd::Unknown;
  // Set for Answered only.
  HttpResponse response;
  // Set for all other ends.
  std::string reason;

  bool IsAnswer(int aStatus) const
  {
    return this->end == HttpEnd::Answered && this->response.status == aStatus;
  }
};

struct HttpClientLimits
{
  // Further calls wait for a connection; their time-out runs meanwhile.
  std::size_t connections = 16;
  std::size_t waitingCalls = 4096;
  std::uint64_t bodyBytes = std::uint64_t{ 16 } << 20U;
  // A kept connection that was not used for this long is closed instead of used again, since it may
  // have gone silent.
  Duration idleTimeout = std::chrono::seconds(10);
};

class HttpClient
{
public:
  using Callback = std::function<void(const HttpResult&)>;

  // `aAddress` is IP:PORT. The references must outlive the client.
  static absl::StatusOr<std::unique_ptr<HttpClient>> Create(asio::io_context& aContext,
                                                            const std::string& aAddress,
                                                            HttpClientLimits aLimits,
                                                            Counters& aCounters);
  // Drops all callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The callback runs exactly once from the loop, unless the client is destroyed first.
  void Call(HttpRequest aRequest, Duration aTimeout, Callback aCallback);

private:
  explicit HttpClient(std::shared_ptr<internal::ClientCore> aCore);

  std::shared_ptr<internal::ClientCore> core;
};

} // namespace oriolespread
