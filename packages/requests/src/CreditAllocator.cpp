#include "oriolespread/requests/CreditAllocator.h"

#include "CreditDivision.h"

#include <xxhash.h>

#include <algorithm>

namespace oriolespread {

CreditAllocator::CreditAllocator(Counters& aCounters)
  : counters(aCounters)
{
}

void CreditAllocator::SetUpstream(const UpstreamId& aUpstream,
                                  Incarnation aIncarnation,
                                  std::uint32_t aSlots,
                                  std::uint32_t aConnections)
{
  UpstreamCapacity& capacity = this->upstreams[aUpstream];
  const bool newIncarnation = capacity.incarnation != aIncarnation || capacity.removed;
  capacity.incarnation = aIncarnation;
  capacity.slots = aSlots;
  capacity.connections = aConnections;
  capacity.removed = false;
  for (const LinkId link : this->links) {
    LinkShare& share =
      capacity.shares.try_emplace(link, MakeLinkShare(aUpstream, link)).first->second;
    share.changed = share.changed || newIncarnation;
  }
  Reallocate(capacity);
}

void CreditAllocator::RemoveUpstream(const UpstreamId& aUpstream)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end()) {
    return;
  }
  UpstreamCapacity& capacity = found->second;
  capacity.removed = true;
  capacity.slots = 0;
  capacity.connections = 0;
  Reallocate(capacity);
  if (this->InFlight(aUpstream) == 0) {
    this->upstreams.erase(found);
  }
}

void CreditAllocator::AddLink(LinkId aLink)
{
  if (std::find(this->links.begin(), this->links.end(), aLink) != this->links.end()) {
    return;
  }
  this->links.push_back(aLink);
  for (auto& [upstream, capacity] : this->upstreams) {
    capacity.shares[aLink] = MakeLinkShare(upstream, aLink);
    Reallocate(capacity);
  }
}

void CreditAllocator::RemoveLink(LinkId aLink)
{
  std::erase(this->links, aLink);
  for (auto& [upstream, capacity] : this->upstreams) {
    const auto found = capacity.shares.find(aLink);
    if (found == capacity.shares.end()) {
      continue;
    }
    found->second.linkOpen = false;
    found->second.demand = 0;
    if (found->second.inFlight == 0) {
      capacity.shares.erase(found);
    }
    Reallocate(capacity);
  }
}

void CreditAllocator::SetDemand(LinkId aLink, const CreditDemand& aDemand)
{
  const auto found = this->upstreams.find(aDemand.upstream);
  if (found == this->upstreams.end()) {
    this->counters.Add("credit_demands_ignored_total", "unknown_upstream");
    return;
  }
  const auto share = found->second.shares.find(aLink);
  if (share == found->second.shares.end() || !share->second.linkOpen) {
    this->counters.Add("credit_demands_ignored_total", "unknown_link");
    return;
  }
  // Limits each term on its own, so that values of a faulty entry cannot overflow the sum.
  const std::uint32_t limit = found->second.slots;
  share->second.demand = std::min(aDemand.queued, limit) + std::min(aDemand.inFlight, limit);
  Reallocate(found->second);
}

bool CreditAllocator::TryBeginCall(LinkId aLink, const UpstreamId& aUpstream)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end() || found->second.removed) {
    this->counters.Add("calls_refused_total", "unknown_upstream");
    return false;
  }
  const auto share = found->second.shares.find(aLink);
  if (share == found->second.shares.end() || !share->second.linkOpen) {
    this->counters.Add("calls_refused_total", "unknown_link");
    return false;
  }
  if (share->second.inFlight >= share->second.connections) {
    this->counters.Add("calls_refused_total", "no_credit");
    return false;
  }
  ++share->second.inFlight;
  share->second.heldSlots =
    std::min(share->second.inFlight, std::max(share->second.heldSlots, share->second.slots));
  return true;
}

void CreditAllocator::EndCall(LinkId aLink, const UpstreamId& aUpstream)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end()) {
    return;
  }
  UpstreamCapacity& capacity = found->second;
  const auto share = capacity.shares.find(aLink);
  if (share == capacity.shares.end() || share->second.inFlight == 0) {
    this->counters.Add("credit_errors_total", "end_without_begin");
    return;
  }
  --share->second.inFlight;
  const bool freesCredit = share->second.inFlight < share->second.heldSlots;
  if (!share->second.linkOpen && share->second.inFlight == 0) {
    capacity.shares.erase(share);
  }
  if (capacity.removed && this->InFlight(aUpstream) == 0) {
    this->upstreams.erase(found);
    return;
  }
  if (freesCredit) {
    Reallocate(capacity);
  }
}

std::vector<LinkGrant> CreditAllocator::TakeChangedGrants()
{
  std::vector<LinkGrant> grants;
  for (auto& [upstream, capacity] : this->upstreams) {
    for (auto& [link, share] : capacity.shares) {
      if (share.linkOpen && share.changed) {
        share.changed = false;
        grants.push_back({ link, MakeGrant(upstream, capacity, share) });
      }
    }
  }
  return grants;
}

std::vector<LinkGrant> CreditAllocator::CurrentGrants(LinkId aLink)
{
  std::vector<LinkGrant> grants;
  for (auto& [upstream, capacity] : this->upstreams) {
    const auto share = capacity.shares.find(aLink);
    if (share != capacity.shares.end() && share->second.linkOpen) {
      grants.push_back({ aLink, MakeGrant(upstream, capacity, share->second) });
    }
  }
  return grants;
}

std::uint32_t CreditAllocator::InFlight(const UpstreamId& aUpstream) const
{
  const auto found = this->upstreams.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->upstreams.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += share.inFlight;
    }
  }
  return sum;
}

std::uint32_t CreditAllocator::CommittedSlots(const UpstreamId& aUpstream) const
{
  const auto found = this->upstreams.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->upstreams.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += std::max(share.slots, share.heldSlots);
    }
  }
  return sum;
}

std::uint32_t CreditAllocator::CommittedConnections(const UpstreamId& aUpstream) const
{
  const auto found = this->upstreams.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->upstreams.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += std::max(share.connections, share.inFlight);
    }
  }
  return sum;
}

CreditAllocator::LinkShare CreditAllocator::MakeLinkShare(const UpstreamId& aUpstream, LinkId aLink)
{
  LinkShare share;
  share.tieBreakRank = XXH64(
    aUpstream.Value().data(), aUpstream.Value().size(), static_cast<XXH64_hash_t>(aLink.Value()));
  return share;
}

void CreditAllocator::Reallocate(UpstreamCapacity& aCapacity)
{
  std::vector<LinkShare*> shares;
  for (auto& [link, share] : aCapacity.shares) {
    share.heldSlots = std::min(share.inFlight, std::max(share.heldSlots, share.slots));
    shares.push_back(&share);
  }
  std::stable_sort(
    shares.begin(), shares.end(), [](const LinkShare* aLeft, const LinkShare* aRight) {
      return aLeft->tieBreakRank < aRight->tieBreakRank;
    });
  std::vector<internal::Claim> claims;
  claims.reserve(shares.size());
  for (const LinkShare* share : shares) {
    claims.push_back({ share->demand, share->heldSlots, share->linkOpen });
  }
  const std::uint32_t total = std::min(aCapacity.slots, aCapacity.connections);
  const std::vector<std::uint32_t> slots = internal::DivideSlots(total, claims);
  // With a whole number of connections per slot, the bound on granted and held slots also holds for
  // connections.
  const std::uint32_t connectionsPerSlot = total == 0 ? 0 : aCapacity.connections / total;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    LinkShare& share = *shares[i];
    share.changed = share.changed || slots[i] != share.slots;
    share.slots = slots[i];
    share.connections = slots[i] * connectionsPerSlot;
  }
}

CreditGrant CreditAllocator::MakeGrant(const UpstreamId& aUpstream,
                                       UpstreamCapacity& aCapacity,
                                       const LinkShare& aShare)
{
  return {
    aUpstream, aCapacity.incarnation, ++aCapacity.sequence, aShare.slots, aShare.connections
  };
}

} // namespace oriolespread
