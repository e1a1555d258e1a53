#include "Membership.h"

#include "LatencyEstimate.h"

#include <algorithm>
#include <set>
#include <string>

namespace oriolespread::internal {

Membership::Membership(Counters& aCounters)
  : counters(aCounters)
{
}

void Membership::LinkUp(LinkId aLink, Duration aRoundTrip)
{
  this->roundTrips[aLink] = aRoundTrip;
}

void Membership::SetRoundTrip(LinkId aLink, Duration aRoundTrip)
{
  const auto found = this->roundTrips.find(aLink);
  if (found == this->roundTrips.end()) {
    return;
  }
  found->second = aRoundTrip;
  if (Agent* agent = this->AgentOfLink(aLink)) {
    for (auto& [id, upstream] : agent->upstreams) {
      upstream->roundTrip = aRoundTrip;
    }
  }
}

std::vector<PoolKey> Membership::LinkDown(LinkId aLink)
{
  this->roundTrips.erase(aLink);
  const auto found = this->agentOfLink.find(aLink);
  if (found == this->agentOfLink.end()) {
    return {};
  }
  const AgentId id = found->second;
  this->agentOfLink.erase(found);
  const auto agent = this->agents.find(id);
  // Keep the upstreams if the agent has announced itself on a newer link.
  if (agent == this->agents.end() || agent->second.link != aLink) {
    return {};
  }
  std::set<PoolKey> affected;
  for (const auto& [upstreamId, upstream] : agent->second.upstreams) {
    affected.insert(upstream->pool);
    this->Remove(upstream);
  }
  agent->second.upstreams.clear();
  this->agents.erase(agent);
  return { affected.begin(), affected.end() };
}

std::vector<PoolKey> Membership::Apply(Instant aNow, LinkId aLink, const Announce& aAnnounce)
{
  if (!this->roundTrips.contains(aLink)) {
    this->CountDropped("announce", "unknown_link");
    return {};
  }
  const auto bound = this->agentOfLink.find(aLink);
  if (bound != this->agentOfLink.end() && bound->second != aAnnounce.agent) {
    this->CountDropped("announce", "other_agent");
    return {};
  }
  Agent& agent = this->agents[aAnnounce.agent];
  if (aAnnounce.incarnation < agent.incarnation) {
    this->CountDropped("announce", "stale_incarnation");
    return {};
  }
  if (aAnnounce.incarnation != agent.incarnation || agent.link != aLink) {
    agent.reportSequence = 0;
  }
  std::set<PoolKey> affected;
  if (aAnnounce.incarnation != agent.incarnation) {
    // A restarted agent assigns new incarnations to its upstreams.
    for (const auto& [id, upstream] : agent.upstreams) {
      affected.insert(upstream->pool);
      this->Remove(upstream);
    }
    agent.upstreams.clear();
  }
  agent.incarnation = aAnnounce.incarnation;
  agent.link = aLink;
  agent.lastMessageAt = aNow;
  this->nextExpiry = std::min(this->nextExpiry, aNow + kSuspectTimeout);
  this->agentOfLink[aLink] = aAnnounce.agent;

  std::set<UpstreamId> announced;
  for (const UpstreamInfo& info : aAnnounce.upstreams) {
    announced.insert(info.upstream);
    affected.insert({ info.organisation, info.service });
    this->AddOrUpdate(aNow, aAnnounce, info, agent);
  }
  agent.suspect = false;
  for (auto it = agent.upstreams.begin(); it != agent.upstreams.end();) {
    if (announced.contains(it->first)) {
      ++it;
      continue;
    }
    affected.insert(it->second->pool);
    this->Remove(it->second);
    it = agent.upstreams.erase(it);
  }
  return { affected.begin(), affected.end() };
}

void Membership::AddOrUpdate(Instant aNow,
                             const Announce& aAnnounce,
                             const UpstreamInfo& aInfo,
                             Agent& aAgent)
{
  UpstreamPtr& known = aAgent.upstreams[aInfo.upstream];
  const PoolKey pool{ aInfo.organisation, aInfo.service };
  if (known != nullptr && aInfo.incarnation < known->incarnation) {
    this->CountDropped("announce", "stale_upstream");
    return;
  }
  const bool unchanged = known != nullptr && known->incarnation == aInfo.incarnation &&
                         known->link == aAgent.link && known->pool == pool;
  if (!unchanged) {
    if (known != nullptr) {
      this->Remove(known);
    }
    known = std::make_shared<Upstream>();
    known->id = aInfo.upstream;
    known->incarnation = aInfo.incarnation;
    known->agent = aAnnounce.agent;
    known->link = aAgent.link;
    known->roundTrip = this->roundTrips[aAgent.link];
    known->pool = pool;
    known->warmUpStart = aNow;
    this->pools[pool].push_back(known);
    this->counters.Add("upstreams_joined_total", aInfo.service.Value());
  } else if (known->suspect) {
    known->suspect = false;
    // Restarts the warm-up: the upstream's memory may be paged out and its caches expired, as in
    // a new upstream.
    known->warmUpStart = aNow;
    this->counters.Add("upstreams_trusted_again_total", aInfo.service.Value());
  }
  known->worker = aAnnounce.worker;
  known->dataCentre = aAnnounce.dataCentre;
  // A Leave is final for an incarnation: an Announce that was sent before it does not undo it.
  known->leaving = known->leaving || aInfo.state == UpstreamState::Leaving;
}

std::vector<PoolKey> Membership::Apply(LinkId aLink, const Leave& aLeave)
{
  const UpstreamPtr upstream = this->FindUpstream(aLink, aLeave.upstream, aLeave.incarnation);
  if (upstream == nullptr) {
    this->CountDropped("leave", "unknown_upstream");
    return {};
  }
  upstream->leaving = true;
  return { upstream->pool };
}

std::vector<PoolKey> Membership::Apply(Instant aNow, LinkId aLink, const LoadReport& aReport)
{
  Agent* agent = this->AgentOfLink(aLink);
  if (agent == nullptr || agent->incarnation != aReport.incarnation ||
      aReport.sequence <= agent->reportSequence) {
    this->CountDropped("load_report", "stale");
    return {};
  }
  agent->reportSequence = aReport.sequence;
  if (agent->suspect) {
    this->CountDropped("load_report", "suspect");
    return {};
  }
  agent->lastMessageAt = aNow;
  std::set<PoolKey> affected;
  for (const UpstreamLoad& load : aReport.upstreams) {
    const auto found = agent->upstreams.find(load.upstream);
    if (found == agent->upstreams.end()) {
      continue;
    }
    Upstream& upstream = *found->second;
    const std::uint32_t total = load.inFlight + load.queued;
    upstream.othersInFlight = total > upstream.ownInFlight ? total - upstream.ownInFlight : 0;
    if (load.answered > 0) {
      AddReportedLatency(
        aNow, upstream, std::chrono::microseconds(load.meanLatencyUs), load.answered);
    }
    if (upstream.creditRefused) {
      upstream.creditRefused = false;
      affected.insert(upstream.pool);
    }
  }
  return { affected.begin(), affected.end() };
}

std::vector<PoolKey> Membership::Apply(LinkId aLink, const CreditGrant& aGrant)
{
  const UpstreamPtr upstream = this->FindUpstream(aLink, aGrant.upstream, aGrant.incarnation);
  if (upstream == nullptr || aGrant.sequence <= upstream->grantSequence) {
    this->CountDropped("credit_grant", "stale");
    return {};
  }
  upstream->grantSequence = aGrant.sequence;
  upstream->slots = aGrant.slots;
  upstream->connections = aGrant.connections;
  upstream->creditRefused = false;
  return { upstream->pool };
}

std::vector<UpstreamPtr> Membership::ExpireSilentAgents(Instant aNow)
{
  std::vector<UpstreamPtr> expired;
  if (aNow < this->nextExpiry) {
    return expired;
  }
  this->nextExpiry = Instant::max();
  for (auto& [id, agent] : this->agents) {
    if (agent.suspect) {
      continue;
    }
    if (aNow - agent.lastMessageAt < kSuspectTimeout) {
      this->nextExpiry = std::min(this->nextExpiry, agent.lastMessageAt + kSuspectTimeout);
      continue;
    }
    agent.suspect = true;
    for (auto& [upstreamId, upstream] : agent.upstreams) {
      upstream->suspect = true;
      expired.push_back(upstream);
      this->counters.Add("upstreams_suspected_total", upstream->pool.service.Value());
    }
  }
  return expired;
}

void Membership::ExtendExpiries(Duration aPause)
{
  for (auto& [id, agent] : this->agents) {
    agent.lastMessageAt += aPause;
  }
}

const std::vector<UpstreamPtr>& Membership::PoolOf(const PoolKey& aKey) const
{
  static const std::vector<UpstreamPtr> sEmpty;
  const auto found = this->pools.find(aKey);
  return found == this->pools.end() ? sEmpty : found->second;
}

Membership::Agent* Membership::AgentOfLink(LinkId aLink)
{
  const auto bound = this->agentOfLink.find(aLink);
  if (bound == this->agentOfLink.end()) {
    return nullptr;
  }
  const auto found = this->agents.find(bound->second);
  return found == this->agents.end() || found->second.link != aLink ? nullptr : &found->second;
}

UpstreamPtr Membership::FindUpstream(LinkId aLink,
                                     const UpstreamId& aUpstream,
                                     Incarnation aIncarnation)
{
  Agent* agent = this->AgentOfLink(aLink);
  if (agent == nullptr) {
    return nullptr;
  }
  const auto found = agent->upstreams.find(aUpstream);
  return found == agent->upstreams.end() || found->second->incarnation != aIncarnation
           ? nullptr
           : found->second;
}

void Membership::Remove(const UpstreamPtr& aUpstream)
{
  aUpstream->removed = true;
  const auto found = this->pools.find(aUpstream->pool);
  std::erase(found->second, aUpstream);
  if (found->second.empty()) {
    this->pools.erase(found);
  }
}

void Membership::CountDropped(std::string_view aMessage, std::string_view aReason)
{
  this->counters.Add("link_messages_dropped_total",
                     std::string(aMessage) + "_" + std::string(aReason));
}

} // namespace oriolespread::internal
