// Watches the owner row of a shard and claims it once its owner has let the lease lapse.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/PendingCommit.h"
#include "oriolespread/tasks/ShardRows.h"

#include <optional>

namespace oriolespread {

// Return a duration lengthened or shortened by the margin for clocks of different rate.
Duration AddMargin(Duration aDuration, double aMargin);
Duration SubtractMargin(Duration aDuration, double aMargin);

// What a successful claim gives.
struct ClaimedShard
{
  Epoch epoch;
  RowVersion version;
  // When the claim was sent: the lease counts from here.
  Instant sentAt;
  // Until when workers that do not report may still run attempts of earlier owners.
  Instant inheritedLeaseEnd;
};

// Not thread-safe.
class ShardClaim
{
public:
  // `aOptions` and `aCounters` must outlive this object.
  ShardClaim(const OwnerOptions& aOptions, Counters& aCounters);

  // Forgets what was seen and watches anew.
  void Restart();
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  // Returns the claim once it has committed.
  std::optional<ClaimedShard> OnEvent(Instant aNow, const OwnerEvent& aEvent);

  bool IsClaiming() const { return this->commit.IsActive(); }
  // Returns the row last seen, or nothing when there was none.
  const std::optional<OwnerRow>& LastSeenRow() const { return this->row; }

private:
  void OnScan(Instant aNow, const ScanPage& aPage);
  Instant ClaimableAt() const;
  void Claim(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);

  const OwnerOptions& options;
  Counters& counters;
  PendingCommit commit;
  std::optional<OwnerRow> row;
  RowVersion version;
  // When the version was first seen; nothing before the first scan.
  std::optional<Instant> versionSeenAt;
  CallId scanCall;
  bool scanning = false;
  Instant nextScan{};
  std::uint64_t claimCount = 0;
  Epoch claimedEpoch;
  Instant inheritedLeaseEnd{};
};

} // namespace oriolespread
