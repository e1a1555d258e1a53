// Limits retries to a part of what succeeds, so that retries cannot multiply an outage.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Ids.h"

namespace oriolespread::internal {

// One budget per organisation: a reserve, refilled by a part of each success. Not thread-safe.
class RetryBudget
{
public:
  static constexpr double kTokensPerSuccess = 0.1;
  static constexpr double kInitialTokens = 10.0;
  // What successes may add up to. A budget that is saved up without bound would be spent at once at
  // the start of an outage.
  static constexpr double kMaxTokens = 50.0;

  void RecordSuccess(const OrganisationId& aOrganisation);
  // Takes one retry from the budget; returns false when it is spent.
  bool TryTakeToken(const OrganisationId& aOrganisation);

private:
  absl::flat_hash_map<OrganisationId, double> tokens;
};

} // namespace oriolespread::internal
