// Chooses the entry that a request is passed on to while the store does not serve this entry.
//
// Answers outages in which the store turns some machines away while it serves the others: callers
// of an entry without the store otherwise lose a second or more for each refusal, because their
// retries reach the same entry until the load balancer leaves it out. Not thread-safe.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oriolespread::cluster {

struct PeerSettings
{
  // How long a peer that did not serve a request is left out. While the store serves no entry, it
  // bounds the calls between entries.
  Duration failureBackoff = std::chrono::milliseconds(500);
  // Peers that are asked for one request.
  std::size_t maxPeersPerRequest = 2;
};

class PeerSelector
{
public:
  explicit PeerSelector(PeerSettings aSettings);

  // Replaces the addresses of the other entries.
  void SetPeers(const std::set<std::string>& aAddresses);

  // Returns the peer to ask for a request that the peers in `aTried` did not serve; std::nullopt if
  // there is none.
  std::optional<std::string> Choose(const std::set<std::string>& aTried, Instant aNow) const;

  void OnServed(const std::string& aAddress);
  void OnFailed(const std::string& aAddress, Instant aNow);

private:
  PeerSettings settings;
  // By address, the time before which the peer is left out.
  std::map<std::string, Instant> usableFrom;
  // The peer that served the last request; empty if none has.
  std::string lastServed;
};

} // namespace oriolespread::cluster
