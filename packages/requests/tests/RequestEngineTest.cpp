#include "EngineHarness.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a caller that gets no answer, two answers, or those of another request.
TEST_CASE("RequestEngine GivesOneWholeAnswerToEachRequest")
{
  EngineHarness h(2);
  const RequestId first = h.Send("GET");
  const RequestId second = h.Send("GET");
  const auto calls = h.All<StartCall>();
  REQUIRE(calls.size() == 2);
  h.Respond(calls[1]);
  h.Respond(calls[0]);
  h.Respond(calls[0]);
  CHECK(h.ResultOf(first) == "answered");
  CHECK(h.ResultOf(second) == "answered");
  CHECK(h.counters.Get("late_results_dropped_total", "answered") == 1);
  CHECK(h.engine.Load().requests == 0);
}

// Guards against handing one caller the answer to another's request.
TEST_CASE("RequestEngine RefusesAnAnswerThatEchoesAnotherRequest")
{
  EngineHarness h(1);
  const RequestId mine = h.Send("POST");
  const StartCall call = h.All<StartCall>().at(0);
  h.Handle(CallResponse{ call.call,
                         { Incarnation{ 1 }, 999 },
                         std::make_shared<ResponseContent>(ResponseContent{ 200, {}, "other" }) });
  CHECK(h.ResultOf(mine) == "unknown/answer_mismatched");
}

// Guards against running a non-idempotent request twice, and against calling it not run.
TEST_CASE("RequestEngine NeverRepeatsAPostWithoutProofThatItDidNotRun")
{
  EngineHarness h(3);
  const RequestId post = h.Send("POST");
  h.Handle(CallUnknown{ h.All<StartCall>().at(0).call, Reason::StreamReset });
  CHECK(h.All<StartCall>().size() == 1);
  CHECK(h.ResultOf(post) == "unknown/stream_reset");
}

// Guards against failing a request although another worker could still serve it.
TEST_CASE("RequestEngine RepeatsOnAnotherWorkerAfterProofOfNotRunOrWhenIdempotent")
{
  const bool proof = GENERATE(true, false);
  EngineHarness h(2);
  const RequestId id = h.Send(proof ? "POST" : "PUT");
  const StartCall first = h.All<StartCall>().at(0);
  h.Handle(proof ? RequestEvent(CallNotRun{ first.call, Reason::StreamRefused })
                 : RequestEvent(CallUnknown{ first.call, Reason::StreamReset }));
  const auto calls = h.All<StartCall>();
  REQUIRE(calls.size() == 2);
  CHECK(calls[1].upstream != first.upstream);
  h.Respond(calls[1]);
  CHECK(h.ResultOf(id) == "answered");
}

// Guards against "not run" when an earlier attempt may have run.
TEST_CASE("RequestEngine SaysUnknownWhenOnlyTheLastAttemptWasProvedNotRun")
{
  EngineHarness h(2);
  const RequestId id = h.Send("PUT");
  h.Handle(CallUnknown{ h.All<StartCall>().at(0).call, Reason::StreamReset });
  h.Handle(CallNotRun{ h.All<StartCall>().at(1).call, Reason::StreamRefused });
  CHECK(h.ResultOf(id) == "unknown/stream_refused");
}

// Guards against holding a request that cannot be served until its deadline.
TEST_CASE("RequestEngine GivesUpAtOnceWithRetryAfterWhenNoUpstreamIsLeft")
{
  EngineHarness h(1, 1);
  const RequestId running = h.Send("POST");
  const RequestId queued = h.Send("POST");
  h.Handle(LinkDown{ LinkId{ 1 } });
  CHECK(h.ResultOf(running) == "unknown/link_closed");
  CHECK(h.ResultOf(queued) == "not_run/no_upstream");
  const HttpHeaders headers = h.All<FinalResponse>().back().response->headers;
  CHECK(std::count(headers.begin(),
                   headers.end(),
                   std::pair<std::string, std::string>("Retry-After", "1")) == 1);
  CHECK(h.ResultOf(h.Send("GET")) == "not_run/no_upstream");
}

// Guards against a request that outlives its deadline, and against a late answer being delivered.
TEST_CASE("RequestEngine EndsAtTheDeadlineWithTheTrueOutcome")
{
  EngineHarness h(1, 1);
  const RequestId running = h.Send("POST");
  const RequestId queued = h.Send("POST");
  h.AdvanceTime(milliseconds(900));
  CHECK(h.ResultOf(running) == "none");
  h.AdvanceTime(milliseconds(100));
  CHECK(h.ResultOf(running) == "unknown/deadline_exceeded");
  CHECK(h.ResultOf(queued) == "not_run/deadline_unreachable");
  CHECK(h.All<CancelCall>().size() >= 1);
  h.Respond(h.All<StartCall>().at(0));
  CHECK(h.ResultOf(running) == "unknown/deadline_exceeded");
}

// Guards against new work for an upstream that leaves or is silent (P7), and against cutting off
// what it still runs (P8).
TEST_CASE("RequestEngine SendsNothingNewToALeavingOrSilentUpstream")
{
  const bool leaves = GENERATE(true, false);
  EngineHarness h(2, 100);
  const RequestId before = h.Send("POST", seconds(30));
  const UpstreamId used = h.All<StartCall>().at(0).upstream;
  const std::uint64_t agent = used == h.UpstreamOf(1) ? 1 : 2;
  if (leaves) {
    h.Handle(LinkMessageReceived{ LinkId{ agent }, Leave{ used, Incarnation{ 1 } } });
  } else {
    std::erase(h.agents, agent);
    h.AdvanceTime(milliseconds(1'500));
  }
  for (int i = 0; i < 20; ++i) {
    h.Send("POST");
    CHECK(h.All<StartCall>().back().upstream != used);
  }
  h.Respond(h.All<StartCall>().at(0));
  CHECK(h.ResultOf(before) == "answered");
  if (!leaves) {
    // Trusted again only after a new announcement.
    h.agents.push_back(agent);
    h.AdvanceTime(seconds(1));
    CHECK(h.counters.Total("upstreams_trusted_again_total") == 0);
    h.SendAnnounce(agent);
    CHECK(h.counters.Total("upstreams_trusted_again_total") == 1);
  }
}

// Guards against an entry that was itself paused holding every agent suspect when it wakes.
TEST_CASE("RequestEngine BlamesNoAgentForItsOwnPause")
{
  EngineHarness h(2);
  h.AdvanceTime(seconds(1));
  h.now += seconds(20);
  h.Handle(Tick{});
  CHECK(h.counters.Total("upstreams_suspected_total") == 0);
  CHECK(h.ResultOf(h.Send("GET")) == "none");
}

// Guards against losing the second answer of a hedge, and against hedging what may not run twice.
TEST_CASE("RequestEngine HedgesSlowIdempotentCallsAndCancelsTheLoser")
{
  const bool idempotent = GENERATE(true, false);
  EngineHarness h(3);
  for (int i = 0; i < 200; ++i) {
    h.Send("GET");
    h.now += milliseconds(2);
    h.Respond(h.All<StartCall>().back());
  }
  const std::size_t before = h.All<StartCall>().size();
  const RequestId slow = h.Send(idempotent ? "GET" : "POST");
  h.AdvanceTime(milliseconds(200));
  const auto calls = h.All<StartCall>();
  REQUIRE(calls.size() == before + (idempotent ? 2 : 1));
  h.Respond(calls.back());
  CHECK(h.ResultOf(slow) == "answered");
  CHECK(h.All<CancelCall>().size() == (idempotent ? 1 : 0));
}

// Guards against accepting work that a draining entry cannot finish, and against cutting off the
// rest before the end of the drain (P8).
TEST_CASE("RequestEngine DrainsWithoutCuttingOffWhatItHolds")
{
  EngineHarness h(1, 1);
  const RequestId running = h.Send("POST", seconds(60));
  const RequestId queued = h.Send("POST", seconds(60));
  const RequestId stuck = h.Send("POST", seconds(60));
  h.Handle(DrainRequested{ h.now + seconds(30) });
  CHECK(h.ResultOf(h.Send("GET")) == "not_run/draining");
  h.AdvanceTime(seconds(10));
  h.Respond(h.All<StartCall>().at(0));
  h.Respond(h.All<StartCall>().at(1));
  CHECK(h.ResultOf(running) == "answered");
  CHECK(h.ResultOf(queued) == "answered");
  CHECK_FALSE(h.engine.IsDrained());
  h.AdvanceTime(seconds(21));
  CHECK(h.ResultOf(stuck) == "unknown/draining");
  CHECK(h.engine.IsDrained());
}

// Guards against bypassing admission, and against one organisation filling the entry's memory.
TEST_CASE("RequestEngine RefusesUnknownServicesAndMoreThanAnOrganisationMayHold")
{
  EngineHarness h(1, 1);
  RequestPolicy policy;
  policy.organisations.push_back({ kOrganisation, 1.0, 1, 3 });
  policy.services.push_back({ kOrganisation, kService, {} });
  h.Handle(PolicyChanged{ policy });
  h.Send("GET");
  h.Send("GET");
  CHECK(h.ResultOf(h.Send("GET")) == "not_run/queue_full");
  policy.organisations.back().queueLimit = 5;
  h.Handle(PolicyChanged{ policy });
  h.Send("GET");
  CHECK(h.ResultOf(h.Send("GET")) == "not_run/organisation_limit");
  h.Handle(PolicyChanged{});
  CHECK(h.ResultOf(h.Send("GET")) == "not_run/unknown_service");
}
