#include "PlainCaller.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>

namespace oriolespread::soak {

const char* PlainEndName(PlainEnd aEnd)
{
  switch (aEnd) {
    case PlainEnd::Answered:
      return "answered";
    case PlainEnd::NotConnected:
      return "not connected";
    case PlainEnd::NotSent:
      return "not sent";
    case PlainEnd::Closed:
      return "EOF";
    case PlainEnd::Reset:
      return "ECONNRESET";
    case PlainEnd::Silent:
      return "silent";
  }
  return "unknown";
}

PlainCaller::PlainCaller(asio::io_context& aContext)
  : socket(aContext)
  , timer(aContext)
{
}

void PlainCaller::Call(const asio::ip::tcp::endpoint& aServer,
                       std::string aRequest,
                       Duration aLimit,
                       Callback aCallback)
{
  const std::uint64_t present = ++this->call;
  this->request = std::move(aRequest);
  this->callback = std::move(aCallback);
  this->exchange = {};
  this->head.clear();
  this->inBody = false;
  this->bodyBytes = 0;
  this->serverCloses = false;
  this->timer.expires_after(aLimit);
  this->timer.async_wait([this, present](asio::error_code aError) {
    if (!aError && present == this->call) {
      this->Finish(PlainEnd::Silent, "no answer within the limit");
    }
  });
  if (this->IsUsable(aServer)) {
    this->exchange.kept = true;
    this->Send();
    return;
  }
  asio::error_code ignored;
  this->socket.close(ignored);
  this->connected = false;
  this->server = aServer;
  this->socket.async_connect(aServer, [this, present](asio::error_code aError) {
    if (present != this->call) {
      return;
    }
    if (aError) {
      this->Finish(PlainEnd::NotConnected, aError.message());
      return;
    }
    asio::error_code optionError;
    this->socket.set_option(asio::ip::tcp::no_delay(true), optionError);
    this->connected = true;
    this->Send();
  });
}

bool PlainCaller::IsUsable(const asio::ip::tcp::endpoint& aServer)
{
  if (!this->connected || aServer != this->server) {
    return false;
  }
  char byte = 0;
  const ssize_t size =
    ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); // NOLINT
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void PlainCaller::Send()
{
  // Requests are far smaller than the buffer of a socket, so that the write does not block.
  asio::error_code error;
  asio::write(this->socket, asio::buffer(this->request), error);
  if (error) {
    // Reported from the loop, as Call must return before its callback runs.
    asio::post(this->socket.get_executor(), [this, present = this->call, error] {
      if (present == this->call) {
        this->Finish(PlainEnd::NotSent, error.message());
      }
    });
    return;
  }
  this->exchange.sentAt = BootClock::now();
  this->Read();
}

void PlainCaller::Read()
{
  this->socket.async_read_some(
    asio::buffer(this->chunk),
    [this, present = this->call](asio::error_code aError, std::size_t aSize) {
      if (present != this->call) {
        return;
      }
      if (aError) {
        this->Finish(aError == asio::error::eof ? PlainEnd::Closed : PlainEnd::Reset,
                     aError.message());
        return;
      }
      this->OnBytes(aSize);
    });
}

void PlainCaller::OnBytes(std::size_t aSize)
{
  if (this->exchange.received == 0) {
    this->exchange.firstByteAt = BootClock::now();
  }
  for (std::size_t index = 0; index < aSize; ++index) {
    ++this->exchange.received;
    if (this->TakeByte(this->chunk[index])) {
      this->exchange.excess = aSize - index - 1;
      this->Finish(PlainEnd::Answered, {});
      return;
    }
  }
  this->Read();
}

bool PlainCaller::TakeByte(char aByte)
{
  if (this->inBody) {
    this->exchange.body += aByte;
    return this->exchange.body.size() == this->bodyBytes;
  }
  this->head += aByte;
  if (!this->head.ends_with("\r\n\r\n")) {
    return false;
  }
  this->ParseHead();
  this->inBody = true;
  return this->bodyBytes == 0;
}

void PlainCaller::ParseHead()
{
  std::string lower = this->head;
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  if (const std::size_t space = lower.find(' '); space != std::string::npos) {
    this->exchange.status = std::atoi(lower.c_str() + space + 1); // NOLINT
  }
  constexpr std::string_view kLength = "\r\ncontent-length:";
  if (const std::size_t length = lower.find(kLength); length != std::string::npos) {
    this->bodyBytes = std::strtoull(lower.c_str() + length + kLength.size(), nullptr, 10);
  }
  this->serverCloses = lower.find("\r\nconnection: close\r\n") != std::string::npos;
}

void PlainCaller::Finish(PlainEnd aEnd, const std::string& aError)
{
  ++this->call;
  this->timer.cancel();
  this->exchange.end = aEnd;
  this->exchange.error = aError;
  this->exchange.endedAt = BootClock::now();
  if (aEnd != PlainEnd::Answered || this->serverCloses || this->exchange.excess > 0) {
    asio::error_code ignored;
    this->socket.close(ignored);
    this->connected = false;
  }
  const Callback done = std::move(this->callback);
  this->callback = nullptr;
  done(this->exchange);
}

} // namespace oriolespread::soak
