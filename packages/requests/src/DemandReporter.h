// Reports to agents how many slots of their upstreams this entry could use.
#pragma once

#include "Upstream.h"
#include "absl/container/flat_hash_map.h"

#include <vector>

namespace oriolespread::internal {

// Sends a demand only when it has changed. The caller calls Report every kReportInterval, which at
// 60 bytes per message bounds the traffic to 600 bytes per second and upstream. Not thread-safe.
class DemandReporter
{
public:
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);

  // `aQueued` is the number of requests in the queue of this pool.
  void Report(const std::vector<UpstreamPtr>& aPool, std::size_t aQueued, RequestEffects& aEffects);
  void LinkDown(LinkId aLink);

private:
  absl::flat_hash_map<LinkId, absl::flat_hash_map<UpstreamId, CreditDemand>> lastSent;
};

} // namespace oriolespread::internal
