// Decides whether an entry takes new callers from the load balancer.
//
// Answers outages in which the store turns some machines away while it serves the others: an entry
// that the store does not answer can only refuse its callers, who are served sooner by another
// entry. As long as it is ready, their retries reach it again.
#pragma once

#include "oriolespread/base/Time.h"

namespace oriolespread::cluster {

struct ReadinessSettings
{
  // An entry whose configuration has not been confirmed for this long may have missed a change.
  Duration maxConfigAge = std::chrono::milliseconds(4000);
  // The time of several reads of the leadership row, one of which each entry sends at least every
  // 0.3 s, so that one lost answer does not count.
  Duration maxStoreSilence = std::chrono::milliseconds(1200);
};

struct EntryCondition
{
  bool draining = false;
  bool hasConfig = false;
  // Since the configuration was last confirmed by the store.
  Duration configAge{};
  // Since the store last answered a call of the entry with other than a refusal.
  Duration storeSilence{};
};

// Returns whether the entry takes new callers.
bool IsReady(const EntryCondition& aCondition, const ReadinessSettings& aSettings);

} // namespace oriolespread::cluster
