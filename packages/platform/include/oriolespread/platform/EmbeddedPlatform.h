// The platform's services in the memory of one process, for a first trial without a platform. What
// it holds is lost with the process, so it must not be used where anything has to last.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/platform/MemoryTable.h"

#include <map>
#include <mutex>
#include <string>

namespace oriolespread {

// Has the blocking interfaces of HttpTable and HttpObjects. Thread-safe.
class EmbeddedPlatform
{
public:
  CommitOutcome Commit(const Transaction& aTransaction);
  FateOutcome ReadFate(const TransactionId& aId);
  absl::StatusOr<ScanPage> Scan(const std::string& aPrefix,
                                const std::string& aAfter,
                                std::size_t aLimit);

  absl::Status Put(const std::string& aName, const std::string& aContent);
  absl::StatusOr<std::string> Get(const std::string& aName);
  absl::Status Delete(const std::string& aName);

private:
  std::mutex mutex;
  MemoryTable table;
  std::map<std::string, std::string> objects;
};

} // namespace oriolespread
