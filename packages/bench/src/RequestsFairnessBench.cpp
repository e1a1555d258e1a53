// An organisation at 10 times its share against the tail latency of another on the same upstreams.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

namespace {

const OrganisationId kQuiet{ "quiet" };
const OrganisationId kNoisy{ "noisy" };
// Each organisation's share at 70% load of both together.
constexpr double kShare = 0.35;
constexpr double kNoise = 10.0;
constexpr double kBound = 1.2;

RequestStatistics Measure(std::uint64_t aSeed, double aNoise)
{
  SimulationOptions options;
  options.seed = aSeed;
  const double capacity = static_cast<double>(options.workers * options.slots) /
                          std::chrono::duration<double>(options.meanService).count();
  options.traffic.push_back({ kQuiet, kShare * capacity });
  options.traffic.push_back({ kNoisy, kShare * capacity });
  RequestSimulation site(options);
  site.Run(std::chrono::seconds(15), false);
  site.SetRate(kNoisy, aNoise * kShare * capacity);
  // Measured from the first moment of the noise.
  site.Run(std::chrono::seconds(15), true);
  site.SetRate(kNoisy, 0.0);
  site.Finish();
  return site.Of(kQuiet);
}

void Run(BenchContext& aContext)
{
  const RequestStatistics quiet = Measure(aContext.Seed(), 1.0);
  const RequestStatistics noisy = Measure(aContext.Seed(), kNoise);
  const double before = quiet.QuantileMs(0.99);
  const double during = noisy.QuantileMs(0.99);
  aContext.Report({ "quiet_p50", quiet.QuantileMs(0.5), noisy.QuantileMs(0.5), "ms", {} });
  aContext.Report({ "quiet_p99", before, during, "ms", {} });
  aContext.Report({ "quiet_p99_ratio", 1.0, during / before, "ratio", kBound });
  aContext.Report({ "quiet_failed",
                    static_cast<double>(quiet.notRun + quiet.unknown),
                    static_cast<double>(noisy.notRun + noisy.unknown),
                    "requests",
                    {} });
}

const BenchRegistration kCase{ "requests/noisy_organisation", Run };

} // namespace

} // namespace oriolespread::bench
