// Tracks the upstreams that agents have announced to an entry, grouped into pools.
#pragma once

#include "Upstream.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"

#include <map>
#include <vector>

namespace oriolespread::internal {

// An agent is trusted from its Announce until its link closes or it sends no report for
// kSuspectTimeout; after that, it is suspect until a new Announce. Messages on a link without an
// Announce, or from an older incarnation, are dropped and counted. Not thread-safe.
class Membership
{
public:
  static constexpr Duration kSuspectTimeout = std::chrono::milliseconds(1'500);

  explicit Membership(Counters& aCounters);

  void LinkUp(LinkId aLink, Duration aRoundTrip);
  void SetRoundTrip(LinkId aLink, Duration aRoundTrip);
  // Returns the pools that lost an upstream.
  std::vector<PoolKey> LinkDown(LinkId aLink);

  // Returns the pools that gained or lost an upstream.
  std::vector<PoolKey> Apply(Instant aNow, LinkId aLink, const Announce& aAnnounce);
  std::vector<PoolKey> Apply(LinkId aLink, const Leave& aLeave);
  // Returns the pools that may have gained credit.
  std::vector<PoolKey> Apply(Instant aNow, LinkId aLink, const LoadReport& aReport);
  std::vector<PoolKey> Apply(LinkId aLink, const CreditGrant& aGrant);

  // Marks agents as suspect when their timeout has expired; returns their upstreams.
  std::vector<UpstreamPtr> ExpireSilentAgents(Instant aNow);
  // Returns the earliest time at which an agent's timeout may expire.
  Instant NextExpiry() const { return this->nextExpiry; }
  // Extends all timeouts by a pause of this process, because it received no reports in that time.
  void ExtendExpiries(Duration aPause);

  // Returns all members of a pool, also those that are leaving or suspect.
  const std::vector<UpstreamPtr>& PoolOf(const PoolKey& aKey) const;
  const std::map<PoolKey, std::vector<UpstreamPtr>>& Pools() const { return this->pools; }

private:
  struct Agent
  {
    Incarnation incarnation;
    LinkId link;
    Instant lastMessageAt;
    std::uint64_t reportSequence = 0;
    bool suspect = false;
    std::map<UpstreamId, UpstreamPtr> upstreams;
  };

  // Returns the agent that has announced itself on this link, or null.
  Agent* AgentOfLink(LinkId aLink);
  UpstreamPtr FindUpstream(LinkId aLink, const UpstreamId& aUpstream, Incarnation aIncarnation);
  void AddOrUpdate(Instant aNow,
                   const Announce& aAnnounce,
                   const UpstreamInfo& aInfo,
                   Agent& aAgent);
  void Remove(const UpstreamPtr& aUpstream);
  void CountDropped(std::string_view aMessage, std::string_view aReason);

  Counters& counters;
  absl::flat_hash_map<LinkId, Duration> roundTrips;
  absl::flat_hash_map<LinkId, AgentId> agentOfLink;
  std::map<AgentId, Agent> agents;
  std::map<PoolKey, std::vector<UpstreamPtr>> pools;
  // A lower bound of all agents' expiry times. Reports only move an expiry later, so that agents
  // are scanned about once per kSuspectTimeout and not on every event.
  Instant nextExpiry = Instant::max();
};

} // namespace oriolespread::internal
