// Tail latency of the router against round robin and random choice: 11 workers in 3 data centres at
// 70% load, one worker 5 times slower, reports that lag by 1 s.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

namespace {

constexpr double kLoad = 0.7;
constexpr double kBound = 0.5;

struct Result
{
  double p50 = 0.0;
  double p99 = 0.0;
  double slowShare = 0.0;
  double failedShare = 0.0;
};

Result Measure(std::uint64_t aSeed, RoutingPolicy aPolicy, double aSlowFactor)
{
  SimulationOptions options;
  options.policy = aPolicy;
  options.seed = aSeed;
  options.slowFactor = aSlowFactor;
  options.reportLag = std::chrono::seconds(1);
  const OrganisationId organisation{ "acme" };
  const double capacity = static_cast<double>(options.workers * options.slots) /
                          std::chrono::duration<double>(options.meanService).count();
  options.traffic.push_back({ organisation, kLoad * capacity });
  RequestSimulation site(options);
  site.Run(std::chrono::seconds(15), false);
  site.Run(std::chrono::seconds(30), true);
  site.Finish();
  const RequestStatistics total = site.Total();
  Result result;
  result.p50 = total.QuantileMs(0.5);
  result.p99 = total.QuantileMs(0.99);
  std::size_t served = 0;
  for (std::size_t worker = 0; worker < options.workers; ++worker) {
    served += site.ServedBy(worker);
  }
  result.slowShare = static_cast<double>(site.ServedBy(0)) / static_cast<double>(served);
  result.failedShare =
    static_cast<double>(total.notRun + total.unknown) / static_cast<double>(total.offered);
  return result;
}

void Run(BenchContext& aContext)
{
  const Result engine = Measure(aContext.Seed(), RoutingPolicy::Engine, 5.0);
  const Result robin = Measure(aContext.Seed(), RoutingPolicy::RoundRobin, 5.0);
  const Result random = Measure(aContext.Seed(), RoutingPolicy::Random, 5.0);
  const Result within = Measure(aContext.Seed(), RoutingPolicy::RoundRobinWithinSlots, 5.0);
  const Result even = Measure(aContext.Seed(), RoutingPolicy::Engine, 1.0);
  aContext.Report({ "p50", robin.p50, engine.p50, "ms", {} });
  aContext.Report({ "p99", robin.p99, engine.p99, "ms", {} });
  aContext.Report({ "p99_to_round_robin", 1.0, engine.p99 / robin.p99, "ratio", kBound });
  aContext.Report({ "p99_to_random", 1.0, engine.p99 / random.p99, "ratio", kBound });
  aContext.Report(
    { "p99_to_round_robin_within_slots", within.p99, engine.p99 / within.p99, "ratio", {} });
  aContext.Report({ "share_of_slow_worker", within.slowShare, engine.slowShare, "ratio", {} });
  aContext.Report({ "failed", {}, engine.failedShare, "ratio", {} });
  aContext.Report({ "p99_without_slow_worker", {}, even.p99, "ms", {} });
}

const BenchRegistration kCase{ "requests/routing", Run };

} // namespace

} // namespace oriolespread::bench
