// What an agent knows of the upstreams beside it and tells its entries: announcements, load reports
// and the latency signal of services. A driver feeds it from one thread:
//
//   book.AddUpstream(now, {...});              // an upstream announced itself to the agent
//   book.AddLink(now, link);                   // an entry was connected
//   book.BeginCall(upstream); book.EndCall(now, upstream, latency, failed);
//   book.Poll(now, messages);                  // at NextWakeup() and after each call above
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

// Announcements and calls of upstreams, drain, and the messages that follow. Not thread-safe.
// `aCounters` must outlive the book.
class UpstreamRegistry
{
public:
  static constexpr Duration kReportInterval = std::chrono::milliseconds(200);
  // The announcement is repeated, because an entry that has held this agent suspect trusts it only
  // after an announcement, and a delayed link is not noticed by the agent.
  static constexpr Duration kAnnounceInterval = std::chrono::seconds(5);
  // A gap of this length between two polls means that the agent itself was paused; it is well below
  // the 1.5 s after which entries hold it suspect.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);
  static constexpr Duration kLatencyWindow = std::chrono::seconds(1);

  UpstreamRegistry(UpstreamRegistryOptions aOptions, Counters& aCounters);
  ~UpstreamRegistry();

  // Adds or replaces an upstream. An incarnation below the known one is refused: returns false.
  bool AddUpstream(Instant aNow, const UpstreamInfo& aInfo);
  // The upstream takes no new calls from now on; what is in flight goes on.
  void BeginLeave(Instant aNow, const UpstreamId& aUpstream);
  // Forgets an upstream that is gone.
  void RemoveUpstream(Instant aNow, const UpstreamId& aUpstream);
  // All upstreams leave, and later ones are refused.
  void Drain(Instant aNow);
  // Returns whether a drain was requested and no call is left.
  bool IsDrained() const;

  void AddLink(Instant aNow, LinkId aLink);
  void RemoveLink(LinkId aLink);

  // Returns whether a new call may go to the upstream. When not, refuse with upstream_leaving.
  bool AcceptsCalls(const UpstreamId& aUpstream) const;
  void BeginCall(const UpstreamId& aUpstream);
  // Call this after the answer was handed to the link: IsDrained, and with it the end of the link,
  // may follow from it.
  void EndCall(Instant aNow, const UpstreamId& aUpstream, Duration aLatency, bool aFailed);

  // Sets the latency objective of a service; 0 removes it.
  void SetObjective(const OrganisationId& aOrganisation,
                    const ServiceName& aService,
                    Duration aObjective);
  // Number of the newest change ticket in force, sent with each report.
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
