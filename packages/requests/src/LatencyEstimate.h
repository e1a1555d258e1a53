// Estimate of the time that an upstream takes for a request, without the link.
#pragma once

#include "Upstream.h"

namespace oriolespread::internal {

// Adds the latency of one call as the entry measured it.
void AddMeasuredLatency(Instant aNow, Upstream& aUpstream, Duration aLatency);

// Adds the mean of `aCount` answers that the agent reports.
void AddReportedLatency(Instant aNow, Upstream& aUpstream, Duration aMean, std::uint32_t aCount);

// Returns the estimate for scoring. An estimate that is not renewed returns to `aPoolNs` over
// seconds, so that an upstream that was slow is tried again.
double EstimateLatencyNs(Instant aNow, const Upstream& aUpstream, double aPoolLatencyNs);

} // namespace oriolespread::internal
