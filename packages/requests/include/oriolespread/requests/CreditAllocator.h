// Divides the slots and connections of an agent's upstreams among the entries that are linked with
// it, and refuses calls above what it has granted:
//
//   ledger.SetUpstream(upstream, incarnation, 8, 64);
//   ledger.AddLink(link);
//   for (const LinkGrant& grant : ledger.TakeChangedGrants()) { Send(grant.link, grant.grant); }
//   if (!ledger.TryBeginCall(link, upstream)) { /* refuse with no_credit: proof of not run */ }
//   ledger.End(link, upstream); // when the upstream's call has ended, also after a cancellation
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

// Slots are divided max-min fair by demand; what no demand takes is spread evenly, so that an entry
// can send at once when its demand rises. Every live link gets at least 1 while slots suffice.
// Connections follow the slots in proportion and bound the calls in flight: those beyond the slots
// cover the time on the link and wait at the upstream. A link that was cut holds its former slots
// while its calls run, and neither what is granted and held of slots nor of connections ever
// exceeds the limit, except for calls that were begun before the limit was lowered. Not
// thread-safe. `aCounters` must outlive the ledger.
class CreditAllocator
{
public:
  explicit CreditAllocator(Counters& aCounters);

  // Adds an upstream or changes its limits. A new incarnation restarts the grants' sequence.
  void SetUpstream(const UpstreamId& aUpstream,
                   Incarnation aIncarnation,
                   std::uint32_t aSlots,
                   std::uint32_t aConnections);
  // Calls that are in flight may still be ended after this.
  void RemoveUpstream(const UpstreamId& aUpstream);

  void AddLink(LinkId aLink);
  // The credit that the link's calls in flight hold returns as they end.
  void RemoveLink(LinkId aLink);

  void SetDemand(LinkId aLink, const CreditDemand& aDemand);

  // Returns whether the link may run one more call; counts it as in flight when so.
  bool TryBeginCall(LinkId aLink, const UpstreamId& aUpstream);
  void EndCall(LinkId aLink, const UpstreamId& aUpstream);

  // Returns the grants that have changed since the last call, for live links only.
  std::vector<LinkGrant> TakeChangedGrants();
  // Returns the grants of one link as they are; used when a link has been announced to again.
  std::vector<LinkGrant> CurrentGrants(LinkId aLink);

  std::uint32_t InFlight(const UpstreamId& aUpstream) const;
  // Return what is granted or held by calls in flight, summed over all links.
  std::uint32_t CommittedSlots(const UpstreamId& aUpstream) const;
  std::uint32_t CommittedConnections(const UpstreamId& aUpstream) const;

private:
  struct LinkShare
  {
    std::uint32_t demand = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t inFlight = 0;
    // Slots that calls in flight still use, at most what was granted when they began.
    std::uint32_t heldSlots = 0;
    bool linkOpen = true;
    bool changed = true;
    // Decides who gets the odd slot, in another order for each upstream; by link alone one entry
    // would get the small share of every upstream.
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
