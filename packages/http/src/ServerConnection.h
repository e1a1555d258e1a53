// One connection of an HttpServer.
#pragma once

#include "InputBuffer.h"
#include "ServerCore.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>

namespace oriolespread::internal {

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(std::shared_ptr<ServerCore> aCore, asio::ip::tcp::socket aSocket);

  // Reserves the fixed cost of the connection in the budget. Returns the reason if that is not
  // possible, and an empty text otherwise.
  std::string_view Reserve();
  void Start();
  void Close();
  // Closes the connection soon unless a request has begun to arrive; see HttpServer::StopAccepting.
  void CloseSoonIfIdle();
  // Answers the request that is handled, if there is one, in place of its handler.
  void GiveUp(const HttpResponse& aResponse);

private:
  enum class State
  {
    // No byte of a request has arrived.
    Idle,
    Receiving,
    Handling,
    Writing,
    // The last answer was written and the sending side is closed; what still arrives is discarded.
    Lingering,
    Closed,
  };

  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void BeginRequest();
  void Read();
  // Reads on if the request is not complete yet.
  void ReadUnlessComplete();
  void OnRead(asio::error_code aError, std::size_t aSize);
  // Feeds buffered bytes to the parser; returns false when the connection was closed or refused.
  bool Parse();
  void HandleRequest();
  void Reply(std::uint64_t aRequest, const HttpResponse& aResponse);
  void Refuse(int aStatus);
  // Ends a connection for another one that needs what it holds.
  void Release();
  // Counts what is allocated; refuses the request and returns false if it is not available.
  bool Account();
  std::uint64_t AllocatedBytes() const;
  void MarkProgress();
  // Frees what was received of the request.
  void DropRequest();
  // Answers 408 if the body arrives too slowly.
  void CheckBodyRate();
  void Write(const HttpResponse& aResponse, bool aClose, bool aLinger);
  void OnTimeout();
  // Tells the peer that nothing follows, and closes the connection once the peer has closed it. If
  // it were closed at once, unread bytes would reset it and discard the answer on its way. A
  // request that arrives meanwhile is not answered, as the peer was told that none will be.
  void Linger();
  void Discard();
  void ArmTimer(Duration aTimeout);
  std::size_t UnreadBytes() const;

  std::shared_ptr<ServerCore> core;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 16384> chunk{};
  InputBuffer input;
  std::string output;
  std::optional<Parser> parser;
  State state = State::Idle;
  std::uint64_t request = 0;
  // The size of the request that a handler has.
  std::uint64_t handedBytes = 0;
  // Bytes of the request that have arrived, and how many of them when progress was last marked.
  std::uint64_t receivedBytes = 0;
  std::uint64_t markedBytes = 0;
  bool headReceived = false;
  Instant requestBeganAt{};
  MemoryBudget::Account account;
};

} // namespace oriolespread::internal
