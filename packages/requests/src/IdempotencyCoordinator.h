// Lets each idempotency key through once and keeps its answer in the table service.
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
  // The record is written by this request: dispatch it.
  Dispatch,
  // An earlier request with this key was answered: `answer` is its answer.
  Replay,
  Refuse,
};

struct IdempotencyResult
{
  RequestId request;
  IdempotencyDecision decision = IdempotencyDecision::Refuse;
  ResponseContentPtr response;
  // With Refuse.
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::StoreUnavailable;
};

using IdempotencyResults = std::vector<IdempotencyResult>;

// Begin leads to one verdict, unless Finish or Abandon comes first. The gate then goes on by itself
// until the table holds the answer, or no record when the request was proved not to have run. Not
// thread-safe.
class IdempotencyCoordinator
{
public:
  // The interval between reads of one fate doubles up to kMaxFateInterval, because an outage may
  // last for minutes.
  static constexpr Duration kInitialFateReadInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaxFateReadInterval = std::chrono::seconds(10);
  static constexpr Duration kStoreRetryInterval = std::chrono::seconds(1);
  static constexpr std::uint32_t kMaxCreateAttempts = 3;
  // Keyed requests beyond this are refused, because each holds memory until its record is settled.
  static constexpr std::size_t kMaxEntries = 10'000;

  IdempotencyCoordinator(EntryId aEntry, Incarnation aIncarnation, Counters& aCounters);

  // Returns false when the gate is full or the table service is known to be down; nothing was
  // written then.
  bool Begin(Instant aNow, const NewRequest& aRequest, RequestEffects& aEffects);
  // The request was answered: records the answer.
  void Finish(const RequestId& aRequest, ResponseContentPtr aResponse, RequestEffects& aEffects);
  // The request was given up. With NotRun its record is removed, so that the caller may repeat it;
  // otherwise the record stays and bars the key. Returns false when an earlier request with the key
  // is known to exist, so that nothing may be said about the key's work.
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

  // Returns how many requests have a record that is not settled.
  std::size_t size() const { return this->entries.size(); }

private:
  enum class Goal
  {
    Create,
    // The record is written and the request is being served.
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
  struct Entry
  {
    RequestId request;
    std::string key;
    std::string digest;
    Goal goal = Goal::Create;
    Step step = Step::None;
    // The operation that is waited for; an entry has at most one.
    TableOperationId operation;
    bool abandoned = false;
    // A conflict has shown that an earlier request with this key has a record.
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
  // No entry has to be looked at before.
  Instant nextWakeup = Instant::max();
  absl::flat_hash_map<RequestId, std::unique_ptr<Entry>> entries;
  absl::flat_hash_map<TableOperationId, RequestId> operations;
};

} // namespace oriolespread::internal
