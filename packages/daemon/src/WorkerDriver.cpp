#include "WorkerDriver.h"

#include "UnixTime.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <algorithm>

namespace oriolespread::daemon {

using platformwire::WorkerAnswer;
using platformwire::WorkerCallOutcome;

namespace {

// The time that a call takes to reach the worker, with which a lease begins.
constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(200);

} // namespace

absl::StatusOr<std::unique_ptr<WorkerDriver>> WorkerDriver::Create(asio::io_context& aContext,
                                                                   const std::string& aAddress,
                                                                   Duration aMaxWorkerLease,
                                                                   Counters& aCounters,
                                                                   SendToLeader aSend)
{
  auto client = platformwire::WorkerClient::Create(aContext, aAddress, aCounters);
  if (!client.ok()) {
    return client.status();
  }
  std::unique_ptr<WorkerDriver> driver(
    new WorkerDriver(aContext, aMaxWorkerLease, aCounters, std::move(aSend), *std::move(client)));
  driver->SchedulePoll(Duration::zero());
  return driver;
}

WorkerDriver::WorkerDriver(asio::io_context& aContext,
                           Duration aMaxWorkerLease,
                           Counters& aCounters,
                           SendToLeader aSend,
                           std::unique_ptr<platformwire::WorkerClient> aClient)
  : context(aContext)
  , requestedLease(WorkerLease(aMaxWorkerLease))
  , maxWorkerLease(aMaxWorkerLease)
  , counters(aCounters)
  , sendToLeader(std::move(aSend))
  , client(std::move(aClient))
  , pollTimer(aContext)
  , createdAt(BootClock::now())
  , fence(CurrentUnixMs())
  , allLeasesExpiredAt(this->createdAt + LongestLeaseOnAgentClock(aMaxWorkerLease))
  , openStarts(kWorkerCallTimeout, kMaxCallDelay)
  , paceController(cluster::PaceSettings{})
{
}

void WorkerDriver::OnHeartbeat(const platformwire::WorkerHeartbeat& aHeartbeat)
{
  const bool sameIncarnation =
    aHeartbeat.worker.id == this->worker.id && aHeartbeat.worker.born == this->worker.born;
  if (!sameIncarnation && !this->worker.id.empty()) {
    // A delayed heartbeat of an earlier incarnation, one that another writer has sent, or a new
    // incarnation. The worker's own answer tells.
    this->counters.Add("heartbeats_ignored_total", "unconfirmed");
    const bool isAsked = this->unconfirmedHeartbeat.has_value() &&
                         this->unconfirmedHeartbeat->worker.id == aHeartbeat.worker.id &&
                         this->unconfirmedHeartbeat->worker.born == aHeartbeat.worker.born;
    this->unconfirmedHeartbeat = aHeartbeat;
    if (!isAsked) {
      this->pollPending = false;
      this->PollWorker();
    }
    return;
  }
  if (sameIncarnation && aHeartbeat.sequence <= this->heartbeatSequence) {
    this->counters.Add("heartbeats_ignored_total", "late");
    return;
  }
  if (!sameIncarnation) {
    this->BeginIncarnation(aHeartbeat);
  }
  this->heartbeatSequence = aHeartbeat.sequence;
  const bool changed = aHeartbeat.worker != this->worker;
  const bool startsDraining = aHeartbeat.worker.draining && !this->worker.draining;
  this->worker = aHeartbeat.worker;
  if (startsDraining) {
    Log(LogLevel::Info,
        "worker_draining",
        { { "worker", this->worker.id }, { "remaining_ms", this->worker.remainingMs } });
  }
  if (changed) {
    this->ReportState(false, {});
  }
}

void WorkerDriver::BeginIncarnation(const platformwire::WorkerHeartbeat& aHeartbeat)
{
  Log(LogLevel::Info,
      "worker_life",
      { { "worker", aHeartbeat.worker.id },
        { "born", aHeartbeat.worker.born },
        { "earlier_worker", this->worker.id },
        { "earlier_born", this->worker.born },
        { "leases_ms", ToMilliseconds(LongestLeaseOnAgentClock(this->maxWorkerLease)) } });
  // A worker that restarts under its id accepts late calls to its earlier process, but has
  // forgotten which runs have ended or were stopped.
  std::set<RunRef> mayStart;
  if (aHeartbeat.worker.id != this->worker.id) {
    this->openStarts.Clear();
  } else {
    for (const cluster::OpenStarts::Entry& open : this->openStarts.List(BootClock::now())) {
      mayStart.insert(open.ref);
    }
    for (const auto& [ref, tracked] : this->trackedRuns) {
      if (tracked.openStarts > 0) {
        mayStart.insert(ref);
      }
    }
  }
  ++this->incarnation;
  this->worker = aHeartbeat.worker;
  this->heartbeatSequence = aHeartbeat.sequence;
  this->unconfirmedHeartbeat.reset();
  this->otherIncarnationAnswered = false;
  this->incarnationConfirmedAt = {};
  this->lastEarlierReport = this->sequence;
  this->incarnationReported = false;
  this->hasSeenRestart = this->hasSeenRestart || std::exchange(this->incarnationAnswered, false);
  this->client->SetExpectedInstance(aHeartbeat.worker.id);
  // Calls to the earlier incarnation that this one accepts after its first answer would start runs
  // that the leader has given up, extend leases by times of another clock, or acknowledge ends by
  // numbers of another count.
  this->fence.Raise(CurrentUnixMs());
  this->startsSent = false;
  this->fenceConfirmed = false;
  this->tokenAccepted = false;
  this->workerClockMs.reset();
  this->leaseExpiry = {};
  this->grantedLeaseExpiry = {};
  // An earlier agent of this worker may have granted it the longest lease that the worker accepts.
  this->allLeasesExpiredAt = BootClock::now() + LongestLeaseOnAgentClock(this->maxWorkerLease);
  this->lastAnswerAt = BootClock::now();
  this->refusesConnections = false;
  this->workerLost = false;
  this->trackedRuns.clear();
  this->running.clear();
  this->KeepEndsOfEarlierIncarnation();
  this->reportedEnds.clear();
  // The leader replaces the runs of the earlier incarnation once a full report lists those of the
  // new one.
  this->lastPeriodicReportAt = {};
  this->acknowledgedEnds.clear();
  this->lastAcknowledgedEnd = 0;
  this->rejected.clear();
  ++this->lastPollId;
  this->pollPending = false;
  for (const RunRef& ref : mayStart) {
    this->counters.Add("runs_barred_total", "worker_restarted");
    this->StopRun(ref);
  }
  this->barredRuns = std::move(mayStart);
  this->barredSince = BootClock::now();
  this->PollWorker();
}

Duration WorkerDriver::LongestLeaseOnAgentClock(Duration aMaxWorkerLease)
{
  return std::chrono::duration_cast<Duration>(aMaxWorkerLease * kMaxWorkerClockRatio) +
         kLeaseExpiryMargin;
}

void WorkerDriver::KeepEndsOfEarlierIncarnation()
{
  // The leader ignores other ends of runs that it has given up.
  for (const auto& [number, end] : std::exchange(this->unacknowledgedEnds, {})) {
    if (end.how == RunEnd::Done) {
      // Above all numbers of the worker's own.
      const std::uint64_t kept = platformwire::kMaxEndNumber + ++this->keptEnds;
      this->unacknowledgedEnds[kept] = { kept, end.ref, end.how, end.checkpoint };
    }
  }
}

bool WorkerDriver::MayRunBarredRuns() const
{
  if (BootClock::now() - this->barredSince > kMaxBarDelay) {
    return false;
  }
  return std::any_of(this->barredRuns.begin(), this->barredRuns.end(), [&](const RunRef& aRef) {
    const auto it = this->trackedRuns.find(aRef);
    return it != this->trackedRuns.end() && it->second.stopping && !it->second.stopConfirmed;
  });
}

bool WorkerDriver::ConfirmIncarnation(const WorkerAnswer& aAnswer)
{
  if (!this->unconfirmedHeartbeat.has_value()) {
    return false;
  }
  // A call names the worker id of its incarnation, and is refused if another id is in use.
  const bool confirmed = aAnswer.end == WorkerCallOutcome::OtherInstance
                           ? this->unconfirmedHeartbeat->worker.id != this->worker.id
                           : aAnswer.born == this->unconfirmedHeartbeat->worker.born;
  if (!confirmed) {
    return false;
  }
  this->counters.Add("lives_confirmed_total",
                     this->unconfirmedHeartbeat->worker.born < this->worker.born ? "clock_set_back"
                                                                                 : "restarted");
  const platformwire::WorkerHeartbeat heartbeat = *std::move(this->unconfirmedHeartbeat);
  this->BeginIncarnation(heartbeat);
  return true;
}

std::string_view WorkerDriver::IncarnationUncertainty() const
{
  if (this->unconfirmedHeartbeat.has_value()) {
    return "heartbeat_unconfirmed";
  }
  if (this->otherIncarnationAnswered) {
    return "other_incarnation";
  }
  return BootClock::now() - this->incarnationConfirmedAt > kMaxIncarnationConfirmationAge
           ? "no_recent_answer"
           : "";
}

bool WorkerDriver::IsOfOtherIncarnation(const WorkerAnswer& aAnswer, Instant aSentAt) const
{
  if (aAnswer.end == WorkerCallOutcome::OtherInstance) {
    // Answered by a worker with another id, which has not seen the call.
    return false;
  }
  if (aAnswer.born != 0) {
    return aAnswer.born != this->worker.born;
  }
  if (!aAnswer.clockMs.has_value() || !this->workerClockMs.has_value()) {
    return false;
  }
  // The answer was given after its call was sent, and the known reading was taken before it
  // arrived. Answers may overtake each other, so the call may have been sent before that.
  const Duration elapsed = aSentAt - this->workerClockReadAt;
  const auto least = std::chrono::duration_cast<Duration>(
    elapsed * (elapsed > Duration::zero() ? 2 - kMaxWorkerClockRatio : kMaxWorkerClockRatio));
  return *aAnswer.clockMs < *this->workerClockMs + ToMilliseconds(least - kWorkerClockMargin);
}

void WorkerDriver::OnOtherIncarnation(std::string_view aCall, const WorkerAnswer& aAnswer)
{
  if (this->otherIncarnationAnswered) {
    return;
  }
  this->otherIncarnationAnswered = true;
  this->workerClockMs.reset();
  this->fence.Raise(CurrentUnixMs());
  this->startsSent = false;
  this->OnTokenChanged();
  const Instant now = BootClock::now();
  this->allLeasesExpiredAt =
    std::max(this->allLeasesExpiredAt, now + LongestLeaseOnAgentClock(this->maxWorkerLease));
  Log(LogLevel::Warning,
      "other_life_answered",
      { { "worker", this->worker.id },
        { "born", this->worker.born },
        { "other_born", aAnswer.born },
        { "call", aCall },
        { "clock_ms", aAnswer.clockMs.value_or(0) },
        { "leases_ms", ToMilliseconds(this->allLeasesExpiredAt - now) } });
  // The answer to a poll in flight has the earlier token, and may be from the known incarnation.
  ++this->lastPollId;
  this->pollPending = false;
  this->SchedulePoll(Duration::zero());
}

WorkerAnswer WorkerDriver::CheckIncarnation(std::string_view aCall,
                                            const WorkerAnswer& aAnswer,
                                            Instant aSentAt)
{
  if (aAnswer.end == WorkerCallOutcome::Refused) {
    this->incarnationConfirmedAt = {};
  }
  if (!this->IsOfOtherIncarnation(aAnswer, aSentAt)) {
    return aAnswer;
  }
  this->counters.Add("answers_of_other_life_total", aCall);
  this->OnOtherIncarnation(aCall, aAnswer);
  WorkerAnswer unknown;
  unknown.reason = "other_incarnation";
  return unknown;
}

void WorkerDriver::OnWorkerLeaving(const std::string& aId)
{
  if (aId == this->worker.id) {
    this->worker.draining = true;
    this->ReportState(false, {});
  }
}

void WorkerDriver::FollowLeader(Epoch aEpoch)
{
  this->leaderLinked = true;
  this->lastOrders = 0;
  this->reportSentTimes.clear();
  this->unansweredLossReport = 0;
  this->reportedEnds.clear();
  // The leader may have given up these runs meanwhile. It repeats the orders that still hold.
  std::erase_if(this->trackedRuns, [](const auto& aTracked) {
    const TrackedRun& tracked = aTracked.second;
    return tracked.starting && tracked.startAttempts == 0 && !tracked.stopping;
  });
  for (auto& [ref, tracked] : this->trackedRuns) {
    tracked.suspended = tracked.starting;
  }
  if (aEpoch > this->epoch) {
    this->epoch = aEpoch;
    this->fence.Raise(CurrentUnixMs());
    this->startsSent = false;
    this->OnTokenChanged();
  }
  this->lastPeriodicReportAt = {};
  // Poll again without waiting for the answer to a long poll that may be in flight.
  this->pollPending = false;
  this->SchedulePoll(Duration::zero());
}

void WorkerDriver::OnTokenChanged()
{
  this->fenceConfirmed = false;
  // The worker refuses orders with the earlier token as soon as it has seen the new one.
  for (const auto& [ref, tracked] : this->trackedRuns) {
    if (tracked.stopping && !tracked.stopConfirmed) {
      this->SendStop(ref);
    }
  }
}

void WorkerDriver::OnLeaderLost()
{
  this->leaderLinked = false;
}

void WorkerDriver::OnLeaseExtension(const LeaseExtension& aExtension)
{
  const auto sent = this->reportSentTimes.find(aExtension.sequence);
  if (aExtension.epoch != this->epoch || sent == this->reportSentTimes.end()) {
    return;
  }
  if (aExtension.sequence >= this->unansweredLossReport) {
    this->unansweredLossReport = 0;
  }
  this->disturbanceByImage = aExtension.disturbance;
  const Instant earlierExpiry = this->leaseExpiry;
  this->leaseExpiry = std::max(this->leaseExpiry, sent->second + this->requestedLease);
  this->lastAnsweredReportAt =
    std::max(this->lastAnsweredReportAt.value_or(sent->second), sent->second);
  this->incarnationReported =
    this->incarnationReported || aExtension.sequence > this->lastEarlierReport;
  this->reportSentTimes.erase(this->reportSentTimes.begin(), std::next(sent));
  if (earlierExpiry <= BootClock::now()) {
    this->SupersedeStarts();
    this->GiveUpStartsOrderedBefore(earlierExpiry);
  }
  if (aExtension.evacuated != std::exchange(this->evacuated, aExtension.evacuated)) {
    Log(LogLevel::Info, "evacuation_told", { { "evacuated", this->evacuated } });
  }
  if (this->evacuated) {
    this->RejectUnconfirmedStarts();
  }
}

void WorkerDriver::SupersedeStarts()
{
  if (!this->startsSent) {
    return;
  }
  this->startsSent = false;
  this->fence.Raise(CurrentUnixMs());
  this->OnTokenChanged();
  // Polls without waiting for the answer to a long poll with the earlier token.
  this->pollPending = false;
  this->SchedulePoll(Duration::zero());
}

bool WorkerDriver::HasRecentLeaderResponse() const
{
  // A lease starts when the report was sent that the leader answered with the extension.
  return BootClock::now() - (this->leaseExpiry - this->requestedLease) < kMaxLeaderResponseAge;
}

bool WorkerDriver::MayPrecedeLoss() const
{
  return this->workerLost || this->unansweredLossReport > 0;
}

bool WorkerDriver::GrantLease()
{
  const Instant now = BootClock::now();
  this->grantedLeaseExpiry = std::max(this->grantedLeaseExpiry, this->leaseExpiry);
  if (this->grantedLeaseExpiry <= now) {
    return false;
  }
  const auto remaining =
    std::chrono::duration_cast<Duration>((this->grantedLeaseExpiry - now) * kMaxWorkerClockRatio);
  // The worker may carry out a call that it does not answer, so every deadline that is sent counts.
  this->allLeasesExpiredAt =
    std::max(this->allLeasesExpiredAt, now + remaining + kLeaseExpiryMargin);
  return true;
}

std::int64_t WorkerDriver::ToWorkerClockMs(Instant aLocalTime) const
{
  return this->workerClockMs.value_or(0) + ToMilliseconds(aLocalTime - this->workerClockReadAt);
}

Duration WorkerDriver::RetryDelay(Instant aSentAt)
{
  return std::max(aSentAt + kWorkerRetryDelay - BootClock::now(), Duration::zero());
}

void WorkerDriver::CallAfter(Duration aDelay, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait(
    [timer, call = std::move(aCall), driver = std::weak_ptr(this->alive)](asio::error_code aError) {
      if (!aError && !driver.expired()) {
        call();
      }
    });
}

} // namespace oriolespread::daemon
