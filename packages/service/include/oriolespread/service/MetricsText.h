// Metrics in the Prometheus text format.
#pragma once

#include "oriolespread/base/Counters.h"

#include <map>
#include <string>

namespace oriolespread {

class LatencyHistogram;

// Returns every counter as oriolespread_<name>{reason="<label>"}, every gauge as
// oriolespread_<name>, and every histogram as oriolespread_<name>_seconds.
std::string MetricsText(const Counters& aCounters,
                        const std::map<std::string, double>& aGauges,
                        const std::map<std::string, const LatencyHistogram*>& aHistograms);

} // namespace oriolespread
