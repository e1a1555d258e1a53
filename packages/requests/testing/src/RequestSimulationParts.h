// Internal types of RequestSimulation, shared by its source files.
#pragma once

#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

inline UpstreamId UpstreamOf(std::size_t aAgent)
{
  return UpstreamId{ "u" + std::to_string(aAgent) };
}

// Encodes the entry and the agent in the link ID, with at most 1000 agents.
inline LinkId LinkOf(std::size_t aEntry, std::size_t aAgent)
{
  return LinkId{ 1 + aEntry * 1'000 + aAgent };
}

struct RequestSimulation::Request
{
  OrganisationId organisation;
  Instant arrived;
  Duration deadline;
  std::size_t entry = 0;
  bool post = false;
  bool measured = false;
  // Number of times that upstreams have started to process the request.
  std::uint32_t runs = 0;
  // Set when a call of the request was in flight on a worker with a fault.
  bool reachedFault = false;
};

struct RequestSimulation::Call
{
  std::size_t entry = 0;
  std::size_t agent = 0;
  CallId id;
  RequestId request;
  Instant begun;
  std::uint64_t order = 0;
  // Aborted by a fault; its end is already reported.
  bool aborted = false;
};

struct RequestSimulation::Entry
{
  std::size_t dataCentre = 0;
  std::unique_ptr<RequestEngine> engine;
  Instant nextWakeup = Instant::max();
};

struct RequestSimulation::Agent
{
  std::size_t dataCentre = 0;
  std::unique_ptr<CreditAllocator> allocator;
  std::unique_ptr<UpstreamRegistry> registry;
  Instant nextWakeup = Instant::max();
  UpstreamFault fault = UpstreamFault::None;
  // Keyed by start order, so that simulations are reproducible.
  std::map<std::uint64_t, std::shared_ptr<Call>> running;
  // Calls that wait for a free slot.
  std::deque<std::shared_ptr<Call>> waiting;
  // Calls that have not arrived at the agent yet.
  std::set<std::shared_ptr<Call>> inTransit;
  // Actions during a pause of the worker, executed when it continues.
  std::vector<Action> deferred;
  // Set when the agent has closed its links after a drain.
  bool closed = false;
  // Calls sent by a baseline policy that have no response yet.
  std::size_t sent = 0;
};

} // namespace oriolespread::bench
