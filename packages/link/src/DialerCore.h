// State of a LinkDialer. Shared, so that handlers which destroy the dialer return into live
// objects.
#pragma once

#include "AgentLink.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/link/LinkDialer.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string_view>

namespace oriolespread::internal {

class DialerCore : public std::enable_shared_from_this<DialerCore>
{
public:
  DialerCore(asio::io_context& aContext,
             LinkDialerOptions aOptions,
             LinkDialerHandlers aHandlers,
             Counters& aCounters);

  absl::Status Start();
  bool Send(const LinkMessage& aMessage);
  bool IsUp() const { return this->link != nullptr && this->link->IsUp(); }
  void Drain();
  void Close();
  // Closes and drops all handlers.
  void Abandon();

private:
  void Dial();
  void OnConnected(asio::error_code aError);
  bool RenewSocket();
  void StartLink();
  Connection::Handlers LinkHandlers();
  void OnDown(std::string_view aReason, bool aWasUp);
  void DialLater();
  // Dials no more.
  void Stop();

  LinkDialerOptions options;
  LinkDialerHandlers handlers;
  Counters& counters;
  asio::ip::tcp::endpoint endpoint;
  asio::ip::tcp::socket socket;
  // Time-out of a connection attempt, then wait before the next.
  asio::steady_timer timer;
  RandomSource random;
  std::uint32_t failures = 0;
  bool stopped = false;
  std::shared_ptr<AgentLink> link;
};

} // namespace oriolespread::internal
