// Use of capacity by organisation and by team: dominant shares with weights, and team quotas.
#pragma once

#include "PlacementModel.h"

#include "oriolespread/base/Resources.h"

#include <optional>
#include <vector>

namespace oriolespread::internal {

// Not thread-safe. Organisations and teams are numbered by the caller.
class FairShare
{
public:
  // Sets the whole that shares are taken of.
  void SetTotal(const Resources& aTotal) { this->total = aTotal; }
  // Weights below kMinWeight count as kMinWeight, so that no organisation is shut out.
  void SetWeight(NameIndex aOrganisation, double aWeight);
  void SetQuota(NameIndex aTeam, std::optional<Resources> aQuota);

  void Charge(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);
  void Refund(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount);

  // Returns the dominant share of the organisation divided by its weight.
  double Share(NameIndex aOrganisation) const;
  // Returns whether the team may hold so much more. Every amount is allowed without a quota.
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
