// Tracks a transaction from when it is sent until it is known whether it committed.
#pragma once

#include "oriolespread/tasks/OwnerTypes.h"

#include <optional>

namespace oriolespread {

// Generates the call ids of one owner.
class CallIdGenerator
{
public:
  CallId Next() { return CallId{ ++this->last }; }

private:
  std::uint64_t last = 0;
};

enum class CommitProgress
{
  // The event does not concern this transaction.
  Unrelated,
  // The response is outstanding, or it was lost and the transaction's fate is not known yet.
  Waiting,
  Committed,
  // The transaction was not applied and never will be.
  NotCommitted,
  // The transaction was not applied because a condition did not hold.
  Conflict,
};

// Handles one transaction at a time. If the response is lost, reads the transaction's fate (whether
// it committed) until it is known; until then nothing is sent again under another id. Not
// thread-safe.
class PendingCommit
{
public:
  void Send(Instant aNow,
            Transaction aTransaction,
            CallIdGenerator& aCallIds,
            OwnerEffects& aEffects);
  CommitProgress OnEvent(Instant aNow, const OwnerEvent& aEvent);
  // Reads the transaction's fate if that is due.
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  void Reset();

  bool IsActive() const { return this->active; }
  Instant SentAt() const { return this->sentAt; }
  // Version of the written rows; valid after Committed.
  RowVersion Version() const { return this->version; }
  // Key whose condition did not hold; valid after Conflict.
  const std::string& ConflictKey() const { return this->conflictKey; }
  // Number of responses lost so far.
  std::uint64_t LostResponses() const { return this->lostResponses; }

private:
  CommitProgress Finish(CommitProgress aProgress);

  bool active = false;
  TransactionId id;
  CallId call;
  Instant sentAt{};
  // When the fate is read next; empty unless it must be read.
  std::optional<Instant> nextFateRead;
  RowVersion version;
  std::string conflictKey;
  std::uint64_t lostResponses = 0;
};

} // namespace oriolespread
