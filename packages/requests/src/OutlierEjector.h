// Temporarily ejects upstreams that fail or are slow compared with the others of their pool.
#pragma once

#include "Upstream.h"

#include "oriolespread/base/Counters.h"

#include <vector>

namespace oriolespread::internal {

// An upstream is an outlier when most of its recent calls failed, or when its latency exceeds
// kLatencyFactor times the median of its pool. It is ejected for kBaseEjectionTime times its
// ejection count. At most a third of a pool's serving upstreams are ejected at a time, so that at
// least one remains. Not thread-safe.
class OutlierEjector
{
public:
  static constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
  // An upstream with fewer results is never ejected.
  static constexpr std::uint32_t kMinSamples = 5;
  static constexpr double kMaxErrorRate = 0.5;
  static constexpr double kLatencyFactor = 3.0;
  static constexpr std::uint32_t kMaxEjectionMultiplier = 6;

  explicit OutlierEjector(Counters& aCounters);

  // Records the result of a call and ejects the upstream if it is an outlier. Returns whether it
  // was ejected.
  bool Record(Instant aNow,
              Upstream& aUpstream,
              bool aFailed,
              const std::vector<UpstreamPtr>& aPool);

private:
  static bool MayEject(Instant aNow, const std::vector<UpstreamPtr>& aPool);
  static bool IsSlow(const Upstream& aUpstream, const std::vector<UpstreamPtr>& aPool);

  Counters& counters;
};

} // namespace oriolespread::internal
