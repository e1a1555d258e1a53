// Estimates the latency of an upstream without the link's round trip.
#pragma once

#include "Upstream.h"

namespace oriolespread::internal {

// Adds the latency of one call as measured by the entry, including the link's round trip.
void AddMeasuredLatency(Instant aNow, Upstream& aUpstream, Duration aLatency);

// Adds the mean latency of `aCount` calls as reported by the agent, without the round trip.
void AddReportedLatency(Instant aNow, Upstream& aUpstream, Duration aMean, std::uint32_t aCount);

// Returns the estimate for scoring. Without new samples it decays towards `aPoolLatencyNs` within
// seconds, so that an upstream that was slow is tried again.
double EstimateLatencyNs(Instant aNow, const Upstream& aUpstream, double aPoolLatencyNs);

} // namespace oriolespread::internal
