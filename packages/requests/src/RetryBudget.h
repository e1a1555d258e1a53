// Limits retries to a fraction of the successful requests, so that they cannot amplify an outage.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Ids.h"

namespace oriolespread::internal {

// One token bucket per organisation. It starts with kInitialTokens, and each success adds a
// fraction of a token. Not thread-safe.
class RetryBudget
{
public:
  static constexpr double kTokensPerSuccess = 0.1;
  static constexpr double kInitialTokens = 10.0;
  // An unbounded number of tokens would be spent at once at the start of an outage.
  static constexpr double kMaxTokens = 50.0;

  void RecordSuccess(const OrganisationId& aOrganisation);
  // Takes a token for one retry; returns false when there is none.
  bool TryTakeToken(const OrganisationId& aOrganisation);

private:
  absl::flat_hash_map<OrganisationId, double> tokens;
};

} // namespace oriolespread::internal
