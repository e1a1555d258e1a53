// How the agent looks at its worker, reports what it saw, and paces what disturbs.
#include "WorkerDriver.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

using platformwire::WorkerAnswer;
using platformwire::WorkerCallEnd;

namespace {

// Extensions for older reports are of no use.
constexpr std::size_t kReportsKept = 16;

} // namespace

void WorkerDriver::LookLater(Duration aDelay)
{
  if (this->looking) {
    return;
  }
  this->lookTimer.expires_after(aDelay);
  this->lookTimer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      this->Look();
    }
  });
}

void WorkerDriver::Look()
{
  if (this->worker.id.empty() || this->looking) {
    return;
  }
  this->looking = true;
  const Instant now = BootClock::now();
  platformwire::WorkerLook look;
  look.fence = this->epoch;
  look.acknowledgedEnds = this->lastSeen;
  if (this->clockMs.has_value() && now - this->lastAnswer < kWorkerSilence && this->GrantLease()) {
    look.deadlineMs = this->WorkerDeadline(this->grantedUntil);
  }
  // While ends wait for the leader an answer comes at once, so there is nothing to wait for.
  const bool waits = this->ended.empty() && this->fenced;
  look.wait = waits ? kLookWait : Duration::zero();
  this->client->Look(
    look,
    look.wait + kWorkerTimeout,
    [this, look = ++this->lastLook, fence = this->epoch, now](const WorkerAnswer& aAnswer) {
      if (look == this->lastLook) {
        this->OnLook(aAnswer, fence, now);
      }
    });
}

void WorkerDriver::OnLook(const WorkerAnswer& aAnswer, Epoch aFence, Instant aSent)
{
  this->looking = false;
  const Instant now = BootClock::now();
  if (aAnswer.end != WorkerCallEnd::Done) {
    if (aAnswer.end == WorkerCallEnd::OtherLife && this->ConfirmLife(aAnswer)) {
      return;
    }
    if (aAnswer.end == WorkerCallEnd::Fenced) {
      this->counters.Add("looks_fenced_total", "worker");
    }
    this->OnSilence(aAnswer);
    this->LookLater(kWorkerRetryDelay);
    return;
  }
  if (aAnswer.born != 0 && aAnswer.born != this->worker.born) {
    if (this->ConfirmLife(aAnswer)) {
      return;
    }
    // Another life than the one that sent heartbeats; its own heartbeat comes soon.
    this->counters.Add("looks_of_other_life_total", "worker");
    this->LookLater(kWorkerRetryDelay);
    return;
  }
  this->lastAnswer = now;
  this->refusals = 0;
  this->allLost = false;
  if (aAnswer.clockMs.has_value()) {
    this->clockMs = aAnswer.clockMs;
    this->clockRead = now;
  }
  this->fenced = aFence == this->epoch && this->epoch != Epoch{};
  this->running = aAnswer.running;
  bool fresh = false;
  if (!aAnswer.ended.empty()) {
    // Ends before the first one were acknowledged by an earlier agent.
    this->lastSeen = std::max(this->lastSeen, aAnswer.ended.front().number - 1);
  }
  for (const EndedRun& end : aAnswer.ended) {
    if (end.number > this->lastSeen && this->ended.emplace(end.number, end).second) {
      this->known.erase(end.ref);
      fresh = true;
    }
  }
  std::erase_if(this->known, [&](const auto& aItem) {
    return !this->IsRunning(aItem.first) && !aItem.second.starting &&
           aItem.second.confirmed < aSent;
  });
  this->Pace(now);
  const bool full = now - this->lastFull >= kReportInterval;
  if (fresh || full) {
    this->ReportNow(full, aSent);
  }
  this->LookLater(this->ended.empty() ? Duration::zero() : kLookPause);
}

void WorkerDriver::OnSilence(const WorkerAnswer& aAnswer)
{
  const Instant now = BootClock::now();
  this->refusals = aAnswer.end == WorkerCallEnd::Refused ? this->refusals + 1 : 0;
  const bool dead = this->refusals >= kRefusalsOfDeadWorker;
  if ((dead || now > this->lapsesAt) && !this->allLost) {
    this->allLost = true;
    this->known.clear();
    this->running.clear();
    Log(LogLevel::Warning,
        "worker_lost",
        { { "worker", this->worker.id },
          { "born", this->worker.born },
          { "reason", dead ? "refused" : "lease_lapsed" },
          { "silent_ms", ToMilliseconds(now - this->lastAnswer) } });
    this->ReportNow(false, {});
  } else if (now - this->lastFull >= kReportInterval) {
    this->lastFull = now;
    this->ReportNow(false, {});
  }
}

void WorkerDriver::ReportNow(bool aFull, Instant aLookSent)
{
  if (!this->linked || !this->fenced || this->worker.id.empty()) {
    return;
  }
  WorkerReport report;
  report.allLost = this->allLost;
  report.full = aFull;
  if (aFull) {
    this->lastFull = BootClock::now();
    report.running = this->running;
    for (const auto& [ref, item] : this->known) {
      if (item.starting || item.confirmed >= aLookSent) {
        report.starting.push_back(ref);
      }
    }
    for (const RunningRun& run : this->running) {
      if (!this->known.contains(run.ref)) {
        report.undescribed.push_back(run.ref);
      }
    }
  }
  for (const auto& [number, end] : this->ended) {
    if (this->reportedEnds.insert(number).second || aFull) {
      report.ended.push_back(end);
    }
  }
  report.rejected = std::exchange(this->rejected, {});
  this->SendReport(std::move(report));
}

void WorkerDriver::SendReport(WorkerReport aReport)
{
  aReport.epoch = this->epoch;
  aReport.sequence = ++this->sequence;
  aReport.lastOrders = this->lastOrders;
  aReport.worker = this->worker;
  this->reportsSent[aReport.sequence] = BootClock::now();
  if (this->reportsSent.size() > kReportsKept) {
    this->reportsSent.erase(this->reportsSent.begin());
  }
  this->send(aReport);
}

void WorkerDriver::Pace(Instant aNow)
{
  std::vector<cluster::PacedRun> runs;
  for (const RunningRun& run : this->running) {
    const auto item = this->known.find(run.ref);
    if (item == this->known.end()) {
      continue;
    }
    const StartRun& start = item->second.start;
    const auto known = this->disturbance.find(start.image);
    runs.push_back({ run.ref,
                     start.latencyTargetMs,
                     start.fillsUnused,
                     item->second.inherited,
                     run.figure,
                     known == this->disturbance.end() ? 0 : known->second });
  }
  for (const cluster::PaceOrder& order : this->pace.Update(runs, aNow)) {
    this->counters.Add("paces_total", order.percent == 0 ? "paused" : "set");
    Log(LogLevel::Info,
        "run_paced",
        { { "task", order.ref.task }, { "run", order.ref.run }, { "percent", order.percent } });
    this->client->Pace(order.ref,
                       order.percent,
                       this->epoch,
                       kWorkerTimeout,
                       [this, order, life = this->life](const WorkerAnswer& aAnswer) {
                         if (life == this->life && (aAnswer.end == WorkerCallEnd::Unknown ||
                                                    aAnswer.end == WorkerCallEnd::Refused)) {
                           this->pace.OnFailed(order.ref);
                         }
                       });
  }
}

} // namespace oriolespread::daemon
