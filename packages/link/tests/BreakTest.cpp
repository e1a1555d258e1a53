#include "LinkPair.h"

#include "oriolespread/link_testing/Relay.h"

#include <set>

using namespace oriolespread;

namespace {

// A pair whose connection runs over a relay.
struct RelayedPair
{
  explicit RelayedPair(std::function<void(Relay::Direction, std::string&)> aTamper = {},
                       LinkListenerOptions aListener = TestListenerOptions())
  {
    this->pair.listener.reset();
    this->pair.dialer.reset();
    const LinkLimits limits = aListener.limits;
    this->pair.StartListener(std::move(aListener));
    this->relay = std::make_unique<RelayServer>(this->pair.context, this->pair.listener->Port());
    this->relay->tamper = std::move(aTamper);
    LinkDialerOptions options = TestDialerOptions(this->relay->Port());
    options.limits = limits;
    this->pair.StartDialer(std::move(options));
  }

  LinkPair pair;
  std::unique_ptr<RelayServer> relay;
};

// Breaks the link after each number of bytes in one direction, and returns how the calls ended.
std::set<CallEnd> SweepBreaks(Relay::Direction aDirection,
                              std::size_t aBodyBytes,
                              std::size_t aStep)
{
  std::set<CallEnd> ends;
  std::size_t end = 1;
  for (std::size_t at = 0; at <= end; at += aStep) {
    RelayedPair relayed;
    LinkPair& pair = relayed.pair;
    REQUIRE(pair.RunUntilUp());
    const std::size_t before = relayed.relay->current->passed[aDirection];
    const CallRequest request = TestRequest(at + 1, std::string(aBodyBytes, 'b'));
    if (at == 0) {
      // The first round tells how many bytes one call takes.
      REQUIRE(pair.Call(request).end == CallEnd::Answered);
      end = relayed.relay->current->passed[aDirection] - before;
      continue;
    }
    relayed.relay->current->CutAfter(aDirection, at);
    const CallResult result = pair.Call(request);
    // What reached the agent before the cut is handled before the agent sees the end.
    pair.Run([&] { return !pair.agent.downs.empty(); });
    INFO("cut after " << at << " of " << end << " bytes: " << result.reason);
    if (result.end == CallEnd::NotRun) {
      CHECK(pair.received.empty());
    }
    if (result.end == CallEnd::Answered) {
      CHECK(result.answer.body == request.body);
      CHECK(pair.received.size() == 1);
    }
    ends.insert(result.end);
  }
  return ends;
}

} // namespace

// Guards against a wrong claim when the link breaks inside the request: before its headers, in its
// body and after the agent got it.
TEST_CASE("Link ClaimsNothingFalseWhenBrokenAtAnyByteOfTheRequest")
{
  const auto ends = SweepBreaks(Relay::ToAgent, 50, 1);
  CHECK(ends.count(CallEnd::Unknown) == 1);
  SweepBreaks(Relay::ToAgent, 300'000, 7'919);
}

// Guards against a truncated answer that is delivered as whole.
TEST_CASE("Link ClaimsNothingFalseWhenBrokenAtAnyByteOfTheAnswer")
{
  const auto ends = SweepBreaks(Relay::ToEntry, 50, 1);
  CHECK(ends.count(CallEnd::Unknown) == 1);
  SweepBreaks(Relay::ToEntry, 300'000, 7'919);
}

// Guards against calls that stay unanswered, or are claimed to be unknown, when nothing was sent.
TEST_CASE("Link ReportsNotRunWhenNothingWasWritten")
{
  LinkPair pair;
  REQUIRE(pair.RunUntilUp());
  std::optional<CallResult> result;
  pair.listener->StartCall(
    pair.link, TestRequest(1), [&](const CallResult& aResult) { result = aResult; });
  pair.listener->CloseLink(pair.link);
  CHECK_FALSE(result.has_value());
  REQUIRE(pair.Run([&] { return result.has_value(); }));
  CHECK(result->end == CallEnd::NotRun);
  REQUIRE(pair.Run([&] { return !pair.agent.downs.empty(); }));
  CHECK(pair.received.empty());
  CHECK(pair.Call(TestRequest(2)).reason == "link_not_up");
}

TEST_CASE("Link ReportsUnknownWhenBrokenAfterTheAgentGotTheCall")
{
  LinkPair pair;
  std::shared_ptr<Responder> held;
  pair.onCall = [&](const CallRequest&, std::shared_ptr<Responder> aResponder) {
    held = std::move(aResponder);
  };
  REQUIRE(pair.RunUntilUp());
  std::optional<CallResult> result;
  pair.listener->StartCall(
    pair.link, TestRequest(1), [&](const CallResult& aResult) { result = aResult; });
  REQUIRE(pair.Run([&] { return held != nullptr; }));
  pair.dialer->Close();
  CHECK(held->IsCancelled());
  REQUIRE(pair.Run([&] { return result.has_value() && !pair.entry.downs.empty(); }));
  CHECK(result->end == CallEnd::Unknown);
  CHECK(pair.entryCounters.Get("link_calls_unknown_total", result->reason) == 1);
  held->Answer({ 200, {}, "late" });
}

TEST_CASE("Link ReconnectsAfterEachLoss")
{
  RelayedPair relayed;
  LinkPair& pair = relayed.pair;
  for (std::size_t round = 1; round <= 5; ++round) {
    REQUIRE(
      pair.Run([&] { return pair.entry.ups.size() == round && pair.agent.ups.size() == round; }));
    CHECK(pair.Call(TestRequest(round)).end == CallEnd::Answered);
    relayed.relay->current->Cut();
    REQUIRE(pair.Run(
      [&] { return pair.entry.downs.size() == round && pair.agent.downs.size() == round; }));
  }
}

// Guards against a crash or a call without an end when bytes are damaged on the way.
TEST_CASE("Link EndsEveryCallWhenBytesAreDamaged")
{
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  RandomSource random(seed);
  LinkListenerOptions options = TestListenerOptions();
  options.limits.handshakeTimeout = std::chrono::milliseconds(200);
  options.limits.pingInterval = std::chrono::milliseconds(20);
  options.limits.pingTimeout = std::chrono::milliseconds(50);
  RelayedPair relayed(
    [&](Relay::Direction, std::string& aBytes) {
      if (!aBytes.empty() && random.Chance(0.2)) {
        aBytes[random.Below(aBytes.size())] = static_cast<char>(random.Next());
      }
    },
    options);
  LinkPair& pair = relayed.pair;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    pair.Run([&] { return pair.entry.ups.size() > pair.entry.downs.size(); });
    pair.dialer->Send(Leave{ UpstreamId{ "up-1" }, Incarnation{ i } });
    pair.Call(TestRequest(i, std::string(random.Below(3'000), 'x')));
  }
  CHECK(pair.entryCounters.Total("link_closed_total") +
          pair.entryCounters.Total("link_handshake_failed_total") >
        0);
}
