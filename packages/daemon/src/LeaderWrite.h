// Stores one transaction that writes the leadership row on condition of its version, at a store
// that may lose answers. One lost answer must not delay decisions until a time-out, or cost the
// leadership, so the transaction is repeated unchanged beside the attempts without an answer, and
// the row is read. The condition lets the store carry out at most one of the attempts.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/cluster/StoreTypes.h"
#include "oriolespread/cluster/TimeoutEstimator.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolespread::daemon {

class LeaderWrite : public std::enable_shared_from_this<LeaderWrite>
{
public:
  // Called once with the fate: Applied, Invalid, or Conflict with the row if it is known, also when
  // a read has shown another version of it. `aSentAt` is when the answered call was sent. After a
  // Conflict or Invalid, an unanswered attempt may have been applied.
  using Callback = std::function<void(const cluster::CommitResult& aResult, Instant aSentAt)>;
  // Called when an attempt is refused or has no answer in time, before it is repeated.
  using RetryCallback = std::function<void(const std::string& aReason)>;

  // Sends the first attempt. The first condition and the first change of the transaction are those
  // of the leadership row. The callbacks run on the event loop until `Cancel`; the references must
  // outlive all calls to the store.
  static std::shared_ptr<LeaderWrite> Send(asio::io_context& aContext,
                                           platformwire::StoreClient& aStore,
                                           cluster::TimeoutEstimator& aTimeout,
                                           cluster::StoreTransaction aTransaction,
                                           RetryCallback aOnRetry,
                                           Callback aOnFate);

  // Sends no further calls and calls nothing back.
  void Cancel();

  // Returns whether the store may have carried out an attempt, or may do so later.
  bool MayBeApplied() const { return this->attempts > this->refusedAttempts; }
  // Returns when the first attempt was sent.
  Instant StartedAt() const { return this->startedAt; }
  std::uint64_t Attempts() const { return this->attempts; }
  std::size_t RowCount() const { return this->transaction.changes.size(); }

private:
  LeaderWrite(asio::io_context& aContext,
              platformwire::StoreClient& aStore,
              cluster::TimeoutEstimator& aTimeout,
              cluster::StoreTransaction aTransaction,
              RetryCallback aOnRetry,
              Callback aOnFate);

  void SendAttempt();
  void OnAnswer(const cluster::CommitResult& aResult, Instant aSentAt);
  void ScheduleRepetition(Duration aDelay);
  // Reads the row and sends another attempt.
  void Repeat();
  void ReadRow();
  void OnRow(const cluster::ReadResult& aResult, Instant aSentAt);
  void Finish(const cluster::CommitResult& aResult, Instant aSentAt);

  platformwire::StoreClient& store;
  cluster::TimeoutEstimator& timeout;
  cluster::StoreTransaction transaction;
  RetryCallback onRetry;
  Callback onFate;
  asio::steady_timer repetitionTimer;
  Instant startedAt{};
  std::uint64_t attempts = 0;
  std::uint64_t refusedAttempts = 0;
  int attemptsInFlight = 0;
  // Whether the fate is known or the write was cancelled.
  bool finished = false;
};

} // namespace oriolespread::daemon
