// Guards against clients that use up the memory or the connections of a server, and against limits
// that refuse requests which they allow.
#include "InputBuffer.h"

#include "oriolespread/http/HttpServer.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace oriolespread;

namespace {

constexpr std::size_t kBodyBytes = 262144;
constexpr std::size_t kHeaderBytes = 16384;

struct Served
{
  asio::io_context context;
  Counters counters;
  std::shared_ptr<MemoryBudget> budget;
  std::size_t handled = 0;
  std::vector<std::string> reasons;
  HttpServer::Reply held;
  std::unique_ptr<HttpServer> server;

  explicit Served(MemoryBudget::Limits aLimits = {}, HttpServerLimits aServerLimits = {})
    : budget(std::make_shared<MemoryBudget>(aLimits))
  {
    this->budget->SetObserver(
      [this](std::string_view aReason) { this->reasons.emplace_back(aReason); });
    aServerLimits.budget = this->budget;
    auto made = HttpServer::Create(
      this->context,
      "127.0.0.1",
      0,
      aServerLimits,
      [this](const HttpRequest& aRequest, HttpServer::Reply aReply) {
        ++this->handled;
        if (aRequest.target == "/held") {
          this->held = std::move(aReply);
          return;
        }
        aReply({ kHttpOk, {}, "size=" + std::to_string(aRequest.body.size()) });
      },
      this->counters);
    REQUIRE(made.ok());
    this->server = *std::move(made);
  }

  void RunFor(Duration aTime)
  {
    this->context.restart();
    this->context.run_for(aTime);
  }
};

// A client whose sending goes on while the loop runs.
struct Client
{
  Served& served;
  asio::ip::tcp::socket socket{ served.context };
  std::string sent;
  std::string answers;

  explicit Client(Served& aServed)
    : served(aServed)
  {
    this->socket.connect({ asio::ip::make_address("127.0.0.1"), aServed.server->Port() });
    this->socket.non_blocking(true);
  }

  void Send(std::string aBytes)
  {
    this->sent = std::move(aBytes);
    bool ended = false;
    asio::async_write(this->socket,
                      asio::buffer(this->sent),
                      [&](asio::error_code /*aError*/, std::size_t /*aSize*/) { ended = true; });
    for (int turn = 0; turn < 1000 && !ended; ++turn) {
      this->served.RunFor(std::chrono::milliseconds(5));
    }
    REQUIRE(ended);
    this->served.RunFor(std::chrono::milliseconds(10));
  }

  // Returns what has arrived since the last call, waiting for up to two seconds for some bytes.
  std::string Read()
  {
    std::string bytes;
    for (int turn = 0; turn < 200 && bytes.empty(); ++turn) {
      this->served.RunFor(std::chrono::milliseconds(10));
      asio::error_code ignored;
      asio::read(this->socket, asio::dynamic_buffer(bytes), ignored);
    }
    return bytes;
  }

  bool IsOpen()
  {
    char byte = 0;
    asio::error_code error;
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
  }
};

std::string Head(const std::string& aFraming)
{
  return "POST /a HTTP/1.1\r\n" + aFraming + "\r\n\r\n";
}

std::string Length(std::size_t aBytes)
{
  return Head("Content-Length: " + std::to_string(aBytes));
}

std::string SmallChunks(std::size_t aCount)
{
  std::string bytes;
  for (std::size_t index = 0; index < aCount; ++index) {
    bytes += "1\r\nx\r\n";
  }
  return bytes;
}

} // namespace

// The budget is that of the smallest process of a deployment.
TEST_CASE("HttpServer ServesEachLegalFramingWhenTheBodyHasExactlyTheLargestSize")
{
  Served served(MemoryBudget::LimitsFor(128, 4096));
  const std::string body(kBodyBytes, 'x');
  Client client(served);
  client.Send(Length(kBodyBytes) + body);
  CHECK(client.Read().ends_with("size=262144"));
  client.Send(Length(kBodyBytes));
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kBodyBytes / 16) {
    client.Send(body.substr(sent, kBodyBytes / 16));
  }
  CHECK(client.Read().ends_with("size=262144"));
  const std::string chunked = Head("Transfer-Encoding: chunked");
  client.Send(chunked + "40000\r\n" + body + "\r\n0\r\n\r\n");
  CHECK(client.Read().ends_with("size=262144"));
  client.Send(chunked + SmallChunks(kBodyBytes) + "0\r\n\r\n");
  CHECK(client.Read().ends_with("size=262144"));
  CHECK(served.reasons.empty());
}

TEST_CASE("HttpServer ServesARequestWhenItsHeaderHasNearlyTheLargestSize")
{
  Served served(MemoryBudget::LimitsFor(128, 4096));
  Client client(served);
  client.Send("GET /a HTTP/1.1\r\nX: " + std::string(kHeaderBytes - 100, 'x') + "\r\n\r\n");
  CHECK(client.Read().ends_with("size=0"));
}

// Guards against a handler that sees a request which its caller is told to repeat.
TEST_CASE("HttpServer Refuses503BeforeTheHandlerWhenTheBudgetIsUsedUp")
{
  Served served({ .bytes = 400000, .reservedBytes = 100000 });
  Client holder(served);
  holder.Send(Length(200000) + std::string(100000, 'x'));
  Client client(served);
  client.Send(Length(200000) + std::string(200000, 'x'));
  const std::string answer = client.Read();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(served.handled == 0);
  CHECK(served.counters.Get("http_requests_refused_total", "503") == 1);
  REQUIRE_FALSE(served.reasons.empty());
  CHECK(served.reasons.front() == "memory");
  // The reserve serves small requests meanwhile.
  Client small(served);
  small.Send(Length(1000) + std::string(1000, 'x'));
  CHECK(small.Read().ends_with("size=1000"));
}

TEST_CASE("HttpServer ServesARequestInPlaceOfOneThatTricklesWhenTheBudgetIsUsedUp")
{
  Served served({ .bytes = 400000, .reservedBytes = 100000 });
  Client trickling(served);
  trickling.Send(Length(200000) + std::string(100000, 'x'));
  for (int turn = 0; turn < 8; ++turn) {
    trickling.Send("x");
    served.RunFor(std::chrono::milliseconds(80));
  }
  Client client(served);
  client.Send(Length(200000) + std::string(200000, 'x'));
  CHECK(client.Read().ends_with("size=200000"));
  CHECK(trickling.Read().starts_with("HTTP/1.1 503"));
  CHECK(served.handled == 1);
  CHECK(served.counters.Get("http_connections_released_total", "receiving") == 1);
}

// Guards against an answer that is lost because another client needs the memory of its request.
TEST_CASE("HttpServer KeepsARequestThatIsHandledWhenTheBudgetIsUsedUp")
{
  Served served({ .bytes = 400000, .reservedBytes = 100000 });
  Client handled(served);
  handled.Send("POST /held HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
  REQUIRE(served.held != nullptr);
  served.RunFor(MemoryBudget::kStallTime * 2);
  Client client(served);
  client.Send(Length(200000) + std::string(200000, 'x'));
  CHECK(client.Read().starts_with("HTTP/1.1 503"));
  served.held({ kHttpOk, {}, "late" });
  CHECK(handled.Read().ends_with("late"));
}

TEST_CASE("HttpServer ReturnsWhatItHeldWhenConnectionsClose")
{
  Served served;
  {
    Client client(served);
    client.Send(Length(kBodyBytes) + std::string(100000, 'x'));
    CHECK(served.budget->HeldBytes() >= 100000);
    CHECK(served.budget->Connections() == 1);
  }
  served.RunFor(std::chrono::milliseconds(50));
  CHECK(served.budget->HeldBytes() == 0);
  CHECK(served.budget->Connections() == 0);
}

TEST_CASE("HttpServer HoldsNoMoreThanAnIdleConnectionWhenALargeRequestIsAnswered")
{
  Served served;
  Client client(served);
  served.RunFor(std::chrono::milliseconds(20));
  const std::uint64_t idle = served.budget->HeldBytes();
  client.Send(Length(kBodyBytes) + std::string(kBodyBytes, 'x'));
  CHECK(client.Read().ends_with("size=262144"));
  served.RunFor(std::chrono::milliseconds(20));
  // The buffer of received bytes stays, which holds at most two reads.
  CHECK(served.budget->HeldBytes() <= idle + std::size_t{ 2 } * 16384);
}

TEST_CASE("HttpServer Answers408WhenABodyArrivesTooSlowlyAfterTheGraceTime")
{
  Served served({}, { .bodyBytesPerSecond = 10000, .bodyGrace = std::chrono::milliseconds(200) });
  Client client(served);
  client.Send(Length(1000) + std::string(500, 'x'));
  served.RunFor(std::chrono::milliseconds(300));
  CHECK(client.Read().starts_with("HTTP/1.1 408"));
  CHECK(served.handled == 0);
  CHECK(served.counters.Get("http_requests_refused_total", "408") == 1);
  // What arrives after the refusal is not taken for a request.
  asio::error_code ignored;
  asio::write(client.socket, asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")), ignored);
  served.RunFor(std::chrono::milliseconds(50));
  CHECK(served.handled == 0);
}

TEST_CASE("HttpServer ServesARequestWhoseBodyPausesUntilShortlyBeforeTheTimeout")
{
  Served served({}, { .readTimeout = std::chrono::milliseconds(1500) });
  Client client(served);
  client.Send(Length(10));
  served.RunFor(std::chrono::milliseconds(800));
  client.Send("0123456789");
  CHECK(client.Read().ends_with("size=10"));
}

TEST_CASE("HttpServer Answers408WhenARequestIsNotCompleteInTime")
{
  Served served({ .bytes = std::uint64_t{ 64 } * 1048576 },
                { .readTimeout = std::chrono::milliseconds(200) });
  Client body(served);
  body.Send(Length(10) + "x");
  Client header(served);
  header.Send("GET /a HTTP/1.1\r\nX: ");
  CHECK(body.Read().starts_with("HTTP/1.1 408"));
  CHECK(header.Read().starts_with("HTTP/1.1 408"));
  CHECK(served.handled == 0);
}

// Guards against a change for processes whose settings have no limits.
TEST_CASE("HttpServer ClosesWithoutAnAnswerWhenARequestIsNotCompleteAndThereAreNoLimits")
{
  Served served({}, { .readTimeout = std::chrono::milliseconds(200) });
  Client client(served);
  client.Send(Length(10) + "x");
  served.RunFor(std::chrono::milliseconds(300));
  CHECK(client.Read().empty());
  CHECK_FALSE(client.IsOpen());
  CHECK(served.reasons.empty());
}

TEST_CASE("HttpServer ClosesAnIdleConnectionForANewOneWhenConnectionsAreUsedUp")
{
  Served served({ .connections = 2 });
  Client first(served);
  Client second(served);
  served.RunFor(MemoryBudget::kStallTime + std::chrono::milliseconds(100));
  Client third(served);
  third.Send(Length(1) + "x");
  CHECK(third.Read().ends_with("size=1"));
  CHECK(first.IsOpen() != second.IsOpen());
  CHECK(served.budget->Connections() == 2);
}

TEST_CASE("HttpServer RefusesAConnectionWhenAllOthersHaveJustOpened")
{
  Served served({ .connections = 2 });
  Client first(served);
  Client second(served);
  Client third(served);
  served.RunFor(std::chrono::milliseconds(50));
  CHECK(served.counters.Get("http_connections_refused_total", "descriptors") == 1);
  CHECK_FALSE(third.IsOpen());
}

// Guards against work that grows with the square of the number of chunks: bytes are counted, as a
// time would depend on the machine.
TEST_CASE("InputBuffer MovesEachByteAtMostOnceWhenBytesAreTakenInSmallParts")
{
  internal::InputBuffer buffer;
  const std::string read(16384, 'x');
  std::uint64_t appended = 0;
  for (int turn = 0; turn < 100; ++turn) {
    buffer.Append(read);
    appended += read.size();
    while (buffer.Bytes().size() >= 6) {
      buffer.Take(6);
    }
  }
  CHECK(buffer.MovedBytes() <= appended);
  CHECK(buffer.Capacity() <= std::size_t{ 4 } * 16384);
}

TEST_CASE("InputBuffer KeepsTheOrderOfBytesWhenItMovesThem")
{
  internal::InputBuffer buffer;
  std::string taken;
  std::string expected;
  for (int turn = 0; turn < 100; ++turn) {
    const std::string read(7, static_cast<char>('a' + turn % 26));
    expected += read;
    buffer.Append(read);
    taken += buffer.Bytes().substr(0, 5);
    buffer.Take(5);
  }
  taken += buffer.Bytes();
  CHECK(taken == expected);
}

TEST_CASE("MemoryBudget HasNoLimitsWhenTheSettingsHaveNone")
{
  const MemoryBudget::Limits limits = MemoryBudget::LimitsFor(0, 0);
  CHECK(limits.bytes == 0);
  CHECK(limits.connections == 0);
}

TEST_CASE("MemoryBudget DerivesItsLimitsFromMemoryAndDescriptors")
{
  const MemoryBudget::Limits limits = MemoryBudget::LimitsFor(160, 4100);
  CHECK(limits.bytes == std::uint64_t{ 80 } * 1048576);
  CHECK(limits.reservedBytes == std::uint64_t{ 20 } * 1048576);
  CHECK(limits.connections == 3772);
  CHECK(MemoryBudget::LimitsFor(0, 100).connections == 16);
}
