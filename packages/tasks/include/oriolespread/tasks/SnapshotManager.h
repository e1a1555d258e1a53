// Takes snapshots of a shard's state, points to them, and deletes what they replace.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/Journal.h"
#include "oriolespread/tasks/StateLoader.h"

#include <optional>
#include <string>

namespace oriolespread {

// A snapshot goes through these steps: the state is held when a journal row with all records is
// sent; the object is put when the row has committed; the pointer row is written when the object is
// stored; then the old rows are deleted in batches and the old object last. Not thread-safe.
class SnapshotManager
{
public:
  // `aOptions`, `aCounters` and `aJournal` must outlive this object.
  SnapshotManager(const OwnerOptions& aOptions, Counters& aCounters, Journal& aJournal);

  // Starts from what a recovery has read. Rows left over by an earlier owner are deleted.
  void Start(const StateLoader& aLoader);
  void Reset();

  // Counts records; returns whether a snapshot should be held now.
  void CountRecord() { ++this->records; }
  bool IsDue() const;
  void Capture(std::uint64_t aSeq, std::string aState);
  // The journal row in flight has committed, or was not.
  void OnJournalRowResult(bool aCommitted);
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  void OnEvent(Instant aNow, const OwnerEvent& aEvent);
  // The batch of deletions has committed.
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
  Instant nextTry{};

  std::uint64_t snapshotSeq = 0;
  std::string currentObject;
  std::string oldObject;
  CleanupState cleanupState = CleanupState::None;
  CallId scanCall;
};

} // namespace oriolespread
