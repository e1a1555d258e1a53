// All writes of a shard's owner: journal batches, the renewal of its lease, and other rows.
//
// Every transaction is conditional on the owner row's version, and at most one is in flight. The
// renewal is written in the same transaction as the batch when it is due, so that a busy shard
// spends no extra transactions on it, and a claim by another entry makes every later write fail.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/JournalRecord.h"
#include "oriolespread/tasks/PendingCommit.h"
#include "oriolespread/tasks/ShardClaim.h"

#include <deque>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace oriolespread {

// What becomes due when everything staged before it has committed.
struct StartDue
{
  AttemptId attempt;
};
struct CommandDue
{
  AttemptId attempt;
};
struct InboxRowDeleted
{
  std::string key;
};
struct CleanupDue
{};
using DeferredAction = std::variant<StartDue, CommandDue, InboxRowDeleted, CleanupDue, SendToAgent>;

// Not thread-safe.
class Journal
{
public:
  enum class Progress
  {
    Unrelated,
    Waiting,
    Committed,
    // The batch goes out again under a new id.
    NotCommitted,
    // Another entry owns the shard.
    OwnershipLost,
  };

  // `aOptions` and `aCounters` must outlive this object.
  Journal(const OwnerOptions& aOptions, Counters& aCounters);

  void Open(const ClaimedShard& aClaimed);
  void Close();
  bool IsOpen() const { return this->open; }
  // Sets the number of the next journal row; nothing may be staged before.
  void SetNextSeq(std::uint64_t aNextSeq) { this->nextSeq = aNextSeq; }

  // Stages a record and row writes that commit with it; returns the position in the queue.
  std::uint64_t Stage(const JournalRecord& aRecord, std::vector<RowWrite> aWrites = {});
  std::uint64_t StageWrites(std::vector<RowWrite> aWrites);
  void Defer(DeferredAction aAction);
  // Returns whether everything staged up to this position has committed.
  bool IsCommitted(std::uint64_t aPosition) const { return aPosition <= this->committedPosition; }
  std::size_t Backlog() const { return this->staged.size(); }

  // Sends the next transaction when one is due. Returns the number of its journal row if the row
  // holds all records staged so far. `aInherited` returns how long earlier owners' leases still
  // count; it is asked only for a renewal.
  std::optional<std::uint64_t> Poll(Instant aNow,
                                    const std::function<Duration()>& aInheritedLease,
                                    CallIdGenerator& aCallIds,
                                    OwnerEffects& aEffects);
  // Gives the shard up in a planned stop: writes an owner row without a lease and closes the
  // journal, so that another entry need not wait for the lease. What is staged is dropped as in a
  // crash. Returns false, and does nothing, while a transaction is in flight. `aInherited` is as
  // for Poll.
  bool Release(Instant aNow,
               Duration aInheritedLease,
               CallIdGenerator& aCallIds,
               OwnerEffects& aEffects);
  Progress OnEvent(Instant aNow, const OwnerEvent& aEvent);
  std::vector<DeferredAction> TakeReadyActions();

  // Return until when this owner may decide, and until when it may extend leases.
  Instant LeaseDeadline() const;
  Instant HorizonDeadline() const;
  std::uint64_t NextSeq() const { return this->nextSeq; }
  Epoch CurrentEpoch() const { return this->epoch; }

private:
  struct Item
  {
    std::optional<nlohmann::json> record;
    std::vector<RowWrite> writes;
  };

  std::uint64_t Enqueue(Item aItem);
  Transaction Build(std::size_t aItemCount, bool aRenew, Duration aInheritedLease);
  OwnerRow NextOwnerRow(Duration aInheritedLease);
  void OnCommitted();

  const OwnerOptions& options;
  Counters& counters;
  PendingCommit commit;
  bool open = false;
  Epoch epoch;
  RowVersion ownerVersion;
  Instant renewedAt{};
  std::uint64_t renewal = 0;
  std::uint64_t nextSeq = 1;
  std::uint64_t transactions = 0;
  Instant lastSent{};

  std::deque<Item> staged;
  // Positions count from 1 over the life of this object.
  std::uint64_t lastPosition = 0;
  std::uint64_t committedPosition = 0;
  std::deque<std::pair<std::uint64_t, DeferredAction>> deferred;

  // Content of the transaction in flight.
  std::size_t itemsInFlight = 0;
  bool rowInFlight = false;
  bool renewalInFlight = false;
};

} // namespace oriolespread
