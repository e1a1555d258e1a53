// Loads the stored state for a new leader and watches the table of jobs from then on.
#include "LeaderDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <exception>

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

void LeaderDriver::OnLoaded(MultiRangeResult aResult)
{
  if (!this->evacuatedDataCentres.has_value()) {
    // Also orders from before the term, which a loaded scheduler repeats, wait for them.
    Log(LogLevel::Warning, "evacuations_awaited", { { "epoch", this->leaderRow.epoch } });
    this->heldRows = std::move(aResult);
    return;
  }
  // The first decisions take longest, and the next renewal waits for them.
  if (!this->commitInFlight) {
    this->CommitBatch({});
  }
  const jobs::Now now = this->CurrentTime();
  for (const auto& rows : aResult.rows) {
    for (const cluster::StoredRow& row : rows) {
      this->GuardRow(row, [&] { this->LoadRow(row, now); });
    }
  }
  this->jobsVersion = aResult.version;
  this->phase = Phase::Leading;
  // Watches first, so that new jobs are still seen if a handler below throws.
  this->WatchJobs();
  this->scheduler->FinishLoading(Epoch{ this->leaderRow.epoch }, this->earlierLeasesExpiry, now);
  this->scheduler->SetEvacuatedDataCentres(*this->evacuatedDataCentres);
  Log(LogLevel::Info,
      "leadership_ready",
      { { "epoch", this->leaderRow.epoch },
        { "jobs", this->scheduler->Jobs().size() },
        { "version", aResult.version } });
  for (const auto& [agent, link] : this->agents) {
    this->scheduler->OnAgentUp(agent, now);
    // Reports that arrived during loading were not processed; the claim requests a full one.
    this->SendClaim(agent);
  }
  this->RequestSchedulingPass();
}

void LeaderDriver::LoadRow(const cluster::StoredRow& aRow, jobs::Now aNow)
{
  if (aRow.row.table == kJobsTable) {
    this->scheduler->LoadJob(aRow.row.key, aRow.value, aNow);
  } else if (aRow.row.table == kLearnedTable) {
    this->scheduler->LoadInterferenceWeights(aRow.row.key, aRow.value);
  } else if (aRow.row.table == kStateTable) {
    this->scheduler->LoadState(aRow.row.key, aRow.value);
  } else {
    this->scheduler->LoadProgress(aRow.row.key, aRow.value);
  }
}

void LeaderDriver::GuardRow(const cluster::StoredRow& aRow, const std::function<void()>& aApply)
{
  try {
    aApply();
  } catch (const std::exception& error) {
    this->counters.Add("handler_errors_total", "row");
    Log(LogLevel::Error,
        "row_failed",
        { { "table", aRow.row.table },
          { "key", aRow.row.key },
          { "reason", std::string(error.what()) } });
  }
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
                      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
                      // Watches first, so that later rows are still seen if a handler throws.
                      this->WatchJobs();
                      this->ApplyJobRows(aResult.rows);
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
      this->jobsVersion = std::max(this->jobsVersion, aResult.version);
      this->WatchJobs();
      for (const auto& rows : aResult.rows) {
        this->ApplyJobRows(rows);
      }
    });
}

void LeaderDriver::ApplyJobRows(const std::vector<cluster::StoredRow>& aRows)
{
  for (const cluster::StoredRow& row : aRows) {
    if (!row.removed) {
      this->GuardRow(
        row, [&] { this->scheduler->OnJobRow(row.row.key, row.value, this->CurrentTime()); });
    }
  }
  if (!aRows.empty()) {
    this->RequestSchedulingPass();
  }
}

} // namespace oriolespread::daemon
