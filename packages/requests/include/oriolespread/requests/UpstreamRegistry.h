// The upstreams on an agent's worker, and what the agent sends to its entries about them:
// announcements, load reports and latency reports of services. A driver calls it from one thread:
//
//   registry.AddUpstream(now, {...});          // an upstream has announced itself to the agent
//   registry.AddLink(now, link);               // a link to an entry was opened
//   registry.BeginCall(upstream); registry.EndCall(now, upstream, latency, failed);
//   registry.Poll(now, messages);              // at NextWakeup() and after each call above
//   for (const OutgoingLinkMessage& message : messages) { Send(message.link, message.message); }
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/requests/RequestEvents.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace oriolespread {

struct UpstreamRegistryOptions
{
  AgentId agent;
  Incarnation incarnation;
  WorkerId worker;
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;
};

struct OutgoingLinkMessage
{
  LinkId link;
  LinkMessage message;
};

// Tracks announcements, calls and the drain of upstreams, and produces the messages to entries. Not
// thread-safe. `aCounters` must outlive the registry.
class UpstreamRegistry
{
public:
  static constexpr Duration kReportInterval = std::chrono::milliseconds(200);
  // The announcement is repeated, because an entry that suspects this agent trusts it again only
  // after an announcement, and the agent does not notice when its link was delayed.
  static constexpr Duration kAnnounceInterval = std::chrono::seconds(5);
  // A longer gap between two polls means that this process was paused. The threshold is well below
  // the 1.5 s after which entries suspect the agent.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);
  static constexpr Duration kLatencyWindow = std::chrono::seconds(1);

  UpstreamRegistry(UpstreamRegistryOptions aOptions, Counters& aCounters);
  ~UpstreamRegistry();

  // Adds or replaces an upstream. Returns false for an incarnation below the known one and during a
  // drain.
  bool AddUpstream(Instant aNow, const UpstreamInfo& aInfo);
  // Stops accepting new calls for the upstream; calls in flight continue.
  void BeginLeave(Instant aNow, const UpstreamId& aUpstream);
  // Removes an upstream that has ended.
  void RemoveUpstream(Instant aNow, const UpstreamId& aUpstream);
  // Makes all upstreams leave and refuses new ones.
  void Drain(Instant aNow);
  // Returns whether a drain was requested and no call is left.
  bool IsDrained() const;

  void AddLink(Instant aNow, LinkId aLink);
  void RemoveLink(LinkId aLink);

  // Returns whether the upstream accepts a new call. If not, refuse the call with upstream_leaving.
  bool AcceptsCalls(const UpstreamId& aUpstream) const;
  void BeginCall(const UpstreamId& aUpstream);
  // Call this after the response was passed to the link, because IsDrained may become true, upon
  // which the link is closed.
  void EndCall(Instant aNow, const UpstreamId& aUpstream, Duration aLatency, bool aFailed);

  // Sets the latency objective of a service; 0 removes it.
  void SetObjective(const OrganisationId& aOrganisation,
                    const ServiceName& aService,
                    Duration aObjective);
  // Sets the number of the newest change ticket in force, which is sent with each report.
  void SetTicket(TicketNumber aNumber);

  // Appends the messages that are due.
  void Poll(Instant aNow, std::vector<OutgoingLinkMessage>& aMessages);
  Instant NextWakeup() const;

  const UpstreamInfo* Find(const UpstreamId& aUpstream) const;
  std::vector<UpstreamInfo> Upstreams() const;

private:
  struct LocalUpstream
  {
    UpstreamInfo info;
    std::uint32_t inFlight = 0;
    std::uint32_t answered = 0;
    std::uint32_t errors = 0;
    std::vector<std::uint32_t> latenciesUs;
  };
  struct ServiceKey
  {
    OrganisationId organisation;
    ServiceName service;
    friend auto operator<=>(const ServiceKey&, const ServiceKey&) = default;
  };
  struct LatencySignal
  {
    Duration objective = Duration::zero();
    std::vector<std::uint32_t> latenciesUs;
    std::uint32_t windowsAboveObjective = 0;
    bool objectiveMissed = false;
  };

  Announce MakeAnnounce() const;
  LoadReport MakeReport();
  void SendToAll(const LinkMessage& aMessage, std::vector<OutgoingLinkMessage>& aMessages) const;
  void CloseLatencyWindow(std::vector<OutgoingLinkMessage>& aMessages);
  void UpdateSignal(const ServiceKey& aKey,
                    LatencySignal& aSignal,
                    std::vector<OutgoingLinkMessage>& aMessages);

  UpstreamRegistryOptions options;
  Counters& counters;
  std::map<UpstreamId, LocalUpstream> upstreams;
  std::map<ServiceKey, LatencySignal> signals;
  std::set<LinkId> links;
  std::set<LinkId> linksToAnnounce;
  std::vector<Leave> pendingLeaves;
  Instant nextReport = Instant::max();
  Instant nextAnnounce = Instant::max();
  Instant latencyWindowEnd = Instant::max();
  Instant lastPoll = Instant::max();
  std::uint64_t sequence = 0;
  TicketNumber ticket;
  bool announceToAll = false;
  bool draining = false;
};

} // namespace oriolespread
