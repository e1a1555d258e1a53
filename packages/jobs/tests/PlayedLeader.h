// Plays a leader around its JobScheduler. It follows LeaderDriver, and may freeze, or lose its
// store.
#pragma once

#include "PlayedAgent.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread::jobs {

// The process of an entry from the time at which its claim of the leadership was applied.
class PlayedLeader
{
public:
  PlayedLeader(PlayedWorld& aWorld,
               std::vector<std::unique_ptr<PlayedAgent>>& aAgents,
               const PlayedLeaderRow& aClaimed,
               Instant aClaimSentAt,
               Instant aEarlierLeasesExpiry)
    : world(aWorld)
    , agents(aAgents)
    , row(aClaimed)
    , renewedAt(aClaimSentAt)
    , earlierLeasesExpiry(aEarlierLeasesExpiry)
  {
    SchedulerSettings settings;
    settings.workerLease = kPlayedLease;
    settings.keepEnded = std::chrono::seconds(20);
    this->scheduler = std::make_unique<JobScheduler>(
      settings,
      this->counters,
      [this](std::string_view aEvent, const nlohmann::ordered_json& aText) {
        if (aEvent != "job_known" && aEvent != "worker_known") {
          this->Note(std::string(aEvent) + " " + aText.dump());
        }
      });
    this->Note("claimed");
  }

  // Loads the rows, which takes at least `aLoadTime`.
  void Begin(Duration aLoadTime)
  {
    this->Tick();
    this->Load(aLoadTime);
  }

  const std::string& Entry() const { return this->row.record.entry; }
  Epoch LeaderEpoch() const { return Epoch{ this->row.record.epoch }; }
  bool HasEnded() const { return this->phase == Phase::Ended; }
  bool IsLeading() const { return this->phase == Phase::Leading; }

  // Returns whether the run may exist as far as this leader knows. It stops runs of jobs and
  // tasks that have ended.
  bool Knows(const RunRef& aRef) const
  {
    TaskName name;
    const auto job = TaskName::Parse(aRef.task, name) ? this->scheduler->Jobs().find(name.job)
                                                      : this->scheduler->Jobs().end();
    if (job == this->scheduler->Jobs().end()) {
      return false;
    }
    const auto& steps = job->second.occurrences.at(name.occurrence).steps;
    const Task& task = steps.at(name.step).tasks.at(name.index);
    const bool ended = IsTerminal(job->second.state) || task.state == TaskState::Done;
    return std::any_of(task.runs.begin(), task.runs.end(), [&](const Run& aRun) {
      return aRun.number == aRef.run && (!ended || aRun.state == RunState::Stopping);
    });
  }

  void OnLinkUp(const std::shared_ptr<PlayedLink>& aLink)
  {
    aLink->onReport = [this](const std::shared_ptr<PlayedLink>& aFrom,
                             const WorkerReport& aReport) {
      this->Handle([=, this] {
        if (aFrom->openAtLeader) {
          this->OnReport(aFrom, aReport);
        }
      });
    };
    this->Handle([this, aLink] {
      this->links[aLink->agent] = aLink;
      aLink->upSince = this->world.time.Present();
      this->SendClaim(aLink, false);
      if (this->phase == Phase::Leading) {
        this->scheduler->OnAgentUp(AgentName(aLink->agent), this->world.time.Current());
        this->RequestPass();
      }
    });
  }

  void OnLinkClosed(const std::shared_ptr<PlayedLink>& aLink)
  {
    this->Handle([this, aLink] {
      aLink->openAtLeader = false;
      if (this->phase == Phase::Leading && this->links[aLink->agent] == aLink) {
        this->scheduler->OnAgentDown(AgentName(aLink->agent), this->world.time.Current());
      }
    });
  }

  // The process does nothing until it wakes up, and then handles what came meanwhile.
  void Freeze(Duration aTime)
  {
    this->Note("frozen");
    this->frozen = true;
    this->world.undisturbedSince = this->world.time.Present() + aTime;
    this->world.time.After(aTime, [this] {
      this->frozen = false;
      this->Note("wakes");
      for (const auto& call : std::exchange(this->inbox, {})) {
        this->Handle(call);
      }
    });
  }

  void Kill() { this->End("killed"); }

  // Stores what is pending, and releases the leadership.
  void Release()
  {
    this->Handle([this] {
      this->Note("releases");
      if (this->phase == Phase::Loading) {
        this->End("stopped");
        return;
      }
      this->releasing = true;
      this->RunPass();
    });
  }

  // Loses requests to the store, or its answers, for a while.
  void CutStore(Duration aTime, bool aAnswersOnly)
  {
    this->Note(aAnswersOnly ? "gets no answers of the store" : "does not reach the store");
    const Instant until = this->world.time.Present() + aTime;
    this->answersCutUntil = until;
    this->requestsCutUntil = aAnswersOnly ? this->requestsCutUntil : until;
    this->world.undisturbedSince = until;
  }

private:
  enum class Phase
  {
    Loading,
    Leading,
    Ended,
  };

  static std::string AgentName(std::size_t aIndex) { return "a" + std::to_string(aIndex); }

  void Note(const std::string& aText)
  {
    this->world.Note("leader " + std::to_string(this->row.record.epoch) + " " + aText);
  }

  void Handle(std::function<void()> aCall)
  {
    if (this->phase == Phase::Ended) {
      return;
    }
    if (this->frozen) {
      this->inbox.push_back(std::move(aCall));
      return;
    }
    aCall();
  }

  void After(Duration aDelay, std::function<void()> aCall)
  {
    this->world.time.After(
      aDelay, [this, call = std::move(aCall)]() mutable { this->Handle(std::move(call)); });
  }

  void End(const std::string& aReason)
  {
    this->Note(aReason);
    this->phase = Phase::Ended;
    this->inFlight.reset();
    this->refused.reset();
    this->inbox.clear();
  }

  void SendClaim(const std::shared_ptr<PlayedLink>& aLink, bool aRepeated)
  {
    aLink->knowsRenewal = this->renewedAt > aLink->upSince;
    const LeaderClaim claim{ this->LeaderEpoch(), aLink->knowsRenewal, aRepeated };
    aLink->toAgent.Deliver(
      this->world, [this, aLink, claim] { this->agents[aLink->agent]->OnClaim(aLink, claim); });
  }

  void RepeatRenewedClaims()
  {
    for (const auto& [agent, link] : this->links) {
      if (link->openAtLeader && !link->knowsRenewal && this->renewedAt > link->upSince) {
        this->SendClaim(link, true);
      }
    }
  }

  void OnReport(const std::shared_ptr<PlayedLink>& aLink, const WorkerReport& aReport)
  {
    if (aReport.epoch != this->LeaderEpoch() || this->releasing) {
      return;
    }
    aLink->knowsRenewal = true;
    const Instant now = this->world.time.Present();
    if (now - this->renewedAt < SchedulerSettings{}.storeOutageTolerance) {
      aLink->toAgent.Deliver(
        this->world,
        [this,
         aLink,
         extension = LeaseExtension{ aReport.epoch,
                                     aReport.sequence,
                                     {},
                                     this->evacuated.contains(aReport.worker.dataCentre) }] {
          if (aLink->openAtAgent) {
            this->agents[aLink->agent]->OnExtension(aLink, extension);
          }
        });
    }
    if (this->phase == Phase::Loading) {
      this->scheduler->OnReportWhileLoading(aReport, this->world.time.Current());
    } else if (this->phase == Phase::Leading) {
      this->scheduler->OnReport(AgentName(aLink->agent), aReport, this->world.time.Current());
      this->RequestPass();
    }
  }

  void Tick()
  {
    this->After(kPlayedTick, [this] {
      this->Tick();
      this->RunPass();
      this->RemoveRows();
    });
  }

  void RequestPass()
  {
    if (!std::exchange(this->passPending, true)) {
      this->After(kPlayedBatchDelay, [this] {
        this->passPending = false;
        this->RunPass();
      });
    }
  }

  void RunPass()
  {
    const bool leads = this->phase == Phase::Leading;
    if (leads && !this->releasing) {
      this->scheduler->Decide(this->world.time.Current());
      this->SendOrders();
    }
    if (this->inFlight != nullptr) {
      return;
    }
    StoreBatch batch = leads ? this->scheduler->TakeBatch(this->world.batchRows) : StoreBatch{};
    this->row.record.released = leads && this->releasing && !this->scheduler->HasChanges();
    const bool renewalDue = this->world.time.Present() - this->renewedAt >= kPlayedTick;
    if (!batch.empty() || renewalDue || this->row.record.released) {
      this->SendBatch(std::move(batch));
    }
  }

  void SendBatch(StoreBatch aBatch)
  {
    ++this->row.record.renewal;
    const Instant leasesExpiry =
      std::max(this->earlierLeasesExpiry, this->scheduler->LatestLeaseExpiry());
    this->row.record.earlierLeasesMs =
      std::max<std::int64_t>(ToMilliseconds(leasesExpiry - this->world.time.Present()), 0);
    this->inFlight = std::make_shared<PlayedTransaction>(PlayedTransaction{
      this->row.version, this->row, std::move(aBatch), this->world.time.Present() });
    this->SendTransaction(this->inFlight);
  }

  // Sends the transaction, and again if there is no answer in time.
  void SendTransaction(const std::shared_ptr<PlayedTransaction>& aTransaction)
  {
    const Instant sentAt = this->world.time.Present();
    if (sentAt >= this->requestsCutUntil) {
      this->world.time.After(this->world.StoreDelay(), [=, this] {
        const bool isAnswered = this->world.time.Present() >= this->answersCutUntil;
        if (this->world.store.Refuses(*aTransaction)) {
          if (isAnswered) {
            this->After(this->world.StoreDelay(), [=, this] { this->OnInvalid(aTransaction); });
          }
          return;
        }
        const bool isConflict = this->world.store.leader.version != aTransaction->condition;
        const auto version = this->world.store.Commit(*aTransaction);
        if (isAnswered) {
          const Instant renewedAt = isConflict ? aTransaction->startedAt : sentAt;
          this->After(this->world.StoreDelay(),
                      [=, this] { this->OnCommitted(aTransaction, version, renewedAt); });
        }
      });
    }
    this->After(kPlayedCommitTimeout, [this, aTransaction] {
      if (this->inFlight == aTransaction) {
        this->SendTransaction(aTransaction);
      }
    });
  }

  void OnCommitted(const std::shared_ptr<PlayedTransaction>& aTransaction,
                   std::optional<std::uint64_t> aVersion,
                   Instant aRenewedAt)
  {
    if (this->inFlight != aTransaction) {
      return;
    }
    const auto refusedBefore = std::exchange(this->refused, nullptr);
    const PlayedLeaderRow& stored = this->world.store.leader;
    if (!aVersion.has_value() && refusedBefore != nullptr &&
        stored.record == refusedBefore->row.record) {
      this->OnApplied(refusedBefore, stored.version, refusedBefore->startedAt);
      return;
    }
    if (!aVersion.has_value()) {
      ++this->world.refusedWrites;
      this->End("superseded");
      return;
    }
    if (refusedBefore != nullptr) {
      this->scheduler->OnRefused(std::move(refusedBefore->batch), this->world.time.Current());
    }
    this->OnApplied(aTransaction, *aVersion, aRenewedAt);
  }

  // Renews the leadership alone, which tells whether an unanswered attempt was applied.
  void OnInvalid(const std::shared_ptr<PlayedTransaction>& aTransaction)
  {
    if (this->inFlight == aTransaction) {
      ++this->world.invalidWrites;
      this->refused = aTransaction;
      this->row.record.released = false;
      this->SendBatch({});
    }
  }

  void OnApplied(const std::shared_ptr<PlayedTransaction>& aTransaction,
                 std::uint64_t aVersion,
                 Instant aRenewedAt)
  {
    this->inFlight.reset();
    this->row.record.released = aTransaction->row.record.released;
    this->row.version = aVersion;
    this->renewedAt = aRenewedAt;
    if (!this->row.record.released) {
      this->RepeatRenewedClaims();
    }
    if (this->phase != Phase::Leading) {
      return;
    }
    this->scheduler->OnStored(std::move(aTransaction->batch), this->world.time.Current());
    this->SendOrders();
    if (this->row.record.released) {
      this->End("released");
    } else if (this->scheduler->HasChanges()) {
      this->RequestPass();
    }
  }

  void SendOrders()
  {
    for (auto& [name, orders] : this->scheduler->TakeOrders()) {
      const auto link = this->links.find(std::stoul(name.substr(1)));
      if (link == this->links.end() || !link->second->openAtLeader) {
        this->scheduler->OnOrdersLost(name);
        continue;
      }
      const std::shared_ptr<PlayedLink>& to = link->second;
      to->toAgent.Deliver(this->world, [this, to, sent = std::move(orders)] {
        if (to->openAtAgent) {
          this->agents[to->agent]->OnOrders(to, sent);
        }
      });
    }
  }

  // Removes rows unconditionally, as they are in other parts of the store.
  void RemoveRows()
  {
    if (this->phase != Phase::Leading || this->world.time.Present() < this->requestsCutUntil) {
      return;
    }
    const std::vector<RowKey> removed = this->scheduler->TakeRemovals(kPlayedBatchRows);
    this->world.time.After(this->world.StoreDelay(), [=, this] {
      for (const RowKey& key : removed) {
        this->world.store.rows.erase(key);
      }
      this->After(this->world.StoreDelay(),
                  [=, this] { this->scheduler->OnRemoved(removed, this->world.time.Current()); });
    });
  }

  // Reads the tables side by side: each is read at a time of its own.
  void Load(Duration aLoadTime)
  {
    using Rows = std::vector<std::pair<RowKey, std::string>>;
    auto loaded = std::make_shared<std::array<Rows, 3>>();
    const std::array<std::string_view, 3> tables{ kStateTable, kProgressTable, kJobsTable };
    Duration last{};
    for (std::size_t index = 0; index < tables.size(); ++index) {
      const Duration delay = aLoadTime + this->world.StoreDelay();
      last = std::max(last, delay);
      this->world.time.After(delay, [this, loaded, index, table = tables[index]] {
        for (const auto& item : this->world.store.rows) {
          if (item.first.table == table) {
            (*loaded)[index].push_back(item);
          }
        }
        if (table == kJobsTable) {
          this->watched = this->world.store.jobRows.size();
        }
      });
    }
    this->After(last + this->world.StoreDelay(), [this, loaded] {
      const Now now = this->world.time.Current();
      for (const auto& [key, value] : (*loaded)[0]) {
        this->scheduler->LoadState(key.key, value);
      }
      for (const auto& [key, value] : (*loaded)[1]) {
        this->scheduler->LoadProgress(key.key, value);
      }
      for (const auto& [key, value] : (*loaded)[2]) {
        this->scheduler->LoadJob(key.key, value, now);
      }
      this->OnLoaded(now);
    });
  }

  void OnLoaded(Now aNow)
  {
    this->Note("leads");
    this->phase = Phase::Leading;
    this->scheduler->FinishLoading(this->LeaderEpoch(), this->earlierLeasesExpiry, aNow);
    this->ReadEvacuations();
    if (this->world.readyEpoch < this->LeaderEpoch()) {
      this->world.readyEpoch = this->LeaderEpoch();
      this->world.undisturbedSince = aNow.instant;
    }
    for (const auto& [agent, link] : this->links) {
      if (link->openAtLeader) {
        this->scheduler->OnAgentUp(AgentName(agent), aNow);
        this->SendClaim(link, false);
      }
    }
    this->RequestPass();
    this->Watch();
  }

  void ReadEvacuations()
  {
    std::set<std::string> requested;
    for (const auto& [dataCentre, since] : this->world.evacuatedSince) {
      requested.insert(dataCentre);
    }
    if (requested != this->evacuated) {
      this->evacuated = requested;
      this->scheduler->SetEvacuatedDataCentres(requested);
      this->RequestPass();
    }
  }

  // Reads new rows of jobs and requests for evacuations.
  void Watch()
  {
    this->After(this->world.random.Between(5 * kMs, 60 * kMs), [this] {
      this->Watch();
      if (this->world.time.Present() < std::max(this->requestsCutUntil, this->answersCutUntil)) {
        return;
      }
      this->ReadEvacuations();
      const auto& rows = this->world.store.jobRows;
      for (; this->watched < rows.size(); ++this->watched) {
        this->scheduler->OnJobRow(
          rows[this->watched].first, rows[this->watched].second, this->world.time.Current());
        this->RequestPass();
      }
    });
  }

  PlayedWorld& world;
  std::vector<std::unique_ptr<PlayedAgent>>& agents;
  PlayedLeaderRow row;
  Instant renewedAt{};
  Instant earlierLeasesExpiry{};
  Counters counters;
  std::unique_ptr<JobScheduler> scheduler;
  Phase phase = Phase::Loading;
  bool releasing = false;
  bool frozen = false;
  bool passPending = false;
  std::vector<std::function<void()>> inbox;
  std::map<std::size_t, std::shared_ptr<PlayedLink>> links;
  std::shared_ptr<PlayedTransaction> inFlight;
  // The transaction before the one in flight, if it was refused as invalid.
  std::shared_ptr<PlayedTransaction> refused;
  Instant requestsCutUntil{};
  Instant answersCutUntil{};
  std::size_t watched = 0;
  std::set<std::string> evacuated;
};

} // namespace oriolespread::jobs
