// Loads the stored state for a new leader and watches the table of jobs from then on.
#include "LeaderDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

using cluster::ReadEnd;
using jobs::kJobsTable;
using jobs::kLearnedTable;
using jobs::kProgressTable;
using jobs::kStateTable;

MultiRangeReader::RetryPolicy LeaderDriver::RetryDuringTerm(std::string aCounter)
{
  return [this, counter = std::move(aCounter), term = this->term](const std::string& aReason) {
    if (term != this->term) {
      return false;
    }
    this->counters.Add(counter, aReason);
    return true;
  };
}

void LeaderDriver::Load()
{
  // The scheduler requires that jobs are loaded last.
  std::vector<cluster::RowRange> ranges = JobTableRanges(kJobsTable, "", "");
  ranges.insert(ranges.begin(),
                { { std::string(kStateTable), "", "" },
                  { std::string(kProgressTable), "", "" },
                  { std::string(kLearnedTable), "", "" } });
  MultiRangeReader::Read(
    this->context,
    this->store,
    std::move(ranges),
    [] { return kStoreTimeout; },
    this->RetryDuringTerm("loading_retries_total"),
    [this, term = this->term](const MultiRangeResult& aResult) {
      if (term == this->term && aResult.complete) {
        this->OnLoaded(aResult);
      }
    });
}

void LeaderDriver::OnLoaded(const MultiRangeResult& aResult)
{
  const jobs::Now now = this->CurrentTime();
  for (const auto& rows : aResult.rows) {
    for (const cluster::StoredRow& row : rows) {
      if (row.row.table == kJobsTable) {
        this->scheduler->LoadJob(row.row.key, row.value, now);
      } else if (row.row.table == kLearnedTable) {
        this->scheduler->LoadInterferenceWeights(row.row.key, row.value);
      } else if (row.row.table == kStateTable) {
        this->scheduler->LoadState(row.row.key, row.value);
      } else {
        this->scheduler->LoadProgress(row.row.key, row.value);
      }
    }
  }
  this->jobsVersion = aResult.version;
  this->phase = Phase::Leading;
  this->scheduler->FinishLoading(
    Epoch{ this->leaderRow.epoch }, this->election.LatestRenewal(), now);
  Log(LogLevel::Info,
      "leadership_ready",
      { { "epoch", this->leaderRow.epoch },
        { "jobs", this->scheduler->Jobs().size() },
        { "version", aResult.version } });
  for (const std::string& agent : this->agents) {
    this->scheduler->OnAgentUp(agent, now);
    // Reports that arrived during loading were not processed; the claim requests a full one.
    this->sendToAgent(agent, LeaderClaim{ Epoch{ this->leaderRow.epoch } });
  }
  this->WatchJobs();
  this->RequestSchedulingPass();
}

void LeaderDriver::WatchJobs()
{
  this->store.Watch(std::string(kJobsTable),
                    this->jobsVersion,
                    kWatchLongPollTime,
                    kWatchTimeout,
                    [this, term = this->term](const cluster::ReadResult& aResult) {
                      if (term != this->term) {
                        return;
                      }
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->counters.Add("watch_restarts_total", "history_gone");
                        this->ReloadJobs();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        this->counters.Add("watch_restarts_total", aResult.reason);
                        this->CallAfter(kStoreRetryDelay, [this] { this->WatchJobs(); });
                        return;
                      }
                      this->ApplyJobRows(aResult.rows);
                      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
                      this->WatchJobs();
                    });
}

void LeaderDriver::ReloadJobs()
{
  MultiRangeReader::Read(
    this->context,
    this->store,
    JobTableRanges(kJobsTable, "", ""),
    [] { return kStoreTimeout; },
    this->RetryDuringTerm("loading_retries_total"),
    [this, term = this->term](const MultiRangeResult& aResult) {
      if (term != this->term || !aResult.complete) {
        return;
      }
      for (const auto& rows : aResult.rows) {
        this->ApplyJobRows(rows);
      }
      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
      this->WatchJobs();
    });
}

void LeaderDriver::ApplyJobRows(const std::vector<cluster::StoredRow>& aRows)
{
  for (const cluster::StoredRow& row : aRows) {
    if (!row.removed) {
      this->scheduler->OnJobRow(row.row.key, row.value, this->CurrentTime());
    }
  }
  if (!aRows.empty()) {
    this->RequestSchedulingPass();
  }
}

} // namespace oriolespread::daemon
