#include "oriolespread/tasks/PendingCommit.h"

namespace oriolespread {

namespace {

// Delay before retrying a failed read of a transaction's fate; limits the load on a failing
// service.
constexpr Duration kFateRetryDelay = std::chrono::milliseconds(200);

} // namespace

void PendingCommit::Send(Instant aNow,
                         Transaction aTransaction,
                         CallIdGenerator& aCallIds,
                         OwnerEffects& aEffects)
{
  this->active = true;
  this->id = aTransaction.id;
  this->call = aCallIds.Next();
  this->sentAt = aNow;
  this->nextFateRead.reset();
  aEffects.emplace_back(CommitCall{ this->call, std::move(aTransaction) });
}

CommitProgress PendingCommit::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (!this->active) {
    return CommitProgress::Unrelated;
  }
  if (const auto* commit = std::get_if<CommitResult>(&aEvent);
      commit && commit->call == this->call) {
    this->version = commit->outcome.version;
    this->conflictKey = commit->outcome.conflictKey;
    switch (commit->outcome.status) {
      case CommitStatus::Committed:
        return this->Finish(CommitProgress::Committed);
      case CommitStatus::Conflict:
        return this->Finish(CommitProgress::Conflict);
      case CommitStatus::Unavailable:
        return this->Finish(CommitProgress::NotCommitted);
      case CommitStatus::Unknown:
        ++this->lostResponses;
        this->nextFateRead = aNow;
        return CommitProgress::Waiting;
    }
  }
  if (const auto* fate = std::get_if<FateResult>(&aEvent); fate && fate->call == this->call) {
    this->version = fate->outcome.version;
    switch (fate->outcome.fate) {
      case TransactionFate::Committed:
        return this->Finish(CommitProgress::Committed);
      case TransactionFate::NotCommitted:
        return this->Finish(CommitProgress::NotCommitted);
      case TransactionFate::Unknown:
        this->nextFateRead = aNow + kFateRetryDelay;
        return CommitProgress::Waiting;
    }
  }
  return CommitProgress::Unrelated;
}

void PendingCommit::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  if (!this->active || !this->nextFateRead.has_value() || aNow < *this->nextFateRead) {
    return;
  }
  this->nextFateRead.reset();
  this->call = aCallIds.Next();
  aEffects.emplace_back(FateCall{ this->call, this->id });
}

void PendingCommit::Reset()
{
  this->active = false;
  this->nextFateRead.reset();
}

CommitProgress PendingCommit::Finish(CommitProgress aProgress)
{
  this->Reset();
  return aProgress;
}

} // namespace oriolespread
