// Decides when a second call is sent for a request whose first call is slow.
#pragma once

#include "LatencyHistogram.h"

namespace oriolespread::internal {

// One for each service. A hedge is due after the measured p95; the budget is a part of the calls.
// Not thread-safe.
class HedgePolicy
{
public:
  static constexpr double kTokensPerCall = 0.02;
  // Bounds a burst of hedges after a quiet time.
  static constexpr double kMaxTokens = 10.0;
  static constexpr double kHedgeQuantile = 0.95;
  static constexpr double kMinLatencyQuantile = 0.05;
  // Below this number of answers the p95 means nothing.
  static constexpr std::uint64_t kMinSamples = 100;
  // The p95 is computed anew after so many answers; computing walks the whole histogram.
  static constexpr std::uint64_t kSamplesPerRefresh = 64;

  void RecordCall();
  void RecordLatency(Duration aLatency);
  // Returns after which time a call counts as slow, or Duration::max() when that is not known yet.
  Duration HedgeDelay() const { return this->hedgeDelay; }
  // Returns a time in which hardly any call is answered; 0 when not known yet.
  Duration MinLatency() const { return this->minLatency; }
  // Returns the mean latency in nanoseconds over the last calls; 0 when not known yet.
  double MeanLatencyNs() const { return this->meanLatencyNs; }
  // Takes one hedge from the budget; returns false when it is spent.
  bool TryTakeToken();

private:
  LatencyHistogram latencies;
  Duration hedgeDelay = Duration::max();
  Duration minLatency = Duration::zero();
  double meanLatencyNs = 0.0;
  double tokens = 0.0;
};

} // namespace oriolespread::internal
