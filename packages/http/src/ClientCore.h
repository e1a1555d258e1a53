// State of an HttpClient: the calls that wait and the connections that run one call each.
#pragma once

#include "oriolespread/http/HttpClient.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <vector>

namespace oriolespread::internal {

class ClientConnection;

struct ClientCall
{
  ClientCall(asio::io_context& aContext, HttpRequest aRequest, HttpClient::Callback aCallback)
    : request(std::move(aRequest))
    , callback(std::move(aCallback))
    , timer(aContext)
  {
  }

  // Runs the callback unless it ran before.
  void Finish(const HttpResult& aResult);

  HttpRequest request;
  HttpClient::Callback callback;
  asio::steady_timer timer;
  std::weak_ptr<ClientConnection> connection;
};

class ClientCore : public std::enable_shared_from_this<ClientCore>
{
public:
  ClientCore(asio::io_context& aContext,
             asio::ip::tcp::endpoint aEndpoint,
             HttpClientLimits aLimits,
             Counters& aCounters);

  void Call(HttpRequest aRequest, Duration aTimeout, HttpClient::Callback aCallback);
  void Close();
  // A connection became free, or is gone when `aReusable` is false.
  void Release(const std::shared_ptr<ClientConnection>& aConnection, bool aReusable);

  asio::io_context& context;
  const asio::ip::tcp::endpoint endpoint;
  const HttpClientLimits limits;
  Counters& counters;

private:
  void Assign();
  void OnTimeout(const std::shared_ptr<ClientCall>& aCall);
  std::shared_ptr<ClientConnection> TakeIdle();

  bool closed = false;
  std::deque<std::shared_ptr<ClientCall>> waiting;
  std::vector<std::shared_ptr<ClientConnection>> idle;
  std::vector<std::shared_ptr<ClientConnection>> busy;
};

} // namespace oriolespread::internal
