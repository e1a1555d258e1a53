#include "EngineHarness.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a caller that gets no response, two responses, or the response to another request.
TEST_CASE("RequestEngine SendsExactlyOneResponseToEachRequest")
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

// Guards against sending a caller the response to another request.
TEST_CASE("RequestEngine RejectsAResponseWithTheIdOfAnotherRequest")
{
  EngineHarness h(1);
  const RequestId mine = h.Send("POST");
  const StartCall call = h.All<StartCall>().at(0);
  h.Handle(CallResponse{ call.call,
                         { Incarnation{ 1 }, 999 },
                         std::make_shared<ResponseContent>(ResponseContent{ 200, {}, "other" }) });
  CHECK(h.ResultOf(mine) == "unknown/answer_mismatched");
}

// Guards against running a non-idempotent request twice, and against reporting it as not run.
TEST_CASE("RequestEngine NeverRepeatsAPostWithoutProofThatItDidNotRun")
{
  EngineHarness h(3);
  const RequestId post = h.Send("POST");
  h.Handle(CallUnknown{ h.All<StartCall>().at(0).call, Reason::StreamReset });
  CHECK(h.All<StartCall>().size() == 1);
  CHECK(h.ResultOf(post) == "unknown/stream_reset");
}

// Guards against failing a request that another worker could still serve.
TEST_CASE("RequestEngine RetriesOnAnotherWorkerWhenNotRunOrIdempotent")
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

// Guards against reporting not_run when an earlier attempt may have run.
TEST_CASE("RequestEngine ReportsUnknownWhenOnlyTheLastAttemptIsProvenNotRun")
{
  EngineHarness h(2);
  const RequestId id = h.Send("PUT");
  h.Handle(CallUnknown{ h.All<StartCall>().at(0).call, Reason::StreamReset });
  h.Handle(CallNotRun{ h.All<StartCall>().at(1).call, Reason::StreamRefused });
  CHECK(h.ResultOf(id) == "unknown/stream_refused");
}

// Guards against keeping a request until its deadline when it cannot be served.
TEST_CASE("RequestEngine FailsImmediatelyWithRetryAfterWhenNoUpstreamIsLeft")
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

// Guards against a request that outlives its deadline, and against delivering a late response.
TEST_CASE("RequestEngine FailsAtTheDeadlineWithTheCorrectOutcome")
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

// Guards against new calls to an upstream that is leaving or suspect, and against aborting its
// running calls.
TEST_CASE("RequestEngine StartsNoCallsOnALeavingOrSuspectUpstream")
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
    // A suspect agent is trusted again only after a new announcement.
    h.agents.push_back(agent);
    h.AdvanceTime(seconds(1));
    CHECK(h.counters.Total("upstreams_trusted_again_total") == 0);
    h.SendAnnounce(agent);
    CHECK(h.counters.Total("upstreams_trusted_again_total") == 1);
  }
}

// Guards against an entry that suspects every agent after it was paused itself.
TEST_CASE("RequestEngine SuspectsNoAgentAfterItsOwnPause")
{
  EngineHarness h(2);
  h.AdvanceTime(seconds(1));
  h.now += seconds(20);
  h.Handle(Tick{});
  CHECK(h.counters.Total("upstreams_suspected_total") == 0);
  CHECK(h.ResultOf(h.Send("GET")) == "none");
}

// Guards against losing the response to a hedge, and against hedging non-idempotent requests.
TEST_CASE("RequestEngine HedgesSlowIdempotentCallsAndCancelsTheSlowerCall")
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

// Guards against accepting requests that a draining entry cannot finish, and against aborting its
// remaining requests before the end of the drain.
TEST_CASE("RequestEngine DrainsWithoutAbortingRequestsInProgress")
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

// Guards against admitting requests that the policy does not allow, and against an organisation
// using up the entry's memory.
TEST_CASE("RequestEngine RefusesUnknownServicesAndRequestsAboveTheLimits")
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
