#include "TestSite.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::test;

namespace {

std::string ReasonOf(const httplib::Result& aResult)
{
  return aResult ? aResult->get_header_value("Oriolespread-Outcome") + "/" +
                     aResult->get_header_value("Oriolespread-Reason")
                 : "no answer";
}

} // namespace

// Guards against an answer that is cut, altered or given to another request on its way.
TEST_CASE("Site ReturnsTheWholeAnswerToEachOfManyRequests")
{
  TestSite site;
  site.AddEntry();
  site.AddAgent();
  site.AddAgent();
  site.Configure();
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int count = 0; count < 25; ++count) {
        const std::string body(static_cast<std::size_t>(1 + count * 997),
                               static_cast<char>('a' + caller));
        const std::string path = "/p" + std::to_string(caller) + "-" + std::to_string(count);
        const auto result = site.Send(0,
                                      "POST",
                                      "/v1/services/lookup" + path,
                                      "acme-token",
                                      body,
                                      { { "Oriolespread-Deadline-Ms", "20000" } });
        const auto answer =
          result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        const bool right = result && result->status == 200 && answer.is_object() &&
                           answer.value("path", "") == path && answer.value("body", "") == body;
        wrong += right ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(wrong.load() == 0);
}

// Guards against telling one organisation what another one has.
TEST_CASE("Site MakesAnotherOrganisationsWorkLookUnknown")
{
  TestSite site;
  site.AddEntry();
  site.AddAgent();
  site.Configure();
  const auto foreign = site.Send(0, "GET", "/v1/services/lookup/", "other-token");
  const auto absent = site.Send(0, "GET", "/v1/services/nothing/", "other-token");
  REQUIRE(foreign);
  REQUIRE(absent);
  CHECK(foreign->status == absent->status);
  CHECK(foreign->body == absent->body);
  REQUIRE(site.Send(0,
                    "POST",
                    "/v1/jobs",
                    "acme-token",
                    R"({"job": "j", "program": "p", "resources": {"cores": 1, "memory_mib": 1}})"));
  const auto foreignJob = site.Send(0, "GET", "/v1/jobs/j", "other-token");
  const auto absentJob = site.Send(0, "GET", "/v1/jobs/k", "other-token");
  REQUIRE(foreignJob);
  REQUIRE(absentJob);
  CHECK(foreignJob->status == absentJob->status);
  CHECK(foreignJob->body == absentJob->body);
  CHECK(site.Send(0, "GET", "/v1/services/lookup/", "wrong")->status == 401);
  CHECK(site.Send(0, "POST", "/v1/tickets", "acme-token", "{}")->status == 401);
}

// Guards against calling a request not run although the upstream has received it.
TEST_CASE("Site SaysUnknownForARequestWhoseUpstreamWasStoppedWhileItRan")
{
  TestSite site;
  site.AddEntry();
  TestAgent& agent = site.AddAgent();
  site.Configure();
  const int before = agent.upstream->Total();
  httplib::Result result{ nullptr, httplib::Error::Unknown };
  std::thread caller([&] {
    result =
      site.Send(0,
                "POST",
                "/v1/services/lookup/",
                "acme-token",
                "claim",
                { { "Stand-In-Delay-Ms", "1000" }, { "Oriolespread-Deadline-Ms", "20000" } });
  });
  REQUIRE(WaitUntil([&] { return agent.upstream->Total() > before; }));
  agent.server->Abort();
  caller.join();
  CHECK(ReasonOf(result).starts_with("unknown/"));
  CHECK(agent.upstream->Total() == before + 1);
}

// Guards against a store outage that stops the serving of requests.
TEST_CASE("Site ServesRequestsWhileTheStoreIsDownAndRefusesOnlyWhatNeedsIt")
{
  TestSite site;
  site.AddEntry();
  TestAgent& agent = site.AddAgent();
  site.Configure();
  site.platform.Faults().down = true;
  for (int count = 0; count < 20; ++count) {
    const auto result = site.Send(0, "GET", "/v1/services/lookup/", "acme-token");
    INFO(ReasonOf(result));
    CHECK((result && result->status == 200));
  }
  const int before = agent.upstream->Total();
  const auto keyed = site.Send(
    0, "POST", "/v1/services/lookup/", "acme-token", "claim", { { "Idempotency-Key", "k1" } });
  CHECK(ReasonOf(keyed) == "not_run/store_unavailable");
  CHECK(agent.upstream->Total() == before);
  const auto ticket =
    site.Send(0,
              "POST",
              "/v1/tickets",
              kOperatorToken,
              R"({"id": "t", "based_on": 1, "author": "a", "changes": {"organisation/x": {}}})");
  REQUIRE(ticket);
  CHECK(ticket->status == 503);
}

// Guards against running a claim twice when its caller asks again at another entry.
TEST_CASE("Site RunsAKeyedRequestOnceThroughTwoEntries")
{
  TestSite site;
  site.AddEntry();
  site.AddEntry();
  TestAgent& agent = site.AddAgent();
  site.Configure();
  REQUIRE(WaitUntil([&] {
    const auto result = site.Send(1, "GET", "/v1/services/lookup/", "acme-token");
    return result && result->status == 200;
  }));
  const int before = agent.upstream->Total();
  const httplib::Headers key = { { "Idempotency-Key", "claim-17" },
                                 { "Oriolespread-Deadline-Ms", "20000" } };
  const auto first = site.Send(0, "POST", "/v1/services/lookup/", "acme-token", "claim", key);
  REQUIRE(first);
  INFO(ReasonOf(first));
  REQUIRE(first->status == 200);
  httplib::Result second{ nullptr, httplib::Error::Unknown };
  // The answer is recorded after it was given to the first caller.
  REQUIRE(WaitUntil([&] {
    second = site.Send(1, "POST", "/v1/services/lookup/", "acme-token", "claim", key);
    return second && second->status == 200;
  }));
  CHECK(second->body == first->body);
  CHECK(agent.upstream->Total() == before + 1);
}

// Guards against a planned stop that breaks requests in flight.
TEST_CASE("Site AnswersRequestsInFlightWhileAnAgentAndThenTheEntryStop")
{
  TestSite site;
  site.AddEntry();
  TestAgent& first = site.AddAgent();
  site.AddAgent();
  site.Configure();
  // Both upstreams serve before the first agent stops; otherwise nothing can take its requests.
  REQUIRE(WaitUntil([&] {
    site.Send(0, "GET", "/v1/services/lookup/", "acme-token");
    return site.agents[0].upstream->Total() > 0 && site.agents[1].upstream->Total() > 0;
  }));
  std::atomic<int> failed = 0;
  std::mutex failuresMutex;
  std::string failures;
  std::atomic<int> inFlight = 0;
  const auto call = [&] {
    ++inFlight;
    const auto result =
      site.Send(0,
                "POST",
                "/v1/services/lookup/",
                "acme-token",
                "x",
                { { "Stand-In-Delay-Ms", "300" }, { "Oriolespread-Deadline-Ms", "20000" } });
    if (!result || result->status != 200) {
      ++failed;
      const std::lock_guard lock(failuresMutex);
      failures += ReasonOf(result) + " ";
    }
  };
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int count = 0; count < 8; ++count) {
    callers.emplace_back(call);
  }
  REQUIRE(WaitUntil([&] { return first.upstream->Total() > 0 && inFlight.load() == 8; }));
  CHECK(first.server->Shutdown());
  for (std::thread& caller : callers) {
    caller.join();
  }
  INFO("failed requests: " << failures);
  CHECK(failed.load() == 0);

  TestAgent& second = site.agents[1];
  const int before = second.upstream->Total();
  std::thread last(call);
  REQUIRE(WaitUntil([&] { return second.upstream->Total() > before; }));
  CHECK(site.entries[0]->Shutdown());
  last.join();
  CHECK(failed.load() == 0);
}

// Guards against a crash or a hang when a port is fed with something else than its protocol.
TEST_CASE("Site SurvivesGarbageOnEveryPort")
{
  TestSite site;
  EntryServer& entry = site.AddEntry();
  TestAgent& agent = site.AddAgent();
  site.Configure();
  const std::string garbage = "\x16\x03\x01 not what is spoken here \xff\xfe\r\n\r\n";
  for (const std::uint16_t port :
       { entry.HttpPort(), entry.LinkPort(), agent.server->HttpPort() }) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::error_code error;
    asio::write(socket, asio::buffer(garbage), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    INFO("port " << port);
    CHECK(error);
  }
  httplib::Client local("127.0.0.1", agent.server->HttpPort());
  CHECK(local.Post("/v1/upstreams", "{\"upstream\": 3}", "application/json")->status == 400);
  CHECK(site.Send(0, "POST", "/v1/jobs", "acme-token", "\xff{")->status == 400);
  const std::string part(6'000, 'x');
  const httplib::Headers large = { { "A", part }, { "B", part }, { "C", part } };
  CHECK(site.Send(0, "GET", "/v1/services/lookup/", "acme-token", "", large)->status == 431);
  CHECK(site
          .Send(0,
                "GET",
                "/v1/services/lookup/",
                "acme-token",
                "",
                { { "Oriolespread-Deadline-Ms", "soon" } })
          ->status == 400);
  CHECK(site.Send(0, "GET", "/v1/services/lookup/", "acme-token")->status == 200);
}
