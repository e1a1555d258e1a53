#include "IdempotencyGate.h"

#include "IdempotencyRecord.h"

#include <algorithm>

namespace oriolespread::internal {

IdempotencyGate::IdempotencyGate(EntryId aEntry, Incarnation aIncarnation, Counters& aCounters)
  : entry(std::move(aEntry))
  , incarnation(aIncarnation)
  , counters(aCounters)
{
}

bool IdempotencyGate::Begin(Instant aNow, const NewRequest& aRequest, RequestEffects& aEffects)
{
  if (this->entries.size() >= kMaxEntries) {
    this->counters.Add("idempotency_refused_total", "gate_full");
    return false;
  }
  // Entries that wait for the service probe it by themselves; another write would add to them.
  const bool probed = this->health.IsDown() && this->nextWake != Instant::max();
  if (probed || !this->health.TryUse(aNow)) {
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

void IdempotencyGate::Finish(const RequestId& aRequest,
                             ResponseContentPtr aResponse,
                             RequestEffects& aEffects)
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end() || found->second->goal != Goal::Hold) {
    return;
  }
  Entry& held = *found->second;
  held.goal = Goal::Store;
  held.response = std::move(aResponse);
  this->Commit(held, aEffects);
}

bool IdempotencyGate::Abandon(const RequestId& aRequest, Outcome aOutcome, RequestEffects& aEffects)
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end()) {
    return true;
  }
  Entry& held = *found->second;
  if (held.goal == Goal::Create) {
    const bool earlier = held.earlier;
    held.abandoned = true;
    if (held.step == Step::Scanning) {
      this->Erase(held);
    }
    return !earlier;
  }
  if (aOutcome == Outcome::Unknown) {
    this->Erase(held);
    return true;
  }
  held.goal = Goal::Delete;
  this->Commit(held, aEffects);
  return true;
}

void IdempotencyGate::OnTransaction(Instant aNow,
                                    const TransactionDone& aDone,
                                    RequestEffects& aEffects,
                                    GateVerdicts& aVerdicts)
{
  Entry* held = this->Take(aDone.operation);
  if (held == nullptr) {
    return;
  }
  const CommitStatus status = aDone.outcome.status;
  if (status == CommitStatus::Committed || status == CommitStatus::Conflict) {
    this->health.RecordAnswer();
  } else {
    this->health.RecordFailure();
  }
  switch (status) {
    case CommitStatus::Committed:
      this->Written(*held, aDone.outcome.version, aEffects, aVerdicts);
      return;
    case CommitStatus::Conflict:
      if (held->goal != Goal::Create) {
        this->counters.Add("idempotency_records_lost_total", "conflict");
        this->Erase(*held);
      } else if (held->abandoned) {
        this->Erase(*held);
      } else {
        held->earlier = !aDone.outcome.conflictKey.empty();
        this->Scan(*held, aEffects);
      }
      return;
    case CommitStatus::Unavailable:
      this->counters.Add("idempotency_store_failures_total", "unavailable");
      if (held->goal == Goal::Create) {
        this->Refuse(*held, Outcome::NotRun, Reason::StoreUnavailable, aVerdicts);
      } else {
        this->WakeAt(*held, aNow + kStoreInterval);
      }
      return;
    case CommitStatus::Unknown:
      this->counters.Add("idempotency_store_failures_total", "unknown");
      this->ReadFate(*held, aEffects);
      return;
  }
}

void IdempotencyGate::OnFate(Instant aNow,
                             const FateDone& aDone,
                             RequestEffects& aEffects,
                             GateVerdicts& aVerdicts)
{
  Entry* held = this->Take(aDone.operation);
  if (held == nullptr) {
    return;
  }
  if (aDone.outcome.fate == TransactionFate::Unknown) {
    this->health.RecordFailure();
  } else {
    this->health.RecordAnswer();
  }
  switch (aDone.outcome.fate) {
    case TransactionFate::Committed:
      this->Written(*held, aDone.outcome.version, aEffects, aVerdicts);
      return;
    case TransactionFate::NotCommitted:
      held->step = Step::None;
      if (held->goal != Goal::Create) {
        this->WakeAt(*held, aNow + kStoreInterval);
      } else if (held->abandoned) {
        this->Erase(*held);
      } else {
        // The write may have been lost, or its answer may have been a conflict: the row tells.
        this->Scan(*held, aEffects);
      }
      return;
    case TransactionFate::Unknown:
      held->step = Step::ReadingFate;
      this->WakeAt(*held, aNow + held->fateInterval);
      held->fateInterval = std::min(held->fateInterval * 2, kMaxFateInterval);
      return;
  }
}

void IdempotencyGate::OnScan(const RowScanDone& aDone,
                             RequestEffects& aEffects,
                             GateVerdicts& aVerdicts)
{
  Entry* held = this->Take(aDone.operation);
  if (held == nullptr) {
    return;
  }
  if (!aDone.page.ok()) {
    this->health.RecordFailure();
    // The work of an earlier request with this key may have been done.
    const Outcome outcome = held->earlier ? Outcome::Unknown : Outcome::NotRun;
    this->Refuse(*held, outcome, Reason::StoreUnavailable, aVerdicts);
    return;
  }
  this->health.RecordAnswer();
  const auto& rows = aDone.page->rows;
  const auto row =
    std::find_if(rows.begin(), rows.end(), [&](const Row& aRow) { return aRow.key == held->key; });
  if (row == rows.end()) {
    // Never written, or removed because its request was proved not to have run.
    held->earlier = false;
    if (++held->tries < kMaxTries) {
      this->Commit(*held, aEffects);
    } else {
      this->Refuse(*held, Outcome::NotRun, Reason::StoreUnavailable, aVerdicts);
    }
    return;
  }
  const auto record = ParseRecord(row->value);
  if (!record.has_value()) {
    this->counters.Add("idempotency_records_lost_total", "malformed");
    this->Refuse(*held, Outcome::Unknown, Reason::IdempotencyInProgress, aVerdicts);
  } else if (record->digest != held->digest) {
    this->Refuse(*held, Outcome::NotRun, Reason::IdempotencyMismatch, aVerdicts);
  } else if (!record->done) {
    this->Refuse(*held, Outcome::Unknown, Reason::IdempotencyInProgress, aVerdicts);
  } else if (record->response == nullptr) {
    this->Refuse(*held, Outcome::Unknown, Reason::AnswerTooLarge, aVerdicts);
  } else {
    this->counters.Add("idempotency_replays_total", "");
    aVerdicts.push_back({ held->request, GateDecision::Replay, record->response, {}, {} });
    this->Erase(*held);
  }
}

void IdempotencyGate::OnTick(Instant aNow, RequestEffects& aEffects)
{
  if (this->nextWake > aNow) {
    return;
  }
  this->nextWake = Instant::max();
  for (auto& [id, held] : this->entries) {
    if (held->wakeAt > aNow) {
      this->nextWake = std::min(this->nextWake, held->wakeAt);
      continue;
    }
    held->wakeAt = Instant::max();
    if (held->step == Step::ReadingFate) {
      this->ReadFate(*held, aEffects);
    } else {
      this->Commit(*held, aEffects);
    }
  }
}

void IdempotencyGate::WakeAt(Entry& aEntry, Instant aAt)
{
  aEntry.wakeAt = aAt;
  this->nextWake = std::min(this->nextWake, aAt);
}

IdempotencyGate::Entry* IdempotencyGate::Take(TableOperationId aOperation)
{
  const auto found = this->operations.find(aOperation);
  if (found == this->operations.end()) {
    this->counters.Add("late_results_dropped_total", "table");
    return nullptr;
  }
  const auto held = this->entries.find(found->second);
  this->operations.erase(found);
  return held == this->entries.end() ? nullptr : held->second.get();
}

void IdempotencyGate::Commit(Entry& aEntry, RequestEffects& aEffects)
{
  aEntry.wakeAt = Instant::max();
  const TableOperationId operation = this->Operation(aEntry, Step::Committing);
  aEntry.transaction =
    TransactionId{ "idem-" + this->entry.Value() + "-" + std::to_string(this->incarnation.Value()) +
                   "-" + std::to_string(operation.Value()) };
  Transaction transaction{ aEntry.transaction, { { aEntry.key, aEntry.version } }, {} };
  RowWrite write{ aEntry.key, std::nullopt };
  if (aEntry.goal == Goal::Create) {
    write.value = RunningRecord(this->entry, aEntry.digest);
  } else if (aEntry.goal == Goal::Store) {
    write.value = DoneRecord(this->entry, aEntry.digest, *aEntry.response);
  }
  transaction.writes.push_back(std::move(write));
  aEffects.emplace_back(CommitTransaction{ operation, std::move(transaction) });
}

void IdempotencyGate::ReadFate(Entry& aEntry, RequestEffects& aEffects)
{
  aEffects.emplace_back(
    ReadTransactionFate{ this->Operation(aEntry, Step::ReadingFate), aEntry.transaction });
}

void IdempotencyGate::Written(Entry& aEntry,
                              RowVersion aVersion,
                              RequestEffects& aEffects,
                              GateVerdicts& aVerdicts)
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
  aEntry.goal = Goal::Hold;
  aVerdicts.push_back({ aEntry.request, GateDecision::Dispatch, nullptr, {}, {} });
}

void IdempotencyGate::Refuse(Entry& aEntry,
                             Outcome aOutcome,
                             Reason aReason,
                             GateVerdicts& aVerdicts)
{
  if (!aEntry.abandoned) {
    aVerdicts.push_back({ aEntry.request, GateDecision::Refuse, nullptr, aOutcome, aReason });
  }
  this->Erase(aEntry);
}

void IdempotencyGate::Scan(Entry& aEntry, RequestEffects& aEffects)
{
  aEffects.emplace_back(ScanRow{ this->Operation(aEntry, Step::Scanning), aEntry.key });
}

void IdempotencyGate::Erase(Entry& aEntry)
{
  this->operations.erase(aEntry.operation);
  const RequestId id = aEntry.request;
  this->entries.erase(id);
}

TableOperationId IdempotencyGate::Operation(Entry& aEntry, Step aStep)
{
  const TableOperationId operation{ ++this->lastOperation };
  aEntry.step = aStep;
  aEntry.wakeAt = Instant::max();
  aEntry.operation = operation;
  this->operations[operation] = aEntry.request;
  return operation;
}

} // namespace oriolespread::internal
