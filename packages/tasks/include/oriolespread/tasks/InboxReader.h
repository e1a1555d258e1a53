// Reads the inbox of a shard, page by page and over again.
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
  // Nothing when the row is not well formed.
  std::optional<InboxItem> item;
};

// Not thread-safe.
class InboxReader
{
public:
  // `aOptions` must outlive this object.
  explicit InboxReader(const OwnerOptions& aOptions);

  void Reset();
  // Gives up the scan under way; its answer is ignored and the next scan starts anew.
  void CancelScan();
  void Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects);
  // Returns rows that have not been taken yet.
  std::vector<InboxRow> OnEvent(Instant aNow, const OwnerEvent& aEvent);

  // The row's deletion is staged; it is not returned again until its deletion has committed.
  void MarkTaken(const std::string& aKey) { this->taken.insert(aKey); }
  void ForgetTaken(const std::string& aKey);
  // The row names a job that is not known yet. Returns whether it has been seen in two whole scans
  // more, by which time a submission written before it has been seen.
  bool IsOverdue(const std::string& aKey);

private:
  const OwnerOptions& options;
  CallId call;
  bool waiting = false;
  Instant nextScan{};
  std::string after;
  std::uint64_t completedScans = 0;
  std::set<std::string> taken;
  std::map<std::string, std::uint64_t> jobUnknownSince;
};

} // namespace oriolespread
