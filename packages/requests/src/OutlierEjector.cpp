#include "OutlierEjector.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// Weight of a new result in the moving average of the error rate.
constexpr double kErrorWeight = 0.2;
// The ejection count is reset when the last ejection ended longer ago than this.
constexpr Duration kEjectionCountExpiry = std::chrono::seconds(60);

} // namespace

OutlierEjector::OutlierEjector(Counters& aCounters)
  : counters(aCounters)
{
}

bool OutlierEjector::Record(Instant aNow,
                            Upstream& aUpstream,
                            bool aFailed,
                            const std::vector<UpstreamPtr>& aPool)
{
  aUpstream.errorRate += kErrorWeight * ((aFailed ? 1.0 : 0.0) - aUpstream.errorRate);
  ++aUpstream.samples;
  if (aUpstream.samples < kMinSamples || aUpstream.IsEjected(aNow)) {
    return false;
  }
  const bool failing = aUpstream.errorRate > kMaxErrorRate;
  const bool slow = !failing && IsSlow(aUpstream, aPool);
  if (!failing && !slow) {
    return false;
  }
  if (!MayEject(aNow, aPool)) {
    this->counters.Add("ejections_withheld_total", aUpstream.pool.service.Value());
    return false;
  }
  if (aUpstream.ejectionCount > 0 && aNow - aUpstream.ejectedUntil > kEjectionCountExpiry) {
    aUpstream.ejectionCount = 0;
  }
  aUpstream.ejectionCount = std::min(aUpstream.ejectionCount + 1, kMaxEjectionMultiplier);
  aUpstream.ejectedUntil = aNow + kBaseEjectionTime * aUpstream.ejectionCount;
  // Only results after this ejection count towards the next one.
  aUpstream.errorRate = 0.0;
  aUpstream.samples = 0;
  this->counters.Add("ejections_total", failing ? "errors" : "latency");
  return true;
}

bool OutlierEjector::MayEject(Instant aNow, const std::vector<UpstreamPtr>& aPool)
{
  std::size_t serving = 0;
  std::size_t ejected = 0;
  for (const UpstreamPtr& upstream : aPool) {
    serving += upstream->IsServing() ? 1 : 0;
    ejected += upstream->IsServing() && upstream->IsEjected(aNow) ? 1 : 0;
  }
  return (ejected + 1) * 3 <= serving;
}

bool OutlierEjector::IsSlow(const Upstream& aUpstream, const std::vector<UpstreamPtr>& aPool)
{
  std::vector<double> latencies;
  for (const UpstreamPtr& upstream : aPool) {
    if (upstream->IsServing() && upstream->latencyNs > 0.0) {
      latencies.push_back(upstream->latencyNs);
    }
  }
  // The median of fewer than three latencies does not represent a majority of the pool.
  if (latencies.size() < 3) {
    return false;
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return aUpstream.latencyNs > kLatencyFactor * *middle;
}

} // namespace oriolespread::internal
