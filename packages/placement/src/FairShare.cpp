#include "FairShare.h"

#include <algorithm>

namespace oriolespread::internal {

void FairShare::SetWeight(NameIndex aOrganisation, double aWeight)
{
  this->OrganisationAt(aOrganisation).weight = std::max(aWeight, kLeastWeight);
}

void FairShare::SetQuota(NameIndex aTeam, std::optional<Resources> aQuota)
{
  this->TeamAt(aTeam).quota = aQuota;
}

void FairShare::Charge(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount)
{
  this->OrganisationAt(aOrganisation).used += aAmount;
  if (aTeam != kNone) {
    this->TeamAt(aTeam).used += aAmount;
  }
}

void FairShare::Refund(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount)
{
  this->OrganisationAt(aOrganisation).used -= aAmount;
  if (aTeam != kNone) {
    this->TeamAt(aTeam).used -= aAmount;
  }
}

double FairShare::Share(NameIndex aOrganisation) const
{
  if (aOrganisation >= this->organisations.size()) {
    return 0.0;
  }
  const Organisation& organisation = this->organisations[aOrganisation];
  return DominantShare(organisation.used, this->total) / organisation.weight;
}

bool FairShare::Allows(NameIndex aTeam, const Resources& aAmount) const
{
  if (aTeam >= this->teams.size() || !this->teams[aTeam].quota.has_value()) {
    return true;
  }
  const Team& team = this->teams[aTeam];
  return (team.used + aAmount).FitsIn(*team.quota);
}

std::optional<Resources> FairShare::Quota(NameIndex aTeam) const
{
  return aTeam < this->teams.size() ? this->teams[aTeam].quota : std::nullopt;
}

Resources FairShare::OrganisationUse(NameIndex aOrganisation) const
{
  return aOrganisation < this->organisations.size() ? this->organisations[aOrganisation].used
                                                    : Resources{};
}

Resources FairShare::TeamUse(NameIndex aTeam) const
{
  return aTeam < this->teams.size() ? this->teams[aTeam].used : Resources{};
}

FairShare::Organisation& FairShare::OrganisationAt(NameIndex aIndex)
{
  if (aIndex >= this->organisations.size()) {
    this->organisations.resize(aIndex + 1);
  }
  return this->organisations[aIndex];
}

FairShare::Team& FairShare::TeamAt(NameIndex aIndex)
{
  if (aIndex >= this->teams.size()) {
    this->teams.resize(aIndex + 1);
  }
  return this->teams[aIndex];
}

} // namespace oriolespread::internal
