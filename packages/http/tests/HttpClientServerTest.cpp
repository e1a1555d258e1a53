// Guards against lost, cut or mixed-up messages between the asynchronous server and client.
#include "oriolespread/http/HttpClient.h"
#include "oriolespread/http/HttpServer.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>
#include <thread>

using namespace oriolespread;

namespace {

struct Pair
{
  asio::io_context context;
  Counters counters;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  HttpServer::Reply held;

  explicit Pair(HttpServerLimits aLimits = {})
  {
    auto made = HttpServer::Create(
      this->context,
      "127.0.0.1",
      0,
      std::move(aLimits),
      [this](const HttpRequest& aRequest, HttpServer::Reply aReply) {
        if (aRequest.target == "/held") {
          this->held = std::move(aReply);
          return;
        }
        if (aRequest.target == "/throws") {
          throw std::runtime_error("no such job");
        }
        aReply({ kHttpOk, {}, aRequest.method + " " + aRequest.target + " " + aRequest.body });
      },
      this->counters);
    REQUIRE(made.ok());
    this->server = *std::move(made);
    auto dialed = HttpClient::Create(this->context,
                                     "127.0.0.1:" + std::to_string(this->server->Port()),
                                     { .connections = 2 },
                                     this->counters);
    REQUIRE(dialed.ok());
    this->client = *std::move(dialed);
  }

  HttpResult Call(HttpRequest aRequest, Duration aTimeout = std::chrono::seconds(5))
  {
    std::optional<HttpResult> result;
    this->client->Call(
      std::move(aRequest), aTimeout, [&](const HttpResult& aResult) { result = aResult; });
    while (!result.has_value()) {
      this->context.run_one();
    }
    return *result;
  }
};

// A caller that controls when it sends and reads.
struct PlainCaller
{
  Pair& pair;
  asio::ip::tcp::socket socket{ pair.context };

  explicit PlainCaller(Pair& aPair)
    : pair(aPair)
  {
    this->socket.connect({ asio::ip::make_address("127.0.0.1"), this->pair.server->Port() });
  }

  void Send(const std::string& aBytes) { asio::write(this->socket, asio::buffer(aBytes)); }

  void RunFor(Duration aTime)
  {
    this->pair.context.restart();
    this->pair.context.run_for(aTime);
  }

  bool HasConnectionEnded()
  {
    this->socket.non_blocking(true);
    char byte = 0;
    asio::error_code error;
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::eof || error == asio::error::connection_reset;
  }

  // Reads until the connection has ended, and returns the bytes and how it ended; would_block if it
  // is open after two seconds.
  std::string ReadToEnd(asio::error_code& aEnd)
  {
    this->socket.non_blocking(true);
    std::string bytes;
    for (int turn = 0; turn < 200; ++turn) {
      asio::read(this->socket, asio::dynamic_buffer(bytes), aEnd);
      if (aEnd != asio::error::would_block) {
        break;
      }
      this->RunFor(std::chrono::milliseconds(10));
    }
    return bytes;
  }
};

} // namespace

TEST_CASE("HttpClientServer ReturnsTheWholeAnswerWhenBodiesSpanManyReads")
{
  Pair pair;
  const std::string body(200000, 'x');
  const HttpResult result = pair.Call({ "POST", "/big", {}, body });
  INFO(result.reason);
  REQUIRE(result.IsAnswer(kHttpOk));
  CHECK(result.response.body == "POST /big " + body);
}

TEST_CASE("HttpClientServer UsesOneConnectionAgainWhenCallsFollowOneAnother")
{
  Pair pair;
  for (int index = 0; index < 5; ++index) {
    REQUIRE(pair.Call({ "GET", "/a", {}, {} }).IsAnswer(kHttpOk));
  }
  CHECK(pair.counters.Get("http_connections_opened_total", "client") == 1);
}

TEST_CASE("HttpClientServer ReportsUnknownWhenTheAnswerDoesNotComeInTime")
{
  Pair pair;
  const HttpResult result = pair.Call({ "GET", "/held", {}, {} }, std::chrono::milliseconds(50));
  CHECK(result.end == HttpEnd::Unknown);
  CHECK(pair.Call({ "GET", "/a", {}, {} }).IsAnswer(kHttpOk));
}

TEST_CASE("HttpClientServer ReportsRefusedWhenNothingListens")
{
  Pair pair;
  pair.server.reset();
  CHECK(pair.Call({ "GET", "/a", {}, {} }).end == HttpEnd::Refused);
}

// Guards against a callback that uses its owner after the owner and its client are gone.
TEST_CASE("HttpClientServer DropsTheCallbackOfACallAboveTheLimitWhenTheClientIsDestroyed")
{
  Pair pair;
  auto client = HttpClient::Create(pair.context,
                                   "127.0.0.1:" + std::to_string(pair.server->Port()),
                                   { .connections = 1, .waitingCalls = 0 },
                                   pair.counters);
  REQUIRE(client.ok());
  bool called = false;
  (*client)->Call(
    { "GET", "/a", {}, {} }, std::chrono::seconds(1), [&](const HttpResult&) { called = true; });
  REQUIRE(pair.counters.Get("http_calls_failed_total", "queue_full") == 1);
  client->reset();
  pair.context.run_for(std::chrono::milliseconds(20));
  CHECK_FALSE(called);
}

TEST_CASE("HttpClientServer RefusesABodyAboveTheLimitWithoutReadingOn")
{
  Pair pair({ .bodyBytes = 1000 });
  const HttpResult result = pair.Call({ "POST", "/big", {}, std::string(2000, 'x') });
  CHECK(result.IsAnswer(kHttpTooLarge));
}

TEST_CASE("HttpClientServer AnswersARequestInFlightAndClosesWhenItDrains")
{
  Pair pair;
  std::optional<HttpResult> result;
  pair.client->Call({ "GET", "/held", {}, {} },
                    std::chrono::seconds(5),
                    [&](const HttpResult& aResult) { result = aResult; });
  while (pair.held == nullptr) {
    pair.context.run_one();
  }
  pair.server->Drain();
  CHECK(pair.server->InFlight() == 1);
  pair.held({ kHttpOk, {}, "late" });
  while (!result.has_value()) {
    pair.context.run_one();
  }
  CHECK(result->IsAnswer(kHttpOk));
  CHECK(FindHeader(result->response.headers, "connection") == "close");
}

// Guards against a connection that ends without an answer being taken for an empty answer of
// status 200: a start or a job would then count as accepted.
TEST_CASE("HttpClientServer ReportsUnknownWhenTheConnectionEndsWithoutAnAnswer")
{
  Pair pair;
  std::optional<HttpResult> result;
  pair.client->Call({ "GET", "/held", {}, {} },
                    std::chrono::seconds(5),
                    [&](const HttpResult& aResult) { result = aResult; });
  while (pair.held == nullptr) {
    pair.context.run_one();
  }
  pair.server.reset();
  while (!result.has_value()) {
    pair.context.run_one();
  }
  CHECK(result->end == HttpEnd::Unknown);
}

// Guards against requests whose bytes are overwritten by two reads at once: after a handler that
// replied at once, the server began a second read on the connection, and a request of more than one
// read (16,384 bytes) was refused or mixed up.
TEST_CASE("HttpClientServer ReadsLargeRequestsOnAUsedConnection")
{
  Pair pair;
  for (const std::size_t size : { 100, 16'000, 16'384, 20'000, 40'000, 87'000, 200'000 }) {
    INFO(size << " bytes");
    const HttpResult result = pair.Call({ "POST", "/big", {}, std::string(size, 'x') });
    CHECK(result.response.status == kHttpOk);
    CHECK(result.response.body == "POST /big " + std::string(size, 'x'));
  }
}

// Guards against callers that keep an entry from ever being idle, so that it ends with their
// requests unanswered.
TEST_CASE("HttpServer ClosesIdleConnectionsAndRefusesNewOnesWhenItStopsAccepting")
{
  Pair pair;
  PlainCaller idle(pair);
  PlainCaller used(pair);
  used.Send("GET /a HTTP/1.1\r\n\r\n");
  idle.RunFor(std::chrono::milliseconds(20));
  REQUIRE(pair.server->OpenConnections() == 2);
  pair.server->StopAccepting();
  idle.RunFor(std::chrono::milliseconds(300));
  CHECK(pair.server->OpenConnections() == 0);
  CHECK(idle.HasConnectionEnded());
  asio::ip::tcp::socket late(pair.context);
  asio::error_code error;
  late.connect({ asio::ip::make_address("127.0.0.1"), pair.server->Port() }, error);
  CHECK(error == asio::error::connection_refused);
}

// Guards against requests on established connections that are reset unread.
TEST_CASE("HttpServer AnswersRequestsOnConnectionsItHasNotAcceptedYetWhenItStopsAccepting")
{
  Pair pair;
  PlainCaller caller(pair);
  caller.Send("GET /a HTTP/1.1\r\n\r\n");
  pair.server->StopAccepting();
  caller.RunFor(std::chrono::milliseconds(50));
  asio::error_code end;
  const std::string answer = caller.ReadToEnd(end);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(end == asio::error::eof);
}

// Guards against a stop that does not wait for requests of which only a part has arrived.
TEST_CASE("HttpServer CountsAConnectionAsOpenUntilItsResponseIsWrittenWhenItStopsAccepting")
{
  Pair pair;
  PlainCaller caller(pair);
  caller.Send("POST /held HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  caller.RunFor(std::chrono::milliseconds(20));
  pair.server->StopAccepting();
  caller.RunFor(std::chrono::milliseconds(300));
  CHECK(pair.server->OpenConnections() == 1);
  caller.Send("cd");
  caller.RunFor(std::chrono::milliseconds(20));
  REQUIRE(pair.held != nullptr);
  CHECK(pair.server->OpenConnections() == 1);
  pair.held({ kHttpOk, {}, "late" });
  asio::error_code end;
  CHECK(caller.ReadToEnd(end).ends_with("late"));
  CHECK(pair.server->OpenConnections() == 1);
  caller.socket.close();
  caller.RunFor(std::chrono::milliseconds(20));
  CHECK(pair.server->OpenConnections() == 0);
}

// Guards against a request that the server has read and drops because it closes the connection
// after the answer to the one before.
TEST_CASE("HttpServer AnswersRequestsSentTogetherWhenItDrains")
{
  Pair pair;
  PlainCaller caller(pair);
  pair.server->Drain();
  caller.Send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  caller.RunFor(std::chrono::milliseconds(50));
  asio::error_code end;
  const std::string answers = caller.ReadToEnd(end);
  CHECK(answers.find("GET /a") != std::string::npos);
  CHECK(answers.find("GET /b") != std::string::npos);
}

// Guards against a reset that discards the answer on its way.
TEST_CASE("HttpServer DoesNotResetTheConnectionWhenItRefusesARequestThatIsStillArriving")
{
  Pair pair({ .bodyBytes = 1000 });
  PlainCaller caller(pair);
  caller.Send("POST /big HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(50000, 'x'));
  caller.RunFor(std::chrono::milliseconds(50));
  caller.Send(std::string(50000, 'x'));
  caller.RunFor(std::chrono::milliseconds(50));
  asio::error_code end;
  const std::string answer = caller.ReadToEnd(end);
  CHECK(answer.starts_with("HTTP/1.1 413"));
  CHECK(end == asio::error::eof);
}

// Guards against a late event loop that closes a connection as idle before it reads a request that
// arrived in time.
TEST_CASE("HttpServer AnswersARequestThatArrivedBeforeTheIdleTimeoutWhenTheLoopIsLate")
{
  Pair pair({ .idleTimeout = std::chrono::milliseconds(60) });
  PlainCaller caller(pair);
  caller.RunFor(std::chrono::milliseconds(10));
  caller.Send("GET /held HTTP/1.1\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  caller.RunFor(std::chrono::milliseconds(20));
  REQUIRE(pair.held != nullptr);
  pair.held({ kHttpOk, {}, "late" });
  caller.RunFor(std::chrono::milliseconds(20));
  CHECK_FALSE(caller.HasConnectionEnded());
}

// Guards against requests that end without a response because their handler waits for longer than
// its process lives.
TEST_CASE("HttpServer AnswersARequestInPlaceOfItsHandlerWhenItRespondsToAll")
{
  Pair pair;
  PlainCaller caller(pair);
  caller.Send("GET /held HTTP/1.1\r\n\r\n");
  caller.RunFor(std::chrono::milliseconds(20));
  REQUIRE(pair.held != nullptr);
  pair.server->StopAccepting();
  pair.server->RespondToAll({ kHttpGatewayTimeout, {}, {} });
  pair.held({ kHttpOk, {}, "late" });
  asio::error_code end;
  const std::string answer = caller.ReadToEnd(end);
  CHECK(answer.starts_with("HTTP/1.1 504"));
  CHECK(answer.find("200") == std::string::npos);
  CHECK(end == asio::error::eof);
}

// Guards against a request without a response and a connection that is never closed.
TEST_CASE("HttpServer AnswersARequestWhoseHandlerThrows")
{
  Pair pair;
  std::optional<HttpResult> result;
  int thrown = 0;
  pair.client->Call({ "GET", "/throws", {}, {} },
                    std::chrono::seconds(2),
                    [&](const HttpResult& aResult) { result = aResult; });
  while (!result.has_value()) {
    try {
      pair.context.run_one();
    } catch (const std::runtime_error&) {
      ++thrown;
    }
  }
  CHECK(thrown == 1);
  CHECK(result->IsAnswer(kHttpGatewayTimeout));
  CHECK(pair.server->InFlight() == 0);
  CHECK(pair.Call({ "GET", "/next", {}, {} }).response.body == "GET /next ");
  CHECK(pair.counters.Get("http_connections_opened_total", "client") == 1);
}
