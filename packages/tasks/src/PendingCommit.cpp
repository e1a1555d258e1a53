#include "oriolespread/tasks/PendingCommit.h"

namespace oriolespread {

namespace {

// Between two questions for a fate that could not be read; bounds the load on a failing service.
constexpr Duration kFateRetry = std::chrono::milliseconds(200);

} // namespace

void PendingCommit::Send(Instant aNow,
                         Transaction aTransaction,
                         CallCounter& aCalls,
                         OwnerEffects& aEffects)
{
  this->active = true;
  this->id = aTransaction.id;
  this->call = aCalls.Next();
  this->sentAt = aNow;
  this->askAt.reset();
  aEffects.emplace_back(CommitCall{ this->call, std::move(aTransaction) });
}

CommitProgress PendingCommit::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (!this->active) {
    return CommitProgress::NotMine;
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
        ++this->lostAnswers;
        this->askAt = aNow;
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
        this->askAt = aNow + kFateRetry;
        return CommitProgress::Waiting;
    }
  }
  return CommitProgress::NotMine;
}

void PendingCommit::Poll(Instant aNow, CallCounter& aCalls, OwnerEffects& aEffects)
{
  if (!this->active || !this->askAt.has_value() || aNow < *this->askAt) {
    return;
  }
  this->askAt.reset();
  this->call = aCalls.Next();
  aEffects.emplace_back(FateCall{ this->call, this->id });
}

void PendingCommit::Reset()
{
  this->active = false;
  this->askAt.reset();
}

CommitProgress PendingCommit::Finish(CommitProgress aProgress)
{
  this->Reset();
  return aProgress;
}

} // namespace oriolespread
