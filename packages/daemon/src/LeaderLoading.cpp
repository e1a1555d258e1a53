// How a new leader reads what is stored, and follows jobs from then on.
#include "LeaderDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

using cluster::ReadEnd;
using jobs::kJobsTable;
using jobs::kLearnedTable;
using jobs::kProgressTable;
using jobs::kStateTable;

RangesReader::RetryPolicy LeaderDriver::RetryInTerm(std::string aCounter)
{
  return [this, counter = std::move(aCounter), before = this->term](const std::string& aReason) {
    if (before != this->term) {
      return false;
    }
    this->counters.Add(counter, aReason);
    return true;
  };
}

void LeaderDriver::Load()
{
  // The scheduler wants jobs last.
  std::vector<cluster::RowRange> ranges = JobRanges(kJobsTable, "", "");
  ranges.insert(ranges.begin(),
                { { std::string(kStateTable), "", "" },
                  { std::string(kProgressTable), "", "" },
                  { std::string(kLearnedTable), "", "" } });
  RangesReader::Read(
    this->context,
    this->store,
    std::move(ranges),
    [] { return kStoreTimeout; },
    this->RetryInTerm("loading_retries_total"),
    [this, before = this->term](const RangesResult& aResult) {
      if (before == this->term && aResult.done) {
        this->OnLoaded(aResult);
      }
    });
}

void LeaderDriver::OnLoaded(const RangesResult& aResult)
{
  const jobs::Now now = this->Time();
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
  this->scheduler->FinishLoading(Epoch{ this->row.epoch }, this->election.UnchangedSince(), now);
  Log(LogLevel::Info,
      "leadership_ready",
      { { "epoch", this->row.epoch },
        { "jobs", this->scheduler->Jobs().size() },
        { "version", aResult.version } });
  for (const std::string& agent : this->agents) {
    this->scheduler->OnAgentUp(agent, now);
    // Reports that came while loading were not taken; the claim asks for a full one.
    this->send(agent, LeaderClaim{ Epoch{ this->row.epoch } });
  }
  this->WatchJobs();
  this->PumpSoon();
}

void LeaderDriver::WatchJobs()
{
  this->store.Watch(std::string(kJobsTable),
                    this->jobsVersion,
                    kWatchWait,
                    kWatchTimeout,
                    [this, before = this->term](const cluster::ReadResult& aResult) {
                      if (before != this->term) {
                        return;
                      }
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->counters.Add("watch_restarts_total", "history_gone");
                        this->ReloadJobs();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        this->counters.Add("watch_restarts_total", aResult.reason);
                        this->After(kStoreRetryDelay, [this] { this->WatchJobs(); });
                        return;
                      }
                      this->TakeJobRows(aResult.rows);
                      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
                      this->WatchJobs();
                    });
}

void LeaderDriver::ReloadJobs()
{
  RangesReader::Read(
    this->context,
    this->store,
    JobRanges(kJobsTable, "", ""),
    [] { return kStoreTimeout; },
    this->RetryInTerm("loading_retries_total"),
    [this, before = this->term](const RangesResult& aResult) {
      if (before != this->term || !aResult.done) {
        return;
      }
      for (const auto& rows : aResult.rows) {
        this->TakeJobRows(rows);
      }
      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
      this->WatchJobs();
    });
}

void LeaderDriver::TakeJobRows(const std::vector<cluster::StoredRow>& aRows)
{
  for (const cluster::StoredRow& row : aRows) {
    if (!row.removed) {
      this->scheduler->OnJobRow(row.row.key, row.value, this->Time());
    }
  }
  if (!aRows.empty()) {
    this->PumpSoon();
  }
}

} // namespace oriolespread::daemon
