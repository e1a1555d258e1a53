// Stores the policies of organisations and services.
#pragma once

#include "Upstream.h"

#include "oriolespread/requests/RequestPolicy.h"

#include <map>
#include <utility>

namespace oriolespread::internal {

class PolicyTable
{
public:
  void Replace(const RequestPolicy& aPolicy);

  // Returns the policy of an organisation, or the defaults when it has none.
  const OrganisationPolicy& PolicyOf(const OrganisationId& aOrganisation) const;
  // Returns the policy of a service, or null when the organisation may not call it.
  const ServicePolicy* Find(const OrganisationId& aOrganisation, const ServiceName& aService) const;
  std::map<OrganisationId, double> Weights() const;

  static PoolKey PoolOf(const ServicePolicy& aService);

private:
  std::map<OrganisationId, OrganisationPolicy> organisations;
  std::map<std::pair<OrganisationId, ServiceName>, ServicePolicy> services;
};

} // namespace oriolespread::internal
