#include "PolicyTable.h"

namespace oriolespread::internal {

void PolicyTable::Replace(const RequestPolicy& aPolicy)
{
  this->organisations.clear();
  for (const OrganisationPolicy& organisation : aPolicy.organisations) {
    this->organisations[organisation.organisation] = organisation;
  }
  this->services.clear();
  for (const ServicePolicy& service : aPolicy.services) {
    this->services[{ service.organisation, service.service }] = service;
  }
}

const OrganisationPolicy& PolicyTable::PolicyOf(const OrganisationId& aOrganisation) const
{
  static const OrganisationPolicy sDefault;
  const auto found = this->organisations.find(aOrganisation);
  return found == this->organisations.end() ? sDefault : found->second;
}

const ServicePolicy* PolicyTable::Find(const OrganisationId& aOrganisation,
                                       const ServiceName& aService) const
{
  const auto found = this->services.find({ aOrganisation, aService });
  return found == this->services.end() ? nullptr : &found->second;
}

std::map<OrganisationId, double> PolicyTable::Weights() const
{
  std::map<OrganisationId, double> weights;
  for (const auto& [organisation, entry] : this->organisations) {
    weights[organisation] = entry.weight;
  }
  return weights;
}

PoolKey PolicyTable::PoolOf(const ServicePolicy& aService)
{
  const bool own = aService.provider.Value().empty();
  return { own ? aService.organisation : aService.provider, aService.service };
}

} // namespace oriolespread::internal
