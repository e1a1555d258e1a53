#include "oriolespread/tasks/Journal.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace oriolespread {

namespace {

// Limits the size of a transaction. At one transaction every 100 ms, 10,000 records a second are
// possible.
constexpr std::size_t kMaxItemsPerTransaction = 1000;

} // namespace

Journal::Journal(const OwnerOptions& aOptions, Counters& aCounters)
  : options(aOptions)
  , counters(aCounters)
{
}

void Journal::Open(const ClaimedShard& aClaimed)
{
  this->Close();
  this->open = true;
  this->epoch = aClaimed.epoch;
  this->ownerVersion = aClaimed.version;
  this->renewedAt = aClaimed.sentAt;
  this->lastSentAt = aClaimed.sentAt;
  this->renewal = 0;
}

void Journal::Close()
{
  this->open = false;
  this->commit.Reset();
  this->staged.clear();
  this->deferred.clear();
  this->lastPosition = 0;
  this->committedPosition = 0;
  this->itemsInFlight = 0;
}

std::uint64_t Journal::Stage(const JournalRecord& aRecord, std::vector<RowWrite> aWrites)
{
  return this->Enqueue({ EncodeRecord(aRecord), std::move(aWrites) });
}

std::uint64_t Journal::StageWrites(std::vector<RowWrite> aWrites)
{
  return this->Enqueue({ std::nullopt, std::move(aWrites) });
}

std::uint64_t Journal::Enqueue(Item aItem)
{
  this->staged.push_back(std::move(aItem));
  return ++this->lastPosition;
}

void Journal::Defer(DeferredAction aAction)
{
  this->deferred.emplace_back(this->lastPosition, std::move(aAction));
}

std::optional<std::uint64_t> Journal::Poll(Instant aNow,
                                           const std::function<Duration()>& aInheritedLease,
                                           CallIdGenerator& aCallIds,
                                           OwnerEffects& aEffects)
{
  this->commit.Poll(aNow, aCallIds, aEffects);
  if (!this->open || this->commit.IsActive() ||
      aNow < this->lastSentAt + this->options.journalPeriod) {
    return std::nullopt;
  }
  const bool renew = aNow >= this->renewedAt + this->options.renewalPeriod;
  if (this->staged.empty() && !renew) {
    return std::nullopt;
  }
  this->itemsInFlight = std::min(this->staged.size(), kMaxItemsPerTransaction);
  this->renewalInFlight = renew;
  this->lastSentAt = aNow;
  const Duration inheritedLease = renew ? aInheritedLease() : Duration{};
  this->commit.Send(
    aNow, this->BuildTransaction(this->itemsInFlight, renew, inheritedLease), aCallIds, aEffects);
  this->counters.Add("journal_transactions_total", this->journalRowInFlight ? "batch" : "other");
  const bool all = this->journalRowInFlight && this->itemsInFlight == this->staged.size();
  return all ? std::optional(this->nextSeq) : std::nullopt;
}

Transaction Journal::BuildTransaction(std::size_t aItemCount, bool aRenew, Duration aInheritedLease)
{
  Transaction transaction;
  transaction.id = TransactionId{ absl::StrCat(this->options.entry.Value(),
                                               ".",
                                               this->options.incarnation.Value(),
                                               ".",
                                               this->options.shard.Value(),
                                               ".",
                                               ++this->transactionCount) };
  const std::string ownerKey = OwnerKey(this->options.shard);
  transaction.conditions.push_back({ ownerKey, this->ownerVersion });
  if (aRenew) {
    transaction.writes.push_back({ ownerKey, ToJson(this->NextOwnerRow(aInheritedLease)) });
  }
  nlohmann::json records = nlohmann::json::array();
  for (std::size_t index = 0; index < aItemCount; ++index) {
    const Item& item = this->staged[index];
    if (item.record.has_value()) {
      records.push_back(*item.record);
    }
    transaction.writes.insert(transaction.writes.end(), item.writes.begin(), item.writes.end());
  }
  this->journalRowInFlight = !records.empty();
  if (this->journalRowInFlight) {
    const std::string key = JournalKey(this->options.shard, this->nextSeq);
    this->counters.Add("journal_records_total", "staged", records.size());
    transaction.conditions.push_back({ key, RowVersion{} });
    transaction.writes.push_back(
      { key, nlohmann::json{ { "epoch", this->epoch }, { "records", std::move(records) } } });
  }
  return transaction;
}

OwnerRow Journal::NextOwnerRow(Duration aInheritedLease)
{
  OwnerRow row;
  row.entry = this->options.entry;
  row.address = this->options.address;
  row.epoch = this->epoch;
  row.renewal = ++this->renewal;
  row.leaseMs = static_cast<std::uint64_t>(ToMilliseconds(this->options.ownershipLease));
  row.taskLeaseMs = static_cast<std::uint64_t>(ToMilliseconds(this->options.taskLease));
  const Duration horizon = std::max(this->options.horizon, aInheritedLease);
  row.horizonMs = static_cast<std::uint64_t>(ToMilliseconds(horizon)) + 1;
  return row;
}

bool Journal::Release(Instant aNow,
                      Duration aInheritedLease,
                      CallIdGenerator& aCallIds,
                      OwnerEffects& aEffects)
{
  if (this->commit.IsActive()) {
    return false;
  }
  Transaction transaction = this->BuildTransaction(0, false, aInheritedLease);
  OwnerRow row = this->NextOwnerRow(aInheritedLease);
  row.leaseMs = 0;
  // This owner extends no more leases, so only leases of earlier owners remain to be waited for.
  row.horizonMs = static_cast<std::uint64_t>(ToMilliseconds(aInheritedLease)) + 1;
  transaction.writes.push_back({ OwnerKey(this->options.shard), ToJson(row) });
  // Sent only once: if the transaction is lost, the owner row stays unchanged and its lease
  // expires.
  PendingCommit last;
  last.Send(aNow, std::move(transaction), aCallIds, aEffects);
  this->Close();
  return true;
}

Journal::Progress Journal::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  const std::uint64_t lostResponsesBefore = this->commit.LostResponses();
  const CommitProgress progress = this->commit.OnEvent(aNow, aEvent);
  this->counters.Add(
    "journal_commits_total", "answer_lost", this->commit.LostResponses() - lostResponsesBefore);
  switch (progress) {
    case CommitProgress::Unrelated:
      return Progress::Unrelated;
    case CommitProgress::Waiting:
      return Progress::Waiting;
    case CommitProgress::Committed:
      this->counters.Add("journal_commits_total", "committed");
      this->OnCommitted();
      return Progress::Committed;
    case CommitProgress::NotCommitted:
      this->counters.Add("journal_commits_total", "not_committed");
      return Progress::NotCommitted;
    case CommitProgress::Conflict:
      this->counters.Add("journal_commits_total", "conflict");
      return Progress::OwnershipLost;
  }
  return Progress::Unrelated;
}

void Journal::OnCommitted()
{
  if (this->renewalInFlight) {
    this->renewedAt = this->commit.SentAt();
    this->ownerVersion = this->commit.Version();
  }
  if (this->journalRowInFlight) {
    ++this->nextSeq;
  }
  this->staged.erase(this->staged.begin(),
                     this->staged.begin() + static_cast<std::ptrdiff_t>(this->itemsInFlight));
  this->committedPosition += this->itemsInFlight;
  this->itemsInFlight = 0;
}

std::vector<DeferredAction> Journal::TakeReadyActions()
{
  std::vector<DeferredAction> ready;
  while (!this->deferred.empty() && this->deferred.front().first <= this->committedPosition) {
    ready.push_back(std::move(this->deferred.front().second));
    this->deferred.pop_front();
  }
  return ready;
}

Instant Journal::LeaseDeadline() const
{
  return this->renewedAt + SubtractMargin(this->options.ownershipLease, this->options.driftMargin);
}

Instant Journal::HorizonDeadline() const
{
  return this->renewedAt + SubtractMargin(this->options.horizon, this->options.driftMargin);
}

} // namespace oriolespread
