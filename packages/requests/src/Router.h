// Selects the upstream for a call.
#pragma once

#include "Upstream.h"

#include "oriolespread/base/RandomSource.h"

#include <vector>

namespace oriolespread::internal {

// Power of two choices: draws two random candidates from the entry's own data centre and two from
// the other data centres, and picks the one with the lowest score. Not thread-safe.
class Router
{
public:
  static constexpr Duration kWarmUp = std::chrono::seconds(10);

  Router(DataCentreId aDataCentre, std::uint64_t aSeed);

  // Returns a serving upstream with credit whose worker is not in `aExcluded`, or null.
  // `aPoolLatencyNs` is the latency assumed of an upstream that was not measured yet.
  UpstreamPtr Pick(Instant aNow,
                   const std::vector<UpstreamPtr>& aPool,
                   const std::vector<WorkerId>& aExcluded,
                   double aPoolLatencyNs);

  // Returns the expected response time in nanoseconds, for comparison only.
  double Score(Instant aNow, const Upstream& aUpstream, double aPoolLatencyNs) const;

  // Returns the fraction of a full share of calls that an upstream gets, from 0.1 to 1. It rises
  // linearly during kWarmUp.
  static double WarmUpWeight(Instant aNow, const Upstream& aUpstream);

private:
  UpstreamPtr BestOfTwo(Instant aNow,
                        const std::vector<UpstreamPtr>& aCandidates,
                        double aPoolLatencyNs);

  DataCentreId dataCentre;
  RandomSource random;
  // Reused between calls to save allocations.
  std::vector<UpstreamPtr> localCandidates;
  std::vector<UpstreamPtr> remoteCandidates;
};

} // namespace oriolespread::internal
