#include "DemandReporter.h"

#include <algorithm>

namespace oriolespread::internal {

void DemandReporter::Report(const std::vector<UpstreamPtr>& aPool,
                            std::size_t aQueued,
                            RequestEffects& aEffects)
{
  const auto serving = static_cast<std::size_t>(std::count_if(
    aPool.begin(), aPool.end(), [](const UpstreamPtr& aItem) { return aItem->IsServing(); }));
  const std::size_t queuedPerUpstream = serving == 0 ? 0 : (aQueued + serving - 1) / serving;
  for (const UpstreamPtr& upstream : aPool) {
    const auto queued = static_cast<std::uint32_t>(upstream->IsServing() ? queuedPerUpstream : 0);
    const CreditDemand demand{ upstream->id, queued, upstream->peakInFlight };
    upstream->peakInFlight = upstream->ownInFlight;
    CreditDemand& last = this->lastSent[upstream->link][upstream->id];
    if (last.queued != demand.queued || last.inFlight != demand.inFlight) {
      last = demand;
      aEffects.emplace_back(SendCreditDemand{ upstream->link, demand });
    }
  }
}

void DemandReporter::LinkDown(LinkId aLink)
{
  this->lastSent.erase(aLink);
}

} // namespace oriolespread::internal
