// State of a LinkListener. Shared, so that handlers which destroy the listener return into live
// objects.
#pragma once

#include "EntryLink.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/link/LinkListener.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string_view>

namespace oriolespread::internal {

class ListenerCore : public std::enable_shared_from_this<ListenerCore>
{
public:
  using Callback = EntryLink::Callback;

  ListenerCore(asio::io_context& aContext,
               LinkListenerOptions aOptions,
               LinkListenerHandlers aHandlers,
               Counters& aCounters);

  absl::Status Listen();
  std::uint16_t Port() const { return this->port; }
  bool Send(LinkId aLink, const LinkMessage& aMessage);
  CallId StartCall(LinkId aLink, const CallRequest& aRequest, Callback aCallback);
  void CancelCall(CallId aCall);
  void CloseLink(LinkId aLink);
  void Close();
  // Closes and drops all handlers and callbacks.
  void Abandon();

private:
  void Accept();
  void OnAccepted(asio::error_code aError, asio::ip::tcp::socket aSocket);
  void AddLink(asio::ip::tcp::socket aSocket);
  Connection::Handlers LinkHandlers(LinkId aLink);
  void OnDown(LinkId aLink, std::string_view aReason, bool aWasUp);
  std::shared_ptr<EntryLink> Find(LinkId aLink) const;
  void DeliverRefusal(CallId aCall, Callback aCallback, std::string_view aReason);

  asio::io_context& context;
  LinkListenerOptions options;
  LinkListenerHandlers handlers;
  Counters& counters;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  std::uint16_t port = 0;
  std::uint64_t lastLink = 0;
  std::uint64_t lastCall = 0;
  bool closed = false;
  absl::flat_hash_map<LinkId, std::shared_ptr<EntryLink>> links;
  // Calls whose callback is still to run, and their link.
  absl::flat_hash_map<CallId, LinkId> calls;
};

} // namespace oriolespread::internal
