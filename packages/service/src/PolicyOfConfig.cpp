#include "PolicyOfConfig.h"

namespace oriolespread::internal {

RequestPolicy MakeRequestPolicy(const ConfigView& aView, const EntryLimits& aLimits)
{
  RequestPolicy policy;
  for (const auto& [organisation, config] : aView.Organisations()) {
    OrganisationPolicy item;
    item.organisation = organisation;
    item.weight = config.weight;
    item.queueLimit = aLimits.queueLength;
    item.requestLimit = config.requestsInFlight.value_or(aLimits.totalQueueLength);
    policy.organisations.push_back(item);
  }
  for (const auto& [id, config] : aView.Services()) {
    ServicePolicy item;
    item.organisation = id.first;
    item.service = id.second;
    item.maxDeadline = config.maxDeadline;
    item.objective = config.objective.value_or(Duration::zero());
    policy.services.push_back(item);
  }
  return policy;
}

} // namespace oriolespread::internal
