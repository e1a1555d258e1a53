#include "Router.h"

#include "LatencyEstimate.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr double kLowestWeight = 0.1;

} // namespace

Router::Router(DataCentreId aDataCentre, std::uint64_t aSeed)
  : dataCentre(std::move(aDataCentre))
  , random(aSeed)
{
}

UpstreamPtr Router::Pick(Instant aNow,
                         const std::vector<UpstreamPtr>& aPool,
                         const std::vector<WorkerId>& aExcluded,
                         double aPoolNs)
{
  this->near.clear();
  this->far.clear();
  for (const UpstreamPtr& upstream : aPool) {
    if (!upstream->IsServing() || upstream->IsEjected(aNow) || !upstream->HasCredit() ||
        std::find(aExcluded.begin(), aExcluded.end(), upstream->worker) != aExcluded.end()) {
      continue;
    }
    (upstream->dataCentre == this->dataCentre ? this->near : this->far).push_back(upstream);
  }
  const UpstreamPtr nearest = this->BestOfTwo(aNow, this->near, aPoolNs);
  const UpstreamPtr other = this->BestOfTwo(aNow, this->far, aPoolNs);
  if (nearest == nullptr || other == nullptr) {
    return nearest == nullptr ? other : nearest;
  }
  return this->Score(aNow, *other, aPoolNs) < this->Score(aNow, *nearest, aPoolNs) ? other
                                                                                   : nearest;
}

double Router::Score(Instant aNow, const Upstream& aUpstream, double aPoolNs) const
{
  const double ahead = aUpstream.ownInFlight + aUpstream.othersInFlight + 1.0;
  return ahead * EstimateNs(aNow, aUpstream, aPoolNs) / WarmUpWeight(aNow, aUpstream) +
         static_cast<double>(aUpstream.roundTrip.count());
}

double Router::WarmUpWeight(Instant aNow, const Upstream& aUpstream)
{
  const double done =
    std::chrono::duration<double>(aNow - aUpstream.joined) / std::chrono::duration<double>(kWarmUp);
  return std::clamp(done, kLowestWeight, 1.0);
}

UpstreamPtr Router::BestOfTwo(Instant aNow, const std::vector<UpstreamPtr>& aFrom, double aPoolNs)
{
  if (aFrom.empty()) {
    return nullptr;
  }
  const std::size_t first = this->random.Below(aFrom.size());
  if (aFrom.size() == 1) {
    return aFrom[first];
  }
  const std::size_t second = (first + 1 + this->random.Below(aFrom.size() - 1)) % aFrom.size();
  return this->Score(aNow, *aFrom[second], aPoolNs) < this->Score(aNow, *aFrom[first], aPoolNs)
           ? aFrom[second]
           : aFrom[first];
}

} // namespace oriolespread::internal
