#include "ServerConnection.h"

#include "absl/strings/str_cat.h"

#include <asio/write.hpp>
#include <sys/socket.h>

namespace oriolespread::internal {

namespace http = boost::beast::http;

ServerConnection::ServerConnection(std::shared_ptr<ServerCore> aCore, asio::ip::tcp::socket aSocket)
  : core(std::move(aCore))
  , socket(std::move(aSocket))
  , timer(this->core->context)
{
}

void ServerConnection::Start()
{
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->BeginRequest();
}

void ServerConnection::Close()
{
  if (this->closing) {
    return;
  }
  this->closing = true;
  if (this->handling) {
    this->handling = false;
    --this->core->inFlight;
    this->core->counters.Add("http_requests_abandoned_total", "connection_lost");
  }
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
  this->receiving = false;
  this->ArmTimer(this->core->limits.idleTimeout);
  if (!this->input.empty() && !this->Parse()) {
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
  if (this->closing) {
    return;
  }
  if (aError) {
    this->Close();
    return;
  }
  this->input.append(this->chunk.data(), aSize);
  if (this->Parse()) {
    this->ReadUnlessComplete();
  }
}

bool ServerConnection::Parse()
{
  if (!this->receiving) {
    this->receiving = true;
    this->ArmTimer(this->core->limits.readTimeout);
  }
  boost::system::error_code error;
  while (!this->input.empty() && !this->parser->is_done()) {
    const std::size_t used =
      this->parser->put(boost::asio::const_buffer(this->input.data(), this->input.size()), error);
    this->input.erase(0, used);
    if (error == http::error::need_more || (!error && used == 0)) {
      return true;
    }
    if (error) {
      this->Refuse(error == http::error::header_limit ? kHttpHeadersTooLarge
                   : error == http::error::body_limit ? kHttpTooLarge
                                                      : kHttpBadRequest);
      return false;
    }
  }
  if (this->parser->is_done()) {
    this->HandleRequest();
  }
  return !this->closing;
}

void ServerConnection::HandleRequest()
{
  this->timer.cancel();
  this->handling = true;
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
  this->core->handler(request,
                      [self = this->shared_from_this(), id](const HttpResponse& aResponse) {
                        self->Reply(id, aResponse);
                      });
}

void ServerConnection::Reply(std::uint64_t aRequest, const HttpResponse& aResponse)
{
  if (!this->handling || aRequest != this->request) {
    return;
  }
  this->handling = false;
  --this->core->inFlight;
  this->Write(aResponse, this->core->draining || !this->parser->get().keep_alive());
}

void ServerConnection::Refuse(int aStatus)
{
  this->core->counters.Add("http_requests_refused_total", absl::StrCat(aStatus));
  this->Write({ aStatus, {}, {} }, true);
}

void ServerConnection::Write(const HttpResponse& aResponse, bool aClose)
{
  if (this->closing) {
    return;
  }
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
  this->ArmTimer(this->core->limits.readTimeout);
  asio::async_write(
    this->socket,
    asio::buffer(this->output),
    [self = this->shared_from_this(), aClose](asio::error_code aError, std::size_t /*aSize*/) {
      if (self->closing) {
        return;
      }
      if (aError || aClose) {
        self->Close();
        return;
      }
      self->BeginRequest();
    });
}

void ServerConnection::ArmTimer(Duration aTimeout)
{
  this->timer.expires_after(aTimeout);
  this->timer.async_wait([weak = this->weak_from_this()](asio::error_code aError) {
    const auto self = weak.lock();
    if (!aError && self != nullptr && !self->handling) {
      self->Close();
    }
  });
}

} // namespace oriolespread::internal
