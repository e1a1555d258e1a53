// Watches the owner row of a shard and claims the shard once the owner's lease has expired.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/PendingCommit.h"
#include "oriolespread/tasks/ShardRows.h"

#include <optional>

namespace oriolespread {

// Return the duration lengthened or shortened by the margin for clock drift.
Duration AddMargin(Duration aDuration, double aMargin);
Duration SubtractMargin(Duration aDuration, double aMargin);

// The result of a successful claim.
struct ClaimedShard
{
  Epoch epoch;
  RowVersion version;
  // When the claim was sent; the ownership lease starts here.
  Instant sentAt;
  // Until when workers that do not report may still run attempts under leases of earlier owners.
  Instant inheritedLeaseEnd;
};

// Not thread-safe.
class ShardClaim
{
public:
  // `aOptions` and `aCounters` must outlive this object.
  ShardClaim(const OwnerOptions& aOptions, Counters& aCounters);

  // Discards the observed state and starts watching again.
  void Restart();
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  // Returns the claim when it has committed.
  std::optional<ClaimedShard> OnEvent(Instant aNow, const OwnerEvent& aEvent);

  bool IsClaiming() const { return this->commit.IsActive(); }
  // Returns the owner row last seen, or nothing if there was none or it was malformed.
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
  // When the version was first seen; empty before the first scan.
  std::optional<Instant> versionSeenAt;
  CallId scanCall;
  bool scanning = false;
  Instant nextScan{};
  std::uint64_t claimCount = 0;
  Epoch claimedEpoch;
  Instant inheritedLeaseEnd{};
};

} // namespace oriolespread
