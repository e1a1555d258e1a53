// Internal types of RequestSimulation, shared by its source files.
#pragma once

#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

inline UpstreamId UpstreamOf(std::size_t aAgent)
{
  return UpstreamId{ "u" + std::to_string(aAgent) };
}

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
  std::uint32_t runs = 0;
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
  // By the order of their start, so that runs are reproducible.
  std::map<std::uint64_t, std::shared_ptr<Call>> running;
  std::deque<std::shared_ptr<Call>> waiting;
  // Calls that have not arrived at the agent yet.
  std::set<std::shared_ptr<Call>> onLink;
  // Actions during a pause of the worker, executed when it continues.
  std::vector<Action> deferred;
  bool closed = false;
  // Calls sent by a baseline policy that have no response yet.
  std::size_t sent = 0;
};

} // namespace oriolespread::bench
