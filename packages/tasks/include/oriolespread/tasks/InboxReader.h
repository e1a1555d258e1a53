// Scans the inbox of a shard periodically, page by page.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/tasks/JobInbox.h"
#include "oriolespread/tasks/PendingCommit.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolespread {

struct InboxRow
{
  std::string key;
  // Empty if the row is malformed.
  std::optional<InboxItem> item;
};

// Not thread-safe.
class InboxReader
{
public:
  // `aOptions` must outlive this object.
  explicit InboxReader(const OwnerOptions& aOptions);

  // Cancels the current scan and forgets all rows.
  void Reset();
  // Cancels the current scan: its result is ignored and the next scan starts at the first row.
  void CancelScan();
  // Requests the next page if that is due.
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  // Returns the scanned rows that are not marked as processed.
  std::vector<InboxRow> OnEvent(Instant aNow, const OwnerEvent& aEvent);

  // Called when the deletion of a row is staged. Scans may still find the row until the deletion
  // commits; it is not returned again.
  void MarkProcessed(const std::string& aKey) { this->processedKeys.insert(aKey); }
  // Called when the deletion of a row has committed.
  void ForgetProcessed(const std::string& aKey);
  // Called for a row that names an unknown job. Returns whether at least two more complete scans
  // have returned the row since the first call, by which time any submission written before it has
  // been read.
  bool IsOverdue(const std::string& aKey);

private:
  const OwnerOptions& options;
  CallId call;
  bool scanPending = false;
  Instant nextScan{};
  // The next page begins after this key; empty for the first page.
  std::string scanAfterKey;
  std::uint64_t completedScans = 0;
  std::set<std::string> processedKeys;
  // For each row that names an unknown job: the value of completedScans when IsOverdue was first
  // called for it.
  std::map<std::string, std::uint64_t> unknownJobSinceScan;
};

} // namespace oriolespread
