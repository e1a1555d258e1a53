#include "LinkPair.h"

#include "oriolespread/link_testing/Relay.h"

#include <asio/post.hpp>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <map>

using namespace oriolespread;

namespace {

std::size_t OpenFiles()
{
  const std::filesystem::directory_iterator files("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string BodyOf(std::uint64_t aNumber)
{
  return std::to_string(aNumber) + ":" + std::string(aNumber * 37 % 20'000, 'a' + aNumber % 26);
}

} // namespace

// Guards against answers that reach another call or arrive in part.
TEST_CASE("Link GivesEachOfManyParallelCallsItsOwnAnswer")
{
  const std::uint64_t seed = GENERATE(11, 12);
  CAPTURE(seed);
  RandomSource random(seed);
  LinkPair pair;
  std::vector<std::pair<CallRequest, std::shared_ptr<Responder>>> held;
  pair.onCall = [&](CallRequest aRequest, std::shared_ptr<Responder> aResponder) {
    held.emplace_back(std::move(aRequest), std::move(aResponder));
  };
  REQUIRE(pair.RunUntilUp());
  constexpr std::uint64_t kCalls = 2'000;
  std::uint64_t started = 0;
  std::map<std::uint64_t, CallResult> results;
  const auto start = [&] {
    while (started < kCalls && started - results.size() < 200) {
      const std::uint64_t number = ++started;
      pair.listener->StartCall(
        pair.link, TestRequest(number, BodyOf(number)), [&, number](const CallResult& aResult) {
          results[number] = aResult;
        });
    }
  };
  REQUIRE(pair.Run([&] {
    start();
    while (!held.empty() && (held.size() > 50 || started == kCalls || random.Chance(0.1))) {
      std::swap(held[random.Below(held.size())], held.back());
      held.back().second->Answer({ 200, {}, held.back().first.body });
      held.pop_back();
    }
    return results.size() == kCalls;
  }));
  for (const auto& [number, result] : results) {
    CAPTURE(number, result.reason);
    REQUIRE(result.end == CallEnd::Answered);
    REQUIRE(result.answer.body == BodyOf(number));
  }
}

// Guards against a drain that cuts off an answer or leaves a call without a true outcome.
TEST_CASE("LinkDialer DrainUnderLoadCutsOffNothing")
{
  const std::uint64_t seed = GENERATE(range(1, 11));
  CAPTURE(seed);
  RandomSource random(seed);
  LinkPair pair;
  std::vector<std::pair<CallRequest, std::shared_ptr<Responder>>> held;
  std::size_t handled = 0;
  pair.onCall = [&](CallRequest aRequest, std::shared_ptr<Responder> aResponder) {
    ++handled;
    held.emplace_back(std::move(aRequest), std::move(aResponder));
  };
  REQUIRE(pair.RunUntilUp());
  std::map<std::uint64_t, CallResult> results;
  std::uint64_t started = 0;
  const std::uint64_t drainAt = 100 + random.Below(200);
  REQUIRE(pair.Run([&] {
    if (started < 500 && started - results.size() < 100) {
      const std::uint64_t number = ++started;
      pair.listener->StartCall(
        pair.link,
        TestRequest(number, BodyOf(number * 11)),
        [&, number](const CallResult& aResult) { results[number] = aResult; });
      pair.listener->Send(pair.link, CreditDemand{ UpstreamId{ "up-1" }, 1, 1 });
    }
    if (started == drainAt) {
      pair.dialer->Drain();
    }
    if (!held.empty() && (held.size() > 60 || started == 500)) {
      std::swap(held[random.Below(held.size())], held.back());
      held.back().second->Answer({ 200, {}, held.back().first.body });
      held.pop_back();
    }
    return results.size() == 500;
  }));
  std::size_t answered = 0;
  for (const auto& [number, result] : results) {
    CAPTURE(number, result.reason);
    REQUIRE(result.end != CallEnd::Unknown);
    if (result.end == CallEnd::Answered) {
      ++answered;
      REQUIRE(result.answer.body == BodyOf(number * 11));
    }
  }
  CHECK(answered == handled);
  REQUIRE(pair.Run([&] { return !pair.agent.downs.empty() && !pair.entry.downs.empty(); }));
  CHECK(pair.agent.downs[0] == "drained");
  CHECK(pair.entry.downs[0] == "drained");
}

TEST_CASE("LinkListener DropsAndCountsLateAnswersAfterCancel")
{
  LinkPair pair;
  std::vector<std::shared_ptr<Responder>> held;
  pair.onCall = [&](const CallRequest&, std::shared_ptr<Responder> aResponder) {
    held.push_back(std::move(aResponder));
  };
  REQUIRE(pair.RunUntilUp());
  int results = 0;
  const auto count = [&](const CallResult&) { ++results; };
  const CallId first = pair.listener->StartCall(pair.link, TestRequest(1), count);
  const CallId second = pair.listener->StartCall(pair.link, TestRequest(2), count);
  CHECK(first != second);
  REQUIRE(pair.Run([&] { return held.size() == 2; }));
  pair.listener->CancelCall(first);
  REQUIRE(pair.Run([&] { return held[0]->IsCancelled(); }));
  held[0]->Answer({ 200, {}, "late" });
  CHECK(pair.agentCounters.Get("link_answers_dropped_total", "cancelled") == 1);
  // The answer and the cancellation cross on the way.
  held[1]->Answer({ 200, {}, "late" });
  held[1]->Answer({ 200, {}, "again" });
  CHECK(pair.agentCounters.Get("link_answers_dropped_total", "repeated") == 1);
  pair.listener->CancelCall(second);
  REQUIRE(
    pair.Run([&] { return pair.entryCounters.Get("link_answers_dropped_total", "late") == 1; }));
  CHECK(results == 0);
}

TEST_CASE("Responder ReleasedWithoutAnswerEndsTheCallAsUnknown")
{
  LinkPair pair;
  pair.onCall = [](const CallRequest&, const std::shared_ptr<Responder>&) {};
  REQUIRE(pair.RunUntilUp());
  CHECK(pair.Call(TestRequest(1)).end == CallEnd::Unknown);
  pair.onCall = [](const CallRequest&, const std::shared_ptr<Responder>& aResponder) {
    aResponder->Answer({ 200, {}, std::string((8U << 20U) + 1, 'x') });
  };
  CHECK(pair.Call(TestRequest(2)).end == CallEnd::Unknown);
  CHECK(pair.agentCounters.Get("link_answers_dropped_total", "body_too_large") == 1);
}

TEST_CASE("LinkListener RefusesOversizedAndExcessCallsAsNotRun")
{
  LinkListenerOptions options = TestListenerOptions();
  options.limits.streams = 2;
  LinkPair pair(options);
  std::vector<std::shared_ptr<Responder>> held;
  pair.onCall = [&](const CallRequest&, std::shared_ptr<Responder> aResponder) {
    held.push_back(std::move(aResponder));
  };
  REQUIRE(pair.RunUntilUp());
  CHECK(pair.Call(TestRequest(1, std::string((8U << 20U) + 1, 'x'))).reason == "body_too_large");
  CallRequest request = TestRequest(2);
  request.headers.push_back({ "x-long", std::string(40'000, 'x') });
  CHECK(pair.Call(request).reason == "headers_too_large");
  request.headers.back().value = "line\nbreak";
  CHECK(pair.Call(request).reason == "bad_header");
  pair.listener->StartCall(pair.link, TestRequest(3), {});
  pair.listener->StartCall(pair.link, TestRequest(4), {});
  const CallResult third = pair.Call(TestRequest(5));
  CHECK(third.end == CallEnd::NotRun);
  CHECK(third.reason == "too_many_streams");
}

namespace {

// A pair with a second agent, on a loop that stands still once its link is up.
struct StoppedAgent
{
  explicit StoppedAgent(const LinkListenerOptions& aOptions)
    : pair(aOptions)
  {
    REQUIRE(this->pair.RunUntilUp());
    this->live = this->pair.link;
    bool up = false;
    LinkDialerHandlers handlers;
    handlers.up = [&up](const EntryId&, const DataCentreId&) { up = true; };
    auto made = LinkDialer::Create(
      this->stopped, TestDialerOptions(this->pair.listener->Port()), handlers, this->counters);
    REQUIRE(made.ok());
    this->dialer = *std::move(made);
    REQUIRE(this->pair.Run([&] {
      this->stopped.poll();
      return up && this->pair.entry.ups.size() == 2;
    }));
  }

  LinkPair pair;
  LinkId live;
  asio::io_context stopped;
  Counters counters;
  std::unique_ptr<LinkDialer> dialer;
};

} // namespace

// Guards against output without bound towards a peer that stopped reading, and against one such
// peer that holds up others.
TEST_CASE("Link BoundsItsOutputWhenThePeerStopsReading")
{
  LinkListenerOptions options = TestListenerOptions();
  options.limits.pendingMessageBytes = 1U << 20U;
  StoppedAgent side(options);
  LinkPair& pair = side.pair;
  EntryDirectory large;
  large.entries.resize(1'000, { EntryId{ "entry" }, DataCentreId{ "dc" }, "127.0.0.1:1" });
  const LinkId full = pair.link;
  REQUIRE(pair.Run([&] { return !pair.listener->Send(full, large); }));
  CHECK(pair.entryCounters.Get("link_messages_refused_total", "output_full") == 1);
  pair.link = side.live;
  CHECK(pair.Call(TestRequest(1)).end == CallEnd::Answered);
}

// Guards against a link to a dead peer that stays.
TEST_CASE("Link ClosesWhenThePeerMissesAPing")
{
  LinkListenerOptions options = TestListenerOptions();
  options.limits.pingInterval = std::chrono::milliseconds(100);
  options.limits.pingTimeout = std::chrono::milliseconds(500);
  StoppedAgent side(options);
  REQUIRE(side.pair.Run([&] { return !side.pair.entry.downs.empty(); }));
  CHECK(side.pair.entry.downs[0] == "ping_timeout");
  CHECK(side.pair.entryCounters.Get("link_closed_total", "ping_timeout") >= 1);
}

TEST_CASE("Link RefusesOversizedMessages")
{
  LinkListenerOptions options = TestListenerOptions();
  options.limits.messageBytes = 1'000;
  LinkPair pair(options);
  REQUIRE(pair.RunUntilUp());
  EntryDirectory large;
  large.entries.resize(100, { EntryId{ "entry" }, DataCentreId{ "dc" }, "127.0.0.1:1" });
  CHECK_FALSE(pair.listener->Send(pair.link, large));
  CHECK(pair.entryCounters.Get("link_messages_refused_total", "too_large") == 1);
  REQUIRE(pair.dialer->Send(large));
  REQUIRE(pair.Run([&] { return !pair.entry.downs.empty(); }));
  CHECK(pair.entry.downs[0] == "message_too_large");
}

// Guards against use after free when a handler destroys its own side.
TEST_CASE("Link SurvivesDestructionInsideHandlers")
{
  LinkPair pair;
  pair.onCall = [&](const CallRequest&, const std::shared_ptr<Responder>& aResponder) {
    pair.dialer.reset();
    aResponder->Answer({ 200, {}, "nobody" });
  };
  REQUIRE(pair.RunUntilUp());
  bool ended = false;
  pair.listener->StartCall(pair.link, TestRequest(1), [&](const CallResult& aResult) {
    CHECK(aResult.end == CallEnd::Unknown);
    pair.listener.reset();
    ended = true;
  });
  REQUIRE(pair.Run([&] { return ended; }));
}

// Guards against sockets that stay open after both sides are gone.
TEST_CASE("Link LeavesNoSocketBehind")
{
  const std::size_t before = OpenFiles();
  for (int round = 0; round < 20; ++round) {
    LinkPair pair;
    REQUIRE(pair.RunUntilUp());
    pair.listener->StartCall(pair.link, TestRequest(1), {});
    if (round % 2 == 0) {
      pair.dialer->Close();
      pair.listener->Close();
      REQUIRE(pair.Run([&] { return !pair.entry.downs.empty(); }));
    }
  }
  CHECK(OpenFiles() == before);
}
