// One kept TCP connection of a caller that speaks just enough HTTP/1.1 for one request at a time.
// It shares no code with the system's HTTP client and notes when bytes were sent and received.
#pragma once

#include "oriolespread/base/Time.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>

namespace oriolespread::soak {

enum class PlainEnd
{
  // A complete answer arrived.
  Answered,
  // No connection was established, so that nothing was sent.
  NotConnected,
  // The connection failed before the socket accepted the last byte of the request.
  NotSent,
  // The server ended the connection (end of file).
  Closed,
  // The connection was reset.
  Reset,
  // Neither an answer nor an end of the connection within the limit of the call.
  Silent,
};

const char* PlainEndName(PlainEnd aEnd);

struct PlainExchange
{
  PlainEnd end = PlainEnd::Silent;
  // Set for Answered only.
  int status = 0;
  std::string body;
  // The number of bytes of the answer that arrived, and of bytes after its end.
  std::size_t received = 0;
  std::size_t excess = 0;
  // The error of the operating system for all ends but Answered.
  std::string error;
  // The request went over a connection that had carried another one.
  bool kept = false;
  // When the last byte was accepted by the socket; the epoch if it was not.
  Instant sentAt{};
  Instant firstByteAt{};
  Instant endedAt{};
};

class PlainCaller
{
public:
  using Callback = std::function<void(const PlainExchange&)>;

  // `aContext` must outlive the caller.
  explicit PlainCaller(asio::io_context& aContext);
  PlainCaller(const PlainCaller&) = delete;
  PlainCaller& operator=(const PlainCaller&) = delete;

  // Sends a request, over the kept connection if it goes to this address and the server has not
  // ended it. The callback runs once from the loop. No other call may be under way.
  void Call(const asio::ip::tcp::endpoint& aServer,
            std::string aRequest,
            Duration aLimit,
            Callback aCallback);

private:
  // Returns whether the kept connection goes to this address and is open and without unread bytes.
  bool IsUsable(const asio::ip::tcp::endpoint& aServer);
  void Send();
  void Read();
  void OnBytes(std::size_t aSize);
  // Returns true at the last byte of the answer.
  bool TakeByte(char aByte);
  void ParseHead();
  void Finish(PlainEnd aEnd, const std::string& aError);

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  asio::ip::tcp::endpoint server;
  std::string request;
  Callback callback;
  PlainExchange exchange;
  std::array<char, 4096> chunk{};
  std::string head;
  bool inBody = false;
  std::size_t bodyBytes = 0;
  bool serverCloses = false;
  bool connected = false;
  // Distinguishes the handlers of the present call from those of earlier ones.
  std::uint64_t call = 0;
};

} // namespace oriolespread::soak
