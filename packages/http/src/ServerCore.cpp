#include "ServerCore.h"

#include "ServerConnection.h"
#include "absl/strings/str_cat.h"

namespace oriolespread::internal {

namespace {

// The pause after a failed accept, so that a lack of descriptors does not keep the loop busy.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

} // namespace

ServerCore::ServerCore(asio::io_context& aContext,
                       HttpServerLimits aLimits,
                       HttpServer::Handler aHandler,
                       Counters& aCounters)
  : context(aContext)
  , limits(std::move(aLimits))
  , budget(this->limits.budget != nullptr ? this->limits.budget : std::make_shared<MemoryBudget>())
  , handler(std::move(aHandler))
  , counters(aCounters)
  , acceptor(aContext)
  , acceptTimer(aContext)
{
}

absl::Status ServerCore::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(aAddress, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat("not an IP address: ", aAddress));
  }
  const asio::ip::tcp::endpoint endpoint(address, aPort);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError(
      absl::StrCat("cannot listen on ", aAddress, ":", aPort, ": ", error.message()));
  }
  this->port = this->acceptor.local_endpoint().port();
  this->Accept();
  return absl::OkStatus();
}

void ServerCore::Accept()
{
  this->acceptor.async_accept(
    [self = this->shared_from_this()](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (self->closed) {
        return;
      }
      if (!self->accepting) {
        if (!aError) {
          self->Add(std::move(aSocket));
        }
        return;
      }
      if (aError) {
        self->counters.Add("http_accept_failed_total", aError.message());
        self->acceptTimer.expires_after(kAcceptPause);
        self->acceptTimer.async_wait([self](asio::error_code aTimerError) {
          if (!aTimerError && !self->closed && self->accepting) {
            self->Accept();
          }
        });
        return;
      }
      self->Add(std::move(aSocket));
      self->Accept();
    });
}

void ServerCore::Add(asio::ip::tcp::socket aSocket)
{
  if (this->connections.size() >= this->limits.connections) {
    this->counters.Add("http_connections_refused_total", "too_many");
    this->budget->Notify("too_many");
    return;
  }
  auto connection =
    std::make_shared<ServerConnection>(this->shared_from_this(), std::move(aSocket));
  if (const std::string_view reason = connection->Reserve(); !reason.empty()) {
    this->counters.Add("http_connections_refused_total", reason);
    this->budget->Notify(reason);
    return;
  }
  this->connections.insert(connection);
  connection->Start();
}

void ServerCore::StopAccepting()
{
  if (this->closed || !this->accepting) {
    return;
  }
  this->accepting = false;
  this->draining = true;
  this->acceptTimer.cancel();
  asio::error_code error;
  // Connections that the kernel has established would be reset, with the requests on them.
  this->acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->Add(std::move(socket));
    }
  }
  if (error != asio::error::would_block && error != asio::error::try_again) {
    this->counters.Add("http_accept_failed_total", error.message());
  }
  this->acceptor.close(error);
  for (const auto& connection : this->connections) {
    connection->CloseSoonIfIdle();
  }
}

void ServerCore::RespondToAll(const HttpResponse& aResponse)
{
  // An answer may end its connection.
  const auto open = this->connections;
  for (const auto& connection : open) {
    connection->GiveUp(aResponse);
  }
}

void ServerCore::Close()
{
  this->closed = true;
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->acceptTimer.cancel();
  this->handler = nullptr;
  const auto open = std::move(this->connections);
  this->connections.clear();
  for (const auto& connection : open) {
    connection->Close();
  }
}

void ServerCore::Forget(const std::shared_ptr<ServerConnection>& aConnection)
{
  this->connections.erase(aConnection);
}

} // namespace oriolespread::internal
