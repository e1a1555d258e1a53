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
  Account& account = this->accounts[aUpstream];
  const bool renewed = account.incarnation != aIncarnation || account.removed;
  account.incarnation = aIncarnation;
  account.slots = aSlots;
  account.connections = aConnections;
  account.removed = false;
  for (const LinkId link : this->links) {
    Share& share = account.shares.try_emplace(link, MakeShare(aUpstream, link)).first->second;
    share.changed = share.changed || renewed;
  }
  Divide(account);
}

void CreditAllocator::RemoveUpstream(const UpstreamId& aUpstream)
{
  const auto found = this->accounts.find(aUpstream);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  account.removed = true;
  account.slots = 0;
  account.connections = 0;
  Divide(account);
  if (this->InFlight(aUpstream) == 0) {
    this->accounts.erase(found);
  }
}

void CreditAllocator::AddLink(LinkId aLink)
{
  if (std::find(this->links.begin(), this->links.end(), aLink) != this->links.end()) {
    return;
  }
  this->links.push_back(aLink);
  for (auto& [upstream, account] : this->accounts) {
    account.shares[aLink] = MakeShare(upstream, aLink);
    Divide(account);
  }
}

void CreditAllocator::RemoveLink(LinkId aLink)
{
  std::erase(this->links, aLink);
  for (auto& [upstream, account] : this->accounts) {
    const auto found = account.shares.find(aLink);
    if (found == account.shares.end()) {
      continue;
    }
    found->second.live = false;
    found->second.demand = 0;
    if (found->second.inFlight == 0) {
      account.shares.erase(found);
    }
    Divide(account);
  }
}

void CreditAllocator::SetDemand(LinkId aLink, const CreditDemand& aDemand)
{
  const auto found = this->accounts.find(aDemand.upstream);
  if (found == this->accounts.end()) {
    this->counters.Add("credit_demands_ignored_total", "unknown_upstream");
    return;
  }
  const auto share = found->second.shares.find(aLink);
  if (share == found->second.shares.end() || !share->second.live) {
    this->counters.Add("credit_demands_ignored_total", "unknown_link");
    return;
  }
  // Each term is bounded by itself, so that a broken entry cannot overflow the sum.
  const std::uint32_t limit = found->second.slots;
  share->second.demand = std::min(aDemand.queued, limit) + std::min(aDemand.inFlight, limit);
  Divide(found->second);
}

bool CreditAllocator::TryBeginCall(LinkId aLink, const UpstreamId& aUpstream)
{
  const auto found = this->accounts.find(aUpstream);
  if (found == this->accounts.end() || found->second.removed) {
    this->counters.Add("calls_refused_total", "unknown_upstream");
    return false;
  }
  const auto share = found->second.shares.find(aLink);
  if (share == found->second.shares.end() || !share->second.live) {
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

void CreditAllocator::End(LinkId aLink, const UpstreamId& aUpstream)
{
  const auto found = this->accounts.find(aUpstream);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  const auto share = account.shares.find(aLink);
  if (share == account.shares.end() || share->second.inFlight == 0) {
    this->counters.Add("credit_errors_total", "end_without_begin");
    return;
  }
  --share->second.inFlight;
  const bool returnsCredit = share->second.inFlight < share->second.heldSlots;
  if (!share->second.live && share->second.inFlight == 0) {
    account.shares.erase(share);
  }
  if (account.removed && this->InFlight(aUpstream) == 0) {
    this->accounts.erase(found);
    return;
  }
  if (returnsCredit) {
    Divide(account);
  }
}

std::vector<LinkGrant> CreditAllocator::TakeChangedGrants()
{
  std::vector<LinkGrant> grants;
  for (auto& [upstream, account] : this->accounts) {
    for (auto& [link, share] : account.shares) {
      if (share.live && share.changed) {
        share.changed = false;
        grants.push_back({ link, MakeGrant(upstream, account, share) });
      }
    }
  }
  return grants;
}

std::vector<LinkGrant> CreditAllocator::CurrentGrants(LinkId aLink)
{
  std::vector<LinkGrant> grants;
  for (auto& [upstream, account] : this->accounts) {
    const auto share = account.shares.find(aLink);
    if (share != account.shares.end() && share->second.live) {
      grants.push_back({ aLink, MakeGrant(upstream, account, share->second) });
    }
  }
  return grants;
}

std::uint32_t CreditAllocator::InFlight(const UpstreamId& aUpstream) const
{
  const auto found = this->accounts.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->accounts.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += share.inFlight;
    }
  }
  return sum;
}

std::uint32_t CreditAllocator::CommittedSlots(const UpstreamId& aUpstream) const
{
  const auto found = this->accounts.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->accounts.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += std::max(share.slots, share.heldSlots);
    }
  }
  return sum;
}

std::uint32_t CreditAllocator::CommittedConnections(const UpstreamId& aUpstream) const
{
  const auto found = this->accounts.find(aUpstream);
  std::uint32_t sum = 0;
  if (found != this->accounts.end()) {
    for (const auto& [link, share] : found->second.shares) {
      sum += std::max(share.connections, share.inFlight);
    }
  }
  return sum;
}

CreditAllocator::Share CreditAllocator::MakeShare(const UpstreamId& aUpstream, LinkId aLink)
{
  Share share;
  share.rank = XXH64(
    aUpstream.Value().data(), aUpstream.Value().size(), static_cast<XXH64_hash_t>(aLink.Value()));
  return share;
}

void CreditAllocator::Divide(Account& aAccount)
{
  std::vector<Share*> shares;
  for (auto& [link, share] : aAccount.shares) {
    share.heldSlots = std::min(share.inFlight, std::max(share.heldSlots, share.slots));
    shares.push_back(&share);
  }
  std::stable_sort(shares.begin(), shares.end(), [](const Share* aLeft, const Share* aRight) {
    return aLeft->rank < aRight->rank;
  });
  std::vector<internal::Claim> claims;
  claims.reserve(shares.size());
  for (const Share* share : shares) {
    claims.push_back({ share->demand, share->heldSlots, share->live });
  }
  const std::uint32_t total = std::min(aAccount.slots, aAccount.connections);
  const std::vector<std::uint32_t> slots = internal::DivideSlots(total, claims);
  // With whole multiples of the slots, the bound on slots granted and held carries over to
  // connections.
  const std::uint32_t perSlot = total == 0 ? 0 : aAccount.connections / total;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    Share& share = *shares[i];
    share.changed = share.changed || slots[i] != share.slots;
    share.slots = slots[i];
    share.connections = slots[i] * perSlot;
  }
}

CreditGrant CreditAllocator::MakeGrant(const UpstreamId& aUpstream,
                                       Account& aAccount,
                                       const Share& aShare)
{
  return { aUpstream, aAccount.incarnation, ++aAccount.sequence, aShare.slots, aShare.connections };
}

} // namespace oriolespread
