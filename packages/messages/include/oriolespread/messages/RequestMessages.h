// Messages of the request path between an agent and an entry. All are sent on the control stream of
// a link; MessageCodec turns them into bytes.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread {

enum class UpstreamState
{
  Serving,
  Leaving,
};

NLOHMANN_JSON_SERIALIZE_ENUM(UpstreamState,
                             { { UpstreamState::Leaving, "leaving" },
                               { UpstreamState::Serving, "serving" } })

// One upstream beside an agent. `incarnation` increases each time the upstream registers again.
struct UpstreamInfo
{
  UpstreamId upstream;
  Incarnation incarnation;
  OrganisationId organisation;
  ServiceName service;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  UpstreamState state = UpstreamState::Serving;
};

// Agent to entry, after connecting and whenever the content changes: the agent, its worker and all
// upstreams beside it. Replaces every earlier announcement of the same or a lower incarnation.
struct Announce
{
  AgentId agent;
  Incarnation incarnation;
  WorkerId worker;
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;
  std::vector<UpstreamInfo> upstreams;
};

// Load of one upstream over the interval since the previous report.
struct UpstreamLoad
{
  UpstreamId upstream;
  // Requests of all entries that the agent holds now: running in the upstream and waiting for it.
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  std::uint32_t answered = 0;
  std::uint32_t errors = 0;
  // Latency in microseconds as seen by the agent; 0 when nothing was answered.
  std::uint32_t meanLatencyUs = 0;
  std::uint32_t p99LatencyUs = 0;
};

// Agent to entry, every 200 ms. Reports of one incarnation with a lower sequence are stale.
struct LoadReport
{
  AgentId agent;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::vector<UpstreamLoad> upstreams;
  // Number of the newest change ticket in force at the agent.
  TicketNumber ticket;
};

// Agent to entry: the upstream accepts no new requests any more.
struct Leave
{
  UpstreamId upstream;
  Incarnation incarnation;
};

// Agent to entry: how many requests the entry may have in flight at the upstream. Grants of one
// upstream incarnation with a lower sequence are stale.
struct CreditGrant
{
  UpstreamId upstream;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
};

// Entry to agent, when it changes: what the entry could use of an upstream.
struct CreditDemand
{
  UpstreamId upstream;
  std::uint32_t queued = 0;
  std::uint32_t inFlight = 0;
};

// Agent to entry: the latency of a service on this worker against its objective. `suffering` turns
// true after two reports in a row above the objective and false below 0.8 of it.
struct ServiceLatencyReport
{
  WorkerId worker;
  OrganisationId organisation;
  ServiceName service;
  std::uint32_t p99LatencyUs = 0;
  std::uint32_t objectiveUs = 0;
  bool suffering = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamInfo,
                                   upstream,
                                   incarnation,
                                   organisation,
                                   service,
                                   slots,
                                   connections,
                                   state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Announce,
                                   agent,
                                   incarnation,
                                   worker,
                                   dataCentre,
                                   rack,
                                   capacity,
                                   upstreams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamLoad,
                                   upstream,
                                   inFlight,
                                   queued,
                                   answered,
                                   errors,
                                   meanLatencyUs,
                                   p99LatencyUs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReport, agent, incarnation, sequence, upstreams, ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Leave, upstream, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CreditGrant, upstream, incarnation, sequence, slots, connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CreditDemand, upstream, queued, inFlight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceLatencyReport,
                                   worker,
                                   organisation,
                                   service,
                                   p99LatencyUs,
                                   objectiveUs,
                                   suffering)

} // namespace oriolespread
