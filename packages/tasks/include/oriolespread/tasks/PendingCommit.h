// One transaction from its sending until it is known whether it took effect.
#pragma once

#include "oriolespread/tasks/OwnerTypes.h"

#include <optional>

namespace oriolespread {

// Numbers the calls of one owner.
class CallIdGenerator
{
public:
  CallId Next() { return CallId{ ++this->last }; }

private:
  std::uint64_t last = 0;
};

enum class CommitProgress
{
  // The event is not about this transaction.
  Unrelated,
  // Sent, or its answer was lost and its fate is not known yet.
  Waiting,
  Committed,
  // Certainly not applied, and never will be.
  NotCommitted,
  // A condition did not hold.
  Conflict,
};

// At most one transaction at a time. A lost answer is followed by reading the fate until it is
// known; the transaction is never sent again under another id before that. Not thread-safe.
class PendingCommit
{
public:
  void Send(Instant aNow,
            Transaction aTransaction,
            CallIdGenerator& aCallIds,
            OwnerEffects& aEffects);
  CommitProgress OnEvent(Instant aNow, const OwnerEvent& aEvent);
  // Asks for the fate when that is due.
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  void Reset();

  bool IsActive() const { return this->active; }
  Instant SentAt() const { return this->sentAt; }
  // Version of the written rows after Committed.
  RowVersion Version() const { return this->version; }
  // Key whose condition did not hold after Conflict.
  const std::string& ConflictKey() const { return this->conflictKey; }
  // How many answers were lost so far.
  std::uint64_t LostResponses() const { return this->lostResponses; }

private:
  CommitProgress Finish(CommitProgress aProgress);

  bool active = false;
  TransactionId id;
  CallId call;
  Instant sentAt{};
  // Set while the fate has to be asked for.
  std::optional<Instant> nextFateRead;
  RowVersion version;
  std::string conflictKey;
  std::uint64_t lostResponses = 0;
};

} // namespace oriolespread
