#include "oriolespread/tasks/ShardClaim.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Adds to the time between the failure of an owner and the claim of its shard, so it is short
// compared to the lease of 3 s. An entry that watches 8 shards makes 32 reads a second.
constexpr Duration kScanPeriod = std::chrono::milliseconds(250);

} // namespace

Duration AddMargin(Duration aDuration, double aMargin)
{
  return std::chrono::duration_cast<Duration>(aDuration * (1.0 + aMargin));
}

Duration SubtractMargin(Duration aDuration, double aMargin)
{
  return std::chrono::duration_cast<Duration>(aDuration * (1.0 - aMargin));
}

ShardClaim::ShardClaim(const OwnerOptions& aOptions, Counters& aCounters)
  : options(aOptions)
  , counters(aCounters)
{
}

void ShardClaim::Restart()
{
  this->commit.Reset();
  this->row.reset();
  this->version = RowVersion{};
  this->versionSeenAt.reset();
  this->scanning = false;
}

void ShardClaim::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  this->commit.Poll(aNow, aCallIds, aEffects);
  if (this->commit.IsActive()) {
    return;
  }
  if (this->versionSeenAt.has_value() && aNow >= this->ClaimableAt()) {
    this->Claim(aNow, aCallIds, aEffects);
    return;
  }
  if (!this->scanning && aNow >= this->nextScan) {
    this->scanning = true;
    this->nextScan = aNow + kScanPeriod;
    this->scanCall = aCallIds.Next();
    aEffects.emplace_back(ScanCall{ this->scanCall, OwnerKey(this->options.shard), {}, 1 });
  }
}

std::optional<ClaimedShard> ShardClaim::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (const auto* scan = std::get_if<ScanResult>(&aEvent)) {
    if (this->scanning && scan->call == this->scanCall) {
      this->scanning = false;
      if (scan->page.ok()) {
        this->OnScan(aNow, *scan->page);
      }
    }
    return std::nullopt;
  }
  switch (this->commit.OnEvent(aNow, aEvent)) {
    case CommitProgress::Committed: {
      this->counters.Add("shard_claims_total", "committed");
      ClaimedShard claimed{ this->claimedEpoch, this->commit.Version(), {}, {} };
      claimed.sentAt = this->commit.SentAt();
      claimed.inheritedLeaseEnd = this->inheritedLeaseEnd;
      return claimed;
    }
    case CommitProgress::Conflict:
      this->counters.Add("shard_claims_total", "conflict");
      this->Restart();
      break;
    case CommitProgress::NotCommitted:
      this->counters.Add("shard_claims_total", "not_committed");
      this->Restart();
      break;
    case CommitProgress::Unrelated:
    case CommitProgress::Waiting:
      break;
  }
  return std::nullopt;
}

void ShardClaim::OnScan(Instant aNow, const ScanPage& aPage)
{
  const RowVersion seen = aPage.rows.empty() ? RowVersion{} : aPage.rows.front().version;
  if (this->versionSeenAt.has_value() && seen == this->version) {
    return;
  }
  this->version = seen;
  this->versionSeenAt = aNow;
  this->row.reset();
  if (!aPage.rows.empty()) {
    this->row = ParseOwnerRow(aPage.rows.front().value);
    if (!this->row.has_value()) {
      this->counters.Add("shard_claims_total", "malformed_row");
    }
  }
}

Instant ShardClaim::ClaimableAt() const
{
  if (this->version.Value() == 0) {
    return *this->versionSeenAt + this->options.claimDelay;
  }
  if (!this->row.has_value()) {
    // A claim must increment the epoch, which a malformed row does not show.
    return Instant::max();
  }
  const Duration ownershipLease = std::chrono::milliseconds(this->row->leaseMs);
  return *this->versionSeenAt + AddMargin(ownershipLease, this->options.driftMargin) +
         this->options.claimDelay;
}

void ShardClaim::Claim(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  OwnerRow next;
  next.entry = this->options.entry;
  next.address = this->options.address;
  next.epoch = Epoch{ this->row.has_value() ? this->row->epoch.Value() + 1 : 1 };
  next.leaseMs = static_cast<std::uint64_t>(ToMilliseconds(this->options.ownershipLease));
  next.taskLeaseMs = static_cast<std::uint64_t>(ToMilliseconds(this->options.taskLease));
  Duration wait{};
  if (this->row.has_value()) {
    wait = std::chrono::milliseconds(this->row->horizonMs + this->row->taskLeaseMs);
  }
  this->inheritedLeaseEnd = *this->versionSeenAt + AddMargin(wait, this->options.driftMargin);
  const Duration horizon = std::max(this->options.horizon, this->inheritedLeaseEnd - aNow);
  next.horizonMs = static_cast<std::uint64_t>(ToMilliseconds(horizon)) + 1;
  this->claimedEpoch = next.epoch;

  const std::string key = OwnerKey(this->options.shard);
  Transaction transaction;
  transaction.id = TransactionId{ absl::StrCat(this->options.entry.Value(),
                                               ".",
                                               this->options.incarnation.Value(),
                                               ".",
                                               this->options.shard.Value(),
                                               ".claim.",
                                               ++this->claimCount) };
  transaction.conditions.push_back({ key, this->version });
  transaction.writes.push_back({ key, ToJson(next) });
  this->commit.Send(aNow, std::move(transaction), aCallIds, aEffects);
}

} // namespace oriolespread
