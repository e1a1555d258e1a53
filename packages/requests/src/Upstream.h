// The state that an entry keeps for one upstream.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <memory>

namespace oriolespread::internal {

// Identifies the pool of upstreams of one service. Organisations with the same provider share it.
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

// Shared with the calls in flight, which keep an upstream alive after it has left the membership.
struct Upstream
{
  // Set from the announcement.
  UpstreamId id;
  Incarnation incarnation;
  AgentId agent;
  WorkerId worker;
  DataCentreId dataCentre;
  LinkId link;
  PoolKey pool;
  Duration roundTrip = Duration::zero();
  // Set when the upstream joins and when it is no longer suspect.
  Instant warmUpStart;

  // Membership.
  bool leaving = false;
  bool suspect = false;
  // No longer a member; only calls in flight still refer to it.
  bool removed = false;

  // Credit. `creditRefused` is set when the agent has refused a call with no_credit: the grant is
  // outdated until the next grant or report for this upstream.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t grantSequence = 0;
  bool creditRefused = false;
  std::uint32_t ownInFlight = 0;
  // Highest ownInFlight since the last CreditDemand.
  std::uint32_t peakInFlight = 0;

  // Calls of other entries at the last report, in flight and queued.
  std::uint32_t othersInFlight = 0;
  // Estimated latency of the upstream without the link's round trip; 0 before the first
  // measurement.
  double latencyNs = 0.0;
  Instant latencyUpdated;

  // Outlier ejection.
  Instant ejectedUntil = Instant::min();
  std::uint32_t ejectionCount = 0;
  // Moving average of failures, and number of results since the last ejection.
  double errorRate = 0.0;
  std::uint32_t samples = 0;

  bool IsServing() const { return !this->leaving && !this->suspect && !this->removed; }
  bool IsEjected(Instant aNow) const { return aNow < this->ejectedUntil; }
  // Returns the number of calls in flight that keeps the granted slots busy. A call occupies a slot
  // for the upstream's latency, but is in flight for the link's round trip as well. With a limit
  // equal to the slots, a distant upstream would be idle during each round trip.
  std::uint32_t InFlightLimit() const
  {
    const double roundTripRatio =
      this->latencyNs == 0.0 ? 0.0 : static_cast<double>(this->roundTrip.count()) / this->latencyNs;
    const double limit = std::ceil(this->slots * (1.0 + roundTripRatio));
    return static_cast<std::uint32_t>(std::min<double>(limit, this->connections));
  }
  bool HasCredit() const
  {
    return !this->creditRefused && this->ownInFlight < this->InFlightLimit();
  }
};

using UpstreamPtr = std::shared_ptr<Upstream>;

} // namespace oriolespread::internal
