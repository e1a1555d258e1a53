// Decides when a hedge, a second call for the same request, is sent because the first one is slow.
#pragma once

#include "LatencyHistogram.h"

namespace oriolespread::internal {

// One per service. A hedge is due after the measured p95 latency. A token bucket limits hedges to a
// fraction of the calls. Not thread-safe.
class HedgePolicy
{
public:
  static constexpr double kTokensPerCall = 0.02;
  // Bounds the burst of hedges after a period without hedges.
  static constexpr double kMaxTokens = 10.0;
  static constexpr double kHedgeQuantile = 0.95;
  static constexpr double kMinLatencyQuantile = 0.05;
  // With fewer samples the p95 is not meaningful.
  static constexpr std::uint64_t kMinSamples = 100;
  // Number of samples between computations of the quantiles, each of which scans the histogram.
  static constexpr std::uint64_t kSamplesPerRefresh = 64;

  void RecordCall();
  void RecordLatency(Duration aLatency);
  // Returns the time after which a call counts as slow; Duration::max() while it is not known.
  Duration HedgeDelay() const { return this->hedgeDelay; }
  // Returns the quantile kMinLatencyQuantile of the latency; 0 while it is not known.
  Duration MinLatency() const { return this->minLatency; }
  // Returns the moving average of the latency in nanoseconds; 0 before the first sample.
  double MeanLatencyNs() const { return this->meanLatencyNs; }
  // Takes a token for one hedge; returns false when there is none.
  bool TryTakeToken();

private:
  LatencyHistogram latencies;
  Duration hedgeDelay = Duration::max();
  Duration minLatency = Duration::zero();
  double meanLatencyNs = 0.0;
  double tokens = 0.0;
};

} // namespace oriolespread::internal
