// The entry's side of links: accepts agents, exchanges messages with them and sends them calls.
//
//   auto listener = LinkListener::Create(context, options, handlers, counters);
//   CallId call = (*listener)->StartCall(link, request, [](const CallResult& aResult) { ... });
//
// Everything runs on the one thread that runs the io_context; no member may be used from another.
// Handlers and callbacks run from the loop, never inside a member of this class, and must not
// throw. They may use every member and may destroy the listener.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/link/LinkLimits.h"
#include "oriolespread/link/LinkTypes.h"
#include "oriolespread/messages/MessageCodec.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriolespread {

namespace internal {
class ListenerCore;
}

struct LinkListenerOptions
{
  EntryId entry;
  DataCentreId dataCentre;
  // IP address to listen on.
  std::string address = "127.0.0.1";
  // 0 takes a free port; see LinkListener::Port.
  std::uint16_t port = 0;
  // Shared by all entries and agents; at least kMinKeyBytes.
  std::string sharedKey;
  // Connections, with or without proof; further ones are closed at once and counted.
  std::size_t maxLinks = 8192;
  LinkLimits limits;
};

struct LinkListenerHandlers
{
  // The agent proved that it holds the shared key.
  std::function<void(LinkId, const AgentId&, const DataCentreId&)> up;
  // The link of an earlier `up` is gone; all its calls have had their callback.
  std::function<void(LinkId, std::string_view aReason)> down;
  std::function<void(LinkId, const LinkMessage&)> message;
};

class LinkListener
{
public:
  // Listens from now on. Both references must outlive the listener.
  static absl::StatusOr<std::unique_ptr<LinkListener>> Create(asio::io_context& aContext,
                                                              LinkListenerOptions aOptions,
                                                              LinkListenerHandlers aHandlers,
                                                              Counters& aCounters);
  // Closes without calling any handler or callback.
  ~LinkListener();
  LinkListener(const LinkListener&) = delete;
  LinkListener& operator=(const LinkListener&) = delete;

  std::uint16_t Port() const;

  // Queues a message. Returns false and counts the reason when the link is not up, when the message
  // is too large or when too much output is pending.
  bool Send(LinkId aLink, const LinkMessage& aMessage);

  // Starts a call and always returns a new id. The callback runs exactly once unless CancelCall
  // comes first or the listener is destroyed; also when the call cannot be sent (NotRun).
  CallId StartCall(LinkId aLink,
                   const CallRequest& aRequest,
                   std::function<void(const CallResult&)> aCallback);

  // Ends a call without its callback and tells the agent; unknown ids are ignored. A late answer is
  // dropped and counted.
  void CancelCall(CallId aCall);

  // Closes one link at once; its calls end as NotRun or Unknown, then `down` runs.
  void CloseLink(LinkId aLink);

  // Stops listening and closes all links as CloseLink does.
  void Close();

private:
  explicit LinkListener(std::shared_ptr<internal::ListenerCore> aCore);

  std::shared_ptr<internal::ListenerCore> core;
};

} // namespace oriolespread
