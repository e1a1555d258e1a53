#include "oriolespread/http/HttpServer.h"

#include "ServerCore.h"

namespace oriolespread {

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Create(asio::io_context& aContext,
                                                               const std::string& aAddress,
                                                               std::uint16_t aPort,
                                                               HttpServerLimits aLimits,
                                                               Handler aHandler,
                                                               Counters& aCounters)
{
  auto core = std::make_shared<internal::ServerCore>(
    aContext, std::move(aLimits), std::move(aHandler), aCounters);
  if (const absl::Status status = core->Listen(aAddress, aPort); !status.ok()) {
    return status;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

HttpServer::HttpServer(std::shared_ptr<internal::ServerCore> aCore)
  : core(std::move(aCore))
{
}

HttpServer::~HttpServer()
{
  this->core->Close();
}

std::uint16_t HttpServer::Port() const
{
  return this->core->Port();
}

void HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  this->core->limits = aLimits;
  this->core->limits.budget = this->core->budget;
}

void HttpServer::Drain()
{
  this->core->draining = true;
}

void HttpServer::StopAccepting()
{
  this->core->StopAccepting();
}

void HttpServer::RespondToAll(const HttpResponse& aResponse)
{
  this->core->RespondToAll(aResponse);
}

std::size_t HttpServer::OpenConnections() const
{
  return this->core->OpenConnections();
}

std::size_t HttpServer::InFlight() const
{
  return this->core->inFlight;
}

} // namespace oriolespread
