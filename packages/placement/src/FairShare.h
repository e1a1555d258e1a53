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

  void Charge(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);
  void Refund(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);

  // Returns the dominant share of the organisation divided by its weight.
  double Share(NameIndex aOrganisation) const;
  // Returns whether the quota of the team allows the additional amount. A team without a quota is
  // allowed any amount.
  bool Allows(NameIndex aTeam, const Resources& aAmount) const;
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
