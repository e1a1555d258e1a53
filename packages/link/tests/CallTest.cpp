#include "LinkPair.h"

#include <stdexcept>

using namespace oriolespread;

TEST_CASE("Link ComesUpWithThePeersIdentity")
{
  LinkPair pair;
  REQUIRE(pair.RunUntilUp());
  CHECK(pair.entry.ups == std::vector<std::string>{ "agent-1@dc-2" });
  CHECK(pair.agent.ups == std::vector<std::string>{ "entry-1@dc-1" });
}

TEST_CASE("Link CarriesMessagesBothWaysInOrder")
{
  LinkPair pair;
  REQUIRE(pair.RunUntilUp());
  for (std::uint64_t i = 0; i < 100; ++i) {
    CHECK(pair.dialer->Send(Leave{ UpstreamId{ "up-1" }, Incarnation{ i } }));
    CHECK(pair.listener->Send(pair.link, CreditDemand{ UpstreamId{ "up-1" }, 1, 2 }));
  }
  REQUIRE(pair.Run(
    [&] { return pair.entry.messages.size() == 100 && pair.agent.messages.size() == 100; }));
  for (std::uint64_t i = 0; i < 100; ++i) {
    REQUIRE(std::get<Leave>(pair.entry.messages[i]).incarnation.Value() == i);
  }
}

TEST_CASE("Link CarriesACallAndItsWholeAnswer")
{
  LinkPair pair;
  REQUIRE(pair.RunUntilUp());
  const CallRequest request = TestRequest(17, std::string(100'000, 'b'));
  const CallResult result = pair.Call(request);
  REQUIRE(result.end == CallEnd::Answered);
  CHECK(result.answer.status == 200);
  CHECK(result.answer.body == request.body);
  CHECK(result.answer.headers == std::vector<HeaderField>{ { "x-echo", "/find?q=1" } });
  REQUIRE(pair.received.size() == 1);
  const CallRequest& received = pair.received[0];
  CHECK(received.id == request.id);
  CHECK(received.organisation == request.organisation);
  CHECK(received.service == request.service);
  CHECK(received.upstream == request.upstream);
  CHECK(received.incarnation == request.incarnation);
  CHECK(received.deadlineLeft == request.deadlineLeft);
  CHECK(received.method == request.method);
  CHECK(received.path == request.path);
  CHECK(received.headers == request.headers);
}

TEST_CASE("Link ReportsARefusalWithItsReasonAsNotRun")
{
  LinkPair pair;
  pair.onCall = [](const CallRequest&, const std::shared_ptr<Responder>& aResponder) {
    aResponder->Refuse("no_credit");
  };
  REQUIRE(pair.RunUntilUp());
  const CallResult result = pair.Call(TestRequest(1));
  CHECK(result.end == CallEnd::NotRun);
  CHECK(result.reason == "no_credit");
}

// Guards against headers within the limit of bytes that nghttp2 does not send, so that a call would
// never end.
TEST_CASE("Link EndsCallsWithTheMostHeadersAndWithMore")
{
  std::vector<HeaderField> headers(1'024, { "a", "b" });
  LinkPair pair;
  pair.onCall = [&](const CallRequest&, const std::shared_ptr<Responder>& aResponder) {
    aResponder->Answer({ 200, headers, "" });
  };
  REQUIRE(pair.RunUntilUp());
  CallRequest request = TestRequest(1);
  request.headers = headers;
  request.headers.back().value.assign(30'000, 'x');
  const CallResult result = pair.Call(request);
  REQUIRE(result.end == CallEnd::Answered);
  CHECK(result.answer.headers == headers);
  headers.emplace_back();
  CHECK(pair.Call(request).end == CallEnd::Unknown);
  request.headers = headers;
  CHECK(pair.Call(request).reason == "headers_too_large");
}

// Guards against a link that stays open but neither reads nor writes any more.
TEST_CASE("Link CarriesMessagesBothWaysAfterAHandlerHasThrown")
{
  LinkPair pair;
  REQUIRE(pair.RunUntilUp());
  pair.onCall = [](const CallRequest&, const std::shared_ptr<Responder>&) {
    throw std::runtime_error("no such run");
  };
  int thrown = 0;
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  const auto runUntil = [&](const std::function<bool()>& aCondition) {
    const auto ends = [&] { return aCondition() || std::chrono::steady_clock::now() > limit; };
    while (!ends()) {
      try {
        pair.Run(ends);
      } catch (const std::runtime_error&) {
        ++thrown;
      }
    }
    return aCondition();
  };
  pair.listener->StartCall(pair.link, TestRequest(1), {});
  CHECK(pair.listener->Send(pair.link, CreditDemand{ UpstreamId{ "up-1" }, 1, 2 }));
  CHECK(pair.listener->Send(pair.link, CreditDemand{ UpstreamId{ "up-1" }, 2, 2 }));
  CHECK(runUntil([&] { return pair.agent.messages.size() == 2 && thrown == 1; }));
  CHECK(pair.dialer->Send(Leave{ UpstreamId{ "up-1" }, Incarnation{ 1 } }));
  CHECK(runUntil([&] { return pair.entry.messages.size() == 1; }));
  CHECK(pair.listener->Send(pair.link, CreditDemand{ UpstreamId{ "up-1" }, 3, 2 }));
  CHECK(runUntil([&] { return pair.agent.messages.size() == 3; }));
  CHECK(pair.agent.downs.empty());
}
