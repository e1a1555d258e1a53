#include "RetryBudget.h"

#include <algorithm>

namespace oriolespread::internal {

void RetryBudget::RecordSuccess(const OrganisationId& aOrganisation)
{
  const auto [found, added] = this->tokens.try_emplace(aOrganisation, kReserve);
  found->second = std::min(found->second + kPerSuccess, kMost);
}

bool RetryBudget::TryTake(const OrganisationId& aOrganisation)
{
  const auto [found, added] = this->tokens.try_emplace(aOrganisation, kReserve);
  if (found->second < 1.0) {
    return false;
  }
  found->second -= 1.0;
  return true;
}

} // namespace oriolespread::internal
