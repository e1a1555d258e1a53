// Tells agents how much of their upstreams this entry could use.
#pragma once

#include "Upstream.h"
#include "absl/container/flat_hash_map.h"

#include <vector>

namespace oriolespread::internal {

// Sends a demand when it has changed, at most one each kInterval for an upstream: at 60 bytes a
// message that is 600 bytes a second. Not thread-safe.
class DemandReporter
{
public:
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);

  // `aQueued` requests wait for the upstreams of the pool.
  void Report(const std::vector<UpstreamPtr>& aPool, std::size_t aQueued, RequestEffects& aEffects);
  void LinkDown(LinkId aLink);

private:
  absl::flat_hash_map<LinkId, absl::flat_hash_map<UpstreamId, CreditDemand>> lastSent;
};

} // namespace oriolespread::internal
