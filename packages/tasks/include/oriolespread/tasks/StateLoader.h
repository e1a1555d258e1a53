// Recovers a shard's state after a claim: reads the snapshot and then the journal rows after it.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/PendingCommit.h"
#include "oriolespread/tasks/TaskTable.h"

namespace oriolespread {

// Not thread-safe.
class StateLoader
{
public:
  // `aOptions` and `aCounters` must outlive this object.
  StateLoader(const OwnerOptions& aOptions, Counters& aCounters);

  void Start();
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  void OnEvent(Instant aNow, const OwnerEvent& aEvent);

  bool IsDone() const { return this->step == Step::Done; }
  // Returns the recovered state. May be called once, when IsDone returns true.
  TaskTable TakeTable() { return std::move(this->table); }
  // Returns the sequence number of the last journal row that the state includes.
  std::uint64_t LastSeq() const { return this->lastSeq; }
  // Returns the sequence number of the last journal row that the snapshot includes; 0 if there is
  // no snapshot.
  std::uint64_t SnapshotSeq() const { return this->snapshotSeq; }
  // Returns the name of the snapshot's object; empty if there is no snapshot.
  const std::string& SnapshotObject() const { return this->snapshotObject; }
  // Returns the number of records read from journal rows.
  std::uint64_t RecordsRead() const { return this->recordsRead; }

private:
  enum class Step
  {
    SnapshotRow,
    SnapshotObject,
    JournalRows,
    Done,
  };

  void OnSnapshotRow(const ScanPage& aPage);
  void OnSnapshotObject(const absl::StatusOr<std::string>& aContent);
  void OnJournalRows(Instant aNow, const ScanPage& aPage);
  // Returns false if the row does not follow the last one or cannot be applied.
  bool ApplyRow(const Row& aRow);

  const OwnerOptions& options;
  Counters& counters;
  Step step = Step::Done;
  CallId call;
  bool callPending = false;
  Instant nextRetry{};
  TaskTable table;
  std::string snapshotObject;
  std::uint64_t snapshotSeq = 0;
  std::uint64_t lastSeq = 0;
  std::uint64_t recordsRead = 0;
  // The next page of journal rows begins after this key.
  std::string scanAfterKey;
};

} // namespace oriolespread
