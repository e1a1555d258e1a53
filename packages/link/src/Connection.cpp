#include "Connection.h"

#include "SessionCallbacks.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace oriolespread::internal {

namespace {

// One read moves at most this much, so that one busy link does not hold up the others on the loop.
constexpr std::size_t kReadChunkBytes = std::size_t{ 64 } << 10U;

// A window must not throttle a link with 3.5 ms delay one way, that is 7 ms per round trip. nghttp2
// renews a window when half of it is used, so the rate is at least half of the window per round
// trip: 16 MiB / 7 ms = 2.4 GB/s (19 Gbit/s) for the connection. The stream's window holds a whole
// body of the default limit, so that no body waits for a renewal.
constexpr std::int32_t kConnectionWindow = std::int32_t{ 32 } << 20U;
constexpr std::uint32_t kStreamWindow = std::uint32_t{ 9 } << 20U;

} // namespace

Connection::Connection(asio::ip::tcp::socket aSocket,
                       Hello aOwn,
                       std::string aKey,
                       std::string aExpectedPeer,
                       const LinkLimits& aLimits,
                       Handlers aHandlers,
                       Counters& aCounters)
  : socket(std::move(aSocket))
  , handshakeTimer(this->socket.get_executor())
  , pingTimer(this->socket.get_executor())
  , isServer(aOwn.role == Role::Agent)
  , channel(std::move(aOwn), std::move(aKey), std::move(aExpectedPeer), aLimits)
  , limits(aLimits)
  , handlers(std::make_shared<const Handlers>(std::move(aHandlers)))
  , counters(aCounters)
{
}

Connection::~Connection()
{
  nghttp2_session_del(this->session);
}

void Connection::Start()
{
  this->channel.onUp = [this] {
    this->handshakeTimer.cancel();
    this->Deliver([this] {
      const auto target = this->handlers;
      if (target->up) {
        target->up(this->channel.Peer());
      }
    });
  };
  this->channel.onMessage = [this](LinkMessage aMessage) {
    this->Deliver([this, message = std::move(aMessage)] {
      const auto target = this->handlers;
      if (target->message) {
        target->message(message);
      }
    });
  };
  asio::error_code error;
  this->socket.non_blocking(true, error);
  if (!error) {
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  if (error) {
    this->Close("socket_option_failed");
    return;
  }
  if (!this->CreateSession() || !this->channel.Begin()) {
    this->Close("no_session");
    return;
  }
  this->SubmitSettings();
  this->pingSent = BootClock::now();
  this->ArmHandshakeTimer();
  this->ArmPingTimer(this->limits.pingInterval);
  this->ArmRead();
  this->ScheduleFlush();
}

bool Connection::CreateSession()
{
  nghttp2_session_callbacks* callbacks = SessionCallbacks::Make();
  if (callbacks == nullptr) {
    return false;
  }
  const int result = this->isServer ? nghttp2_session_server_new(&this->session, callbacks, this)
                                    : nghttp2_session_client_new(&this->session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  return result == 0;
}

void Connection::SubmitSettings()
{
  const std::array<nghttp2_settings_entry, 4> settings = { {
    { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    // The control stream counts as one.
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->limits.streams + 1 },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow },
    { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
      static_cast<std::uint32_t>(this->limits.headerBytes * 2) },
  } };
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
  if (this->isServer) {
    return;
  }
  const auto field = [](std::string_view aName, std::string_view aValue) {
    return nghttp2_nv{
      const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(aName.data())),
      const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(aValue.data())),
      aName.size(),
      aValue.size(),
      NGHTTP2_NV_FLAG_NONE
    };
  };
  const std::array<nghttp2_nv, 4> request = { { field(":method", "POST"),
                                                field(":scheme", "http"),
                                                field(":authority", "oriolespread"),
                                                field(":path", "/control") } };
  const nghttp2_data_provider provider = BodyProvider();
  nghttp2_submit_request(
    this->session, nullptr, request.data(), request.size(), &provider, nullptr);
}

nghttp2_data_provider Connection::BodyProvider()
{
  nghttp2_data_provider provider{};
  provider.read_callback = SessionCallbacks::Read;
  return provider;
}

void Connection::ArmHandshakeTimer()
{
  this->handshakeTimer.expires_after(this->limits.handshakeTimeout);
  this->handshakeTimer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError && !self->channel.IsUp()) {
      self->Close("handshake_timeout");
    }
  });
}

void Connection::ArmPingTimer(Duration aWait)
{
  this->pingTimer.expires_after(aWait);
  this->pingTimer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError && !self->closed) {
      self->OnPingTimer();
    }
  });
}

void Connection::OnPingTimer()
{
  const Instant now = BootClock::now();
  if (this->pingPending) {
    asio::error_code ignored;
    // Bytes that wait in the socket count, so that a pause of this process closes no link.
    if (this->received != this->receivedAtPing || this->socket.available(ignored) > 0) {
      this->pingPending = false;
    } else if (now - this->pingSent >= this->limits.pingTimeout) {
      this->Close("ping_timeout");
      return;
    }
  }
  if (!this->pingPending && now - this->pingSent >= this->limits.pingInterval) {
    this->pingPending = true;
    this->pingSent = now;
    this->receivedAtPing = this->received;
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
    this->ScheduleFlush();
  }
  const Duration whole = this->pingPending ? this->limits.pingTimeout : this->limits.pingInterval;
  const Duration left = whole - (now - this->pingSent);
  this->ArmPingTimer(std::max<Duration>(left, std::chrono::milliseconds(1)));
}

void Connection::ArmRead()
{
  this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](asio::error_code aError) {
                            if (!aError && !self->closed) {
                              self->OnReadable();
                            }
                          });
}

void Connection::OnReadable()
{
  // Shared by all links of a loop, so that an idle link holds no read buffer.
  thread_local std::vector<char> sBuffer(kReadChunkBytes);
  asio::error_code error;
  const std::size_t size = this->socket.read_some(asio::buffer(sBuffer), error);
  if (error == asio::error::would_block) {
    this->ArmRead();
    return;
  }
  if (error) {
    const std::string_view eofReason =
      this->finalReason.empty() ? "closed_by_peer" : std::string_view(this->finalReason);
    this->Close(error == asio::error::eof ? eofReason : "read_failed");
    return;
  }
  this->ReceiveBytes({ sBuffer.data(), size });
  if (!this->closed) {
    this->ArmRead();
  }
}

void Connection::ReceiveBytes(std::string_view aBytes)
{
  this->received += aBytes.size();
  if (this->outputEnded) {
    return;
  }
  this->insideNghttp2 = true;
  const ssize_t used = nghttp2_session_mem_recv(
    this->session, reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
  this->insideNghttp2 = false;
  if (!this->failure.empty()) {
    this->Close(this->failure);
  } else if (used < 0) {
    this->Close("protocol_error");
  }
  const auto self = this->shared_from_this();
  // What the handlers submit is written below, so that they need not schedule it.
  const bool scheduledBefore = std::exchange(this->flushScheduled, true);
  try {
    this->DeliverAll();
  } catch (...) {
    // The link goes on. Its peer would close it after a missed ping, but this side may not notice.
    this->flushScheduled = scheduledBefore;
    this->ScheduleFlush();
    if (!this->closed) {
      this->ArmRead();
    }
    throw;
  }
  this->flushScheduled = scheduledBefore;
  this->Flush();
}

void Connection::OnControlData(std::string_view aBytes)
{
  const std::string_view error = this->channel.Receive(aBytes);
  if (!error.empty()) {
    this->Fail(error);
  }
  if (this->channel.PendingBytes() > 0) {
    nghttp2_session_resume_data(this->session, kControlStream);
  }
}

bool Connection::SendMessage(const LinkMessage& aMessage)
{
  if (!this->IsUp() || this->outputEnded) {
    this->counters.Add("link_messages_refused_total", "not_up");
    return false;
  }
  const std::string encoded = EncodeMessage(aMessage);
  if (encoded.size() > this->limits.messageBytes) {
    this->counters.Add("link_messages_refused_total", "too_large");
    return false;
  }
  if (this->channel.PendingBytes() + encoded.size() > this->limits.pendingMessageBytes) {
    this->counters.Add("link_messages_refused_total", "output_full");
    return false;
  }
  this->channel.QueueMessage(encoded);
  nghttp2_session_resume_data(this->session, kControlStream);
  this->ScheduleFlush();
  return true;
}

void Connection::Fail(std::string_view aReason)
{
  if (this->failure.empty()) {
    this->failure = aReason;
  }
}

void Connection::Close(std::string_view aReason)
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  const std::string reason(aReason);
  const bool wasUp = this->channel.IsUp();
  this->handshakeTimer.cancel();
  this->pingTimer.cancel();
  asio::error_code ignored;
  this->socket.close(ignored);
  this->counters.Add(wasUp ? "link_closed_total" : "link_handshake_failed_total", reason);
  this->OnClosed(reason);
  this->Deliver([this, reason, wasUp] {
    const auto target = this->handlers;
    if (target->down) {
      target->down(reason, wasUp);
    }
  });
}

void Connection::Detach()
{
  this->handlers = std::make_shared<const Handlers>();
  this->deliveries.clear();
}

void Connection::Deliver(std::function<void()> aDelivery)
{
  this->deliveries.push_back(std::move(aDelivery));
  if (!this->insideNghttp2) {
    this->ScheduleDelivery();
  }
}

void Connection::ScheduleDelivery()
{
  if (this->deliveryScheduled) {
    return;
  }
  this->deliveryScheduled = true;
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    self->deliveryScheduled = false;
    self->DeliverAll();
  });
}

void Connection::DeliverAll()
{
  const auto self = this->shared_from_this();
  while (!this->deliveries.empty()) {
    const auto delivery = std::move(this->deliveries.front());
    this->deliveries.pop_front();
    try {
      delivery();
    } catch (...) {
      this->ScheduleDelivery();
      throw;
    }
  }
}

} // namespace oriolespread::internal
