// One HTTP/2 connection over a socket: reading, writing, the control stream, the handshake, PING
// and closing. The derived classes add the calls of the entry (client) and of the agent (server).
//
// Lives on the loop thread. Held by shared_ptr; pending socket operations keep it alive until they
// have run. What concerns the owner is put in a queue and delivered outside of nghttp2's callbacks,
// so that handlers may use every member.
#pragma once

#include "ControlChannel.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/link/LinkLimits.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriolespread::internal {

constexpr std::int32_t kControlStream = 1;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  struct Handlers
  {
    std::function<void(const Hello& aPeer)> up;
    // `aWasUp` tells whether `up` ran.
    std::function<void(std::string_view aReason, bool aWasUp)> down;
    std::function<void(const LinkMessage&)> message;
  };

  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Begins to read and write; call once.
  void Start();
  // Queues a message; returns false and counts when it cannot be sent.
  bool SendMessage(const LinkMessage& aMessage);
  // Closes the socket; `down` is delivered from the loop. Only the first call has an effect.
  void Close(std::string_view aReason);
  // Drops all handlers and everything that waits for delivery.
  void Detach();
  bool IsUp() const { return !this->closed && this->channel.IsUp(); }
  bool IsClosed() const { return this->closed; }

protected:
  Connection(asio::ip::tcp::socket aSocket,
             Hello aOwn,
             std::string aKey,
             std::string aExpectedPeer,
             const LinkLimits& aLimits,
             Handlers aHandlers,
             Counters& aCounters);

  // Events of streams other than the control stream; run inside nghttp2's callbacks.
  virtual void OnBeginHeaders(std::int32_t aStream) = 0;
  virtual void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) = 0;
  virtual void OnData(std::int32_t aStream, std::string_view aBytes) = 0;
  virtual void OnEndStream(std::int32_t aStream) = 0;
  virtual void OnReset(std::int32_t aStream, std::uint32_t aCode) = 0;
  virtual void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) = 0;
  // Copies body bytes to send and sets `aEnd` with the last ones.
  virtual std::size_t ReadBody(std::int32_t aStream,
                               std::uint8_t* aTarget,
                               std::size_t aSize,
                               bool& aEnd) = 0;
  // The request headers of a stream take their place in the output at this offset.
  virtual void OnRequestPlaced(std::int32_t /*aStream*/, std::uint64_t /*aOffset*/) {}
  // Headers arrive, also for a stream that is closed and gets no further event.
  virtual void OnHeadersFrame(std::int32_t /*aStream*/) {}
  virtual void OnHeadersSent(std::int32_t /*aStream*/) {}
  virtual void OnGoaway(std::int32_t /*aLastStream*/) {}
  // The socket is closed; ends everything that is in flight.
  virtual void OnClosed(std::string_view aReason) = 0;

  // Runs `aDelivery` outside of nghttp2's callbacks, in the order of the calls.
  void Deliver(std::function<void()> aDelivery);
  // Writes what nghttp2 has to send, soon; call after each nghttp2_submit function.
  void ScheduleFlush();
  // Makes the connection close with this reason once nghttp2 has returned.
  void Fail(std::string_view aReason);
  // Makes a close by the peer count as this reason.
  void ExpectClose(std::string_view aReason) { this->finalReason = aReason; }
  // Ends the output after all that is pending, then waits for the peer to close.
  void CloseAfterOutput(std::string_view aReason);
  nghttp2_session* Session() { return this->session; }
  const LinkLimits& Limits() const { return this->limits; }
  Counters& Count() { return this->counters; }
  asio::any_io_executor Executor() { return this->socket.get_executor(); }
  // The link's own headers and the prefixes of the caller's headers come on top of the limit.
  static std::size_t MaxHeaderBytes(const LinkLimits& aLimits)
  {
    return 2 * aLimits.headerBytes + 1024;
  }
  // Bytes that the socket has taken.
  std::uint64_t WrittenBytes() const { return this->written; }
  static nghttp2_data_provider BodyProvider();

private:
  friend struct SessionCallbacks;

  bool CreateSession();
  void SubmitSettings();
  void ArmHandshakeTimer();
  void ArmPingTimer(Duration aWait);
  void OnPingTimer();
  void ArmRead();
  void OnReadable();
  void ReceiveBytes(std::string_view aBytes);
  void Flush();
  bool Refill();
  void AwaitWritable();
  void FinishOutput();
  void DeliverAll();
  void ScheduleDelivery();
  void OnControlData(std::string_view aBytes);

  asio::ip::tcp::socket socket;
  asio::steady_timer handshakeTimer;
  asio::steady_timer pingTimer;
  bool isServer;
  ControlChannel channel;
  LinkLimits limits;
  // Shared, so that a handler that is running outlives Detach.
  std::shared_ptr<const Handlers> handlers;
  Counters& counters;
  nghttp2_session* session = nullptr;
  std::string output;
  std::size_t outputOffset = 0;
  std::uint64_t produced = 0;
  std::uint64_t written = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedAtPing = 0;
  Instant pingSent;
  bool pingPending = false;
  bool flushScheduled = false;
  bool deliveryScheduled = false;
  bool awaitingWritable = false;
  bool insideNghttp2 = false;
  bool outputEnded = false;
  bool closed = false;
  std::string failure;
  // The output is to end after what is pending.
  bool endAfterOutput = false;
  // Reason to report when the peer closes; empty for a close without notice.
  std::string finalReason;
  std::deque<std::function<void()>> deliveries;
};

} // namespace oriolespread::internal
