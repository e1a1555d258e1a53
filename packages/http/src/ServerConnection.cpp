#include "ServerConnection.h"

#include "absl/strings/str_cat.h"

#include <asio/write.hpp>
#include <sys/socket.h>

#include <algorithm>

namespace oriolespread::internal {

namespace http = boost::beast::http;

namespace {

// How long a connection waits for its peer to close it after the last answer.
constexpr Duration kLingerTime = std::chrono::milliseconds(1000);
// How long an idle connection is kept after the server has stopped accepting, for a request that is
// on its way.
constexpr Duration kLastRequestTime = std::chrono::milliseconds(100);
// A peer makes progress by completing a header or a request, or by this many bytes. Fewer bytes do
// not keep a connection from being closed in favour of another one.
constexpr std::uint64_t kProgressBytes = 4096;
// The parser's tables, the timer, the descriptor's state in the event loop and allocator overhead.
constexpr std::uint64_t kConnectionOverhead = 2048;
// How often the rate of a body is checked after its grace time.
constexpr Duration kRateCheckInterval = std::chrono::milliseconds(500);
// Seconds after which a refused request may be sent again. Memory is free again as soon as stalled
// connections have been closed.
constexpr const char* kRetryAfterSeconds = "1";

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerCore> aCore, asio::ip::tcp::socket aSocket)
  : core(std::move(aCore))
  , socket(std::move(aSocket))
  , timer(this->core->context)
  // The account ends with the connection. A release may end the connection, which is kept until
  // then.
  , account(this->core->budget, [this] {
    const auto self = this->shared_from_this();
    self->Release();
  })
{
}

std::string_view ServerConnection::Reserve()
{
  const Instant now = BootClock::now();
  if (!this->account.TryOpen(now)) {
    return "descriptors";
  }
  return this->account.TryHold(this->AllocatedBytes(), now) ? "" : "memory";
}

void ServerConnection::Start()
{
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->BeginRequest();
}

void ServerConnection::Close()
{
  if (this->state == State::Closed) {
    return;
  }
  if (this->state == State::Handling) {
    --this->core->inFlight;
    this->core->counters.Add("http_requests_abandoned_total", "connection_lost");
  }
  this->state = State::Closed;
  this->DropRequest();
  std::string().swap(this->output);
  this->handedBytes = 0;
  this->account.Close();
  asio::error_code ignored;
  this->timer.cancel();
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  this->core->Forget(this->shared_from_this());
}

void ServerConnection::BeginRequest()
{
  this->parser.emplace();
  this->parser->header_limit(this->core->limits.headerBytes);
  this->parser->body_limit(this->core->limits.bodyBytes);
  this->parser->eager(true);
  this->state = State::Idle;
  std::string().swap(this->output);
  this->receivedBytes = 0;
  this->markedBytes = 0;
  this->headReceived = false;
  this->MarkProgress();
  this->account.SetReleasable(true);
  this->account.Hold(this->AllocatedBytes());
  this->ArmTimer(this->core->accepting ? this->core->limits.idleTimeout : kLastRequestTime);
  if (!this->input.IsEmpty() && !this->Parse()) {
    return;
  }
  this->ReadUnlessComplete();
}

void ServerConnection::ReadUnlessComplete()
{
  // A handler may have replied already. The next read then begins when the reply is written, as two
  // reads at once would overwrite each other's bytes.
  if (!this->parser->is_done()) {
    this->Read();
  }
}

void ServerConnection::Read()
{
  this->socket.async_read_some(
    asio::buffer(this->chunk),
    [self = this->shared_from_this()](asio::error_code aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void ServerConnection::OnRead(asio::error_code aError, std::size_t aSize)
{
  if (this->state != State::Idle && this->state != State::Receiving) {
    // The request was refused while the read was under way. The end of the answer closes the
    // connection.
    return;
  }
  if (aError) {
    this->Close();
    return;
  }
  this->input.Append({ this->chunk.data(), aSize });
  if (this->Parse()) {
    this->ReadUnlessComplete();
  }
}

bool ServerConnection::Parse()
{
  if (this->state == State::Idle) {
    this->state = State::Receiving;
    this->requestBeganAt = BootClock::now();
    const Duration grace = this->core->limits.bodyGrace;
    this->ArmTimer(grace > Duration::zero() ? std::min(grace, this->core->limits.readTimeout)
                                            : this->core->limits.readTimeout);
  }
  boost::system::error_code error;
  while (!this->input.IsEmpty() && !this->parser->is_done()) {
    const std::string_view bytes = this->input.Bytes();
    const std::size_t used =
      this->parser->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    this->input.Take(used);
    this->receivedBytes += used;
    if (error == http::error::need_more || (!error && used == 0)) {
      return this->Account();
    }
    if (error) {
      this->Refuse(error == http::error::header_limit ? kHttpHeadersTooLarge
                   : error == http::error::body_limit ? kHttpTooLarge
                                                      : kHttpBadRequest);
      return false;
    }
  }
  if (!this->parser->is_done()) {
    return this->Account();
  }
  // The request is complete. It is refused for lack of memory before its handler has seen it.
  if (!this->Account()) {
    return false;
  }
  this->HandleRequest();
  return this->state != State::Closed;
}

void ServerConnection::HandleRequest()
{
  this->timer.cancel();
  this->state = State::Handling;
  ++this->core->inFlight;
  const std::uint64_t id = ++this->request;
  HttpRequest request;
  auto& message = this->parser->get();
  const auto method = message.method_string();
  request.method.assign(method.data(), method.size());
  const auto target = message.target();
  request.target.assign(target.data(), target.size());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers.push_back(
      { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
  }
  request.body = std::move(message.body());
  std::string().swap(message.body());
  this->handedBytes = request.body.capacity();
  this->account.SetReleasable(false);
  this->account.Hold(this->AllocatedBytes());
  try {
    this->core->handler(request,
                        [self = this->shared_from_this(), id](const HttpResponse& aResponse) {
                          self->Reply(id, aResponse);
                        });
  } catch (...) {
    // What the handler has done is not known, as with a request that is not answered in time.
    this->core->counters.Add("http_requests_abandoned_total", "handler_failed");
    this->Reply(id, { kHttpGatewayTimeout, {}, {} });
    throw;
  }
}

void ServerConnection::Reply(std::uint64_t aRequest, const HttpResponse& aResponse)
{
  if (this->state != State::Handling || aRequest != this->request) {
    return;
  }
  --this->core->inFlight;
  const bool peerRequestsClose = !this->parser->get().keep_alive();
  // Requests that the peer has sent without awaiting this answer are answered first.
  const bool draining = this->core->draining && this->input.IsEmpty();
  this->Write(aResponse, peerRequestsClose || draining, !peerRequestsClose);
}

void ServerConnection::Refuse(int aStatus)
{
  this->core->counters.Add("http_requests_refused_total", absl::StrCat(aStatus));
  this->DropRequest();
  HttpResponse response{ aStatus, {}, {} };
  if (aStatus == kHttpUnavailable) {
    response.headers.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  this->Write(response, true, true);
}

void ServerConnection::Release()
{
  this->core->budget->Notify("released");
  if (this->state == State::Receiving) {
    this->core->counters.Add("http_connections_released_total", "receiving");
    this->Refuse(kHttpUnavailable);
    return;
  }
  this->core->counters.Add("http_connections_released_total",
                           this->state == State::Idle ? "idle" : "answered");
  if (this->state == State::Writing) {
    this->core->counters.Add("http_answers_lost_total", "not_read");
  }
  this->Close();
}

bool ServerConnection::Account()
{
  if (this->parser->is_header_done() && !this->headReceived) {
    this->headReceived = true;
    this->MarkProgress();
  } else if (this->parser->is_done() || this->receivedBytes - this->markedBytes >= kProgressBytes) {
    this->MarkProgress();
  }
  if (this->account.TryHold(this->AllocatedBytes(), BootClock::now())) {
    return true;
  }
  this->core->budget->Notify("memory");
  this->Refuse(kHttpUnavailable);
  return false;
}

std::uint64_t ServerConnection::AllocatedBytes() const
{
  std::uint64_t bytes = sizeof(ServerConnection) + kConnectionOverhead + this->input.Capacity() +
                        this->output.capacity() + this->handedBytes;
  if (this->parser.has_value()) {
    // Fields are held once by the parser and once more by the request of a handler.
    const std::uint64_t fields = this->core->limits.headerBytes;
    bytes += this->parser->get().body().capacity() + std::min(this->receivedBytes, fields);
  }
  return bytes;
}

void ServerConnection::MarkProgress()
{
  this->markedBytes = this->receivedBytes;
  this->account.MarkProgress(BootClock::now());
}

void ServerConnection::DropRequest()
{
  this->input.Release();
  this->parser.reset();
}

void ServerConnection::CheckBodyRate()
{
  const HttpServerLimits& limits = this->core->limits;
  const Duration age = BootClock::now() - this->requestBeganAt;
  const double expected =
    static_cast<double>(limits.bodyBytesPerSecond) * std::chrono::duration<double>(age).count();
  if (age >= limits.readTimeout || static_cast<double>(this->receivedBytes) < expected) {
    this->core->budget->Notify("too_slow");
    this->Refuse(kHttpRequestTimeout);
    return;
  }
  this->ArmTimer(std::min(kRateCheckInterval, limits.readTimeout - age));
}

void ServerConnection::Write(const HttpResponse& aResponse, bool aClose, bool aLinger)
{
  this->state = State::Writing;
  const auto reason = http::obsolete_reason(static_cast<http::status>(aResponse.status));
  this->output = absl::StrCat("HTTP/1.1 ",
                              aResponse.status,
                              " ",
                              std::string(reason),
                              "\r\nContent-Length: ",
                              aResponse.body.size(),
                              "\r\n");
  for (const HttpHeader& header : aResponse.headers) {
    absl::StrAppend(&this->output, header.name, ": ", header.value, "\r\n");
  }
  if (aClose) {
    absl::StrAppend(&this->output, "Connection: close\r\n");
  }
  absl::StrAppend(&this->output, "\r\n", aResponse.body);
  this->handedBytes = 0;
  this->MarkProgress();
  this->account.SetReleasable(true);
  this->account.Hold(this->AllocatedBytes());
  this->ArmTimer(this->core->limits.readTimeout);
  asio::async_write(this->socket,
                    asio::buffer(this->output),
                    [self = this->shared_from_this(), aClose, aLinger](asio::error_code aError,
                                                                       std::size_t /*aSize*/) {
                      if (self->state == State::Closed) {
                        return;
                      }
                      if (aError) {
                        self->core->counters.Add("http_answers_lost_total", aError.message());
                        self->Close();
                      } else if (!aClose) {
                        self->BeginRequest();
                      } else if (aLinger || self->UnreadBytes() > 0) {
                        self->Linger();
                      } else {
                        self->Close();
                      }
                    });
}

void ServerConnection::Linger()
{
  this->state = State::Lingering;
  this->DropRequest();
  std::string().swap(this->output);
  this->account.Hold(this->AllocatedBytes());
  asio::error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) {
    this->Close();
    return;
  }
  this->ArmTimer(kLingerTime);
  this->Discard();
}

void ServerConnection::Discard()
{
  this->socket.async_read_some(
    asio::buffer(this->chunk),
    [self = this->shared_from_this()](asio::error_code aError, std::size_t /*aSize*/) {
      if (self->state != State::Lingering) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->Discard();
    });
}

void ServerConnection::GiveUp(const HttpResponse& aResponse)
{
  if (this->state == State::Handling) {
    this->core->counters.Add("http_requests_abandoned_total", "given_up");
    this->Reply(this->request, aResponse);
  }
}

void ServerConnection::CloseSoonIfIdle()
{
  if (this->state == State::Idle) {
    this->ArmTimer(kLastRequestTime);
  }
}

std::size_t ServerConnection::UnreadBytes() const
{
  asio::error_code ignored;
  return this->socket.available(ignored);
}

void ServerConnection::OnTimeout()
{
  if (this->state == State::Handling || this->state == State::Closed) {
    return;
  }
  // Without limits the connection is closed without an answer, as before there were any.
  if (this->state == State::Receiving &&
      (this->core->budget->IsLimited() || this->core->limits.bodyGrace > Duration::zero())) {
    this->CheckBodyRate();
    return;
  }
  if (this->state == State::Writing) {
    this->core->counters.Add("http_answers_lost_total", "not_read");
  }
  this->Close();
}

void ServerConnection::ArmTimer(Duration aTimeout)
{
  this->timer.expires_after(aTimeout);
  this->timer.async_wait([weak = this->weak_from_this()](asio::error_code aError) {
    const auto self = weak.lock();
    // A wait that has ended is not cancelled by arming the timer again.
    if (!aError && self != nullptr && self->timer.expiry() <= std::chrono::steady_clock::now()) {
      self->OnTimeout();
    }
  });
}

} // namespace oriolespread::internal
