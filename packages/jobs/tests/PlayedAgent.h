// Plays the agent of a worker. It follows WorkerDriver, reduced to what decides whether a task runs
// twice. Its worker answers each call; calls without an answer are part of the tests of
// WorkerDriver.
#pragma once

#include "PlayedWorld.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread::jobs {

class PlayedAgent
{
public:
  PlayedAgent(PlayedWorld& aWorld, std::size_t aIndex)
    : world(aWorld)
    , index(aIndex)
  {
    this->Poll();
  }

  // Begins a new process, which knows nothing. Calls of the earlier one may still be carried out.
  void Restart()
  {
    ++this->life;
    this->epoch = {};
    this->link.reset();
    this->fenceConfirmed = false;
    this->sequence = 0;
    this->BeginIncarnation(0);
    this->Poll();
  }

  void OnClaim(const std::shared_ptr<PlayedLink>& aLink, Epoch aEpoch)
  {
    if (!aLink->openAtAgent || aEpoch < this->epoch) {
      return;
    }
    this->link = aLink;
    this->linkedSince = this->world.time.Present();
    this->lastOrders = 0;
    this->reportSentTimes.clear();
    this->unansweredLossReport = 0;
    this->reportedEnds.clear();
    std::erase_if(this->tracked, [](const auto& aItem) {
      return aItem.second.starting && aItem.second.attempts == 0 && !aItem.second.stopping;
    });
    for (auto& [ref, item] : this->tracked) {
      item.suspended = item.starting;
    }
    if (aEpoch > this->epoch) {
      this->world.Note(this->Name() + " follows " + std::to_string(aEpoch.Value()));
      this->epoch = aEpoch;
      this->fenceConfirmed = false;
      this->RepeatStops();
    }
    this->lastFullReport = {};
    this->After(this->world.random.Between(kMs, 20 * kMs), [this] { this->PollOnce(); });
  }

  void OnLinkClosed(const std::shared_ptr<PlayedLink>& aLink)
  {
    aLink->openAtAgent = false;
    if (this->link == aLink) {
      this->link.reset();
    }
  }

  void OnExtension(const std::shared_ptr<PlayedLink>& aLink, const LeaseExtension& aExtension)
  {
    const auto sent = this->reportSentTimes.find(aExtension.sequence);
    if (aLink != this->link || aExtension.epoch != this->epoch ||
        sent == this->reportSentTimes.end()) {
      return;
    }
    if (aExtension.sequence >= this->unansweredLossReport) {
      this->unansweredLossReport = 0;
    }
    const Instant earlierExpiry = this->leaseExpiry;
    this->leaseExpiry = std::max(this->leaseExpiry, sent->second + kPlayedLease);
    this->reportSentTimes.erase(this->reportSentTimes.begin(), std::next(sent));
    if (earlierExpiry <= this->world.time.Present()) {
      this->GiveUpStartsOrderedBefore(earlierExpiry);
    }
  }

  void OnOrders(const std::shared_ptr<PlayedLink>& aLink, const WorkerOrders& aOrders)
  {
    if (aLink != this->link || aOrders.epoch != this->epoch || aOrders.born != this->born) {
      this->world.refusedOrders += aOrders.epoch < this->epoch ? 1 : 0;
      return;
    }
    this->lastOrders = aOrders.sequence;
    this->acknowledged.insert(aOrders.acknowledgedEnds.begin(), aOrders.acknowledgedEnds.end());
    for (const RunRef& ref : aOrders.stops) {
      this->StopRun(ref);
    }
    for (const StartRun& start : aOrders.starts) {
      this->OnStartOrder(start);
    }
    if (!aOrders.acknowledgedEnds.empty()) {
      this->PollOnce();
    }
  }

private:
  // An order that the worker has not confirmed.
  struct Tracked
  {
    StartRun start;
    bool starting = false;
    bool suspended = false;
    bool stopping = false;
    bool stopConfirmed = false;
    std::string rejection;
    int attempts = 0;
    int openStarts = 0;
    Instant orderedAt{};
  };

  using Answer = PlayedWorker::Answer;

  PlayedWorker& Worker() { return this->world.workers[this->index]; }
  std::string Name() const { return "a" + std::to_string(this->index); }

  // Calls after the delay unless the agent has been restarted by then.
  void After(Duration aDelay, std::function<void()> aCall)
  {
    this->world.time.After(aDelay, [this, expected = this->life, call = std::move(aCall)] {
      if (expected == this->life) {
        call();
      }
    });
  }

  // Sends an order to the worker, which carries it out within the time if it has not restarted.
  void CallWorker(Duration aMaxDelay,
                  std::function<Answer()> aOrder,
                  std::function<void(Answer)> aThen)
  {
    const Duration delay = this->world.random.Between(kMs, aMaxDelay);
    this->world.time.After(
      delay, [this, id = this->life, life = this->born, order = std::move(aOrder), aThen] {
        if (!this->Worker().up || this->Worker().state.born != life) {
          return;
        }
        this->Worker().Advance(this->world.time.Present());
        const Answer answer = order();
        this->world.time.After(this->world.random.Between(kMs, 10 * kMs), [=, this] {
          if (id == this->life && life == this->born) {
            aThen(answer);
          }
        });
      });
  }

  void Poll()
  {
    this->After(kPlayedPollInterval, [this] {
      this->PollOnce();
      this->Poll();
    });
  }

  void PollOnce()
  {
    PlayedWorker& worker = this->Worker();
    const Instant now = this->world.time.Present();
    worker.Advance(now);
    if (!worker.up) {
      this->OnRefused();
      return;
    }
    if (worker.state.born != this->born) {
      this->BeginIncarnation(worker.state.born);
    }
    if (this->epoch < worker.fence) {
      return;
    }
    this->refusals = 0;
    this->lost = false;
    worker.fence = this->epoch;
    this->fenceConfirmed = this->epoch != Epoch{};
    if (this->leaseExpiry > now) {
      worker.leaseExpiry = std::max(worker.leaseExpiry, this->leaseExpiry);
    }
    this->AcknowledgeEnds(worker);
    const bool hasNewEnds = this->ReadWorker(worker);
    const bool reportDue = now - this->lastFullReport >= kPlayedReportInterval;
    if (reportDue || hasNewEnds) {
      this->Report(reportDue);
    }
  }

  // The worker forgets all ends up to a number.
  void AcknowledgeEnds(PlayedWorker& aWorker)
  {
    while (!aWorker.ended.empty() && this->acknowledged.erase(aWorker.ended.front().number) > 0) {
      const EndedRun& end = aWorker.ended.front();
      TaskName name;
      TaskName::Parse(end.ref.task, name);
      if (end.how == RunEnd::Done && !this->world.longRunningJobs.contains(name.job)) {
        this->world.Note(this->Name() + " acknowledges the end of " + end.ref.task + " run " +
                         std::to_string(end.ref.run));
        this->world.acknowledgedDone.insert(end.ref.task);
      }
      aWorker.ended.erase(aWorker.ended.begin());
    }
  }

  // Returns whether there are ends that were not reported.
  bool ReadWorker(const PlayedWorker& aWorker)
  {
    bool hasNewEnds = false;
    for (const EndedRun& end : aWorker.ended) {
      if (!this->reportedEnds.contains(end.number)) {
        this->tracked.erase(end.ref);
        hasNewEnds = true;
      }
    }
    for (const auto& [ref, run] : aWorker.running) {
      if (const auto it = this->tracked.find(ref);
          it != this->tracked.end() && it->second.suspended) {
        it->second.starting = false;
        it->second.suspended = false;
      }
    }
    for (const auto& [ref, item] : this->tracked) {
      if (item.stopConfirmed && !item.rejection.empty()) {
        this->rejected.push_back({ ref, item.rejection });
      }
    }
    std::erase_if(this->tracked, [](const auto& aItem) {
      return !aItem.second.starting && (!aItem.second.stopping || aItem.second.stopConfirmed);
    });
    return hasNewEnds || !this->rejected.empty();
  }

  void OnRefused()
  {
    const Instant now = this->world.time.Present();
    if (++this->refusals >= kPlayedRefusalsUntilLost && !this->lost) {
      this->lost = true;
      this->tracked.clear();
      this->Report(false);
    } else if (now - this->lastFullReport >= kPlayedReportInterval) {
      this->lastFullReport = now;
      this->Report(false);
    }
  }

  void BeginIncarnation(std::int64_t aBorn)
  {
    this->born = aBorn;
    this->fenceConfirmed = false;
    this->leaseExpiry = {};
    this->refusals = 0;
    this->lost = false;
    this->tracked.clear();
    this->described.clear();
    this->rejected.clear();
    this->acknowledged.clear();
    this->reportedEnds.clear();
  }

  void Report(bool aFull)
  {
    if (this->link == nullptr || !this->fenceConfirmed) {
      return;
    }
    const PlayedWorker& worker = this->Worker();
    WorkerReport report;
    report.epoch = this->epoch;
    report.sequence = ++this->sequence;
    report.lastOrders = this->lastOrders;
    report.worker = worker.state;
    report.worker.born = this->born;
    report.full = aFull;
    report.allLost = this->lost;
    report.rejected = std::exchange(this->rejected, {});
    if (aFull) {
      this->lastFullReport = this->world.time.Present();
      this->ListRuns(worker, report);
    }
    for (const EndedRun& end : worker.ended) {
      if (this->reportedEnds.insert(end.number).second || aFull) {
        report.ended.push_back(end);
      }
    }
    this->reportSentTimes[report.sequence] = this->world.time.Present();
    if (this->lost) {
      this->unansweredLossReport = report.sequence;
    }
    this->link->toLeader.Deliver(this->world,
                                 [to = this->link, report] { to->onReport(to, report); });
  }

  void ListRuns(const PlayedWorker& aWorker, WorkerReport& aReport)
  {
    for (const auto& [ref, run] : aWorker.running) {
      const Duration elapsed = this->world.time.Present() - run.startedAt;
      const int percent =
        run.length > Duration::zero() ? static_cast<int>(99 * elapsed / run.length) : 0;
      aReport.running.push_back({ ref, "", run.stalls ? 1 : percent, 0 });
      if (!this->described.contains(ref)) {
        aReport.undescribed.push_back(ref);
      }
    }
    for (const auto& [ref, item] : this->tracked) {
      aReport.starting.push_back(ref);
    }
  }

  void OnStartOrder(const StartRun& aStart)
  {
    Tracked& item = this->tracked[aStart.ref];
    this->described.insert(aStart.ref);
    if (item.stopping || (item.starting && !item.suspended)) {
      return;
    }
    if (this->Worker().running.contains(aStart.ref)) {
      this->tracked.erase(aStart.ref);
      return;
    }
    if (!item.suspended) {
      item = {};
      item.openStarts = aStart.repeated ? 1 : 0;
    }
    item.start = aStart;
    item.starting = true;
    item.suspended = false;
    item.orderedAt = this->world.time.Present();
    if (this->Worker().state.draining) {
      this->RejectRun(aStart.ref, "draining");
    } else if (this->lost || this->unansweredLossReport > 0) {
      this->RejectRun(aStart.ref, "worker_lost");
    } else {
      this->TryStart(aStart.ref, item.orderedAt);
    }
  }

  void TryStart(const RunRef& aRef, Instant aOrderedAt)
  {
    const auto it = this->tracked.find(aRef);
    if (it == this->tracked.end() || it->second.orderedAt != aOrderedAt || !it->second.starting ||
        it->second.suspended || it->second.stopping) {
      return;
    }
    const Instant now = this->world.time.Present();
    if (!this->fenceConfirmed || this->leaseExpiry <= now ||
        now - (this->leaseExpiry - kPlayedLease) >= kPlayedResponseAge) {
      this->After(kPlayedLeaseCheck,
                  [this, aRef, aOrderedAt] { this->TryStart(aRef, aOrderedAt); });
      return;
    }
    ++it->second.openStarts;
    const bool late = now < this->Worker().lateUntil;
    this->CallWorker(
      late ? kPlayedMaxStartDelay : kPlayedMaxCallDelay,
      [this, start = it->second.start, deadline = this->leaseExpiry, token = this->epoch] {
        return this->CarryOutStart(start, deadline, token);
      },
      [this, aRef, attempt = ++it->second.attempts](Answer aAnswer) {
        this->OnStartAnswer(aRef, attempt, aAnswer);
      });
  }

  Answer CarryOutStart(const StartRun& aStart, Instant aDeadline, Epoch aToken)
  {
    PlayedRun run;
    run.startedAt = this->world.time.Present();
    run.length =
      std::stoi(aStart.payload) * this->world.random.Between(800 * kMs, 1200 * kMs) / 1000;
    // Members of a gang make progress together; a worker ends one that is alone.
    run.stalls = run.length > Duration::zero() && aStart.image != kPlayedGangImage &&
                 this->world.random.Chance(0.03);
    run.how = this->world.random.Chance(0.05) ? RunEnd::Failed : RunEnd::Done;
    const Answer answer = this->Worker().Start(aStart.ref, run, aToken, aDeadline);
    if (answer == Answer::Started) {
      const bool linked = this->link != nullptr && this->epoch == aToken;
      this->world.OnStarted(this->Worker(),
                            aStart.ref,
                            linked ? std::optional(this->linkedSince) : std::nullopt,
                            aToken);
    }
    return answer;
  }

  void OnStartAnswer(const RunRef& aRef, int aAttempt, Answer aAnswer)
  {
    const auto it = this->tracked.find(aRef);
    if (it == this->tracked.end() || !it->second.starting) {
      return;
    }
    Tracked& item = it->second;
    --item.openStarts;
    if (aAnswer == Answer::Late) {
      if (!item.stopping) {
        this->RejectRun(aRef, "late");
      }
    } else if (aAnswer == Answer::Fenced) {
      if (!item.stopping && aAttempt == item.attempts) {
        this->tracked.erase(it);
      }
    } else {
      item.starting = false;
      item.suspended = false;
    }
  }

  void GiveUpStartsOrderedBefore(Instant aTime)
  {
    std::vector<RunRef> outdated;
    for (const auto& [ref, item] : this->tracked) {
      if (item.starting && !item.stopping && item.orderedAt < aTime) {
        outdated.push_back(ref);
      }
    }
    for (const RunRef& ref : outdated) {
      this->RejectRun(ref, "lease_expired");
    }
  }

  void RejectRun(const RunRef& aRef, const std::string& aReason)
  {
    Tracked& item = this->tracked[aRef];
    if (item.openStarts > 0) {
      item.rejection = aReason;
      this->StopRun(aRef);
      return;
    }
    this->tracked.erase(aRef);
    this->rejected.push_back({ aRef, aReason });
    this->Report(false);
  }

  void StopRun(const RunRef& aRef)
  {
    if (!std::exchange(this->tracked[aRef].stopping, true)) {
      this->SendStop(aRef);
    }
  }

  void RepeatStops()
  {
    for (const auto& [ref, item] : this->tracked) {
      if (item.stopping && !item.stopConfirmed) {
        this->SendStop(ref);
      }
    }
  }

  void SendStop(const RunRef& aRef)
  {
    this->CallWorker(
      kPlayedMaxCallDelay,
      [this, aRef, token = this->epoch] {
        this->world.Note(this->Worker().state.id + " stops " + aRef.task + " run " +
                         std::to_string(aRef.run));
        return this->Worker().Stop(aRef, token);
      },
      [this, aRef](Answer aAnswer) {
        const auto it = this->tracked.find(aRef);
        if (it != this->tracked.end() && aAnswer != Answer::Fenced) {
          it->second.starting = false;
          it->second.suspended = false;
          it->second.stopConfirmed = true;
          this->lastFullReport = {};
        }
      });
  }

  PlayedWorld& world;
  std::size_t index;
  // Incremented when the agent restarts.
  std::uint64_t life = 0;
  std::int64_t born = 0;
  Epoch epoch;
  Instant linkedSince{};
  std::shared_ptr<PlayedLink> link;
  bool fenceConfirmed = false;
  bool lost = false;
  int refusals = 0;
  std::uint64_t sequence = 0;
  std::uint64_t lastOrders = 0;
  std::uint64_t unansweredLossReport = 0;
  std::map<std::uint64_t, Instant> reportSentTimes;
  Instant leaseExpiry{};
  Instant lastFullReport{};
  std::map<RunRef, Tracked> tracked;
  // Runs that the leader has described to this process of the agent.
  std::set<RunRef> described;
  std::vector<RejectedRun> rejected;
  std::set<std::uint64_t> acknowledged;
  std::set<std::uint64_t> reportedEnds;
};

} // namespace oriolespread::jobs
