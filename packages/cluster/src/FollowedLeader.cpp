#include "oriolespread/cluster/FollowedLeader.h"

namespace oriolespread::cluster {

bool FollowedLeader::OnClaim(const std::string& aEntry, const LeaderClaim& aClaim)
{
  if (aClaim.epoch == Epoch{} || aClaim.epoch < this->epoch) {
    return false;
  }
  if (this->epoch == Epoch{} && !aClaim.renewed) {
    return false;
  }
  if (aClaim.repeated && aClaim.epoch == this->epoch && aEntry == this->entry) {
    return false;
  }
  this->epoch = aClaim.epoch;
  this->entry = aEntry;
  return true;
}

bool FollowedLeader::OnLinkDown(const std::string& aEntry)
{
  if (this->entry != aEntry) {
    return false;
  }
  this->entry.clear();
  return true;
}

} // namespace oriolespread::cluster
