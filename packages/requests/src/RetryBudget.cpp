#include "RetryBudget.h"

#include <algorithm>

namespace oriolespread::internal {

void RetryBudget::RecordSuccess(const OrganisationId& aOrganisation)
{
  const auto [found, added] = this->tokens.try_emplace(aOrganisation, kInitialTokens);
  found->second = std::min(found->second + kTokensPerSuccess, kMaxTokens);
}

bool RetryBudget::TryTakeToken(const OrganisationId& aOrganisation)
{
  const auto [found, added] = this->tokens.try_emplace(aOrganisation, kInitialTokens);
  if (found->second < 1.0) {
    return false;
  }
  found->second -= 1.0;
  return true;
}

} // namespace oriolespread::internal
