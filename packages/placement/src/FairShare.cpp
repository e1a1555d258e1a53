#include "FairShare.h"

#include <algorithm>

namespace oriolespread::internal {

void FairShare::SetWeight(NameIndex aOrganisation, double aWeight)
{
  this->OrganisationAt(aOrganisation).weight = std::max(aWeight, kMinWeight);
}

void FairShare::SetQuota(NameIndex aTeam, std::optional<Resources> aQuota)
{
  this->TeamAt(aTeam).quota = aQuota;
}

void FairShare::Charge(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount)
{
  this->OrganisationAt(aOrganisation).allocated += aAmount;
  if (aTeam != kNone) {
    this->TeamAt(aTeam).allocated += aAmount;
  }
}

void FairShare::Refund(NameIndex aOrganisation, NameIndex aTeam, const Resources& aAmount)
{
  this->OrganisationAt(aOrganisation).allocated -= aAmount;
  if (aTeam != kNone) {
    this->TeamAt(aTeam).allocated -= aAmount;
  }
}

double FairShare::WeightedShare(NameIndex aOrganisation) const
{
  if (aOrganisation >= this->organisations.size()) {
    return 0.0;
  }
  const Organisation& organisation = this->organisations[aOrganisation];
  return DominantShare(organisation.allocated, this->total) / organisation.weight;
}

bool FairShare::QuotaAllows(NameIndex aTeam, const Resources& aAmount) const
{
  if (aTeam >= this->teams.size() || !this->teams[aTeam].quota.has_value()) {
    return true;
  }
  const Team& team = this->teams[aTeam];
  return (team.allocated + aAmount).FitsIn(*team.quota);
}

std::optional<Resources> FairShare::Quota(NameIndex aTeam) const
{
  return aTeam < this->teams.size() ? this->teams[aTeam].quota : std::nullopt;
}

Resources FairShare::OrganisationUse(NameIndex aOrganisation) const
{
  return aOrganisation < this->organisations.size() ? this->organisations[aOrganisation].allocated
                                                    : Resources{};
}

Resources FairShare::TeamUse(NameIndex aTeam) const
{
  return aTeam < this->teams.size() ? this->teams[aTeam].allocated : Resources{};
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
