// Writes everything that a shard's owner stores: batches of journal records, lease renewals and
// other rows.
//
// Every transaction is conditional on the version of the owner row, so that a claim by another
// entry makes every later write fail. At most one transaction is in flight. A renewal that is due
// is written together with the batch, so that a busy shard needs no extra transactions for it.
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

// Actions that are deferred until everything staged before them has committed.

// Marks the attempt's placement as committed and sends its start message.
struct DeferredStart
{
  AttemptId attempt;
};
// Sends the command that is due for the attempt.
struct DeferredCommand
{
  AttemptId attempt;
};
// Forgets an inbox row whose deletion has committed.
struct InboxRowDeleted
{
  std::string key;
};
// Continues the cleanup after the snapshot row or the last batch of deletions has committed.
struct DeferredCleanup
{};
using DeferredAction =
  std::variant<DeferredStart, DeferredCommand, InboxRowDeleted, DeferredCleanup, SendToAgent>;

// Not thread-safe.
class Journal
{
public:
  enum class Progress
  {
    Unrelated,
    Waiting,
    Committed,
    // The batch will be sent again under a new transaction id.
    NotCommitted,
    // Another entry owns the shard.
    OwnershipLost,
  };

  // `aOptions` and `aCounters` must outlive this object.
  Journal(const OwnerOptions& aOptions, Counters& aCounters);

  void Open(const ClaimedShard& aClaimed);
  void Close();
  bool IsOpen() const { return this->open; }
  // Sets the sequence number of the next journal row. Must be called before anything is staged.
  void SetNextSeq(std::uint64_t aNextSeq) { this->nextSeq = aNextSeq; }

  // Stages a record and the row writes to commit with it. Returns its position in the queue of
  // staged items.
  std::uint64_t Stage(const JournalRecord& aRecord, std::vector<RowWrite> aWrites = {});
  // Stages row writes without a record. Returns their position.
  std::uint64_t StageWrites(std::vector<RowWrite> aWrites);
  // Defers an action until everything staged so far has committed.
  void Defer(DeferredAction aAction);
  // Returns whether everything staged up to this position has committed.
  bool IsCommitted(std::uint64_t aPosition) const { return aPosition <= this->committedPosition; }
  // Returns how many staged items have not committed yet.
  std::size_t Backlog() const { return this->staged.size(); }

  // Sends the next transaction if one is due. Returns the sequence number of its journal row if
  // that row and the transaction contain everything staged so far. `aInheritedLease` returns how
  // much longer leases granted by earlier owners may still be held; it is called only for a
  // renewal.
  std::optional<std::uint64_t> Poll(Instant aNow,
                                    const std::function<Duration()>& aInheritedLease,
                                    CallIdGenerator& aCallIds,
                                    OwnerEffects& aEffects);
  // Releases the shard for a graceful shutdown: writes an owner row without a lease, so that
  // another entry can claim the shard at once, and closes the journal. Staged items are dropped, as
  // in a crash. Returns false and does nothing while a transaction is in flight. `aInheritedLease`
  // is the duration that the function passed to Poll returns.
  bool Release(Instant aNow,
               Duration aInheritedLease,
               CallIdGenerator& aCallIds,
               OwnerEffects& aEffects);
  Progress OnEvent(Instant aNow, const OwnerEvent& aEvent);
  // Returns the deferred actions that may run now.
  std::vector<DeferredAction> TakeReadyActions();

  // Returns the time until which this owner may make decisions.
  Instant LeaseDeadline() const;
  // Returns the time until which this owner may extend task leases.
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
  Transaction BuildTransaction(std::size_t aItemCount, bool aRenew, Duration aInheritedLease);
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
  std::uint64_t transactionCount = 0;
  Instant lastSentAt{};

  std::deque<Item> staged;
  // Positions start at 1 when the journal is opened.
  std::uint64_t lastPosition = 0;
  std::uint64_t committedPosition = 0;
  std::deque<std::pair<std::uint64_t, DeferredAction>> deferred;

  // Content of the transaction in flight.
  std::size_t itemsInFlight = 0;
  bool journalRowInFlight = false;
  bool renewalInFlight = false;
};

} // namespace oriolespread
