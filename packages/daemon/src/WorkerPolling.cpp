// Polls the worker, reports its state to the leader, and slows down or pauses runs that disturb
// latency-critical ones.
#include "WorkerDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/jobs/SchedulerSettings.h"
#include "oriolespread/service/Log.h"

#include <algorithm>
#include <utility>

namespace oriolespread::daemon {

using platformwire::WorkerAnswer;
using platformwire::WorkerCallOutcome;

namespace {

// How much faster than the agent's clock the clock of a leader may be.
constexpr double kMaxLeaderClockRatio = 1.02;

} // namespace

void WorkerDriver::SchedulePoll(Duration aDelay)
{
  if (this->pollPending) {
    return;
  }
  this->pollTimer.expires_after(aDelay);
  this->pollTimer.async_wait([this, driver = std::weak_ptr(this->alive)](asio::error_code aError) {
    if (!aError && !driver.expired()) {
      this->PollWorker();
    }
  });
}

void WorkerDriver::PollWorker()
{
  if (this->pollPending) {
    return;
  }
  if (this->worker.id.empty()) {
    this->ProbeWorker();
    return;
  }
  this->pollPending = true;
  const Instant now = BootClock::now();
  platformwire::WorkerPoll request;
  request.fence = this->fence.Token();
  // Numbers of ends and times on the worker's clock hold for one incarnation only.
  const std::string_view uncertainty = this->IncarnationUncertainty();
  request.acknowledgedEnds = uncertainty.empty() ? this->lastAcknowledgedEnd : 0;
  if (!uncertainty.empty()) {
    this->counters.Add("polls_without_lease_total", uncertainty);
  } else if (this->workerClockMs.has_value() && this->GrantLease()) {
    request.deadlineMs = this->ToWorkerClockMs(this->grantedLeaseExpiry);
  }
  // While ends are unacknowledged, the worker answers at once, so a long poll has no effect.
  // Until the fence is confirmed, nothing is reported, so the poll asks for an immediate answer, as
  // it does if the answer tells which incarnation serves the address.
  const bool waitForEnd =
    this->unacknowledgedEnds.empty() && this->fenceConfirmed && uncertainty.empty();
  request.wait = waitForEnd ? kWorkerLongPollTime : Duration::zero();
  this->client->Poll(
    request,
    request.wait + kWorkerCallTimeout,
    [this, pollId = ++this->lastPollId, token = request.fence, now](const WorkerAnswer& aAnswer) {
      if (pollId == this->lastPollId) {
        this->OnPollAnswer(aAnswer, token, now);
      }
    });
}

void WorkerDriver::ProbeWorker()
{
  this->pollPending = true;
  platformwire::WorkerPoll request;
  request.fence = this->fence.Token();
  this->client->Poll(
    request,
    kWorkerCallTimeout,
    [this, pollId = ++this->lastPollId, token = request.fence](const WorkerAnswer& aAnswer) {
      if (pollId == this->lastPollId) {
        this->OnProbeAnswer(aAnswer, token);
      }
    });
}

void WorkerDriver::OnProbeAnswer(const WorkerAnswer& aAnswer, FencingToken aToken)
{
  this->pollPending = false;
  // Scheduled first, so that polling continues if the handling of the answer throws.
  this->SchedulePoll(kWorkerRetryDelay);
  if (aAnswer.end == WorkerCallOutcome::Fenced) {
    this->OnPollFenced(aToken);
  }
  const Instant now = BootClock::now();
  this->refusesConnections = aAnswer.end == WorkerCallOutcome::Refused;
  if (!this->refusesConnections && aAnswer.end != WorkerCallOutcome::Unknown) {
    this->lastAnswerAt = now;
  }
  // This process grants no lease to a worker that it does not know.
  const bool isLost =
    now > this->allLeasesExpiredAt && now - this->lastAnswerAt >= kMaxWorkerSilence;
  if (isLost && !this->workerLost) {
    Log(LogLevel::Warning,
        "worker_absent",
        { { "reason", std::string(this->refusesConnections ? "refused" : "lease_lapsed") } });
  }
  this->workerLost = isLost;
  if (isLost && now - this->lastPeriodicReportAt >= kFullReportInterval) {
    this->lastPeriodicReportAt = now;
    this->ReportState(false, {});
  }
}

void WorkerDriver::OnPollFenced(FencingToken aToken)
{
  this->counters.Add("looks_fenced_total", "worker");
  if (aToken == this->fence.Token()) {
    this->fence.RaiseAfterRefusal();
    this->OnTokenChanged();
  }
}

void WorkerDriver::OnPollAnswer(const WorkerAnswer& aAnswer, FencingToken aToken, Instant aSentAt)
{
  this->pollPending = false;
  // Scheduled first, so that polling continues if the handling of the answer throws. While answers
  // are lost, the worker gets no lease before the next one, so a late poll is repeated at once.
  this->SchedulePoll(aAnswer.end == WorkerCallOutcome::Done ? kWorkerRetryDelay
                                                            : RetryDelay(aSentAt));
  const Instant now = BootClock::now();
  if (aAnswer.end != WorkerCallOutcome::Done) {
    const bool isRefusal =
      aAnswer.end == WorkerCallOutcome::Rejected || aAnswer.end == WorkerCallOutcome::Fenced;
    if (aAnswer.born != 0 && aAnswer.born == this->worker.born) {
      this->incarnationConfirmedAt = std::max(this->incarnationConfirmedAt, aSentAt);
    } else if (!isRefusal || this->IsOfOtherIncarnation(aAnswer, aSentAt)) {
      // A refusal without a start time does not tell of another process.
      this->incarnationConfirmedAt = {};
    }
    if (aAnswer.end == WorkerCallOutcome::OtherInstance && this->ConfirmIncarnation(aAnswer)) {
      return;
    }
    if (aAnswer.end == WorkerCallOutcome::Fenced) {
      this->OnPollFenced(aToken);
    }
    this->OnPollFailed(aAnswer);
    return;
  }
  if (this->IsOfOtherIncarnation(aAnswer, aSentAt)) {
    if (this->ConfirmIncarnation(aAnswer)) {
      return;
    }
    // The answer is from another incarnation than the heartbeats. Waits for a heartbeat from that
    // incarnation. Until then, the worker counts as silent.
    this->counters.Add("looks_of_other_life_total", "worker");
    this->OnOtherIncarnation("poll", aAnswer);
    this->StopUnreportedRuns(aAnswer.running, aAnswer.born);
    if (now > this->allLeasesExpiredAt) {
      this->OnPollFailed(aAnswer);
    }
    return;
  }
  if (aAnswer.born == this->worker.born) {
    // The incarnation of the last accepted heartbeat has answered a poll that was sent later.
    this->unconfirmedHeartbeat.reset();
    this->otherIncarnationAnswered = false;
    this->incarnationAnswered = true;
  }
  this->incarnationConfirmedAt = std::max(this->incarnationConfirmedAt, aSentAt);
  this->lastAnswerAt = now;
  this->refusesConnections = false;
  this->workerLost = false;
  if (aAnswer.clockMs.has_value()) {
    this->workerClockMs = aAnswer.clockMs;
    this->workerClockReadAt = now;
    // No earlier process of the agent can have reported a worker that started after this one.
    this->hasSeenRestart =
      this->hasSeenRestart || this->HasStartedAfterThisProcess(*aAnswer.clockMs, aSentAt);
  }
  if (aToken == this->fence.Token()) {
    if (!std::exchange(this->tokenAccepted, true)) {
      // The worker may have carried out a call of an earlier agent, or to its earlier incarnation,
      // until now, and taken its deadline for the longest lease.
      this->allLeasesExpiredAt =
        std::max(this->allLeasesExpiredAt, now + LongestLeaseOnAgentClock(this->maxWorkerLease));
    }
    this->fenceConfirmed = true;
    this->fence.OnAccepted();
  }
  this->running = aAnswer.running;
  this->StopUnreportedRuns(this->running, this->worker.born);
  bool hasNewEnds = false;
  if (!aAnswer.ended.empty()) {
    // Ends before the first listed one were acknowledged by an earlier agent process.
    this->lastAcknowledgedEnd =
      std::max(this->lastAcknowledgedEnd, aAnswer.ended.front().number - 1);
  }
  for (const EndedRun& end : aAnswer.ended) {
    if (end.number > this->lastAcknowledgedEnd &&
        this->unacknowledgedEnds.emplace(end.number, end).second) {
      this->trackedRuns.erase(end.ref);
      hasNewEnds = true;
    }
  }
  // Nothing can be told to the leader about an end that is not readable, so it counts as
  // acknowledged. Otherwise it would keep all later ends on the worker.
  for (const std::uint64_t number : aAnswer.unreadableEnds) {
    if (number > this->lastAcknowledgedEnd) {
      this->acknowledgedEnds.insert(number);
    }
  }
  this->AdvanceAcknowledgedEnds();
  for (const RunningRun& run : this->running) {
    // An earlier start without an answer was carried out.
    if (const auto it = this->trackedRuns.find(run.ref);
        it != this->trackedRuns.end() && it->second.suspended) {
      it->second.starting = false;
      it->second.suspended = false;
      it->second.confirmedAt = now;
    }
  }
  // A run that is not listed may be one of the entries that are not readable, or may have an end
  // that the worker has not listed yet.
  const bool listsAllRuns = aAnswer.unreadableRunning == 0 && !aAnswer.mayHaveMoreEnds;
  if (listsAllRuns) {
    this->ReportRejectedRuns(aSentAt);
    std::erase_if(this->trackedRuns, [&](const auto& aTracked) {
      const TrackedRun& tracked = aTracked.second;
      const bool isPending = tracked.starting || (tracked.stopping && !tracked.stopConfirmed);
      return !this->IsRunning(aTracked.first) && !isPending && tracked.confirmedAt < aSentAt;
    });
  }
  this->PaceRuns(now);
  const bool reportDue = now - this->lastPeriodicReportAt >= kFullReportInterval;
  if (reportDue && !listsAllRuns) {
    this->lastPeriodicReportAt = now;
    // The leader may have left an end unacknowledged until it is reported again.
    this->reportedEnds.clear();
  }
  if (hasNewEnds || reportDue) {
    this->ReportState(reportDue && listsAllRuns, aSentAt);
  }
  if (this->epoch == Epoch{}) {
    // No leader needs the state yet, and these polls are answered at once. The next one is
    // scheduled above.
    return;
  }
  // The worker answers at once while it lists ends, so the next poll has to be delayed.
  const bool hasEnds = !this->unacknowledgedEnds.empty() || !aAnswer.unreadableEnds.empty() ||
                       aAnswer.unnumberedEnds > 0;
  this->SchedulePoll(hasEnds || !this->IncarnationUncertainty().empty() ? kMinWorkerPollInterval
                                                                        : Duration::zero());
}

bool WorkerDriver::HasStartedAfterThisProcess(std::int64_t aClockMs, Instant aSentAt) const
{
  const auto longestAge = std::chrono::duration_cast<Duration>(std::chrono::milliseconds(aClockMs) *
                                                               kMaxWorkerClockRatio);
  return longestAge + kWorkerClockMargin < aSentAt - this->createdAt;
}

std::string_view WorkerDriver::UnreportedReason() const
{
  // Reports of an earlier process of the agent may name the first incarnation that answers this
  // one.
  if (this->otherIncarnationAnswered) {
    return this->hasSeenRestart || this->incarnationAnswered ? "other_incarnation" : "";
  }
  return this->hasSeenRestart && !this->incarnationReported ? "worker_restarted" : "";
}

bool WorkerDriver::MayBeReplacedSoon() const
{
  if (!this->lastAnsweredReportAt.has_value()) {
    return true;
  }
  jobs::SchedulerSettings leader;
  leader.workerLease = this->requestedLease;
  const auto replacement =
    std::chrono::duration_cast<Duration>(leader.LeaseBound() / kMaxLeaderClockRatio);
  return BootClock::now() - *this->lastAnsweredReportAt >= replacement - kListedRunStopTime;
}

void WorkerDriver::StopUnreportedRuns(const std::vector<RunningRun>& aRunning, std::int64_t aBorn)
{
  const std::string_view reason = this->UnreportedReason();
  if (aRunning.empty() || reason.empty() || !this->MayBeReplacedSoon()) {
    return;
  }
  const std::int64_t silentMs = this->lastAnsweredReportAt.has_value()
                                  ? ToMilliseconds(BootClock::now() - *this->lastAnsweredReportAt)
                                  : -1;
  for (const RunningRun& run : aRunning) {
    const auto tracked = this->trackedRuns.find(run.ref);
    if (tracked != this->trackedRuns.end() && tracked->second.stopping) {
      continue;
    }
    this->counters.Add("runs_stopped_unreported_total", reason);
    Log(LogLevel::Warning,
        "run_unreported",
        { { "task", run.ref.task },
          { "run", run.ref.run },
          { "worker", this->worker.id },
          { "born", aBorn },
          { "reason", std::string(reason) },
          { "silent_ms", silentMs } });
    this->StopRun(run.ref);
  }
}

// A run that began before its stop arrived is running or has ended, and its end is reported.
void WorkerDriver::ReportRejectedRuns(Instant aPollSentAt)
{
  std::vector<std::pair<RunRef, std::string>> rejections;
  for (const auto& [ref, tracked] : this->trackedRuns) {
    if (tracked.rejection.has_value() && tracked.stopConfirmed &&
        tracked.confirmedAt < aPollSentAt && !this->IsRunning(ref)) {
      rejections.emplace_back(ref, *tracked.rejection);
    }
  }
  for (const auto& [ref, reason] : rejections) {
    this->RejectRun(ref, reason);
  }
}

void WorkerDriver::OnPollFailed(const WorkerAnswer& aAnswer)
{
  const Instant now = BootClock::now();
  // A refused connection does not prove that the worker's process has ended: its runs may go on
  // until their lease expires. A new incarnation announces itself by its heartbeats.
  this->refusesConnections = aAnswer.end == WorkerCallOutcome::Refused;
  if (now > this->allLeasesExpiredAt && !this->workerLost) {
    this->workerLost = true;
    std::vector<RunRef> mayStart;
    for (const auto& [ref, tracked] : this->trackedRuns) {
      if ((tracked.starting && tracked.openStarts > 0) ||
          (tracked.stopping && !tracked.stopConfirmed)) {
        mayStart.push_back(ref);
      }
    }
    this->trackedRuns.clear();
    this->running.clear();
    this->SupersedeStarts();
    Log(LogLevel::Warning,
        "worker_lost",
        { { "worker", this->worker.id },
          { "born", this->worker.born },
          { "reason", this->refusesConnections ? "refused" : "lease_lapsed" },
          { "silent_ms", ToMilliseconds(now - this->lastAnswerAt) } });
    for (const RunRef& ref : mayStart) {
      this->counters.Add("runs_barred_total", "worker_lost");
      this->StopRun(ref);
    }
    this->ReportState(false, {});
  } else if (now - this->lastPeriodicReportAt >= kFullReportInterval) {
    // Reports regularly while the worker is silent; not a full report, as its runs are not known.
    this->lastPeriodicReportAt = now;
    this->ReportState(false, {});
  }
}

void WorkerDriver::ReportState(bool aFull, Instant aPollSentAt)
{
  // A loss needs no fence: no run is left that an order of the earlier leader could affect, and
  // starts that may still be carried out are stopped with the current token.
  const bool isFenced = this->fenceConfirmed || this->workerLost;
  if (!this->leaderLinked || !isFenced) {
    return;
  }
  // The first report of an incarnation makes the leader start the runs of the earlier one
  // elsewhere.
  if (this->MayRunBarredRuns()) {
    return;
  }
  WorkerReport report;
  report.allLost = this->workerLost;
  report.full = aFull;
  if (aFull) {
    this->lastPeriodicReportAt = BootClock::now();
    report.running = this->running;
    for (const auto& [ref, tracked] : this->trackedRuns) {
      if (tracked.starting || (tracked.stopping && !tracked.stopConfirmed) ||
          tracked.confirmedAt >= aPollSentAt) {
        report.starting.push_back(ref);
      }
    }
    for (const RunningRun& run : this->running) {
      if (!this->trackedRuns.contains(run.ref)) {
        report.undescribed.push_back(run.ref);
      }
    }
  }
  for (const auto& [number, end] : this->unacknowledgedEnds) {
    if (this->reportedEnds.insert(number).second || aFull || this->workerLost) {
      report.ended.push_back(end);
    }
  }
  report.rejected = std::exchange(this->rejected, {});
  this->SendReport(std::move(report));
}

std::vector<OpenStart> WorkerDriver::ListOpenStarts(Instant aNow)
{
  std::vector<OpenStart> listed;
  for (const cluster::OpenStarts::Entry& open : this->openStarts.List(aNow)) {
    const auto tracked = this->trackedRuns.find(open.ref);
    const bool isStarting =
      tracked != this->trackedRuns.end() && tracked->second.starting && !tracked->second.stopping;
    if (!open.isAnswerAwaited || !isStarting) {
      listed.push_back({ open.ref, ToMilliseconds(open.until - aNow) });
    }
  }
  return listed;
}

void WorkerDriver::SendReport(WorkerReport aReport)
{
  aReport.epoch = this->epoch;
  aReport.sequence = ++this->sequence;
  aReport.lastOrders = this->lastOrders;
  aReport.worker = this->worker;
  const Instant now = BootClock::now();
  // An extension counts from the time its report was sent, so one for an older report is of no use.
  while (!this->reportSentTimes.empty() &&
         this->reportSentTimes.begin()->second + this->requestedLease <= now) {
    this->reportSentTimes.erase(this->reportSentTimes.begin());
  }
  this->reportSentTimes[aReport.sequence] = now;
  aReport.openStarts = this->ListOpenStarts(now);
  aReport.leasesEndInMs = std::max<std::int64_t>(ToMilliseconds(this->allLeasesExpiredAt - now), 0);
  if (aReport.allLost) {
    // The leader gives up the runs of this incarnation, and does not expect later ones.
    this->lastEarlierReport = aReport.sequence;
    this->incarnationReported = false;
    this->unansweredLossReport = aReport.sequence;
  }
  this->sendToLeader(aReport);
}

void WorkerDriver::PaceRuns(Instant aNow)
{
  std::vector<cluster::PacedRun> runs;
  for (const RunningRun& run : this->running) {
    const auto tracked = this->trackedRuns.find(run.ref);
    if (tracked == this->trackedRuns.end()) {
      continue;
    }
    const StartRun& start = tracked->second.start;
    const auto learned = this->disturbanceByImage.find(start.image);
    runs.push_back({ run.ref,
                     start.latencyTargetMs,
                     start.fillsUnused,
                     tracked->second.startedByEarlierAgent,
                     run.figure,
                     learned == this->disturbanceByImage.end() ? 0 : learned->second });
  }
  for (const cluster::PaceOrder& order : this->paceController.Update(runs, aNow)) {
    this->counters.Add("paces_total", order.percent == 0 ? "paused" : "set");
    Log(LogLevel::Info,
        "run_paced",
        { { "task", order.ref.task }, { "run", order.ref.run }, { "percent", order.percent } });
    this->client->Pace(
      order.ref,
      order.percent,
      this->fence.Token(),
      kWorkerCallTimeout,
      [this, order, id = this->incarnation, token = this->fence.Token(), aNow](
        const WorkerAnswer& aAnswer) {
        if (id != this->incarnation) {
          return;
        }
        const WorkerAnswer answer = this->CheckIncarnation("pace", aAnswer, aNow);
        if (answer.end == WorkerCallOutcome::Unknown) {
          this->paceController.OnUnanswered(order.ref, BootClock::now());
        } else if (answer.end == WorkerCallOutcome::Refused ||
                   answer.end == WorkerCallOutcome::Rejected ||
                   (answer.end == WorkerCallOutcome::Fenced && token != this->fence.Token())) {
          this->paceController.OnFailed(order.ref);
        }
      });
  }
}

} // namespace oriolespread::daemon
