#include "DialerCore.h"

#include "absl/strings/str_cat.h"

#include <asio/ip/address.hpp>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace oriolespread::internal {

DialerCore::DialerCore(asio::io_context& aContext,
                       LinkDialerOptions aOptions,
                       LinkDialerHandlers aHandlers,
                       Counters& aCounters)
  : options(std::move(aOptions))
  , handlers(std::move(aHandlers))
  , counters(aCounters)
  , socket(aContext)
  , timer(aContext)
  , random(this->options.seed)
{
}

absl::Status DialerCore::Start()
{
  asio::error_code error;
  const auto address = asio::ip::make_address(this->options.address, error);
  if (error || this->options.port == 0) {
    return absl::InvalidArgumentError(absl::StrCat(
      "'", this->options.address, ":", this->options.port, "' is not an IP address and port"));
  }
  this->endpoint = { address, this->options.port };
  this->Dial();
  return absl::OkStatus();
}

void DialerCore::Dial()
{
  this->timer.expires_after(this->options.connectTimeout);
  this->timer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError && !self->stopped && self->link == nullptr) {
      // The pending connect ends with an error.
      asio::error_code ignored;
      self->socket.close(ignored);
    }
  });
  this->socket.async_connect(this->endpoint,
                             [self = this->shared_from_this()](asio::error_code aError) {
                               if (!self->stopped) {
                                 self->OnConnected(aError);
                               }
                             });
}

void DialerCore::OnConnected(asio::error_code aError)
{
  this->timer.cancel();
  // A connect that completed while the time-out ran leaves a closed socket without an error.
  if (!aError && this->socket.is_open() && this->RenewSocket()) {
    this->StartLink();
    return;
  }
  this->counters.Add("link_dial_failed_total",
                     aError == asio::error::operation_aborted || !aError ? "connect_timeout"
                                                                         : "connect_failed");
  this->DialLater();
}

// Asio keeps a socket that connected registered for output, so that each wait for input also wakes
// the loop for output. A new registration of the same socket ends that.
bool DialerCore::RenewSocket()
{
  asio::error_code error;
  const auto handle = this->socket.release(error);
  if (error) {
    return false;
  }
  this->socket = asio::ip::tcp::socket(this->timer.get_executor());
  this->socket.assign(this->endpoint.protocol(), handle, error);
  if (error) {
    ::close(handle);
    return false;
  }
  return true;
}

void DialerCore::StartLink()
{
  Hello own{ Role::Agent, this->options.agent.Value(), this->options.dataCentre.Value(), {} };
  const auto callHandler = [weak = this->weak_from_this()](CallRequest aRequest,
                                                           std::shared_ptr<Responder> aResponder) {
    const auto self = weak.lock();
    if (self != nullptr && self->handlers.call) {
      self->handlers.call(std::move(aRequest), std::move(aResponder));
    } else {
      aResponder->Refuse("no_call_handler");
    }
  };
  this->link = std::make_shared<AgentLink>(std::move(this->socket),
                                           std::move(own),
                                           this->options.sharedKey,
                                           this->options.expectedEntry.Value(),
                                           this->options.limits,
                                           this->LinkHandlers(),
                                           callHandler,
                                           this->counters);
  this->link->Start();
}

Connection::Handlers DialerCore::LinkHandlers()
{
  Connection::Handlers result;
  result.up = [weak = this->weak_from_this()](const Hello& aPeer) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    self->failures = 0;
    if (self->handlers.up) {
      self->handlers.up(EntryId{ aPeer.id }, DataCentreId{ aPeer.dataCentre });
    }
  };
  result.message = [weak = this->weak_from_this()](const LinkMessage& aMessage) {
    if (const auto self = weak.lock(); self != nullptr && self->handlers.message) {
      self->handlers.message(aMessage);
    }
  };
  result.down = [weak = this->weak_from_this()](std::string_view aReason, bool aWasUp) {
    if (const auto self = weak.lock(); self != nullptr) {
      self->OnDown(aReason, aWasUp);
    }
  };
  return result;
}

void DialerCore::OnDown(std::string_view aReason, bool aWasUp)
{
  this->link = nullptr;
  if (!this->stopped) {
    this->DialLater();
  }
  if (aWasUp && this->handlers.down) {
    this->handlers.down(aReason);
  }
}

void DialerCore::DialLater()
{
  // 2^16 x any sensible backoffMin is above backoffMax, and the shift cannot overflow.
  const std::uint32_t doublings = std::min<std::uint32_t>(this->failures, 16);
  const Duration whole = std::min<Duration>(
    this->options.backoffMin * (std::int64_t{ 1 } << doublings), this->options.backoffMax);
  ++this->failures;
  this->timer.expires_after(this->random.Between(whole / 2, whole));
  this->timer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError && !self->stopped) {
      self->socket = asio::ip::tcp::socket(self->timer.get_executor());
      self->Dial();
    }
  });
}

bool DialerCore::Send(const LinkMessage& aMessage)
{
  if (this->link == nullptr) {
    this->counters.Add("link_messages_refused_total", "not_up");
    return false;
  }
  return this->link->SendMessage(aMessage);
}

void DialerCore::Stop()
{
  this->stopped = true;
  this->timer.cancel();
  asio::error_code ignored;
  this->socket.close(ignored);
}

void DialerCore::Drain()
{
  this->Stop();
  if (this->link != nullptr) {
    this->link->Drain();
  }
}

void DialerCore::Close()
{
  this->Stop();
  if (this->link != nullptr) {
    this->link->Close("closed_here");
  }
}

void DialerCore::Abandon()
{
  const auto target = std::exchange(this->link, nullptr);
  if (target != nullptr) {
    target->Detach();
    target->Close("closed_here");
    target->Detach();
  }
  this->Stop();
}

} // namespace oriolespread::internal
