#include "ScriptedPeer.h"

using namespace oriolespread;
using internal::HeaderList;

namespace {

HeaderList Answer(const std::string& aRequest, const std::string& aLength)
{
  HeaderList headers;
  headers.Add(":status", "200", true);
  headers.Add("os-request", aRequest, false);
  headers.Add("os-status", "200", true);
  headers.Add("os-length", aLength, false);
  return headers;
}

// A real entry with a scripted agent.
struct ScriptedAgent
{
  ScriptedAgent()
  {
    this->pair.dialer.reset();
    asio::ip::tcp::socket socket(this->pair.context);
    socket.connect(Loopback(this->pair.listener->Port()));
    this->agent =
      std::make_shared<ScriptedPeer>(std::move(socket), internal::Role::Agent, this->counters);
    this->agent->Start();
    REQUIRE(
      this->pair.Run([this] { return !this->pair.entry.ups.empty() && this->agent->IsUp(); }));
  }
  ~ScriptedAgent() { this->agent->Close("end_of_test"); }

  LinkPair pair;
  Counters counters;
  std::shared_ptr<ScriptedPeer> agent;
};

// A real agent with a scripted entry.
struct ScriptedEntry
{
  ScriptedEntry()
    : acceptor(this->pair.context, Loopback(0))
  {
    this->acceptor.async_accept([this](asio::error_code, asio::ip::tcp::socket aSocket) {
      this->entry =
        std::make_shared<ScriptedPeer>(std::move(aSocket), internal::Role::Entry, this->counters);
      this->entry->Start();
    });
    LinkDialerOptions options = TestDialerOptions(this->acceptor.local_endpoint().port());
    options.limits.headerBytes = 1'000;
    options.limits.bodyBytes = 10'000;
    this->pair.StartDialer(std::move(options));
    REQUIRE(this->pair.Run([this] { return this->pair.dialer->IsUp() && this->entry->IsUp(); }));
  }
  ~ScriptedEntry() { this->entry->Close("end_of_test"); }

  LinkPair pair;
  Counters counters;
  asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<ScriptedPeer> entry;
};

} // namespace

// Guards against another call's answer, or a part of one, being delivered as this call's.
TEST_CASE("LinkListener DeliversOnlyWholeMatchingAnswers")
{
  struct Case
  {
    HeaderList headers;
    std::string body;
    std::string reason;
  };
  HeaderList bad = Answer("5-1", "4");
  bad.Add("os-status", "200", true);
  std::vector<Case> cases;
  cases.push_back({ Answer("5-2", "4"), "pong", "request_id_mismatch" });
  cases.push_back({ Answer("6-1", "4"), "pong", "request_id_mismatch" });
  cases.push_back({ Answer("5-1", "5"), "pong", "length_mismatch" });
  cases.push_back({ Answer("5-1", "3"), "pong", "length_mismatch" });
  cases.push_back({ Answer("5-1", "-4"), "pong", "bad_answer" });
  cases.push_back({ Answer("x", "4"), "pong", "bad_answer" });
  cases.push_back({ std::move(bad), "pong", "bad_answer" });
  cases.push_back({ internal::RefusalHeaders("busy"), "x", "bad_answer" });
  cases.push_back(
    { Answer("5-1", "9000000"), std::string().append(9'000'000, 'x'), "answer_too_large" });
  cases.push_back({ Answer("5-1", "4"), "pong", "" });
  ScriptedAgent scripted;
  for (Case& each : cases) {
    scripted.agent->onEnd = [&](std::int32_t aStream) {
      scripted.agent->Send(aStream, each.headers, each.body);
    };
    const CallResult result = scripted.pair.Call(TestRequest(1));
    CAPTURE(each.reason);
    CHECK(result.reason == each.reason);
    CHECK(result.end == (each.reason.empty() ? CallEnd::Answered : CallEnd::Unknown));
    CHECK((each.reason.empty() ||
           scripted.pair.entryCounters.Get("link_calls_unknown_total", each.reason) > 0));
  }
}

// Guards against a false claim of not run after any reset but REFUSED_STREAM.
TEST_CASE("LinkListener TakesOnlyRefusedStreamAsProof")
{
  ScriptedAgent scripted;
  for (const std::uint32_t code : { NGHTTP2_NO_ERROR, NGHTTP2_CANCEL, NGHTTP2_INTERNAL_ERROR }) {
    scripted.agent->onEnd = [&](std::int32_t aStream) { scripted.agent->Reset(aStream, code); };
    CHECK(scripted.pair.Call(TestRequest(1)).end == CallEnd::Unknown);
  }
  scripted.agent->onEnd = [&](std::int32_t aStream) {
    scripted.agent->Reset(aStream, NGHTTP2_REFUSED_STREAM);
  };
  CHECK(scripted.pair.Call(TestRequest(1)).end == CallEnd::NotRun);
}

// Guards against a call handler that is given a malformed or oversized request.
TEST_CASE("LinkDialer RefusesMalformedAndOversizedRequests")
{
  ScriptedEntry scripted;
  std::map<std::int32_t, std::string> expected;
  const auto send = [&](const CallRequest& aRequest, std::string aBody, std::string aReason) {
    const auto headers = internal::RequestHeaders(aRequest);
    expected[scripted.entry->Send(0, headers, std::move(aBody))] = std::move(aReason);
  };
  CallRequest request = TestRequest(1);
  send(request, "pin", "body_length_mismatch");
  send(request, "pings", "body_length_mismatch");
  request.organisation = OrganisationId{ "a/b" };
  send(request, request.body, "bad_request_headers");
  request = TestRequest(2, std::string(10'001, 'x'));
  send(request, request.body, "body_too_large");
  request = TestRequest(3);
  request.headers.push_back({ "x-long", std::string(4'000, 'x') });
  send(request, request.body, "headers_too_large");
  HeaderList other;
  for (const char* name : { ":method", ":scheme", ":authority", ":path" }) {
    other.Add(name, "x", true);
  }
  expected[scripted.entry->Send(0, other, "")] = "bad_request_headers";
  REQUIRE(scripted.pair.Run([&] { return scripted.entry->resets.size() == expected.size(); }));
  for (const auto& [stream, reason] : expected) {
    CAPTURE(reason);
    CHECK(scripted.entry->resets[stream] == NGHTTP2_REFUSED_STREAM);
    CHECK(scripted.pair.agentCounters.Get("link_calls_refused_total", reason) > 0);
  }
  CHECK(scripted.pair.received.empty());
  scripted.entry->Send(0, internal::RequestHeaders(TestRequest(4)), "ping");
  CHECK(scripted.pair.Run([&] { return scripted.pair.received.size() == 1; }));
}
