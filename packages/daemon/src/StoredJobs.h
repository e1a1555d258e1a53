// Finds the job of a queue among the stored rows of all jobs with the same identifier.
#pragma once

#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/cluster/StoreTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread::daemon {

// The rows of `jobs` with one identifier, as one queue sees them. Jobs of other queues are told
// apart by their records.
class StoredJobs
{
public:
  struct Job
  {
    // The key of the job; see JobRows.h.
    std::string id;
    std::uint64_t version = 0;
    std::string queue;
  };

  // Returns the range that holds all rows with the identifier.
  static cluster::RowRange Range(const std::string& aIdentifier);
  // `aRows` are rows of that range, or those of them that a transaction has conditions on.
  static StoredJobs Find(const std::vector<cluster::StoredRow>& aRows,
                         const std::string& aIdentifier,
                         const cluster::QueueConfig& aQueue,
                         const cluster::ClusterConfig& aConfig);

  // The job of the queue; null if there is none.
  const Job* Own() const { return this->own.has_value() ? &*this->own : nullptr; }
  // A cancellation of the queue's job, or of one that is stored later, was accepted.
  bool IsCancelled() const { return this->cancelled; }
  // A job's record cannot be read, so that its queue is not known.
  bool HasUnreadable() const { return this->unreadable; }

  // Returns the conditions that the rows which a new job of the queue may take are as they were
  // found.
  std::vector<cluster::RowCondition> Conditions() const;
  // Returns the key that a new job of the queue may take; none if its service has another queue's
  // job with the identifier.
  std::optional<std::string> FreeKey() const;

private:
  std::string identifier;
  // The key that is used while a job of another service has the identifier as its key.
  std::string serviceKey;
  std::uint64_t identifierVersion = 0;
  std::uint64_t serviceKeyVersion = 0;
  // A job of the queue's service has the identifier as its key.
  bool isServiceHolder = false;
  std::optional<Job> own;
  bool cancelled = false;
  bool unreadable = false;
};

// Returns the state of the queue's job among rows of `state` with one identifier; none if there is
// none. `aUnreadableState` is the state that a row without a readable state stands for.
std::optional<jobs::JobState> FindState(const std::vector<cluster::StoredRow>& aRows,
                                        const std::string& aIdentifier,
                                        const cluster::QueueConfig& aQueue,
                                        const cluster::ClusterConfig& aConfig,
                                        jobs::JobState aUnreadableState);
// Returns the range that holds the rows of `state` with the identifier.
cluster::RowRange StateRange(const std::string& aIdentifier);

} // namespace oriolespread::daemon
