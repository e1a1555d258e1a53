#include "IdempotencyCoordinator.h"

#include "IdempotencyRecord.h"

#include <algorithm>

namespace oriolespread::internal {

IdempotencyCoordinator::IdempotencyCoordinator(EntryId aEntry,
                                               Incarnation aIncarnation,
                                               Counters& aCounters)
  : entry(std::move(aEntry))
  , incarnation(aIncarnation)
  , counters(aCounters)
{
}

bool IdempotencyCoordinator::Begin(Instant aNow,
                                   const NewRequest& aRequest,
                                   RequestEffects& aEffects)
{
  if (this->entries.size() >= kMaxEntries) {
    this->counters.Add("idempotency_refused_total", "gate_full");
    return false;
  }
  // Pending retries already probe the service; a new write would only add to them.
  const bool probePending = this->breaker.IsOpen() && this->nextWakeup != Instant::max();
  if (probePending || !this->breaker.TryAcquire(aNow)) {
    this->counters.Add("idempotency_refused_total", "store_down");
    return false;
  }
  auto added = std::make_unique<Entry>();
  added->request = aRequest.id;
  added->key = RecordKey(aRequest.organisation, *aRequest.idempotencyKey);
  added->digest = RequestDigest(aRequest);
  this->Commit(*added, aEffects);
  this->entries[aRequest.id] = std::move(added);
  return true;
}

void IdempotencyCoordinator::Finish(const RequestId& aRequest,
                                    ResponseContentPtr aResponse,
                                    RequestEffects& aEffects)
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end() || found->second->goal != Goal::Serve) {
    return;
  }
  Entry& keyEntry = *found->second;
  keyEntry.goal = Goal::Store;
  keyEntry.response = std::move(aResponse);
  this->Commit(keyEntry, aEffects);
}

bool IdempotencyCoordinator::Abandon(const RequestId& aRequest,
                                     Outcome aOutcome,
                                     RequestEffects& aEffects)
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end()) {
    return true;
  }
  Entry& keyEntry = *found->second;
  if (keyEntry.goal == Goal::Create) {
    const bool earlierRecordSeen = keyEntry.earlierRecordSeen;
    keyEntry.abandoned = true;
    if (keyEntry.step == Step::Scanning) {
      this->Erase(keyEntry);
    }
    return !earlierRecordSeen;
  }
  if (aOutcome == Outcome::Unknown) {
    this->Erase(keyEntry);
    return true;
  }
  keyEntry.goal = Goal::Delete;
  this->Commit(keyEntry, aEffects);
  return true;
}

void IdempotencyCoordinator::OnTransaction(Instant aNow,
                                           const TransactionDone& aDone,
                                           RequestEffects& aEffects,
                                           IdempotencyResults& aResults)
{
  Entry* keyEntry = this->FinishOperation(aDone.operation);
  if (keyEntry == nullptr) {
    return;
  }
  const CommitStatus status = aDone.outcome.status;
  if (status == CommitStatus::Committed || status == CommitStatus::Conflict) {
    this->breaker.RecordSuccess();
  } else {
    this->breaker.RecordFailure();
  }
  switch (status) {
    case CommitStatus::Committed:
      this->OnRecordWritten(*keyEntry, aDone.outcome.version, aEffects, aResults);
      return;
    case CommitStatus::Conflict:
      if (keyEntry->goal != Goal::Create) {
        this->counters.Add("idempotency_records_lost_total", "conflict");
        this->Erase(*keyEntry);
      } else if (keyEntry->abandoned) {
        this->Erase(*keyEntry);
      } else {
        keyEntry->earlierRecordSeen = !aDone.outcome.conflictKey.empty();
        this->Scan(*keyEntry, aEffects);
      }
      return;
    case CommitStatus::Unavailable:
      this->counters.Add("idempotency_store_failures_total", "unavailable");
      if (keyEntry->goal == Goal::Create) {
        this->Refuse(*keyEntry, Outcome::NotRun, Reason::StoreUnavailable, aResults);
      } else {
        this->ScheduleWakeup(*keyEntry, aNow + kStoreRetryInterval);
      }
      return;
    case CommitStatus::Unknown:
      this->counters.Add("idempotency_store_failures_total", "unknown");
      this->ReadFate(*keyEntry, aEffects);
      return;
  }
}

void IdempotencyCoordinator::OnFate(Instant aNow,
                                    const FateDone& aDone,
                                    RequestEffects& aEffects,
                                    IdempotencyResults& aResults)
{
  Entry* keyEntry = this->FinishOperation(aDone.operation);
  if (keyEntry == nullptr) {
    return;
  }
  if (aDone.outcome.fate == TransactionFate::Unknown) {
    this->breaker.RecordFailure();
  } else {
    this->breaker.RecordSuccess();
  }
  switch (aDone.outcome.fate) {
    case TransactionFate::Committed:
      this->OnRecordWritten(*keyEntry, aDone.outcome.version, aEffects, aResults);
      return;
    case TransactionFate::NotCommitted:
      keyEntry->step = Step::None;
      if (keyEntry->goal != Goal::Create) {
        this->ScheduleWakeup(*keyEntry, aNow + kStoreRetryInterval);
      } else if (keyEntry->abandoned) {
        this->Erase(*keyEntry);
      } else {
        // The write may have been lost, or it may have had a conflict. The row shows which.
        this->Scan(*keyEntry, aEffects);
      }
      return;
    case TransactionFate::Unknown:
      keyEntry->step = Step::ReadingFate;
      this->ScheduleWakeup(*keyEntry, aNow + keyEntry->fateReadInterval);
      keyEntry->fateReadInterval = std::min(keyEntry->fateReadInterval * 2, kMaxFateReadInterval);
      return;
  }
}

void IdempotencyCoordinator::OnScan(const RowScanDone& aDone,
                                    RequestEffects& aEffects,
                                    IdempotencyResults& aResults)
{
  Entry* keyEntry = this->FinishOperation(aDone.operation);
  if (keyEntry == nullptr) {
    return;
  }
  if (!aDone.page.ok()) {
    this->breaker.RecordFailure();
    // An earlier request with this key may have run.
    const Outcome outcome = keyEntry->earlierRecordSeen ? Outcome::Unknown : Outcome::NotRun;
    this->Refuse(*keyEntry, outcome, Reason::StoreUnavailable, aResults);
    return;
  }
  this->breaker.RecordSuccess();
  const auto& rows = aDone.page->rows;
  const auto row = std::find_if(
    rows.begin(), rows.end(), [&](const Row& aRow) { return aRow.key == keyEntry->key; });
  if (row == rows.end()) {
    // The record was never written, or it was removed because its request is proven not to have
    // run.
    keyEntry->earlierRecordSeen = false;
    if (++keyEntry->createAttempts < kMaxCreateAttempts) {
      this->Commit(*keyEntry, aEffects);
    } else {
      this->Refuse(*keyEntry, Outcome::NotRun, Reason::StoreUnavailable, aResults);
    }
    return;
  }
  const auto record = ParseRecord(row->value);
  if (!record.has_value()) {
    this->counters.Add("idempotency_records_lost_total", "malformed");
    this->Refuse(*keyEntry, Outcome::Unknown, Reason::IdempotencyInProgress, aResults);
  } else if (record->digest != keyEntry->digest) {
    this->Refuse(*keyEntry, Outcome::NotRun, Reason::IdempotencyMismatch, aResults);
  } else if (!record->done) {
    this->Refuse(*keyEntry, Outcome::Unknown, Reason::IdempotencyInProgress, aResults);
  } else if (record->response == nullptr) {
    this->Refuse(*keyEntry, Outcome::Unknown, Reason::AnswerTooLarge, aResults);
  } else {
    this->counters.Add("idempotency_replays_total", "");
    aResults.push_back(
      { keyEntry->request, IdempotencyDecision::Replay, record->response, {}, {} });
    this->Erase(*keyEntry);
  }
}

void IdempotencyCoordinator::OnTick(Instant aNow, RequestEffects& aEffects)
{
  if (this->nextWakeup > aNow) {
    return;
  }
  this->nextWakeup = Instant::max();
  for (auto& [id, keyEntry] : this->entries) {
    if (keyEntry->wakeAt > aNow) {
      this->nextWakeup = std::min(this->nextWakeup, keyEntry->wakeAt);
      continue;
    }
    keyEntry->wakeAt = Instant::max();
    if (keyEntry->step == Step::ReadingFate) {
      this->ReadFate(*keyEntry, aEffects);
    } else {
      this->Commit(*keyEntry, aEffects);
    }
  }
}

void IdempotencyCoordinator::ScheduleWakeup(Entry& aEntry, Instant aAt)
{
  aEntry.wakeAt = aAt;
  this->nextWakeup = std::min(this->nextWakeup, aAt);
}

IdempotencyCoordinator::Entry* IdempotencyCoordinator::FinishOperation(TableOperationId aOperation)
{
  const auto found = this->operations.find(aOperation);
  if (found == this->operations.end()) {
    this->counters.Add("late_results_dropped_total", "table");
    return nullptr;
  }
  const auto keyEntry = this->entries.find(found->second);
  this->operations.erase(found);
  return keyEntry == this->entries.end() ? nullptr : keyEntry->second.get();
}

void IdempotencyCoordinator::Commit(Entry& aEntry, RequestEffects& aEffects)
{
  aEntry.wakeAt = Instant::max();
  const TableOperationId operation = this->StartOperation(aEntry, Step::Committing);
  aEntry.transaction =
    TransactionId{ "idem-" + this->entry.Value() + "-" + std::to_string(this->incarnation.Value()) +
                   "-" + std::to_string(operation.Value()) };
  Transaction transaction{ aEntry.transaction, { { aEntry.key, aEntry.version } }, {} };
  RowWrite write{ aEntry.key, std::nullopt };
  if (aEntry.goal == Goal::Create) {
    write.value = MakeRunningRecord(this->entry, aEntry.digest);
  } else if (aEntry.goal == Goal::Store) {
    write.value = MakeDoneRecord(this->entry, aEntry.digest, *aEntry.response);
  }
  transaction.writes.push_back(std::move(write));
  aEffects.emplace_back(CommitTransaction{ operation, std::move(transaction) });
}

void IdempotencyCoordinator::ReadFate(Entry& aEntry, RequestEffects& aEffects)
{
  aEffects.emplace_back(
    ReadTransactionFate{ this->StartOperation(aEntry, Step::ReadingFate), aEntry.transaction });
}

void IdempotencyCoordinator::OnRecordWritten(Entry& aEntry,
                                             RowVersion aVersion,
                                             RequestEffects& aEffects,
                                             IdempotencyResults& aResults)
{
  if (aEntry.goal != Goal::Create) {
    this->Erase(aEntry);
    return;
  }
  aEntry.version = aVersion;
  aEntry.step = Step::None;
  if (aEntry.abandoned) {
    aEntry.goal = Goal::Delete;
    this->Commit(aEntry, aEffects);
    return;
  }
  aEntry.goal = Goal::Serve;
  aResults.push_back({ aEntry.request, IdempotencyDecision::Dispatch, nullptr, {}, {} });
}

void IdempotencyCoordinator::Refuse(Entry& aEntry,
                                    Outcome aOutcome,
                                    Reason aReason,
                                    IdempotencyResults& aResults)
{
  if (!aEntry.abandoned) {
    aResults.push_back({ aEntry.request, IdempotencyDecision::Refuse, nullptr, aOutcome, aReason });
  }
  this->Erase(aEntry);
}

void IdempotencyCoordinator::Scan(Entry& aEntry, RequestEffects& aEffects)
{
  aEffects.emplace_back(ScanRow{ this->StartOperation(aEntry, Step::Scanning), aEntry.key });
}

void IdempotencyCoordinator::Erase(Entry& aEntry)
{
  this->operations.erase(aEntry.operation);
  const RequestId id = aEntry.request;
  this->entries.erase(id);
}

TableOperationId IdempotencyCoordinator::StartOperation(Entry& aEntry, Step aStep)
{
  const TableOperationId operation{ ++this->lastOperation };
  aEntry.step = aStep;
  aEntry.wakeAt = Instant::max();
  aEntry.operation = operation;
  this->operations[operation] = aEntry.request;
  return operation;
}

} // namespace oriolespread::internal
