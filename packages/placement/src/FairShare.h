// Accounts for allocated capacity: weighted dominant shares of organisations, and team quotas.
#pragma once

#include "PlacementModel.h"

#include "oriolespread/base/Resources.h"

#include <optional>
#include <vector>

namespace oriolespread::internal {

// Not thread-safe. The caller assigns the indexes of organisations and teams.
class FairShare
{
public:
  // Sets the total capacity that shares are relative to.
  void SetTotal(const Resources& aTotal) { this->total = aTotal; }
  // Raises weights below kMinWeight to kMinWeight, so that every organisation can get capacity.
  void SetWeight(NameIndex aOrganisation, double aWeight);
  void SetQuota(NameIndex aTeam, std::optional<Resources> aQuota);

  // Adds the amount to the allocations of the organisation and of the team, if there is one.
  void Charge(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);
  // Subtracts an amount that was charged.
  void Refund(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);

  // Returns the dominant share of the organisation divided by its weight.
  double WeightedShare(NameIndex aOrganisation) const;
  // Returns whether the allocation of the team plus the amount is within its quota. True for a team
  // without a quota.
  bool QuotaAllows(NameIndex aTeam, const Resources& aAmount) const;
  // Returns the quota of the team, if it has one.
  std::optional<Resources> Quota(NameIndex aTeam) const;
  Resources OrganisationUse(NameIndex aOrganisation) const;
  Resources TeamUse(NameIndex aTeam) const;

  static constexpr double kMinWeight = 0.001;

private:
  struct Organisation
  {
    Resources allocated;
    double weight = 1.0;
  };
  struct Team
  {
    Resources allocated;
    std::optional<Resources> quota;
  };

  Organisation& OrganisationAt(NameIndex aIndex);
  Team& TeamAt(NameIndex aIndex);

  Resources total;
  std::vector<Organisation> organisations;
  std::vector<Team> teams;
};

} // namespace oriolespread::internal
