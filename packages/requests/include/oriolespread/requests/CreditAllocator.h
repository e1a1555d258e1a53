// Divides the slots and connections of an agent's upstreams among the entries that are linked to
// it, and refuses calls above the granted credit:
//
//   allocator.SetUpstream(upstream, incarnation, 8, 64);
//   allocator.AddLink(link);
//   for (const LinkGrant& grant : allocator.TakeChangedGrants()) { Send(grant.link, grant.grant); }
//   if (!allocator.TryBeginCall(link, upstream)) { /* refuse with no_credit: it is not run */ }
//   allocator.EndCall(link, upstream); // when the call has ended, also after a cancellation
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/requests/RequestEvents.h"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolespread {

struct LinkGrant
{
  LinkId link;
  CreditGrant grant;
};

// Slots are divided max-min fair by demand. Slots without demand are divided evenly, so that an
// entry can send at once when its demand rises. Every open link gets at least 1 slot while slots
// suffice. Connections are granted in proportion to the slots and limit the calls in flight: calls
// beyond the slots cover the link's round trip and wait at the agent. A link whose slots were
// reduced holds its former slots while its calls run. The sum of granted and held slots never
// exceeds the limit, and neither does that of connections, except for calls that began before the
// limit was lowered. Not thread-safe. `aCounters` must outlive the allocator.
class CreditAllocator
{
public:
  explicit CreditAllocator(Counters& aCounters);

  // Adds an upstream or changes its limits. A new incarnation causes all grants to be sent again.
  void SetUpstream(const UpstreamId& aUpstream,
                   Incarnation aIncarnation,
                   std::uint32_t aSlots,
                   std::uint32_t aConnections);
  // EndCall may still be called for calls in flight.
  void RemoveUpstream(const UpstreamId& aUpstream);

  void AddLink(LinkId aLink);
  // Credit that is held by the link's calls in flight is returned as they end.
  void RemoveLink(LinkId aLink);

  void SetDemand(LinkId aLink, const CreditDemand& aDemand);

  // Returns whether the link may start another call, and counts the call as in flight if so.
  bool TryBeginCall(LinkId aLink, const UpstreamId& aUpstream);
  void EndCall(LinkId aLink, const UpstreamId& aUpstream);

  // Returns the grants that have changed since the last call, for open links only.
  std::vector<LinkGrant> TakeChangedGrants();
  // Returns all current grants of one link, to be sent after a repeated announcement.
  std::vector<LinkGrant> CurrentGrants(LinkId aLink);

  std::uint32_t InFlight(const UpstreamId& aUpstream) const;
  // Return what is granted to or held by calls in flight of all links.
  std::uint32_t CommittedSlots(const UpstreamId& aUpstream) const;
  std::uint32_t CommittedConnections(const UpstreamId& aUpstream) const;

private:
  struct LinkShare
  {
    std::uint32_t demand = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t inFlight = 0;
    // Slots held by calls in flight, at most the slots that were granted when they began.
    std::uint32_t heldSlots = 0;
    bool linkOpen = true;
    bool changed = true;
    // Decides which links get the remainder of an uneven division. The order differs between
    // upstreams; with an order by link, one entry would get the smaller share of every upstream.
    std::uint64_t tieBreakRank = 0;
  };
  using Shares = std::map<LinkId, LinkShare>;
  struct UpstreamCapacity
  {
    Incarnation incarnation;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t sequence = 0;
    bool removed = false;
    Shares shares;
  };

  static LinkShare MakeLinkShare(const UpstreamId& aUpstream, LinkId aLink);
  static void Reallocate(UpstreamCapacity& aCapacity);
  static CreditGrant MakeGrant(const UpstreamId& aUpstream,
                               UpstreamCapacity& aCapacity,
                               const LinkShare& aShare);

  Counters& counters;
  std::map<UpstreamId, UpstreamCapacity> upstreams;
  std::vector<LinkId> links;
};

} // namespace oriolespread
