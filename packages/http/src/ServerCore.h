// State of an HttpServer, shared with its connections.
#pragma once

#include "oriolespread/http/HttpServer.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <set>

namespace oriolespread::internal {

class ServerConnection;

class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
  ServerCore(asio::io_context& aContext,
             HttpServerLimits aLimits,
             HttpServer::Handler aHandler,
             Counters& aCounters);

  absl::Status Listen(const std::string& aAddress, std::uint16_t aPort);
  std::uint16_t Port() const { return this->port; }
  void Close();
  void StopAccepting();
  void RespondToAll(const HttpResponse& aResponse);
  std::size_t OpenConnections() const { return this->connections.size(); }
  void Forget(const std::shared_ptr<ServerConnection>& aConnection);

  asio::io_context& context;
  HttpServerLimits limits;
  // Never null.
  std::shared_ptr<MemoryBudget> budget;
  HttpServer::Handler handler;
  Counters& counters;
  bool draining = false;
  bool accepting = true;
  std::size_t inFlight = 0;

private:
  void Accept();
  void Add(asio::ip::tcp::socket aSocket);

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  std::uint16_t port = 0;
  bool closed = false;
  std::set<std::shared_ptr<ServerConnection>> connections;
};

} // namespace oriolespread::internal
