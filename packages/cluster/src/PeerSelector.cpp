#include "oriolespread/cluster/PeerSelector.h"

namespace oriolespread::cluster {

PeerSelector::PeerSelector(PeerSettings aSettings)
  : settings(aSettings)
{
}

void PeerSelector::SetPeers(const std::set<std::string>& aAddresses)
{
  std::erase_if(this->usableFrom,
                [&](const auto& aItem) { return !aAddresses.contains(aItem.first); });
  for (const std::string& address : aAddresses) {
    this->usableFrom.try_emplace(address);
  }
}

std::optional<std::string> PeerSelector::Choose(const std::set<std::string>& aTried,
                                                Instant aNow) const
{
  if (aTried.size() >= this->settings.maxPeersPerRequest) {
    return std::nullopt;
  }
  const auto isUsable = [&](const auto& aPeer) {
    return aNow >= aPeer.second && !aTried.contains(aPeer.first);
  };
  const auto last = this->usableFrom.find(this->lastServed);
  if (last != this->usableFrom.end() && isUsable(*last)) {
    return last->first;
  }
  for (const auto& peer : this->usableFrom) {
    if (isUsable(peer)) {
      return peer.first;
    }
  }
  return std::nullopt;
}

void PeerSelector::OnServed(const std::string& aAddress)
{
  this->lastServed = aAddress;
}

void PeerSelector::OnFailed(const std::string& aAddress, Instant aNow)
{
  if (const auto peer = this->usableFrom.find(aAddress); peer != this->usableFrom.end()) {
    peer->second = aNow + this->settings.failureBackoff;
  }
}

} // namespace oriolespread::cluster
