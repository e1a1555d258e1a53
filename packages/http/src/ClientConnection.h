// One connection of an HttpClient; runs one call at a time.
#pragma once

#include "ClientCore.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>

namespace oriolespread::internal {

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(std::shared_ptr<ClientCore> aCore);

  void Run(std::shared_ptr<ClientCall> aCall);
  // Closes the socket and ends the call in progress with this reason.
  void Abort(std::string_view aReason);
  // Closes the socket; the call in progress gets no callback.
  void Close();
  Instant LastUsed() const { return this->lastUsed; }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void Read();
  void OnRead(asio::error_code aError, std::size_t aSize);
  void Complete();
  void Fail(HttpEnd aEnd, std::string_view aReason);

  std::shared_ptr<ClientCore> core;
  asio::ip::tcp::socket socket;
  std::shared_ptr<ClientCall> call;
  std::array<char, 16384> chunk{};
  std::string input;
  std::string output;
  std::optional<Parser> parser;
  bool sent = false;
  bool closed = false;
  Instant lastUsed{};
};

} // namespace oriolespread::internal
