// The part of WorkerDriver that carries out the leader's orders.
#include "WorkerDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <algorithm>
#include <utility>

namespace oriolespread::daemon {

using platformwire::WorkerAnswer;
using platformwire::WorkerCallOutcome;

namespace {

// Logs the answer to an order about a run. Of starts, only those that were not confirmed at once
// are logged, since most starts are.
void LogOrderAnswer(std::string_view aEvent,
                    const RunRef& aRef,
                    Epoch aEpoch,
                    int aAttempt,
                    Instant aSentAt,
                    const WorkerAnswer& aAnswer)
{
  Log(LogLevel::Info,
      aEvent,
      { { "task", aRef.task },
        { "run", aRef.run },
        { "epoch", aEpoch.Value() },
        { "attempt", aAttempt },
        { "outcome", std::string(WorkerCallOutcomeName(aAnswer.end)) },
        { "reason", aAnswer.reason },
        { "took_ms", ToMilliseconds(BootClock::now() - aSentAt) } });
}

} // namespace

void WorkerDriver::OnOrders(const WorkerOrders& aOrders)
{
  if (aOrders.epoch != this->epoch || aOrders.born != this->worker.born) {
    this->counters.Add("orders_ignored_total",
                       aOrders.epoch != this->epoch ? "other_epoch" : "other_life");
    if (aOrders.epoch == this->epoch && !this->worker.id.empty()) {
      // A worker that has restarted may still carry out the starts of these runs.
      for (const RunRef& stop : aOrders.stops) {
        this->StopRun(stop);
      }
    }
    return;
  }
  this->lastOrders = aOrders.sequence;
  for (const std::uint64_t number : aOrders.acknowledgedEnds) {
    if (number > platformwire::kMaxEndNumber) {
      this->unacknowledgedEnds.erase(number);
      this->reportedEnds.erase(number);
    } else if (number > this->lastAcknowledgedEnd) {
      this->acknowledgedEnds.insert(number);
    }
  }
  this->AdvanceAcknowledgedEnds();
  for (const RunRef& stop : aOrders.stops) {
    this->StopRun(stop);
  }
  for (const StartRun& start : aOrders.starts) {
    const bool isTracked = this->trackedRuns.contains(start.ref);
    TrackedRun& tracked = this->trackedRuns[start.ref];
    if (tracked.stopping || (tracked.starting && !tracked.suspended)) {
      continue;
    }
    // The next report tells that this order has arrived, so that the leader would take a rejection
    // of an earlier one for its fate.
    std::erase_if(this->rejected,
                  [&](const RejectedRun& aRejected) { return aRejected.ref == start.ref; });
    if (this->IsRunning(start.ref)) {
      // The order describes a run that was started by an earlier process of the agent, or by a
      // start that was not answered. It is accepted even while the worker drains, as the run must
      // not be reported as rejected.
      tracked.start = start;
      tracked.starting = false;
      tracked.suspended = false;
      tracked.startedByEarlierAgent = tracked.startedByEarlierAgent || !isTracked;
      tracked.confirmedAt = BootClock::now();
      continue;
    }
    if (!tracked.suspended) {
      tracked = {};
      tracked.openStarts = start.repeated ? 1 : 0;
      if (start.repeated) {
        this->openStarts.Assume(start.ref, BootClock::now());
      }
    }
    tracked.start = start;
    tracked.starting = true;
    tracked.suspended = false;
    tracked.orderedAt = BootClock::now();
    if (this->worker.draining) {
      this->RejectRun(start.ref, "draining");
      continue;
    }
    if (this->MayPrecedeLoss()) {
      this->RejectRun(start.ref, "worker_lost");
      continue;
    }
    this->TryStart(start.ref, tracked.orderedAt);
  }
  if (!aOrders.acknowledgedEnds.empty()) {
    this->SchedulePoll(Duration::zero());
  }
}

void WorkerDriver::AdvanceAcknowledgedEnds()
{
  while (this->acknowledgedEnds.erase(this->lastAcknowledgedEnd + 1) > 0) {
    ++this->lastAcknowledgedEnd;
    this->unacknowledgedEnds.erase(this->lastAcknowledgedEnd);
    this->reportedEnds.erase(this->lastAcknowledgedEnd);
  }
}

bool WorkerDriver::IsRunning(const RunRef& aRef) const
{
  return std::any_of(this->running.begin(), this->running.end(), [&](const RunningRun& aRun) {
    return aRun.ref == aRef;
  });
}

void WorkerDriver::TryStart(const RunRef& aRef, Instant aOrderedAt)
{
  const auto it = this->trackedRuns.find(aRef);
  if (it == this->trackedRuns.end() || it->second.orderedAt != aOrderedAt || !it->second.starting ||
      it->second.suspended || it->second.stopping) {
    return;
  }
  // Repeating the start of a run at work changes nothing.
  if (this->evacuated && !this->IsRunning(aRef)) {
    this->counters.Add("starts_void_total", kEvacuatedReason);
    this->RejectRun(aRef, kEvacuatedReason);
    return;
  }
  // The worker may have begun to drain since the start was first sent.
  if (this->worker.draining && !this->IsRunning(aRef)) {
    this->counters.Add("starts_void_total", "draining");
    this->RejectRun(aRef, "draining");
    return;
  }
  if (const std::string_view awaited = this->AwaitedForStart(); !awaited.empty()) {
    if (awaited != std::exchange(it->second.delayedBy, awaited)) {
      this->counters.Add("starts_delayed_total", awaited);
    }
    if (this->refusesConnections && it->second.openStarts == 0) {
      // Nothing was sent to the worker, and another one may start the task at once.
      this->RejectRun(aRef, "connection_refused");
      return;
    }
    // The leader may have a worker that can start the task at once.
    if (BootClock::now() - aOrderedAt >= this->requestedLease) {
      this->counters.Add("starts_void_total", awaited);
      this->RejectRun(aRef, std::string(awaited));
      return;
    }
    this->CallAfter(kLeasePollInterval,
                    [this, aRef, aOrderedAt] { this->TryStart(aRef, aOrderedAt); });
    return;
  }
  const int attempt = ++it->second.startAttempts;
  ++it->second.openStarts;
  this->openStarts.OnSent(aRef);
  this->startsSent = true;
  this->client->Start(it->second.start,
                      this->fence.Token(),
                      this->ToWorkerClockMs(this->grantedLeaseExpiry),
                      kWorkerCallTimeout,
                      [this,
                       aRef,
                       attempt,
                       epoch = this->epoch,
                       token = this->fence.Token(),
                       id = this->incarnation,
                       workerId = this->worker.id,
                       sentAt = BootClock::now()](const WorkerAnswer& aAnswer) {
                        if (attempt > 1 || aAnswer.end != WorkerCallOutcome::Done) {
                          LogOrderAnswer("start_answered", aRef, epoch, attempt, sentAt, aAnswer);
                        }
                        const WorkerAnswer answer =
                          id == this->incarnation ? this->CheckIncarnation("start", aAnswer, sentAt)
                                                  : aAnswer;
                        const bool isUnanswered =
                          answer.end == WorkerCallOutcome::Unknown && workerId == this->worker.id;
                        if (isUnanswered) {
                          this->openStarts.OnUnanswered(aRef, BootClock::now());
                        } else {
                          this->openStarts.OnAnswered(aRef);
                        }
                        if (id == this->incarnation) {
                          this->OnStartAnswer(aRef, attempt, token, sentAt, answer);
                        }
                        if (isUnanswered) {
                          // The leader has to know of the open start if this process ends.
                          this->ReportState(false, {});
                        }
                      });
}

std::string_view WorkerDriver::AwaitedForStart()
{
  if (!this->fenceConfirmed) {
    return "fence_awaited";
  }
  if (!this->workerClockMs.has_value()) {
    return "clock_awaited";
  }
  if (!this->IncarnationUncertainty().empty()) {
    return "incarnation_awaited";
  }
  // Without a recent answer from the leader, an order to stop the run may be queued behind the
  // order to start it.
  if (!this->HasRecentLeaderResponse()) {
    return "leader_awaited";
  }
  // Without a lease, the deadline of the start would have passed when it reaches the worker.
  return this->GrantLease() ? "" : "lease_awaited";
}

void WorkerDriver::RejectUnconfirmedStarts()
{
  std::vector<RunRef> unconfirmed;
  for (const auto& [ref, tracked] : this->trackedRuns) {
    // A suspended start is not repeated unless the leader orders it again.
    if (tracked.starting && !tracked.suspended && !tracked.stopping && !this->IsRunning(ref)) {
      unconfirmed.push_back(ref);
    }
  }
  for (const RunRef& ref : unconfirmed) {
    // The answer to the report of a rejection may have rejected the others.
    if (!this->trackedRuns.contains(ref)) {
      continue;
    }
    this->counters.Add("starts_void_total", kEvacuatedReason);
    this->RejectRun(ref, kEvacuatedReason);
  }
}

void WorkerDriver::GiveUpStartsOrderedBefore(Instant aTime)
{
  std::vector<RunRef> outdated;
  for (const auto& [ref, tracked] : this->trackedRuns) {
    if (tracked.starting && !tracked.stopping && tracked.orderedAt < aTime) {
      outdated.push_back(ref);
    }
  }
  for (const RunRef& ref : outdated) {
    this->counters.Add("starts_void_total", "lease_expired");
    this->RejectRun(ref, "lease_expired");
  }
}

void WorkerDriver::OnStartAnswer(const RunRef& aRef,
                                 int aAttempt,
                                 FencingToken aToken,
                                 Instant aSentAt,
                                 const WorkerAnswer& aAnswer)
{
  const auto it = this->trackedRuns.find(aRef);
  if (it == this->trackedRuns.end() || !it->second.starting) {
    return;
  }
  TrackedRun& tracked = it->second;
  tracked.openStarts -= aAnswer.end == WorkerCallOutcome::Unknown ? 0 : 1;
  switch (aAnswer.end) {
    case WorkerCallOutcome::Done:
    case WorkerCallOutcome::AlreadyEnded:
      // The worker may have carried out an earlier start that it did not answer, and the run may
      // have ended since. The next poll then lists its end.
      tracked.starting = false;
      tracked.suspended = false;
      tracked.confirmedAt = BootClock::now();
      this->startLatency.Add(tracked.confirmedAt - tracked.orderedAt);
      return;
    case WorkerCallOutcome::Rejected:
      if (!tracked.stopping) {
        this->RejectRun(aRef, aAnswer.reason);
      }
      return;
    case WorkerCallOutcome::Fenced:
      if (aToken != this->fence.Token()) {
        // Superseded by a call of this process.
        break;
      }
      [[fallthrough]];
    case WorkerCallOutcome::OtherInstance:
      // A higher token or a later incarnation of the worker makes the order void, and with it all
      // earlier attempts.
      this->counters.Add("starts_void_total", aAnswer.reason);
      if (!tracked.stopping && aAttempt == tracked.startAttempts) {
        this->trackedRuns.erase(it);
      }
      return;
    case WorkerCallOutcome::Refused:
      if (!tracked.stopping && !tracked.suspended && tracked.openStarts == 0) {
        // The worker has done nothing, and another one may start the task at once.
        this->RejectRun(aRef, "connection_refused");
        return;
      }
      break;
    case WorkerCallOutcome::Unknown:
      break;
  }
  this->counters.Add("starts_retried_total", aAnswer.reason);
  if (tracked.stopping || tracked.suspended || aAttempt != tracked.startAttempts) {
    return;
  }
  if (tracked.startAttempts >= kMaxStartAttempts) {
    Log(LogLevel::Warning,
        "start_unanswered",
        { { "task", aRef.task }, { "run", aRef.run }, { "reason", aAnswer.reason } });
    this->StopRun(aRef);
    return;
  }
  // Starts are idempotent: the worker reports success if the run is already running.
  this->CallAfter(RetryDelay(aSentAt),
                  [this, aRef, orderedAt = tracked.orderedAt] { this->TryStart(aRef, orderedAt); });
}

void WorkerDriver::RejectRun(const RunRef& aRef, const std::string& aReason)
{
  if (const auto it = this->trackedRuns.find(aRef); it != this->trackedRuns.end()) {
    if (it->second.openStarts > 0 && !it->second.stopConfirmed) {
      it->second.rejection = aReason;
      this->StopRun(aRef);
      return;
    }
    this->trackedRuns.erase(it);
  }
  this->rejected.push_back({ aRef, aReason });
  this->ReportState(false, {});
}

void WorkerDriver::StopRun(const RunRef& aRef)
{
  TrackedRun& tracked = this->trackedRuns[aRef];
  if (tracked.stopping) {
    return;
  }
  tracked.stopping = true;
  const Instant now = BootClock::now();
  if (now - this->createdAt < kMaxCallDelay) {
    // An earlier process of the agent may have sent a start of the run.
    this->openStarts.Assume(aRef, now);
  }
  this->SendStop(aRef);
}

void WorkerDriver::SendStop(const RunRef& aRef)
{
  const int attempt = ++this->trackedRuns.at(aRef).stopAttempts;
  this->client->Stop(
    aRef,
    this->fence.Token(),
    kWorkerCallTimeout,
    [this,
     aRef,
     attempt,
     epoch = this->epoch,
     token = this->fence.Token(),
     id = this->incarnation,
     sentAt = BootClock::now()](const WorkerAnswer& aAnswer) {
      LogOrderAnswer("stop_answered", aRef, epoch, attempt, sentAt, aAnswer);
      if (id == this->incarnation) {
        this->OnStopAnswer(
          aRef, attempt, token, sentAt, this->CheckIncarnation("stop", aAnswer, sentAt));
      }
    });
}

void WorkerDriver::OnStopAnswer(const RunRef& aRef,
                                int aAttempt,
                                FencingToken aToken,
                                Instant aSentAt,
                                const WorkerAnswer& aAnswer)
{
  const auto it = this->trackedRuns.find(aRef);
  if (it == this->trackedRuns.end() || !it->second.stopping || it->second.stopConfirmed) {
    return;
  }
  TrackedRun& tracked = it->second;
  switch (aAnswer.end) {
    case WorkerCallOutcome::Done:
    case WorkerCallOutcome::AlreadyEnded:
    case WorkerCallOutcome::OtherInstance:
      // The worker stops the run, or will never start it. Whether the run has begun meanwhile is
      // known from the next poll.
      tracked.starting = false;
      tracked.suspended = false;
      tracked.stopConfirmed = true;
      tracked.confirmedAt = BootClock::now();
      this->lastPeriodicReportAt = {};
      return;
    case WorkerCallOutcome::Fenced:
      this->counters.Add("stops_void_total", aAnswer.reason);
      // The worker has seen a higher token of an earlier process. The stop is sent again with the
      // next one, which a refused poll raises.
      if (aToken == this->fence.Token()) {
        return;
      }
      break;
    case WorkerCallOutcome::Rejected:
    case WorkerCallOutcome::Refused:
    case WorkerCallOutcome::Unknown:
      break;
  }
  if (aAttempt != tracked.stopAttempts) {
    return;
  }
  this->counters.Add("stops_retried_total", aAnswer.reason);
  this->CallAfter(RetryDelay(aSentAt), [this, aRef, aAttempt, id = this->incarnation] {
    const auto pending = this->trackedRuns.find(aRef);
    if (id == this->incarnation && pending != this->trackedRuns.end() && pending->second.stopping &&
        !pending->second.stopConfirmed && pending->second.stopAttempts == aAttempt) {
      this->SendStop(aRef);
    }
  });
}

} // namespace oriolespread::daemon
