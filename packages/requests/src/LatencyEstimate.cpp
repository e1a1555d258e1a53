#include "LatencyEstimate.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::internal {

namespace {

constexpr double kMeasuredWeight = 0.1;
// Reports are outdated by their lag, so one report moves the estimate no more than a few calls of
// this entry do.
constexpr double kMaxReportedWeight = 0.3;
constexpr double kDecaySeconds = 10.0;

void UpdateAverage(Instant aNow, Upstream& aUpstream, Duration aValue, double aWeight)
{
  const auto value = static_cast<double>(std::max(aValue, Duration(1)).count());
  aUpstream.latencyNs = aUpstream.latencyNs == 0.0
                          ? value
                          : aUpstream.latencyNs + aWeight * (value - aUpstream.latencyNs);
  aUpstream.latencyUpdated = aNow;
}

} // namespace

void AddMeasuredLatency(Instant aNow, Upstream& aUpstream, Duration aLatency)
{
  UpdateAverage(aNow, aUpstream, aLatency - aUpstream.roundTrip, kMeasuredWeight);
}

void AddReportedLatency(Instant aNow, Upstream& aUpstream, Duration aMean, std::uint32_t aCount)
{
  const double weight = 1.0 - std::pow(1.0 - kMeasuredWeight, aCount);
  UpdateAverage(aNow, aUpstream, aMean, std::min(weight, kMaxReportedWeight));
}

double EstimateLatencyNs(Instant aNow, const Upstream& aUpstream, double aPoolLatencyNs)
{
  if (aUpstream.latencyNs == 0.0) {
    return aPoolLatencyNs;
  }
  const double age = std::chrono::duration<double>(aNow - aUpstream.latencyUpdated).count();
  const double retained = std::exp(-age / kDecaySeconds);
  return retained * aUpstream.latencyNs + (1.0 - retained) * aPoolLatencyNs;
}

} // namespace oriolespread::internal
