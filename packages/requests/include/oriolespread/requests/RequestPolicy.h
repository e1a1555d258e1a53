// The part of the configuration that applies to requests, as set by change tickets.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Time.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriolespread {

struct OrganisationPolicy
{
  OrganisationId organisation;
  // Share of the upstreams' slots relative to other organisations. Must be positive.
  double weight = 1.0;
  // Requests that may wait per service and class.
  std::size_t queueLimit = 1'000;
  // Requests of all services in progress in one entry, waiting and in flight.
  std::size_t requestLimit = 5'000;
};

// A service that an organisation may call.
struct ServicePolicy
{
  OrganisationId organisation;
  ServiceName service;
  // The organisation whose upstreams are called; empty when it is `organisation` itself.
  // Organisations with the same provider and service share its upstreams by weight.
  OrganisationId provider;
  // Later deadlines are shortened to this one.
  Duration maxDeadline = std::chrono::seconds(60);
  // Latency objective; 0 when there is none.
  Duration objective = Duration::zero();
};

// The whole policy. An organisation without an entry has the defaults; a service without an entry
// is refused.
struct RequestPolicy
{
  std::vector<OrganisationPolicy> organisations;
  std::vector<ServicePolicy> services;
};

} // namespace oriolespread
