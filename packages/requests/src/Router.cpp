#include "Router.h"

#include "LatencyEstimate.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr double kMinWarmUpWeight = 0.1;

} // namespace

Router::Router(DataCentreId aDataCentre, std::uint64_t aSeed)
  : dataCentre(std::move(aDataCentre))
  , random(aSeed)
{
}

UpstreamPtr Router::Pick(Instant aNow,
                         const std::vector<UpstreamPtr>& aPool,
                         const std::vector<WorkerId>& aExcluded,
                         double aPoolLatencyNs)
{
  this->localCandidates.clear();
  this->remoteCandidates.clear();
  for (const UpstreamPtr& upstream : aPool) {
    if (!upstream->IsServing() || upstream->IsEjected(aNow) || !upstream->HasCredit() ||
        std::find(aExcluded.begin(), aExcluded.end(), upstream->worker) != aExcluded.end()) {
      continue;
    }
    (upstream->dataCentre == this->dataCentre ? this->localCandidates : this->remoteCandidates)
      .push_back(upstream);
  }
  const UpstreamPtr bestLocal = this->BestOfTwo(aNow, this->localCandidates, aPoolLatencyNs);
  const UpstreamPtr bestRemote = this->BestOfTwo(aNow, this->remoteCandidates, aPoolLatencyNs);
  if (bestLocal == nullptr || bestRemote == nullptr) {
    return bestLocal == nullptr ? bestRemote : bestLocal;
  }
  return this->Score(aNow, *bestRemote, aPoolLatencyNs) <
             this->Score(aNow, *bestLocal, aPoolLatencyNs)
           ? bestRemote
           : bestLocal;
}

double Router::Score(Instant aNow, const Upstream& aUpstream, double aPoolLatencyNs) const
{
  const double pending = aUpstream.ownInFlight + aUpstream.othersInFlight + 1.0;
  return pending * EstimateLatencyNs(aNow, aUpstream, aPoolLatencyNs) /
           WarmUpWeight(aNow, aUpstream) +
         static_cast<double>(aUpstream.roundTrip.count());
}

double Router::WarmUpWeight(Instant aNow, const Upstream& aUpstream)
{
  const double progress = std::chrono::duration<double>(aNow - aUpstream.warmUpStart) /
                          std::chrono::duration<double>(kWarmUp);
  return std::clamp(progress, kMinWarmUpWeight, 1.0);
}

UpstreamPtr Router::BestOfTwo(Instant aNow,
                              const std::vector<UpstreamPtr>& aCandidates,
                              double aPoolLatencyNs)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  const std::size_t first = this->random.Below(aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  const std::size_t second =
    (first + 1 + this->random.Below(aCandidates.size() - 1)) % aCandidates.size();
  return this->Score(aNow, *aCandidates[second], aPoolLatencyNs) <
             this->Score(aNow, *aCandidates[first], aPoolLatencyNs)
           ? aCandidates[second]
           : aCandidates[first];
}

} // namespace oriolespread::internal
