// Processor time of the engine for one request, and what it holds after 200,000 requests.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/requests/RequestSimulation.h"

#include <chrono>
#include <fstream>

namespace oriolespread::bench {

namespace {

constexpr std::size_t kRequests = 200'000;

double ResidentMiB()
{
  std::ifstream statm("/proc/self/statm");
  double total = 0.0;
  double resident = 0.0;
  statm >> total >> resident;
  return resident * 4096.0 / (1024.0 * 1024.0);
}

// One entry and one agent; each request is answered at once.
void Run(BenchContext& aContext)
{
  const OrganisationId organisation{ "acme" };
  const ServiceName service{ "shop" };
  const LinkId link{ 1 };
  Counters counters;
  RequestEngine engine({ EntryId{ "e" }, Incarnation{ 1 }, DataCentreId{ "dc" }, aContext.Seed() },
                       counters);
  Instant now = Instant(std::chrono::seconds(1000));
  RequestEffects effects;
  RequestPolicy policy;
  policy.services.push_back({ organisation, service, {} });
  engine.Handle(now, PolicyChanged{ policy }, effects);
  engine.Handle(now, LinkUp{ link }, effects);
  Announce announce{
    AgentId{ "a" }, Incarnation{ 1 }, WorkerId{ "w" }, DataCentreId{ "dc" }, {}, {}, {}
  };
  for (int i = 0; i < 11; ++i) {
    announce.upstreams.push_back(
      { UpstreamId{ std::to_string(i) }, Incarnation{ 1 }, organisation, service, 8, 64 });
  }
  engine.Handle(now, LinkMessageReceived{ link, announce }, effects);
  for (const UpstreamInfo& info : announce.upstreams) {
    engine.Handle(
      now,
      LinkMessageReceived{ link, CreditGrant{ info.upstream, Incarnation{ 1 }, 1, 8, 64 } },
      effects);
  }
  const auto content = std::make_shared<RequestContent>(RequestContent{ "GET", "/", {}, "" });
  const auto answer = std::make_shared<ResponseContent>(ResponseContent{ 200, {}, "ok" });
  double residentAtHalf = 0.0;
  std::uint64_t sequence = 0;
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t i = 1; i <= kRequests; ++i) {
    now += std::chrono::microseconds(500);
    effects.clear();
    NewRequest request;
    request.id = { Incarnation{ 1 }, i };
    request.organisation = organisation;
    request.service = service;
    request.content = content;
    request.deadline = now + std::chrono::seconds(1);
    engine.Handle(now, request, effects);
    for (const RequestEffect& effect : RequestEffects(effects)) {
      if (const auto* call = std::get_if<StartCall>(&effect)) {
        engine.Handle(now, CallResponse{ call->call, call->request, answer }, effects);
      }
    }
    if (i % 400 == 0) {
      engine.Handle(now,
                    LinkMessageReceived{
                      link, LoadReport{ AgentId{ "a" }, Incarnation{ 1 }, ++sequence, {}, {} } },
                    effects);
    }
    if (i == kRequests / 2) {
      residentAtHalf = ResidentMiB();
    }
  }
  const auto spent = std::chrono::steady_clock::now() - begun;
  const RequestLoad load = engine.Load();
  aContext.Report({ "engine_time",
                    {},
                    std::chrono::duration<double, std::micro>(spent).count() / kRequests,
                    "us per request",
                    {} });
  aContext.Report({ "held_after_200000",
                    {},
                    static_cast<double>(load.requests + load.calls + load.queued),
                    "requests",
                    0.0 });
  aContext.Report({ "growth_over_last_100000", {}, ResidentMiB() - residentAtHalf, "MiB", 1.0 });
  aContext.Report({ "answered",
                    {},
                    static_cast<double>(counters.Get("request_outcomes_total", "answered")),
                    "requests",
                    static_cast<double>(kRequests),
                    BoundKind::AtLeast });
}

const BenchRegistration kCase{ "requests/cost", Run };

} // namespace

} // namespace oriolespread::bench
