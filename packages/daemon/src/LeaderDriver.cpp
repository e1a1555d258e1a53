#include "LeaderDriver.h"

#include "ProcessorSpeed.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <chrono>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;

LeaderDriver::LeaderDriver(asio::io_context& aContext,
                           platformwire::StoreClient& aStore,
                           LeaderDriverOptions aOptions,
                           Counters& aCounters,
                           SendToAgent aSend)
  : context(aContext)
  , store(aStore)
  , options(std::move(aOptions))
  , counters(aCounters)
  , send(std::move(aSend))
  , election(cluster::ElectionSettings{}, this->options.entry, this->options.process)
  , pollTimer(aContext)
  , tickTimer(aContext)
{
  this->schedulerSettings.workerLease = this->options.workerLease;
  this->schedulerSettings.keepEnded = 2 * this->options.keepEnded;
}

void LeaderDriver::Start()
{
  this->MeasureSpeed();
  this->Poll();
}

jobs::Now LeaderDriver::Time() const
{
  return { BootClock::now(),
           std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count() };
}

void LeaderDriver::After(Duration aDelay, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait(
    [this, timer, before = this->term, call = std::move(aCall)](asio::error_code aError) {
      if (!aError && before == this->term) {
        call();
      }
    });
}

void LeaderDriver::PollLater(Duration aDelay)
{
  this->pollTimer.expires_after(aDelay);
  this->pollTimer.async_wait([this](asio::error_code aError) {
    if (!aError && this->phase == Phase::Standby) {
      this->Poll();
    }
  });
}

double LeaderDriver::MeasureSpeed()
{
  const double speed = MeasureProcessorSpeed();
  this->speedMeasured = BootClock::now();
  this->election.SetSpeed(speed);
  return speed;
}

void LeaderDriver::Poll()
{
  const cluster::RowKey lead = jobs::LeaderRow();
  this->store.Read(
    { lead.table, lead.key, lead.key + "~", 1, lead.part },
    kStoreTimeout,
    [this, before = this->term, asked = BootClock::now()](const cluster::ReadResult& aResult) {
      if (before != this->term || this->phase != Phase::Standby) {
        return;
      }
      const Instant now = BootClock::now();
      if (aResult.end == ReadEnd::Done) {
        std::optional<cluster::StoredRow> found;
        if (!aResult.rows.empty()) {
          found = aResult.rows.front();
        }
        this->election.OnRow(found, asked);
        if (this->election.IsLeaderMuchSlower()) {
          // This machine may have become slow as well.
          this->MeasureSpeed();
        }
        if (this->election.ShouldClaim(now)) {
          this->Claim();
          return;
        }
      }
      this->PollLater(kElectionPoll);
    });
}

void LeaderDriver::Claim()
{
  this->phase = Phase::Claiming;
  const cluster::LeaderRecord claimed = this->election.ClaimedRecord();
  const auto& current = this->election.Current();
  Log(LogLevel::Info,
      "leadership_claim",
      { { "epoch", claimed.epoch },
        { "earlier", current.has_value() ? current->entry : "" },
        { "released", current.has_value() && current->released },
        { "silent_ms", ToMilliseconds(BootClock::now() - this->election.UnchangedSince()) },
        { "speed", claimed.speed },
        { "earlier_speed", current.has_value() ? current->speed : 0.0 } });
  this->store.Commit(this->election.MakeClaim(),
                     kStoreTimeout,
                     [this, claimed, before = this->term, sent = BootClock::now()](
                       const cluster::CommitResult& aResult) {
                       if (before != this->term || this->phase != Phase::Claiming) {
                         return;
                       }
                       if (aResult.end == CommitEnd::Applied) {
                         this->Become(claimed, aResult.version, sent);
                         return;
                       }
                       // A lost answer shows in the row: it then names this process.
                       if (aResult.end == CommitEnd::Conflict && !aResult.current.empty()) {
                         const cluster::StoredRow& found = aResult.current.front();
                         const auto value = cluster::DecodeLeaderRecord(found.value);
                         if (value.has_value() && *value == claimed) {
                           this->Become(claimed, found.version, sent);
                           return;
                         }
                       }
                       this->counters.Add("leadership_total", "claim_failed");
                       this->phase = Phase::Standby;
                       // An unanswered claim is tried again with the same row, so that one of the
                       // two shows.
                       if (aResult.end == CommitEnd::Unknown) {
                         this->Claim();
                         return;
                       }
                       this->PollLater(kStoreRetryDelay);
                     });
}

void LeaderDriver::Become(const cluster::LeaderRecord& aRow, std::uint64_t aVersion, Instant aSent)
{
  ++this->term;
  this->phase = Phase::Loading;
  this->row = aRow;
  this->rowVersion = aVersion;
  this->renewed = aSent;
  this->committing = false;
  this->removing = false;
  this->jobsVersion = 0;
  this->counters.Add("leadership_total", "claimed");
  Log(LogLevel::Info, "leadership_claimed", { { "epoch", aRow.epoch }, { "version", aVersion } });
  this->scheduler = std::make_unique<jobs::JobScheduler>(
    this->schedulerSettings,
    this->counters,
    [](std::string_view aEvent, const nlohmann::ordered_json& aFields) {
      Log(LogLevel::Info, aEvent, aFields);
    });
  for (const std::string& agent : this->agents) {
    this->send(agent, LeaderClaim{ Epoch{ this->row.epoch } });
  }
  this->Load();
  this->Tick();
}

void LeaderDriver::StepDown(std::string_view aReason)
{
  Log(LogLevel::Warning,
      "leadership_lost",
      { { "epoch", this->row.epoch },
        { "reason", std::string(aReason) },
        { "renewed_ms_ago", ToMilliseconds(BootClock::now() - this->renewed) } });
  this->counters.Add("leadership_total", "lost");
  ++this->term;
  this->scheduler.reset();
  this->tickTimer.cancel();
  this->phase = Phase::Standby;
  if (this->released != nullptr) {
    this->FinishRelease();
    return;
  }
  this->PollLater(kElectionPoll);
}

void LeaderDriver::OnAgentUp(const std::string& aAgent)
{
  this->agents.insert(aAgent);
  if (this->phase == Phase::Loading || this->phase == Phase::Leading) {
    this->send(aAgent, LeaderClaim{ Epoch{ this->row.epoch } });
  }
  if (this->phase == Phase::Leading) {
    this->scheduler->OnAgentUp(aAgent, this->Time());
  }
}

void LeaderDriver::OnAgentDown(const std::string& aAgent)
{
  this->agents.erase(aAgent);
  if (this->phase == Phase::Leading) {
    this->scheduler->OnAgentDown(aAgent, this->Time());
  }
}

void LeaderDriver::OnReport(const std::string& aAgent, const WorkerReport& aReport)
{
  const bool leads = this->phase == Phase::Loading || this->phase == Phase::Leading;
  if (!leads || aReport.epoch.Value() != this->row.epoch) {
    this->counters.Add("reports_ignored_total", leads ? "other_epoch" : "not_leading");
    return;
  }
  if (this->released != nullptr) {
    // What it tells goes to the next leader; storing it here would delay the hand-over.
    this->counters.Add("reports_ignored_total", "releasing");
    return;
  }
  if (BootClock::now() - this->renewed < this->schedulerSettings.storeOutageTolerance) {
    this->send(aAgent,
               LeaseExtension{ aReport.epoch,
                               aReport.sequence,
                               this->scheduler->BestEffortHeadroomCosts(aAgent) });
  } else {
    this->counters.Add("extensions_refused_total", "not_renewed");
  }
  if (this->phase == Phase::Leading) {
    this->scheduler->OnReport(aAgent, aReport, this->Time());
    this->PumpSoon();
  }
}

void LeaderDriver::Tick()
{
  this->tickTimer.expires_after(kDecideInterval);
  this->tickTimer.async_wait([this, before = this->term](asio::error_code aError) {
    if (!aError && before == this->term) {
      // First, so that a decision that fails does not end the leader's turns.
      this->Tick();
      this->Pump();
      this->RemoveRows();
    }
  });
}

void LeaderDriver::PumpSoon()
{
  if (this->pumpPending) {
    return;
  }
  this->pumpPending = true;
  auto timer = std::make_shared<asio::steady_timer>(this->context, kBatchDelay);
  timer->async_wait([this, timer](asio::error_code aError) {
    this->pumpPending = false;
    if (!aError && (this->phase == Phase::Loading || this->phase == Phase::Leading)) {
      this->Pump();
    }
  });
}

void LeaderDriver::Pump()
{
  jobs::StoreBatch batch;
  if (this->phase == Phase::Leading && this->released == nullptr) {
    this->scheduler->Decide(this->Time());
    for (const Duration delay : this->scheduler->TakeStartDelays()) {
      this->jobStartLatency.Add(delay);
    }
    this->SendOrders();
  }
  if (this->committing) {
    return;
  }
  const bool stale = BootClock::now() - this->renewed >= kRenewInterval;
  if (this->phase == Phase::Leading) {
    batch = this->scheduler->TakeBatch(kBatchRows);
    // The last batch releases the leadership itself, which saves a call to the store.
    this->row.released = this->released != nullptr && !this->scheduler->HasChanges();
  }
  if (!batch.empty() || stale || this->row.released) {
    this->Commit(std::move(batch));
  }
}

void LeaderDriver::Commit(jobs::StoreBatch aBatch)
{
  this->committing = true;
  this->commitBegun = BootClock::now();
  if (this->commitBegun - this->speedMeasured >= kSpeedInterval) {
    this->row.speed = this->MeasureSpeed();
  }
  ++this->row.renewal;
  cluster::StoreTransaction transaction;
  transaction.conditions.push_back({ jobs::LeaderRow(), this->rowVersion });
  transaction.changes.push_back(
    { jobs::LeaderRow(), cluster::EncodeLeaderRecord(this->row), false });
  transaction.changes.insert(
    transaction.changes.end(), aBatch.changes.begin(), aBatch.changes.end());
  this->Send(std::make_shared<jobs::StoreBatch>(std::move(aBatch)), transaction);
}

void LeaderDriver::Send(const std::shared_ptr<jobs::StoreBatch>& aBatch,
                        const cluster::StoreTransaction& aTransaction)
{
  this->store.Commit(aTransaction,
                     kStoreTimeout,
                     [this, aBatch, aTransaction, before = this->term, sent = BootClock::now()](
                       const cluster::CommitResult& aResult) {
                       if (before == this->term) {
                         this->OnCommitted(aBatch, aTransaction, aResult, sent);
                       }
                     });
}

void LeaderDriver::OnCommitted(const std::shared_ptr<jobs::StoreBatch>& aBatch,
                               const cluster::StoreTransaction& aTransaction,
                               const cluster::CommitResult& aResult,
                               Instant aSent)
{
  std::uint64_t version = aResult.version;
  bool applied = aResult.end == CommitEnd::Applied;
  if (aResult.end == CommitEnd::Conflict) {
    // An earlier try whose answer was lost leaves exactly the row that it wrote.
    for (const cluster::StoredRow& found : aResult.current) {
      if (found.row == jobs::LeaderRow() && found.value == aTransaction.changes.front().value) {
        applied = true;
        version = found.version;
      }
    }
    if (!applied) {
      this->StepDown("superseded");
      return;
    }
  }
  if (!applied) {
    this->counters.Add("commit_retries_total", aResult.reason);
    this->After(kStoreRetryDelay,
                [this, aBatch, aTransaction] { this->Send(aBatch, aTransaction); });
    return;
  }
  this->rowVersion = version;
  this->renewed = aSent;
  this->committing = false;
  this->commitLatency.Add(BootClock::now() - this->commitBegun);
  if (this->phase == Phase::Leading) {
    this->scheduler->OnStored(std::move(*aBatch), this->Time());
    this->SendOrders();
    if (this->row.released) {
      this->FinishRelease();
      return;
    }
    if (this->scheduler->HasChanges()) {
      this->PumpSoon();
    }
  }
}

void LeaderDriver::RemoveRows()
{
  if (this->removing || this->phase != Phase::Leading) {
    return;
  }
  std::vector<cluster::RowKey> rows = this->scheduler->TakeRemovals(kBatchRows);
  if (rows.empty()) {
    return;
  }
  this->removing = true;
  cluster::StoreTransaction transaction;
  for (const cluster::RowKey& row : rows) {
    transaction.changes.push_back({ row, {}, true });
  }
  this->store.Commit(
    transaction,
    kStoreTimeout,
    [this, rows = std::move(rows), before = this->term](const cluster::CommitResult& aResult) {
      if (before != this->term) {
        return;
      }
      this->removing = false;
      if (aResult.end == CommitEnd::Applied) {
        this->scheduler->OnRemoved(rows, this->Time());
      } else {
        this->counters.Add("removal_retries_total", aResult.reason);
        this->scheduler->OnRemovalFailed(rows);
      }
    });
}

void LeaderDriver::SendOrders()
{
  for (const auto& [agent, orders] : this->scheduler->TakeOrders()) {
    if (this->agents.contains(agent)) {
      this->send(agent, orders);
    }
  }
}

void LeaderDriver::Release(std::function<void()> aDone)
{
  this->released = std::move(aDone);
  this->pollTimer.cancel();
  if (this->phase != Phase::Leading) {
    this->FinishRelease();
    return;
  }
  Log(LogLevel::Info, "leadership_release", { { "epoch", this->row.epoch } });
  this->Pump();
}

void LeaderDriver::FinishRelease()
{
  ++this->term;
  this->phase = Phase::Stopped;
  this->tickTimer.cancel();
  this->scheduler.reset();
  std::exchange(this->released, nullptr)();
}

std::map<std::string, double> LeaderDriver::Gauges() const
{
  std::map<std::string, double> gauges{ { "leader_epoch", static_cast<double>(this->row.epoch) } };
  if (this->scheduler != nullptr) {
    gauges["jobs_known"] = static_cast<double>(this->scheduler->Jobs().size());
    gauges["workers_known"] = static_cast<double>(this->scheduler->Workers().size());
    gauges["tasks_waiting"] = static_cast<double>(this->scheduler->WaitingTasks());
  }
  return gauges;
}

} // namespace oriolespread::daemon
