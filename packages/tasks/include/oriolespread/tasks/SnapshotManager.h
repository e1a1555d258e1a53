// Takes snapshots of a shard's state and deletes the journal rows and the object that they replace.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/Journal.h"
#include "oriolespread/tasks/StateLoader.h"

#include <optional>
#include <string>

namespace oriolespread {

// A snapshot is taken in these steps: the state is captured when a journal row that completes it is
// sent; the object is written when the row has committed; the snapshot row, which points to the
// object, is written when the object is stored; then the old journal rows are deleted in batches
// and the old object last. Not thread-safe.
class SnapshotManager
{
public:
  // `aOptions`, `aCounters` and `aJournal` must outlive this object.
  SnapshotManager(const OwnerOptions& aOptions, Counters& aCounters, Journal& aJournal);

  // Starts with the result of a recovery. Deletes rows that an earlier owner left behind.
  void Start(const StateLoader& aLoader);
  void Reset();

  // Counts a record towards the next snapshot.
  void CountRecord() { ++this->records; }
  // Returns whether a snapshot should be captured now.
  bool IsDue() const;
  // Captures the state as of the journal row with this sequence number, which has just been sent.
  void Capture(std::uint64_t aSeq, std::string aState);
  // Called when the journal row in flight has committed or failed to commit.
  void OnJournalRowResult(bool aCommitted);
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  void OnEvent(Instant aNow, const OwnerEvent& aEvent);
  // Called when the snapshot row or a batch of deletions has committed.
  void OnCleanupCommitted() { this->cleanupState = CleanupState::ScanDue; }

private:
  enum class CleanupState
  {
    None,
    ScanDue,
    Scanning,
    Deleting,
  };

  void OnCleanupPage(const ScanPage& aPage);

  const OwnerOptions& options;
  Counters& counters;
  Journal& journal;
  std::uint64_t records = 0;

  std::optional<std::string> captured;
  std::uint64_t capturedSeq = 0;
  std::uint64_t capturedRecords = 0;
  bool capturedCommitted = false;
  CallId putCall;
  bool putInFlight = false;
  std::string newObject;
  std::uint64_t putCount = 0;
  Instant nextRetry{};

  std::uint64_t snapshotSeq = 0;
  std::string currentObject;
  std::string oldObject;
  CleanupState cleanupState = CleanupState::None;
  CallId scanCall;
};

} // namespace oriolespread
