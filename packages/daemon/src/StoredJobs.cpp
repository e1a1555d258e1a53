#include "StoredJobs.h"

#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/jobs/JobSpec.h"

#include <set>

namespace oriolespread::daemon {

namespace {

// The most rows with one identifier that are read: jobs of several services, and a cancellation by
// each of many queues.
constexpr std::size_t kMaxRowsPerIdentifier = 500;

cluster::RowRange RangeOf(std::string_view aTable, const std::string& aIdentifier)
{
  return { std::string(aTable),
           aIdentifier,
           aIdentifier + "~",
           kMaxRowsPerIdentifier,
           aTable == jobs::kJobsTable ? jobs::JobPartOf(aIdentifier)
                                      : std::string(jobs::kSharedPart) };
}

} // namespace

cluster::RowRange StoredJobs::Range(const std::string& aIdentifier)
{
  return RangeOf(jobs::kJobsTable, aIdentifier);
}

cluster::RowRange StateRange(const std::string& aIdentifier)
{
  return RangeOf(jobs::kStateTable, aIdentifier);
}

StoredJobs StoredJobs::Find(const std::vector<cluster::StoredRow>& aRows,
                            const std::string& aIdentifier,
                            const cluster::QueueConfig& aQueue,
                            const cluster::ClusterConfig& aConfig)
{
  StoredJobs found;
  found.identifier = aIdentifier;
  found.serviceKey = jobs::ServiceJobKey(aIdentifier, aQueue.policy.service);
  std::set<std::string> cancellations;
  for (const cluster::StoredRow& row : aRows) {
    const std::string& key = row.row.key;
    if (key.ends_with(jobs::kCancelSuffix)) {
      cancellations.insert(key);
      continue;
    }
    if (key == found.identifier) {
      found.identifierVersion = row.version;
    } else if (key == found.serviceKey) {
      found.serviceKeyVersion = row.version;
    }
    jobs::JobRecord record;
    if (!jobs::DecodeJobRecord(row.value, record)) {
      found.unreadable = true;
      continue;
    }
    if (aConfig.HasJobsOf(aQueue, record.policy.queue, record.policy.address)) {
      found.own = Job{ key, row.version, record.policy.queue };
    } else if (key == found.identifier) {
      found.isServiceHolder = record.policy.service == aQueue.policy.service;
    }
  }
  const std::string queue = found.own.has_value() ? found.own->queue : aQueue.policy.queue;
  found.cancelled =
    cancellations.contains(jobs::CancelRow(jobs::EarlyCancelName(aIdentifier, queue)).key) ||
    (found.own.has_value() && cancellations.contains(jobs::CancelRow(found.own->id).key));
  return found;
}

std::vector<cluster::RowCondition> StoredJobs::Conditions() const
{
  return { { jobs::JobRow(this->identifier), this->identifierVersion },
           { jobs::JobRow(this->serviceKey), this->serviceKeyVersion } };
}

std::optional<std::string> StoredJobs::FreeKey() const
{
  if (this->serviceKeyVersion > 0 || this->isServiceHolder) {
    return std::nullopt;
  }
  return this->identifierVersion == 0 ? this->identifier : this->serviceKey;
}

std::optional<jobs::JobState> FindState(const std::vector<cluster::StoredRow>& aRows,
                                        const std::string& aIdentifier,
                                        const cluster::QueueConfig& aQueue,
                                        const cluster::ClusterConfig& aConfig,
                                        jobs::JobState aUnreadableState)
{
  for (const cluster::StoredRow& row : aRows) {
    const std::optional<jobs::StoredJobState> stored = jobs::DecodeJobState(row.value);
    if (!stored.has_value() || stored->queue.empty()) {
      // The queue is not known. Only a job whose key is the identifier was stored without it.
      if (row.row.key == aIdentifier) {
        return stored.has_value() ? stored->state : aUnreadableState;
      }
    } else if (aConfig.HasJobsOf(aQueue, stored->queue, stored->address)) {
      return stored->state;
    }
  }
  return std::nullopt;
}

} // namespace oriolespread::daemon
