// Decides when a second call is sent for a request whose first call is slow.
#pragma once

#include "LatencyHistogram.h"

namespace oriolespread::internal {

// One for each service. A hedge is due after the measured p95; the budget is a part of the calls.
// Not thread-safe.
class HedgePolicy
{
public:
  static constexpr double kPerCall = 0.02;
  // Bounds a burst of hedges after a quiet time.
  static constexpr double kMost = 10.0;
  static constexpr double kQuantile = 0.95;
  static constexpr double kFastestQuantile = 0.05;
  // Below this number of answers the p95 means nothing.
  static constexpr std::uint64_t kMinSamples = 100;
  // The p95 is computed anew after so many answers; computing walks the whole histogram.
  static constexpr std::uint64_t kRefresh = 64;

  void RecordCall();
  void RecordAnswer(Duration aLatency);
  // Returns after which time a call counts as slow, or Duration::max() when that is not known yet.
  Duration Delay() const { return this->delay; }
  // Returns a time in which hardly any call is answered; 0 when not known yet.
  Duration Fastest() const { return this->fastest; }
  // Returns the mean latency in nanoseconds over the last calls; 0 when not known yet.
  double MeanNs() const { return this->meanNs; }
  // Takes one hedge from the budget; returns false when it is spent.
  bool TryTake();

private:
  LatencyHistogram latencies;
  Duration delay = Duration::max();
  Duration fastest = Duration::zero();
  double meanNs = 0.0;
  double tokens = 0.0;
};

} // namespace oriolespread::internal
