#include "RetryBudget.h"

#include <algorithm>

namespace oriolespread::internal {

void RetryBudget::RecordSuccess(const OrganisationId& aOrganisation)
{
  const auto [it, inserted] = this->tokens.try_emplace(aOrganisation, kInitialTokens);
  it->second = std::min(it->second + kTokensPerSuccess, kMaxTokens);
}

bool RetryBudget::TryTakeToken(const OrganisationId& aOrganisation)
{
  const auto [it, inserted] = this->tokens.try_emplace(aOrganisation, kInitialTokens);
  if (it->second < 1.0) {
    return false;
  }
  it->second -= 1.0;
  return true;
}

} // namespace oriolespread::internal
