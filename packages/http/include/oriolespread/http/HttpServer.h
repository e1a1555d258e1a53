// An HTTP/1.1 server on one event loop. Connections are served one request at a time; answers may
// be given later, from the loop thread.
//
//   auto server = HttpServer::Create(context, "127.0.0.1", 8080, {}, handler, counters);
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/http/HttpTypes.h"
#include "oriolespread/http/MemoryBudget.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolespread {

namespace internal {
class ServerCore;
}

struct HttpServerLimits
{
  std::uint32_t headerBytes = 16384;
  std::uint64_t bodyBytes = 262144;
  // From the first byte of a request to its last header, and from there to the end of its body.
  Duration readTimeout = std::chrono::seconds(3);
  // A connection without a request is closed after this time.
  Duration idleTimeout = std::chrono::seconds(60);
  std::size_t connections = 2000;
  // A request must have arrived at this mean rate once this time has passed since the first byte of
  // its request. A grace time of zero means `readTimeout`, so that no request that is complete in
  // time is refused.
  std::uint64_t bodyBytesPerSecond = 1024;
  Duration bodyGrace = Duration::zero();
  // Shared by the servers of a process; null for no limit. Taken at creation only.
  std::shared_ptr<MemoryBudget> budget = nullptr;
};

class HttpServer
{
public:
  // Sends the response; calls after the first are ignored. Safe after the connection is gone.
  using Reply = std::function<void(HttpResponse)>;
  // A request whose handler throws without having replied is answered with 504. The exception
  // reaches the event loop.
  using Handler = std::function<void(const HttpRequest&, Reply)>;

  // Listens from now on; port 0 takes a free one. The references must outlive the server.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(asio::io_context& aContext,
                                                            const std::string& aAddress,
                                                            std::uint16_t aPort,
                                                            HttpServerLimits aLimits,
                                                            Handler aHandler,
                                                            Counters& aCounters);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const;

  // Takes effect for requests that begin later. The budget stays as it is.
  void SetLimits(const HttpServerLimits& aLimits);

  // Closes each connection after its next response, or after those to the requests that were read
  // together; connections are still accepted.
  void Drain();

  // Drains, takes the connections that are already established, accepts no more, and closes those
  // on which no request has begun to arrive. Requests that have begun are read and answered.
  void StopAccepting();

  // Answers all requests that are handled, in place of their handlers, whose replies are then
  // ignored. For a process that ends.
  void RespondToAll(const HttpResponse& aResponse);

  // Returns the number of connections that are not closed by both sides. Once the event loop has
  // run after StopAccepting, none is added.
  std::size_t OpenConnections() const;

  // Returns how many requests have been read and not answered.
  std::size_t InFlight() const;

private:
  explicit HttpServer(std::shared_ptr<internal::ServerCore> aCore);

  std::shared_ptr<internal::ServerCore> core;
};

} // namespace oriolespread
