#include "LeaderWrite.h"

#include "oriolespread/daemon/ClusterSettings.h"

#include <algorithm>
#include <utility>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;

namespace {

// Bounds the connections that unanswered attempts hold of the client's 16, without reads.
constexpr int kMaxAttemptsInFlight = 4;
// A slowed store answers within this time.
constexpr Duration kRowReadTimeout = kStoreTimeout / 2;

} // namespace

std::shared_ptr<LeaderWrite> LeaderWrite::Send(asio::io_context& aContext,
                                               platformwire::StoreClient& aStore,
                                               cluster::TimeoutEstimator& aTimeout,
                                               cluster::StoreTransaction aTransaction,
                                               RetryCallback aOnRetry,
                                               Callback aOnFate)
{
  std::shared_ptr<LeaderWrite> write(new LeaderWrite(
    aContext, aStore, aTimeout, std::move(aTransaction), std::move(aOnRetry), std::move(aOnFate)));
  write->SendAttempt();
  return write;
}

LeaderWrite::LeaderWrite(asio::io_context& aContext,
                         platformwire::StoreClient& aStore,
                         cluster::TimeoutEstimator& aTimeout,
                         cluster::StoreTransaction aTransaction,
                         RetryCallback aOnRetry,
                         Callback aOnFate)
  : store(aStore)
  , timeout(aTimeout)
  , transaction(std::move(aTransaction))
  , onRetry(std::move(aOnRetry))
  , onFate(std::move(aOnFate))
  , repetitionTimer(aContext)
  , startedAt(BootClock::now())
{
}

void LeaderWrite::Cancel()
{
  this->finished = true;
  this->repetitionTimer.cancel();
}

void LeaderWrite::SendAttempt()
{
  ++this->attempts;
  ++this->attemptsInFlight;
  this->ScheduleRepetition(this->timeout.Timeout());
  this->store.Commit(this->transaction,
                     kStoreTimeout,
                     [self = this->shared_from_this(), sentAt = BootClock::now()](
                       const cluster::CommitResult& aResult) { self->OnAnswer(aResult, sentAt); });
}

void LeaderWrite::OnAnswer(const cluster::CommitResult& aResult, Instant aSentAt)
{
  --this->attemptsInFlight;
  const Duration latency = BootClock::now() - aSentAt;
  const bool isAnswered = aResult.end != CommitEnd::Unknown && aResult.end != CommitEnd::Refused;
  if (isAnswered) {
    this->timeout.OnAnswer(latency);
  }
  if (this->finished) {
    return;
  }
  if (isAnswered) {
    this->Finish(aResult, aSentAt);
    return;
  }
  if (aResult.end == CommitEnd::Unknown) {
    this->timeout.OnTimeout();
  } else {
    ++this->refusedAttempts;
  }
  // An attempt without an answer for the whole time has been repeated before.
  if (latency < kStoreTimeout) {
    this->onRetry(aResult.reason);
    if (!this->finished) {
      this->ScheduleRepetition(std::max(Duration::zero(), kStoreRetryDelay - latency));
    }
  }
}

void LeaderWrite::ScheduleRepetition(Duration aDelay)
{
  this->repetitionTimer.expires_after(aDelay);
  this->repetitionTimer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError && !self->finished) {
      self->Repeat();
    }
  });
}

void LeaderWrite::Repeat()
{
  if (this->attemptsInFlight > 0) {
    this->onRetry("unanswered");
    if (this->finished) {
      return;
    }
  }
  if (this->MayBeApplied()) {
    this->ReadRow();
  }
  if (this->attemptsInFlight < kMaxAttemptsInFlight) {
    this->SendAttempt();
  } else {
    this->ScheduleRepetition(this->timeout.Timeout());
  }
}

void LeaderWrite::ReadRow()
{
  const cluster::RowKey& key = this->transaction.conditions.front().row;
  // Requests at most one row, beginning at the key.
  this->store.Read({ key.table, key.key, key.key + "~", 1, key.part },
                   kRowReadTimeout,
                   [self = this->shared_from_this(), sentAt = BootClock::now()](
                     const cluster::ReadResult& aResult) { self->OnRow(aResult, sentAt); });
}

void LeaderWrite::OnRow(const cluster::ReadResult& aResult, Instant aSentAt)
{
  const cluster::RowCondition& condition = this->transaction.conditions.front();
  if (this->finished || aResult.end != ReadEnd::Done || aResult.rows.empty()) {
    return;
  }
  const cluster::StoredRow& row = aResult.rows.front();
  // Reads may be behind, and an attempt may still be carried out while the version is the expected
  // one.
  if (row.row != condition.row || row.version <= condition.version) {
    return;
  }
  cluster::CommitResult result;
  result.end = CommitEnd::Conflict;
  result.current = { row };
  this->Finish(result, aSentAt);
}

void LeaderWrite::Finish(const cluster::CommitResult& aResult, Instant aSentAt)
{
  this->Cancel();
  // The owner may release this object meanwhile.
  const std::shared_ptr<LeaderWrite> self = this->shared_from_this();
  std::exchange(this->onFate, nullptr)(aResult, aSentAt);
}

} // namespace oriolespread::daemon
