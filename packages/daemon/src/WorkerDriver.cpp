#include "WorkerDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <algorithm>

namespace oriolespread::daemon {

using platformwire::WorkerAnswer;
using platformwire::WorkerCallEnd;

namespace {

// A worker's clock may be 2% slow, and a call takes a moment to reach it.
constexpr double kWorkerClockDrift = 1.03;
constexpr Duration kLapseMargin = std::chrono::milliseconds(200);

} // namespace

absl::StatusOr<std::unique_ptr<WorkerDriver>> WorkerDriver::Create(asio::io_context& aContext,
                                                                   const std::string& aAddress,
                                                                   Duration aMaxLease,
                                                                   Counters& aCounters,
                                                                   Send aSend)
{
  auto client = platformwire::WorkerClient::Create(aContext, aAddress, aCounters);
  if (!client.ok()) {
    return client.status();
  }
  return std::unique_ptr<WorkerDriver>(
    new WorkerDriver(aContext, aMaxLease, aCounters, std::move(aSend), *std::move(client)));
}

WorkerDriver::WorkerDriver(asio::io_context& aContext,
                           Duration aMaxLease,
                           Counters& aCounters,
                           Send aSend,
                           std::unique_ptr<platformwire::WorkerClient> aClient)
  : context(aContext)
  , lease(WorkerLease(aMaxLease))
  , maxLease(aMaxLease)
  , counters(aCounters)
  , send(std::move(aSend))
  , client(std::move(aClient))
  , lookTimer(aContext)
  , pace(cluster::PaceSettings{})
{
}

void WorkerDriver::OnHeartbeat(const platformwire::WorkerHeartbeat& aBeat)
{
  const bool sameLife =
    aBeat.worker.id == this->worker.id && aBeat.worker.born == this->worker.born;
  if (!sameLife && aBeat.worker.born < this->worker.born) {
    this->counters.Add("heartbeats_ignored_total", "earlier_life");
    this->unconfirmed = aBeat;
    return;
  }
  if (sameLife && aBeat.sequence <= this->heartbeat) {
    this->counters.Add("heartbeats_ignored_total", "late");
    return;
  }
  if (!sameLife) {
    this->BeginLife(aBeat);
  }
  this->heartbeat = aBeat.sequence;
  const bool changed = aBeat.worker != this->worker;
  const bool drains = aBeat.worker.draining && !this->worker.draining;
  this->worker = aBeat.worker;
  if (drains) {
    Log(LogLevel::Info,
        "worker_draining",
        { { "worker", this->worker.id }, { "remaining_ms", this->worker.remainingMs } });
  }
  if (changed) {
    this->ReportNow(false, {});
  }
}

void WorkerDriver::BeginLife(const platformwire::WorkerHeartbeat& aBeat)
{
  Log(LogLevel::Info,
      "worker_life",
      { { "worker", aBeat.worker.id },
        { "born", aBeat.worker.born },
        { "earlier_worker", this->worker.id },
        { "earlier_born", this->worker.born } });
  ++this->life;
  this->worker = aBeat.worker;
  this->heartbeat = aBeat.sequence;
  this->unconfirmed.reset();
  this->client->SetLife(aBeat.worker.id);
  this->fenced = false;
  this->clockMs.reset();
  this->leaseUntil = {};
  this->grantedUntil = {};
  // An earlier agent beside this worker may have given it a lease of any length that it allows.
  this->lapsesAt = BootClock::now() +
                   std::chrono::duration_cast<Duration>(this->maxLease * kWorkerClockDrift) +
                   kLapseMargin;
  this->lastAnswer = BootClock::now();
  this->refusals = 0;
  this->allLost = false;
  this->known.clear();
  this->running.clear();
  this->ended.clear();
  this->reportedEnds.clear();
  this->acknowledged.clear();
  this->lastSeen = 0;
  this->rejected.clear();
  ++this->lastLook;
  this->looking = false;
  this->Look();
}

bool WorkerDriver::ConfirmLife(const WorkerAnswer& aAnswer)
{
  if (!this->unconfirmed.has_value()) {
    return false;
  }
  // A call that names the life refuses by saying that another one lives there.
  const bool confirmed = aAnswer.end == WorkerCallEnd::OtherLife
                           ? this->unconfirmed->worker.id != this->worker.id
                           : aAnswer.born == this->unconfirmed->worker.born;
  if (!confirmed) {
    return false;
  }
  this->counters.Add("lives_confirmed_total", "clock_set_back");
  const platformwire::WorkerHeartbeat beat = *std::move(this->unconfirmed);
  this->BeginLife(beat);
  return true;
}

void WorkerDriver::OnLeave(const std::string& aId)
{
  if (aId == this->worker.id) {
    this->worker.draining = true;
    this->ReportNow(false, {});
  }
}

void WorkerDriver::FollowLeader(Epoch aEpoch)
{
  this->linked = true;
  this->lastOrders = 0;
  this->reportsSent.clear();
  this->reportedEnds.clear();
  if (aEpoch > this->epoch) {
    this->epoch = aEpoch;
    this->fenced = false;
  }
  this->lastFull = {};
  // A look that waits for an end may take long, so that its answer is not waited for.
  this->looking = false;
  this->LookLater(Duration::zero());
}

void WorkerDriver::LoseLeader()
{
  this->linked = false;
}

void WorkerDriver::OnExtension(const LeaseExtension& aExtension)
{
  const auto sent = this->reportsSent.find(aExtension.sequence);
  if (aExtension.epoch != this->epoch || sent == this->reportsSent.end()) {
    return;
  }
  this->disturbance = aExtension.disturbance;
  this->leaseUntil = std::max(this->leaseUntil, sent->second + this->lease);
  this->reportsSent.erase(this->reportsSent.begin(), std::next(sent));
}

void WorkerDriver::OnOrders(const WorkerOrders& aOrders)
{
  if (aOrders.epoch != this->epoch || aOrders.born != this->worker.born) {
    this->counters.Add("orders_ignored_total",
                       aOrders.epoch != this->epoch ? "other_epoch" : "other_life");
    return;
  }
  this->lastOrders = aOrders.sequence;
  for (const std::uint64_t number : aOrders.acknowledgedEnds) {
    this->acknowledged.insert(number);
  }
  // The worker forgets ends up to a number, so only those without a gap before them count.
  while (this->acknowledged.erase(this->lastSeen + 1) > 0) {
    ++this->lastSeen;
    this->ended.erase(this->lastSeen);
    this->reportedEnds.erase(this->lastSeen);
  }
  for (const RunRef& stop : aOrders.stops) {
    this->Stop(stop);
  }
  for (const StartRun& start : aOrders.starts) {
    if (!this->known.contains(start.ref) && this->IsRunning(start.ref)) {
      // Its description only, also while the worker drains: it must not be reported as rejected.
      Known& item = this->known[start.ref];
      item.start = start;
      item.inherited = true;
      item.confirmed = BootClock::now();
      continue;
    }
    if (this->worker.draining) {
      this->Reject(start.ref, "draining");
      continue;
    }
    Known& item = this->known[start.ref];
    if (item.starting || item.stopping) {
      continue;
    }
    item = {};
    item.start = start;
    item.starting = true;
    item.ordered = BootClock::now();
    this->Start(start.ref);
  }
  if (!aOrders.acknowledgedEnds.empty()) {
    this->LookLater(Duration::zero());
  }
}

bool WorkerDriver::IsRunning(const RunRef& aRef) const
{
  return std::any_of(this->running.begin(), this->running.end(), [&](const RunningRun& aRun) {
    return aRun.ref == aRef;
  });
}

void WorkerDriver::Start(const RunRef& aRef)
{
  const auto it = this->known.find(aRef);
  if (it == this->known.end() || !it->second.starting || it->second.stopping) {
    return;
  }
  // Without a lease the deadline of the start would have passed when it reaches the worker. Without
  // a recent answer of the leader, an order to stop may wait behind the order to start.
  if (!this->fenced || !this->clockMs.has_value() || !this->HeardLately() || !this->GrantLease()) {
    this->After(kLeasePoll, [this, aRef] { this->Start(aRef); });
    return;
  }
  ++it->second.tries;
  this->client->Start(it->second.start,
                      this->epoch,
                      this->WorkerDeadline(this->grantedUntil),
                      kWorkerTimeout,
                      [this, aRef, life = this->life](const WorkerAnswer& aAnswer) {
                        if (life == this->life) {
                          this->OnStarted(aRef, aAnswer);
                        }
                      });
}

void WorkerDriver::OnStarted(const RunRef& aRef, const WorkerAnswer& aAnswer)
{
  const auto it = this->known.find(aRef);
  if (it == this->known.end() || !it->second.starting) {
    return;
  }
  switch (aAnswer.end) {
    case WorkerCallEnd::Done:
    case WorkerCallEnd::EndedBefore:
      // A run whose unanswered start was carried out may have ended by now; its end is listed.
      it->second.starting = false;
      it->second.confirmed = BootClock::now();
      this->startLatency.Add(it->second.confirmed - it->second.ordered);
      return;
    case WorkerCallEnd::Rejected:
      this->Reject(aRef, aAnswer.reason);
      return;
    case WorkerCallEnd::Fenced:
    case WorkerCallEnd::OtherLife:
      // A later leader, or a later life of the worker, makes the order void.
      this->counters.Add("starts_void_total", aAnswer.reason);
      this->known.erase(it);
      return;
    case WorkerCallEnd::Refused:
    case WorkerCallEnd::Unknown:
      break;
  }
  this->counters.Add("starts_retried_total", aAnswer.reason);
  if (it->second.stopping) {
    return;
  }
  if (it->second.tries >= kStartTries) {
    Log(LogLevel::Warning,
        "start_unanswered",
        { { "task", aRef.task }, { "run", aRef.run }, { "reason", aAnswer.reason } });
    this->Stop(aRef);
    return;
  }
  // The same run again: the worker takes it as done if it runs already.
  this->After(aAnswer.end == WorkerCallEnd::Refused ? kWorkerRetryDelay : Duration::zero(),
              [this, aRef] { this->Start(aRef); });
}

void WorkerDriver::Reject(const RunRef& aRef, const std::string& aReason)
{
  this->known.erase(aRef);
  this->rejected.push_back({ aRef, aReason });
  this->ReportNow(false, {});
}

void WorkerDriver::Stop(const RunRef& aRef)
{
  this->known[aRef].stopping = true;
  this->client->Stop(
    aRef,
    this->epoch,
    kWorkerTimeout,
    [this, aRef, life = this->life, epoch = this->epoch](const WorkerAnswer& aAnswer) {
      if (life != this->life || epoch != this->epoch) {
        return;
      }
      if (aAnswer.end == WorkerCallEnd::Unknown || aAnswer.end == WorkerCallEnd::Refused) {
        this->counters.Add("stops_retried_total", aAnswer.reason);
        this->After(kWorkerRetryDelay, [this, aRef, life] {
          if (life == this->life) {
            this->Stop(aRef);
          }
        });
        return;
      }
      // The run has been told to stop, or can never start: its absence from a look is its end.
      if (const auto it = this->known.find(aRef); it != this->known.end()) {
        it->second.starting = false;
        it->second.confirmed = BootClock::now();
      }
      this->lastFull = {};
    });
}

bool WorkerDriver::HeardLately() const
{
  // A lease counts from when the report was sent for which it was extended.
  return BootClock::now() - (this->leaseUntil - this->lease) < kOrdersFresh;
}

bool WorkerDriver::GrantLease()
{
  const Instant now = BootClock::now();
  // A worker that does not answer may still carry calls out, so that each deadline it is given
  // counts; it gets none beyond the last one until it answers.
  if (now - this->lastAnswer < kWorkerSilence) {
    this->grantedUntil = std::max(this->grantedUntil, this->leaseUntil);
  }
  if (this->grantedUntil <= now) {
    return false;
  }
  const auto left =
    std::chrono::duration_cast<Duration>((this->grantedUntil - now) * kWorkerClockDrift);
  this->lapsesAt = std::max(this->lapsesAt, now + left + kLapseMargin);
  return true;
}

std::int64_t WorkerDriver::WorkerDeadline(Instant aLocal) const
{
  return this->clockMs.value_or(0) + ToMilliseconds(aLocal - this->clockRead);
}

void WorkerDriver::After(Duration aDelay, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

} // namespace oriolespread::daemon
