#include "ClientConnection.h"

#include "absl/strings/str_cat.h"

#include <asio/write.hpp>
#include <netinet/tcp.h>

namespace oriolespread::internal {

namespace http = boost::beast::http;

namespace {

// Unacknowledged bytes close the connection after this time, so that a peer without power or behind
// a partition does not hold it.
constexpr int kUserTimeoutMs = 5000;

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<ClientCore> aCore)
  : core(std::move(aCore))
  , socket(this->core->context)
{
}

void ClientConnection::Run(std::shared_ptr<ClientCall> aCall)
{
  this->call = std::move(aCall);
  this->sent = false;
  if (this->socket.is_open()) {
    this->Send();
  } else {
    this->Connect();
  }
}

void ClientConnection::Connect()
{
  this->core->counters.Add("http_connections_opened_total", "client");
  this->socket.async_connect(
    this->core->endpoint, [self = this->shared_from_this()](asio::error_code aError) {
      if (self->closed) {
        return;
      }
      if (aError) {
        const bool refused = aError == asio::error::connection_refused;
        self->Fail(refused ? HttpEnd::Refused : HttpEnd::NotSent, aError.message());
        return;
      }
      asio::error_code ignored;
      self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs),
        ignored);
      self->Send();
    });
}

void ClientConnection::Send()
{
  const HttpRequest& request = this->call->request;
  this->output = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    absl::StrAppend(&this->output,
                    "Host: ",
                    this->core->endpoint.address().to_string(),
                    ":",
                    this->core->endpoint.port(),
                    "\r\n");
  }
  for (const HttpHeader& header : request.headers) {
    absl::StrAppend(&this->output, header.name, ": ", header.value, "\r\n");
  }
  if (!request.body.empty() || request.method != "GET") {
    absl::StrAppend(&this->output, "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&this->output, "\r\n", request.body);
  this->input.clear();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(this->core->limits.bodyBytes);
  this->sent = true;
  asio::async_write(
    this->socket,
    asio::buffer(this->output),
    [self = this->shared_from_this()](asio::error_code aError, std::size_t /*aSize*/) {
      if (self->closed) {
        return;
      }
      if (aError) {
        self->Fail(HttpEnd::Unknown, aError.message());
        return;
      }
      self->Read();
    });
}

void ClientConnection::Read()
{
  this->socket.async_read_some(
    asio::buffer(this->chunk),
    [self = this->shared_from_this()](asio::error_code aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void ClientConnection::OnRead(asio::error_code aError, std::size_t aSize)
{
  if (this->closed) {
    return;
  }
  boost::system::error_code error;
  // Without a byte the parser would take the end of the stream for an empty answer of status 200.
  if (aError == asio::error::eof && this->parser->got_some()) {
    this->parser->put_eof(error);
    if (!error && this->parser->is_done()) {
      this->Complete();
      return;
    }
  }
  if (aError) {
    this->Fail(HttpEnd::Unknown, aError.message());
    return;
  }
  this->input.append(this->chunk.data(), aSize);
  while (!this->input.empty() && !this->parser->is_done()) {
    const std::size_t used =
      this->parser->put(boost::asio::const_buffer(this->input.data(), this->input.size()), error);
    this->input.erase(0, used);
    if (error == http::error::need_more || (!error && used == 0)) {
      break;
    }
    if (error) {
      this->Fail(HttpEnd::Unknown, error.message());
      return;
    }
  }
  if (this->parser->is_done()) {
    this->Complete();
    return;
  }
  this->Read();
}

void ClientConnection::Complete()
{
  HttpResult result;
  result.end = HttpEnd::Answered;
  auto& message = this->parser->get();
  result.response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    result.response.headers.push_back(
      { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
  }
  result.response.body = std::move(message.body());
  const bool reusable = message.keep_alive();
  const std::shared_ptr<ClientCall> finished = std::move(this->call);
  const auto self = this->shared_from_this();
  this->call = nullptr;
  this->lastUsed = BootClock::now();
  if (!reusable) {
    this->Close();
  }
  this->core->Release(self, reusable);
  finished->Finish(result);
}

void ClientConnection::Fail(HttpEnd aEnd, std::string_view aReason)
{
  const std::shared_ptr<ClientCall> finished = std::move(this->call);
  const auto self = this->shared_from_this();
  this->call = nullptr;
  this->Close();
  this->core->Release(self, false);
  if (finished != nullptr) {
    this->core->counters.Add("http_calls_failed_total",
                             aEnd == HttpEnd::Unknown ? "unanswered" : "not_sent");
    finished->Finish({ aEnd, {}, std::string(aReason) });
  }
}

void ClientConnection::Abort(std::string_view aReason)
{
  this->Fail(this->sent ? HttpEnd::Unknown : HttpEnd::NotSent, aReason);
}

void ClientConnection::Close()
{
  this->closed = true;
  if (this->call != nullptr) {
    this->call->timer.cancel();
    this->call->callback = nullptr;
    this->call = nullptr;
  }
  asio::error_code ignored;
  this->socket.close(ignored);
}

} // namespace oriolespread::internal
