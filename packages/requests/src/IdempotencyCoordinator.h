// Runs the request of each idempotency key once and stores its response in the table service.
#pragma once

#include "CircuitBreaker.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/requests/RequestEvents.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread::internal {

enum class IdempotencyDecision
{
  // This request has written the record of its key: dispatch it.
  Dispatch,
  // An earlier request with this key was answered; `response` is its response.
  Replay,
  Refuse,
};

struct IdempotencyResult
{
  RequestId request;
  IdempotencyDecision decision = IdempotencyDecision::Refuse;
  ResponseContentPtr response;
  // Set for Refuse.
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::StoreUnavailable;
};

using IdempotencyResults = std::vector<IdempotencyResult>;

// Begin leads to exactly one result, unless Finish or Abandon is called first. After Finish or
// Abandon the coordinator retries by itself until the table holds the response, or holds no record
// when the request is proven not to have run. Not thread-safe.
class IdempotencyCoordinator
{
public:
  // The interval between reads of a transaction's fate doubles up to kMaxFateReadInterval, because
  // an outage may last for minutes.
  static constexpr Duration kInitialFateReadInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaxFateReadInterval = std::chrono::seconds(10);
  static constexpr Duration kStoreRetryInterval = std::chrono::seconds(1);
  static constexpr std::uint32_t kMaxCreateAttempts = 3;
  // Further requests are refused, because each one uses memory until its record has its final
  // state.
  static constexpr std::size_t kMaxEntries = 10'000;

  IdempotencyCoordinator(EntryId aEntry, Incarnation aIncarnation, Counters& aCounters);

  // Returns false, without writing anything, when there are kMaxEntries already or the
  // circuit breaker is open.
  bool Begin(Instant aNow, const NewRequest& aRequest, RequestEffects& aEffects);
  // Stores the response of the request.
  void Finish(const RequestId& aRequest, ResponseContentPtr aResponse, RequestEffects& aEffects);
  // The request has failed. With NotRun its record is removed, so that the caller may repeat it;
  // otherwise the record remains and blocks the key. Returns false when a record of an earlier
  // request with this key is known to exist, which may have run.
  bool Abandon(const RequestId& aRequest, Outcome aOutcome, RequestEffects& aEffects);

  void OnTransaction(Instant aNow,
                     const TransactionDone& aDone,
                     RequestEffects& aEffects,
                     IdempotencyResults& aResults);
  void OnFate(Instant aNow,
              const FateDone& aDone,
              RequestEffects& aEffects,
              IdempotencyResults& aResults);
  void OnScan(const RowScanDone& aDone, RequestEffects& aEffects, IdempotencyResults& aResults);
  void OnTick(Instant aNow, RequestEffects& aEffects);
  Instant NextWakeup() const { return this->nextWakeup; }

  // Returns the number of requests whose record does not have its final state yet.
  std::size_t size() const { return this->entries.size(); }

private:
  enum class Goal
  {
    Create,
    // The record is written and the request is in progress.
    Serve,
    Store,
    Delete,
  };
  enum class Step
  {
    None,
    Committing,
    ReadingFate,
    Scanning,
  };
  // The state of a keyed request whose record does not have its final state yet.
  struct Entry
  {
    RequestId request;
    std::string key;
    std::string digest;
    Goal goal = Goal::Create;
    Step step = Step::None;
    // The pending table operation; there is at most one.
    TableOperationId operation;
    bool abandoned = false;
    // Set when a conflict has shown that a record of an earlier request with this key exists.
    bool earlierRecordSeen = false;
    TransactionId transaction;
    RowVersion version;
    std::uint32_t createAttempts = 0;
    Duration fateReadInterval = kInitialFateReadInterval;
    Instant wakeAt = Instant::max();
    ResponseContentPtr response;
  };

  Entry* FinishOperation(TableOperationId aOperation);
  void ScheduleWakeup(Entry& aEntry, Instant aAt);
  void Commit(Entry& aEntry, RequestEffects& aEffects);
  void ReadFate(Entry& aEntry, RequestEffects& aEffects);
  void OnRecordWritten(Entry& aEntry,
                       RowVersion aVersion,
                       RequestEffects& aEffects,
                       IdempotencyResults& aResults);
  void Refuse(Entry& aEntry, Outcome aOutcome, Reason aReason, IdempotencyResults& aResults);
  void Scan(Entry& aEntry, RequestEffects& aEffects);
  void Erase(Entry& aEntry);
  TableOperationId StartOperation(Entry& aEntry, Step aStep);

  EntryId entry;
  Incarnation incarnation;
  Counters& counters;
  CircuitBreaker breaker;
  std::uint64_t lastOperation = 0;
  // A lower bound of the entries' `wakeAt`.
  Instant nextWakeup = Instant::max();
  absl::flat_hash_map<RequestId, std::unique_ptr<Entry>> entries;
  absl::flat_hash_map<TableOperationId, RequestId> operations;
};

} // namespace oriolespread::internal
