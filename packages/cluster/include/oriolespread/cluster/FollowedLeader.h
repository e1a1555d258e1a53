// Chooses the leader that an agent follows from the claims of entries.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <string>

namespace oriolespread::cluster {

// A process of an agent never follows a leader that an earlier process of the agent knew to be
// superseded: the first claim that it accepts is renewed, so that the claim of a later leader which
// the earlier process followed would have been stored before. Not thread-safe.
class FollowedLeader
{
public:
  // Handles a claim of a linked entry. Returns whether the agent begins to follow the entry, or
  // begins anew as the entry has loaded its state.
  bool OnClaim(const std::string& aEntry, const LeaderClaim& aClaim);
  // Handles that the link to the entry is down. Returns whether the agent followed it until now.
  bool OnLinkDown(const std::string& aEntry);

  // The name of the entry; empty if the agent follows none at present.
  const std::string& Entry() const { return this->entry; }
  // The highest epoch that was followed.
  Epoch LatestEpoch() const { return this->epoch; }

private:
  Epoch epoch;
  std::string entry;
};

} // namespace oriolespread::cluster
