// What an entry knows of one upstream.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <memory>

namespace oriolespread::internal {

// Upstreams that answer for one service; organisations that share a provider share the pool.
struct PoolKey
{
  OrganisationId provider;
  ServiceName service;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const PoolKey& aKey)
  {
    return H::combine(std::move(aState), aKey.provider, aKey.service);
  }
};

// Calls in flight keep their upstream alive after it has left the membership.
struct Upstream
{
  // From the announcement.
  UpstreamId id;
  Incarnation incarnation;
  AgentId agent;
  WorkerId worker;
  DataCentreId dataCentre;
  LinkId link;
  PoolKey pool;
  Duration roundTrip = Duration::zero();
  Instant joined;

  // Membership.
  bool leaving = false;
  bool suspect = false;
  // No longer a member; only calls still refer to it.
  bool removed = false;

  // Credit. `refused` stands for a no_credit answer: the grant is out of date until the next
  // message about this upstream.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t grantSequence = 0;
  bool creditRefused = false;
  std::uint32_t ownInFlight = 0;
  // Highest ownInFlight since the last CreditDemand.
  std::uint32_t peakInFlight = 0;

  // Load of other entries at the last report.
  std::uint32_t othersInFlight = 0;
  // Estimated time in the upstream without the link, 0 before the first measurement.
  double latencyNs = 0.0;
  Instant latencyUpdated;

  // Outlier ejection.
  Instant ejectedUntil = Instant::min();
  std::uint32_t ejectionCount = 0;
  // Results since the last verdict.
  double errorRate = 0.0;
  std::uint32_t samples = 0;

  bool IsServing() const { return !this->leaving && !this->suspect && !this->removed; }
  bool IsEjected(Instant aNow) const { return aNow < this->ejectedUntil; }
  // Returns how many calls may be in flight: as many as keep the granted slots busy. A call holds
  // its slot for the latency and counts as in flight for the link's round trip more, so that with
  // the slots alone a far upstream would stand idle for that part of the time.
  std::uint32_t InFlightLimit() const
  {
    const double onLink =
      this->latencyNs == 0.0 ? 0.0 : static_cast<double>(this->roundTrip.count()) / this->latencyNs;
    const double limit = std::ceil(this->slots * (1.0 + onLink));
    return static_cast<std::uint32_t>(std::min<double>(limit, this->connections));
  }
  bool HasCredit() const
  {
    return !this->creditRefused && this->ownInFlight < this->InFlightLimit();
  }
};

using UpstreamPtr = std::shared_ptr<Upstream>;

} // namespace oriolespread::internal
