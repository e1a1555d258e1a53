#include "LeaderDriver.h"

#include "ProcessorSpeed.h"
#include "UnixTime.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <algorithm>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;

namespace {

constexpr Duration kInvalidLogInterval = std::chrono::seconds(1);
// The store answers within half a second unless it is in trouble.
constexpr Duration kWaitingLogInterval = std::chrono::seconds(1);
// Rows of a refused transaction that its line names.
constexpr std::size_t kMaxLoggedRows = 3;

jobs::SchedulerSettings MakeSchedulerSettings(const LeaderDriverOptions& aOptions)
{
  jobs::SchedulerSettings settings;
  settings.workerLease = aOptions.workerLease;
  settings.storeOutageTolerance = aOptions.storeOutageTolerance;
  settings.waitingOrder = aOptions.waitingOrder;
  // Ended jobs are kept for twice the time that callers are promised.
  settings.keepEnded = 2 * aOptions.endedJobRetention;
  return settings;
}

cluster::ElectionSettings MakeElectionSettings(const LeaderDriverOptions& aOptions,
                                               const jobs::SchedulerSettings& aSettings)
{
  cluster::ElectionSettings settings;
  settings.steadyTime = aOptions.steadyTime;
  settings.outageTolerance = aSettings.storeOutageTolerance;
  settings.leaseBound = aSettings.LeaseBound();
  return settings;
}

} // namespace

LeaderDriver::LeaderDriver(asio::io_context& aContext,
                           platformwire::StoreClient& aStore,
                           LeaderDriverOptions aOptions,
                           Counters& aCounters,
                           SendToAgent aSend)
  : context(aContext)
  , store(aStore)
  , options(std::move(aOptions))
  , counters(aCounters)
  , sendToAgent(std::move(aSend))
  , schedulerSettings(MakeSchedulerSettings(this->options))
  , election(MakeElectionSettings(this->options, this->schedulerSettings),
             this->options.entry,
             this->options.process)
  , pollTimer(aContext)
  , tickTimer(aContext)
  , waitingLogTimer(aContext)
{
  this->election.SetCoreShare(this->options.coreShare);
}

void LeaderDriver::Start()
{
  this->MeasureSpeed();
  this->PollLeaderRow();
}

jobs::Now LeaderDriver::CurrentTime() const
{
  return { BootClock::now(), CurrentUnixMs() };
}

void LeaderDriver::CallAfter(Duration aDelay, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait(
    [this, timer, term = this->term, call = std::move(aCall)](asio::error_code aError) {
      if (!aError && term == this->term) {
        call();
      }
    });
}

void LeaderDriver::SchedulePoll(Duration aDelay)
{
  this->pollTimer.expires_after(aDelay);
  this->pollTimer.async_wait([this](asio::error_code aError) {
    if (!aError && this->phase == Phase::Standby) {
      this->PollLeaderRow();
    }
  });
}

double LeaderDriver::MeasureSpeed()
{
  const double speed = MeasureProcessorSpeed();
  this->speedMeasuredAt = BootClock::now();
  this->election.SetSpeed(speed);
  return speed;
}

void LeaderDriver::PollLeaderRow()
{
  const cluster::RowKey rowKey = jobs::LeaderRow();
  // Reads again beside a read whose answer may be lost.
  this->SchedulePoll(kStoreTimeout / 2);
  // Requests at most one row, beginning at the key.
  this->store.Read(
    { rowKey.table, rowKey.key, rowKey.key + "~", 1, rowKey.part },
    kStoreTimeout,
    [this, term = this->term, requestedAt = BootClock::now()](const cluster::ReadResult& aResult) {
      if (term != this->term || this->phase != Phase::Standby) {
        return;
      }
      const Instant now = BootClock::now();
      if (aResult.end == ReadEnd::Done) {
        // So that a lost answer to the first claim is noticed soon.
        this->commitTimeout.OnAnswer(now - requestedAt);
      }
      // A row that is not readable exists, so it must not be taken for an absent one.
      if (aResult.end == ReadEnd::Done && aResult.unreadableRows == 0) {
        std::optional<cluster::StoredRow> storedRow;
        if (!aResult.rows.empty()) {
          storedRow = aResult.rows.front();
        }
        if (storedRow.has_value() && this->IsLastClaim(storedRow->value)) {
          // The claim was applied, and what was answered to its repetitions does not matter.
          this->pollTimer.cancel();
          this->BeginLeadership(
            *this->lastClaim, storedRow->version, this->election.LatestRenewal());
          return;
        }
        this->election.OnRow(storedRow, requestedAt, now);
        if (this->election.IsLeaderMuchSlower()) {
          // This machine may have become slow as well, so measure again before claiming.
          this->MeasureSpeed();
        }
        if (this->election.ShouldClaim(now)) {
          this->ClaimLeadership();
          return;
        }
      } else if (aResult.reason == platformwire::kStaleRead &&
                 now - this->election.UnchangedSince() >= kStoreTimeout &&
                 this->election.ShouldClaim(now)) {
        // The store serves this entry, and a claim that expects a version that is behind conflicts
        // and tells the present row. The time bounds how often a leader that goes on is claimed.
        this->ClaimLeadership();
        return;
      }
      this->SchedulePoll(kElectionPollInterval);
    });
}

bool LeaderDriver::IsLastClaim(const std::string& aRowValue) const
{
  return this->lastClaim.has_value() && cluster::DecodeLeaderRecord(aRowValue) == this->lastClaim;
}

void LeaderDriver::ClaimLeadership()
{
  this->phase = Phase::Claiming;
  this->pollTimer.cancel();
  const cluster::LeaderRecord claimedRow = this->election.ClaimedRecord();
  this->lastClaim = claimedRow;
  const auto& current = this->election.Current();
  Log(LogLevel::Info,
      "leadership_claim",
      { { "epoch", claimedRow.epoch },
        { "earlier", current.has_value() ? current->entry : "" },
        { "released", current.has_value() && current->released },
        { "silent_ms", ToMilliseconds(BootClock::now() - this->election.UnchangedSince()) },
        { "speed", claimedRow.speed },
        { "earlier_speed", current.has_value() ? current->speed : 0.0 },
        { "core_share", claimedRow.coreShare },
        { "earlier_core_share", current.has_value() ? current->coreShare : 0.0 },
        { "short_terms", claimedRow.shortTerms } });
  this->SendWrite(
    this->election.MakeClaim(),
    [this](const std::string& /*aReason*/) { this->OnClaimRetry(); },
    [this, claimedRow](const cluster::CommitResult& aResult, Instant aSentAt) {
      this->OnClaimed(claimedRow, aResult, aSentAt);
    });
}

void LeaderDriver::OnClaimRetry()
{
  this->counters.Add("leadership_total", "claim_failed");
  if (this->onReleased != nullptr && !this->pendingWrite->MayBeApplied()) {
    this->FinishRelease();
  }
}

void LeaderDriver::OnClaimed(const cluster::LeaderRecord& aClaim,
                             const cluster::CommitResult& aResult,
                             Instant aSentAt)
{
  if (aResult.end == CommitEnd::Applied) {
    this->BeginLeadership(aClaim, aResult.version, aSentAt);
    return;
  }
  if (aResult.end == CommitEnd::Conflict && !aResult.current.empty()) {
    const cluster::StoredRow& storedRow = aResult.current.front();
    // If the claim was applied and its answer was lost, the stored row equals the claimed one.
    if (this->IsLastClaim(storedRow.value)) {
      // Each attempt was sent after the read that showed the row before it.
      this->BeginLeadership(aClaim, storedRow.version, this->election.LatestRenewal());
      return;
    }
    // Reads may be behind, and then only conflicts show for how long the row is unchanged.
    this->election.OnRow(storedRow, aSentAt, BootClock::now());
  }
  this->counters.Add("leadership_total", "claim_failed");
  this->CancelWrite();
  this->phase = Phase::Standby;
  if (this->onReleased != nullptr) {
    this->FinishRelease();
    return;
  }
  this->SchedulePoll(aResult.end == CommitEnd::Invalid ? kInvalidRetryDelay : kStoreRetryDelay);
}

void LeaderDriver::BeginLeadership(const cluster::LeaderRecord& aRow,
                                   std::uint64_t aVersion,
                                   Instant aRenewedAt)
{
  ++this->term;
  this->phase = Phase::Loading;
  this->earlierLeasesExpiry = this->election.EarlierLeasesExpiry();
  this->leaderRow = aRow;
  // `aRow` may be the last claim itself.
  this->lastClaim.reset();
  this->leaderRowVersion = aVersion;
  this->renewedAt = aRenewedAt;
  this->lastCommitAt = BootClock::now();
  this->steadySince = this->lastCommitAt;
  this->commitInFlight = false;
  this->CancelWrite();
  this->refusedCommit = nullptr;
  this->removalInFlight = false;
  this->jobsVersion = 0;
  this->heldRows.reset();
  this->counters.Add("leadership_total", "claimed");
  Log(LogLevel::Info, "leadership_claimed", { { "epoch", aRow.epoch }, { "version", aVersion } });
  this->scheduler = std::make_unique<jobs::JobScheduler>(
    this->schedulerSettings,
    this->counters,
    [](std::string_view aEvent, const nlohmann::ordered_json& aFields) {
      Log(LogLevel::Info, aEvent, aFields);
    });
  for (const auto& [agent, link] : this->agents) {
    this->SendClaim(agent);
  }
  this->ScheduleTick();
  if (this->onReleased != nullptr) {
    this->RunSchedulingPass();
    return;
  }
  this->Load();
}

void LeaderDriver::StepDown(std::string_view aReason)
{
  Log(LogLevel::Warning,
      "leadership_lost",
      { { "epoch", this->leaderRow.epoch },
        { "reason", std::string(aReason) },
        { "renewed_ms_ago", ToMilliseconds(BootClock::now() - this->renewedAt) } });
  this->counters.Add("leadership_total", "lost");
  ++this->term;
  this->CancelWrite();
  this->scheduler.reset();
  this->tickTimer.cancel();
  this->phase = Phase::Standby;
  if (this->onReleased != nullptr) {
    this->FinishRelease();
    return;
  }
  this->SchedulePoll(kElectionPollInterval);
}

void LeaderDriver::SendClaim(const std::string& aAgent, bool aRepeated)
{
  AgentLink& link = this->agents.at(aAgent);
  link.knowsRenewal = this->renewedAt > link.upSince;
  this->sendToAgent(aAgent,
                    LeaderClaim{ Epoch{ this->leaderRow.epoch }, link.knowsRenewal, aRepeated });
}

void LeaderDriver::RepeatRenewedClaims()
{
  for (const auto& [agent, link] : this->agents) {
    if (!link.knowsRenewal && this->renewedAt > link.upSince) {
      this->SendClaim(agent, true);
    }
  }
}

void LeaderDriver::OnAgentUp(const std::string& aAgent)
{
  this->agents[aAgent] = { BootClock::now() };
  if (this->phase == Phase::Loading || this->phase == Phase::Leading) {
    this->SendClaim(aAgent);
  }
  if (this->phase == Phase::Leading) {
    this->scheduler->OnAgentUp(aAgent, this->CurrentTime());
    this->RequestSchedulingPass();
  }
}

void LeaderDriver::OnAgentDown(const std::string& aAgent)
{
  this->agents.erase(aAgent);
  if (this->phase == Phase::Leading) {
    this->scheduler->OnAgentDown(aAgent, this->CurrentTime());
  }
}

void LeaderDriver::OnReport(const std::string& aAgent, const WorkerReport& aReport)
{
  const bool isLeader = this->phase == Phase::Loading || this->phase == Phase::Leading;
  if (!isLeader || aReport.epoch.Value() != this->leaderRow.epoch) {
    this->counters.Add("reports_ignored_total", isLeader ? "other_epoch" : "not_leading");
    return;
  }
  if (this->onReleased != nullptr) {
    // The agent reports to the next leader as well; storing the report here would delay the
    // handover.
    this->counters.Add("reports_ignored_total", "releasing");
    return;
  }
  if (const auto link = this->agents.find(aAgent); link != this->agents.end()) {
    link->second.knowsRenewal = true;
  }
  if (BootClock::now() - this->renewedAt < this->schedulerSettings.storeOutageTolerance) {
    this->sendToAgent(
      aAgent,
      LeaseExtension{ aReport.epoch,
                      aReport.sequence,
                      this->scheduler->BestEffortHeadroomCosts(aAgent),
                      this->evacuatedDataCentres.has_value() &&
                        this->evacuatedDataCentres->contains(aReport.worker.dataCentre) });
  } else {
    this->counters.Add("extensions_refused_total", "not_renewed");
  }
  if (this->phase == Phase::Loading) {
    this->scheduler->OnReportWhileLoading(aReport, this->CurrentTime());
  } else {
    this->scheduler->OnReport(aAgent, aReport, this->CurrentTime());
    this->RequestSchedulingPass();
  }
}

void LeaderDriver::SetEvacuatedDataCentres(const std::set<std::string>& aDataCentres)
{
  this->evacuatedDataCentres = aDataCentres;
  if (this->phase == Phase::Loading && this->heldRows.has_value()) {
    MultiRangeResult rows = *std::exchange(this->heldRows, std::nullopt);
    this->OnLoaded(std::move(rows));
  } else if (this->phase == Phase::Leading) {
    this->scheduler->SetEvacuatedDataCentres(aDataCentres);
    this->RequestSchedulingPass();
  }
}

std::optional<cluster::PublishedWait> LeaderDriver::FindPublishedWait(const std::string& aService,
                                                                      int aPriority) const
{
  const bool isLeader = this->phase == Phase::Loading || this->phase == Phase::Leading;
  const std::optional<cluster::LeaderRecord>& read = this->election.Current();
  if (!isLeader && !read.has_value()) {
    return std::nullopt;
  }
  const cluster::LeaderRecord& row = isLeader ? this->leaderRow : *read;
  const auto waitMs = cluster::FindWaitMs(row.expectedWaits, aService, aPriority);
  if (row.released || !waitMs.has_value()) {
    return std::nullopt;
  }
  // The row stays as it is when its leader has ended, so that later reads of it do not count. The
  // leader's own wait is at most one transaction ahead of the renewal.
  return cluster::PublishedWait{ *waitMs,
                                 isLeader ? this->renewedAt : this->election.UnchangedSince() };
}

void LeaderDriver::ScheduleTick()
{
  this->tickTimer.expires_after(kIdleSchedulingInterval);
  this->tickTimer.async_wait([this, term = this->term](asio::error_code aError) {
    if (!aError && term == this->term) {
      // Scheduled first, so that the ticks continue if a scheduling pass throws.
      this->ScheduleTick();
      this->RunSchedulingPass();
      this->RemoveRows();
    }
  });
}

void LeaderDriver::RequestSchedulingPass()
{
  if (this->schedulingPassPending) {
    return;
  }
  this->schedulingPassPending = true;
  auto timer = std::make_shared<asio::steady_timer>(this->context, kSchedulingBatchDelay);
  timer->async_wait([this, timer](asio::error_code aError) {
    this->schedulingPassPending = false;
    if (!aError && (this->phase == Phase::Loading || this->phase == Phase::Leading)) {
      this->RunSchedulingPass();
    }
  });
}

void LeaderDriver::RunSchedulingPass()
{
  jobs::StoreBatch batch;
  if (this->phase == Phase::Leading) {
    if (this->onReleased == nullptr) {
      this->scheduler->Decide(this->CurrentTime());
      for (const Duration delay : this->scheduler->TakeStartDelays()) {
        this->jobStartLatency.Add(delay);
      }
    }
    // The release may take seconds to be stored. Stops of cancelled runs do not wait for it.
    this->SendOrders();
  }
  if (this->commitInFlight) {
    return;
  }
  const bool renewalDue = BootClock::now() - this->renewedAt >= kLeadershipRenewInterval;
  if (this->phase == Phase::Leading) {
    batch = this->scheduler->TakeBatch(kMaxBatchRows);
  }
  // The last batch also releases the leadership, which saves a call to the store. A leader that
  // loads has nothing to store.
  this->leaderRow.released = this->onReleased != nullptr &&
                             (this->phase == Phase::Loading || !this->scheduler->HasChanges());
  if (!batch.empty() || renewalDue || this->leaderRow.released) {
    this->CommitBatch(std::move(batch));
  }
}

void LeaderDriver::CommitBatch(jobs::StoreBatch aBatch)
{
  this->commitInFlight = true;
  auto commit = std::make_shared<Commit>();
  commit->startedAt = BootClock::now();
  if (commit->startedAt - this->speedMeasuredAt >= kSpeedMeasurementInterval) {
    this->leaderRow.speed = this->MeasureSpeed();
  }
  if (commit->startedAt - this->steadySince >= this->options.steadyTime) {
    this->leaderRow.shortTerms = 0;
  }
  ++this->leaderRow.renewal;
  const Instant leasesExpiry =
    std::max(this->earlierLeasesExpiry, this->scheduler->LatestLeaseExpiry());
  this->leaderRow.earlierLeasesMs =
    std::max<std::int64_t>(ToMilliseconds(leasesExpiry - commit->startedAt), 0);
  this->leaderRow.expectedWaits = cluster::MakeExpectedWaits(this->scheduler->ExpectedWaits());
  commit->releases = this->leaderRow.released;
  cluster::StoreTransaction& transaction = commit->transaction;
  transaction.conditions.push_back({ jobs::LeaderRow(), this->leaderRowVersion });
  transaction.changes.push_back(
    { jobs::LeaderRow(), cluster::EncodeLeaderRecord(this->leaderRow), false });
  transaction.changes.insert(
    transaction.changes.end(), aBatch.changes.begin(), aBatch.changes.end());
  commit->batch = std::move(aBatch);
  this->SendCommit(commit);
}

void LeaderDriver::SendCommit(const CommitPtr& aCommit)
{
  this->SendWrite(
    aCommit->transaction,
    [this](const std::string& aReason) { this->counters.Add("commit_retries_total", aReason); },
    [this, aCommit](const cluster::CommitResult& aResult, Instant aSentAt) {
      this->OnCommitted(aCommit, aResult, aSentAt);
    });
}

void LeaderDriver::OnCommitted(const CommitPtr& aCommit,
                               const cluster::CommitResult& aResult,
                               Instant aSentAt)
{
  if (aResult.end == CommitEnd::Applied) {
    if (const CommitPtr refused = std::exchange(this->refusedCommit, nullptr); refused != nullptr) {
      this->scheduler->OnRefused(std::move(refused->batch), this->CurrentTime());
    }
    this->OnApplied(aCommit, aResult.version, aSentAt);
    return;
  }
  if (aResult.end == CommitEnd::Conflict) {
    this->OnConflict(aCommit, aResult);
    return;
  }
  this->ReportInvalid(aCommit->transaction, aResult);
  if (!aCommit->batch.empty()) {
    // Renews the leadership without the rows. If this is refused as well, the rows are not the
    // reason.
    this->refusedCommit = aCommit;
    this->leaderRow.released = false;
    this->CommitBatch({});
    return;
  }
  this->counters.Add("commit_retries_total", aResult.reason);
  this->CallAfter(kStoreRetryDelay, [this, aCommit] { this->SendCommit(aCommit); });
}

void LeaderDriver::OnConflict(const CommitPtr& aCommit, const cluster::CommitResult& aResult)
{
  const CommitPtr refused = std::exchange(this->refusedCommit, nullptr);
  for (const cluster::StoredRow& storedRow : aResult.current) {
    if (storedRow.row != jobs::LeaderRow()) {
      continue;
    }
    // If an attempt was applied and its answer was lost, the stored row equals the one in the
    // transaction. It is not known which attempt renewed the row.
    if (storedRow.value == aCommit->LeaderRowValue()) {
      if (refused != nullptr) {
        this->scheduler->OnRefused(std::move(refused->batch), this->CurrentTime());
      }
      this->OnApplied(aCommit, storedRow.version, aCommit->startedAt);
      return;
    }
    if (refused != nullptr && storedRow.value == refused->LeaderRowValue()) {
      this->OnApplied(refused, storedRow.version, refused->startedAt);
      return;
    }
  }
  this->StepDown("superseded");
}

void LeaderDriver::OnApplied(const CommitPtr& aCommit, std::uint64_t aVersion, Instant aRenewedAt)
{
  this->leaderRow.released = aCommit->releases;
  this->leaderRowVersion = aVersion;
  this->renewedAt = aRenewedAt;
  this->commitInFlight = false;
  this->CancelWrite();
  const Instant committedBefore = std::exchange(this->lastCommitAt, BootClock::now());
  if (this->lastCommitAt - committedBefore >= cluster::ElectionSettings().leaderTimeout) {
    this->steadySince = this->lastCommitAt;
  }
  this->commitLatency.Add(this->lastCommitAt - aCommit->startedAt);
  if (this->phase == Phase::Leading) {
    this->scheduler->OnStored(std::move(aCommit->batch), this->CurrentTime());
    this->SendOrders();
  }
  if (this->leaderRow.released) {
    this->FinishRelease();
    return;
  }
  this->RepeatRenewedClaims();
  if (this->phase == Phase::Leading && this->scheduler->HasChanges()) {
    this->RequestSchedulingPass();
  }
}

void LeaderDriver::ReportInvalid(const cluster::StoreTransaction& aTransaction,
                                 const cluster::CommitResult& aResult)
{
  this->counters.Add("commits_invalid_total", aResult.reason);
  ++this->unloggedInvalid;
  const Instant now = BootClock::now();
  if (now < this->nextInvalidLog) {
    return;
  }
  this->nextInvalidLog = now + kInvalidLogInterval;
  std::size_t bytes = 0;
  nlohmann::ordered_json firstRows = nlohmann::ordered_json::array();
  for (const cluster::RowChange& change : aTransaction.changes) {
    bytes += change.value.size();
    if (change.row != jobs::LeaderRow() && firstRows.size() < kMaxLoggedRows) {
      firstRows.push_back(change.row.table + "/" + change.row.key);
    }
  }
  Log(LogLevel::Error,
      "commit_invalid",
      { { "epoch", this->leaderRow.epoch },
        { "reason", aResult.reason },
        { "rows", aTransaction.changes.size() },
        { "bytes", bytes },
        { "first_rows", std::move(firstRows) },
        { "refused", std::exchange(this->unloggedInvalid, 0) } });
}

void LeaderDriver::SendWrite(cluster::StoreTransaction aTransaction,
                             LeaderWrite::RetryCallback aOnRetry,
                             LeaderWrite::Callback aOnFate)
{
  this->CancelWrite();
  this->pendingWrite = LeaderWrite::Send(this->context,
                                         this->store,
                                         this->commitTimeout,
                                         std::move(aTransaction),
                                         std::move(aOnRetry),
                                         std::move(aOnFate));
  // One timer runs for all writes, as most are answered within some milliseconds.
  if (!this->waitingLogScheduled) {
    this->ScheduleWaitingLog(kWaitingLogInterval);
  }
}

void LeaderDriver::CancelWrite()
{
  if (this->pendingWrite != nullptr) {
    this->pendingWrite->Cancel();
    this->pendingWrite = nullptr;
  }
}

void LeaderDriver::ScheduleWaitingLog(Duration aDelay)
{
  this->waitingLogScheduled = true;
  this->waitingLogTimer.expires_after(aDelay);
  this->waitingLogTimer.async_wait([this](asio::error_code aError) {
    this->waitingLogScheduled = false;
    if (aError || this->pendingWrite == nullptr) {
      return;
    }
    const Duration waited = BootClock::now() - this->pendingWrite->StartedAt();
    if (waited < kWaitingLogInterval) {
      this->ScheduleWaitingLog(kWaitingLogInterval - waited);
      return;
    }
    const bool isClaim = this->phase == Phase::Claiming;
    Log(LogLevel::Warning,
        "commit_waiting",
        { { "epoch", isClaim ? this->lastClaim->epoch : this->leaderRow.epoch },
          { "claim", isClaim },
          { "attempts", this->pendingWrite->Attempts() },
          { "rows", this->pendingWrite->RowCount() },
          { "waited_ms", ToMilliseconds(waited) } });
    this->ScheduleWaitingLog(kWaitingLogInterval);
  });
}

void LeaderDriver::RemoveRows()
{
  if (this->removalInFlight || this->phase != Phase::Leading) {
    return;
  }
  std::vector<cluster::RowKey> rows = this->scheduler->TakeRemovals(kMaxBatchRows);
  if (rows.empty()) {
    return;
  }
  this->removalInFlight = true;
  cluster::StoreTransaction transaction;
  for (const cluster::RowKey& row : rows) {
    transaction.changes.push_back({ row, {}, true });
  }
  this->store.Commit(
    transaction,
    kStoreTimeout,
    [this, rows = std::move(rows), term = this->term](const cluster::CommitResult& aResult) {
      if (term != this->term) {
        return;
      }
      this->removalInFlight = false;
      if (aResult.end == CommitEnd::Applied) {
        this->scheduler->OnRemoved(rows, this->CurrentTime());
        return;
      }
      this->counters.Add("removal_retries_total", aResult.reason);
      if (aResult.end == CommitEnd::Invalid) {
        this->scheduler->OnRemovalRefused(rows, this->CurrentTime());
      } else {
        this->scheduler->OnRemovalFailed(rows);
      }
    });
}

void LeaderDriver::SendOrders()
{
  for (const auto& [agent, orders] : this->scheduler->TakeOrders()) {
    if (!this->agents.contains(agent) || !this->sendToAgent(agent, orders)) {
      this->counters.Add("orders_lost_total", "not_sent");
      this->scheduler->OnOrdersLost(agent);
    }
  }
}

void LeaderDriver::Release(std::function<void()> aDone)
{
  this->onReleased = std::move(aDone);
  this->pollTimer.cancel();
  if (this->phase == Phase::Claiming) {
    // The claim may be applied, and nobody else claims the row for a while then. It is released
    // once the claim is decided.
    return;
  }
  if (this->phase == Phase::Standby) {
    this->FinishRelease();
    return;
  }
  Log(LogLevel::Info, "leadership_release", { { "epoch", this->leaderRow.epoch } });
  this->RunSchedulingPass();
}

void LeaderDriver::FinishRelease()
{
  ++this->term;
  this->phase = Phase::Stopped;
  this->CancelWrite();
  this->waitingLogTimer.cancel();
  this->tickTimer.cancel();
  this->scheduler.reset();
  std::exchange(this->onReleased, nullptr)();
}

std::map<std::string, double> LeaderDriver::Gauges() const
{
  std::map<std::string, double> gauges{ { "leader_epoch",
                                          static_cast<double>(this->leaderRow.epoch) } };
  gauges["commit_in_flight_seconds"] =
    this->pendingWrite != nullptr
      ? std::chrono::duration<double>(BootClock::now() - this->pendingWrite->StartedAt()).count()
      : 0;
  gauges["data_centres_evacuated"] = this->evacuatedDataCentres.has_value()
                                       ? static_cast<double>(this->evacuatedDataCentres->size())
                                       : 0;
  if (this->scheduler != nullptr) {
    gauges["last_commit_age_seconds"] =
      std::chrono::duration<double>(BootClock::now() - this->lastCommitAt).count();
    gauges["rows_withheld"] = static_cast<double>(this->scheduler->WithheldRows());
    gauges["jobs_known"] = static_cast<double>(this->scheduler->Jobs().size());
    gauges["workers_known"] = static_cast<double>(this->scheduler->Workers().size());
    gauges["tasks_waiting"] = static_cast<double>(this->scheduler->WaitingTasks());
    gauges["workers_awaited"] = static_cast<double>(this->scheduler->AwaitedWorkers());
    gauges["workers_avoided"] =
      static_cast<double>(this->scheduler->AvoidedWorkers(this->CurrentTime()));
    gauges["runs_unconfirmed"] = static_cast<double>(this->scheduler->UnconfirmedRuns());
  }
  return gauges;
}

} // namespace oriolespread::daemon
