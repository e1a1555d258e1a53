// The agent's side of one link: dials one entry, again after each loss, and receives its calls.
//
//   auto dialer = LinkDialer::Create(context, options, handlers, counters);
//
// Everything runs on the one thread that runs the io_context; no member may be used from another.
// Handlers run from the loop, never inside a member of this class, and must not throw. They may use
// every member and may destroy the dialer.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/link/LinkLimits.h"
#include "oriolespread/link/LinkTypes.h"
#include "oriolespread/link/Responder.h"
#include "oriolespread/messages/MessageCodec.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriolespread {

namespace internal {
class DialerCore;
}

struct LinkDialerOptions
{
  AgentId agent;
  DataCentreId dataCentre;
  // IP address and port of the entry's LinkListener.
  std::string address;
  std::uint16_t port = 0;
  // When not empty, an entry with another id is refused.
  EntryId expectedEntry;
  // As in LinkListenerOptions.
  std::string sharedKey;
  Duration connectTimeout = std::chrono::seconds(2);
  // The wait before attempt n is uniform in [w/2, w] with w = backoffMin x 2^n up to backoffMax; it
  // starts anew after a link that was up.
  Duration backoffMin = std::chrono::milliseconds(100);
  Duration backoffMax = std::chrono::seconds(5);
  // Seed of the jitter; must differ between agents so that they do not reconnect in step.
  std::uint64_t seed = 1;
  LinkLimits limits;
};

struct LinkDialerHandlers
{
  // The entry proved that it holds the shared key.
  std::function<void(const EntryId&, const DataCentreId&)> up;
  // The link of an earlier `up` is gone; the dialer dials again unless it is closed or drained.
  std::function<void(std::string_view aReason)> down;
  std::function<void(const LinkMessage&)> message;
  // A whole request arrived. Every copy of the responder released without an answer ends the call
  // as Unknown at the entry.
  std::function<void(CallRequest, std::shared_ptr<Responder>)> call;
};

class LinkDialer
{
public:
  // Dials from now on. Both references must outlive the dialer.
  static absl::StatusOr<std::unique_ptr<LinkDialer>> Create(asio::io_context& aContext,
                                                            LinkDialerOptions aOptions,
                                                            LinkDialerHandlers aHandlers,
                                                            Counters& aCounters);
  // Closes without calling any handler.
  ~LinkDialer();
  LinkDialer(const LinkDialer&) = delete;
  LinkDialer& operator=(const LinkDialer&) = delete;

  // As LinkListener::Send.
  bool Send(const LinkMessage& aMessage);
  bool IsUp() const;

  // Takes no further calls (the entry learns that they were not run), lets calls in flight finish,
  // then closes for good. `down` runs with "drained" at the end, if the link was up.
  void Drain();

  // Closes at once and dials no more. Calls in flight are cancelled.
  void Close();

private:
  explicit LinkDialer(std::shared_ptr<internal::DialerCore> aCore);

  std::shared_ptr<internal::DialerCore> core;
};

} // namespace oriolespread
