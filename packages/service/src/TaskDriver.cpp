#include "oriolespread/service/TaskDriver.h"

#include <utility>

namespace oriolespread {

namespace {

constexpr std::size_t kWorkerRing = 4096;

RunnerOptions MakeOptions(const AgentSettings& aSettings, Incarnation aIncarnation)
{
  RunnerOptions options;
  options.agent = aSettings.agent.id;
  options.incarnation = aIncarnation;
  options.worker = aSettings.agent.worker;
  options.capacity = aSettings.capacity;
  options.heartbeatPeriod = aSettings.reports.heartbeatInterval;
  options.usagePeriod = aSettings.reports.usageInterval;
  // The margin covers the time between the end of a call's wait and the release of its thread.
  options.maxWorkerCallTime =
    std::max(options.maxWorkerCallTime, aSettings.worker.timeout + aSettings.worker.timeout / 10);
  return options;
}

absl::Status LeaseEnded()
{
  return absl::AbortedError("lease has ended");
}

template<typename Call>
absl::Status WithLease(Instant aLeaseUntil, Call aCall)
{
  const Duration left = aLeaseUntil - BootClock::now();
  if (left <= Duration::zero()) {
    return LeaseEnded();
  }
  return aCall(left);
}

struct Executor
{
  HttpWorker& worker;
  WorkerCallId call;

  RunnerEvent operator()(const WorkerStartCall& aCall) const
  {
    return WorkerCallResult{ this->call, WithLease(aCall.leaseUntil, [&](Duration aLease) {
                               return this->worker.Start(aCall.start, aLease);
                             }) };
  }
  RunnerEvent operator()(const WorkerRenewCall& aCall) const
  {
    return WorkerCallResult{ this->call, WithLease(aCall.leaseUntil, [&](Duration aLease) {
                               return this->worker.Renew(aCall.attempts, aLease);
                             }) };
  }
  RunnerEvent operator()(const WorkerResumeCall& aCall) const
  {
    return WorkerCallResult{ this->call, WithLease(aCall.leaseUntil, [&](Duration aLease) {
                               return this->worker.Resume(aCall.attempt, aLease);
                             }) };
  }
  RunnerEvent operator()(const WorkerPauseCall& aCall) const
  {
    return WorkerCallResult{ this->call, this->worker.Pause(aCall.attempt) };
  }
  RunnerEvent operator()(const WorkerCheckpointCall& aCall) const
  {
    return WorkerCheckpointResult{ this->call, this->worker.Checkpoint(aCall.attempt) };
  }
  RunnerEvent operator()(const WorkerThrottleCall& aCall) const
  {
    return WorkerCallResult{ this->call, this->worker.Throttle(aCall.attempt, aCall.grant) };
  }
  RunnerEvent operator()(const WorkerStopCall& aCall) const
  {
    return WorkerCallResult{ this->call, this->worker.Stop(aCall.attempt) };
  }
  RunnerEvent operator()(const WorkerForgetCall& aCall) const
  {
    return WorkerCallResult{ this->call, this->worker.Forget(aCall.attempt) };
  }
  RunnerEvent operator()(const WorkerListCall& /*aCall*/) const
  {
    return WorkerListResult{ this->call, this->worker.List() };
  }
  RunnerEvent operator()(const WorkerUsageCall& /*aCall*/) const
  {
    return WorkerUsageResult{ this->call, this->worker.Usage() };
  }
};

} // namespace

TaskDriver::TaskDriver(EventLoop& aLoop,
                       const AgentSettings& aSettings,
                       Incarnation aIncarnation,
                       Send aSend,
                       Counters& aCounters)
  : loop(aLoop)
  , send(std::move(aSend))
  , counters(aCounters)
  , runner(MakeOptions(aSettings, aIncarnation), BootClock::now(), aCounters)
  , pool(1,
         kWorkerRing,
         [address = aSettings.worker.address, timeout = aSettings.worker.timeout] {
           return HttpWorker(address, timeout);
         })
  , timer(aLoop.Context())
{
}

void TaskDriver::Handle(const RunnerEvent& aEvent)
{
  RunnerEffects effects;
  this->runner.Handle(BootClock::now(), aEvent, effects);
  for (const RunnerEffect& effect : effects) {
    if (const auto* message = std::get_if<SendToEntry>(&effect)) {
      this->send(message->entry, message->message);
    } else {
      this->Apply(std::get<WorkerCall>(effect));
    }
  }
  this->ArmTimer();
}

void TaskDriver::Apply(const WorkerCall& aCall)
{
  const bool accepted = this->pool.TryRun([this, aCall](HttpWorker& aWorker) {
    this->loop.Deliver([this, event = Execute(aWorker, aCall)] { this->Handle(event); });
  });
  if (!accepted) {
    this->counters.Add("ring_full_total", "worker");
    this->loop.Deliver([this, call = aCall.call] {
      this->Handle(WorkerCallResult{ call, absl::UnavailableError("worker ring is full") });
    });
  }
}

RunnerEvent TaskDriver::Execute(HttpWorker& aWorker, const WorkerCall& aCall)
{
  return std::visit(Executor{ aWorker, aCall.call }, aCall.body);
}

void TaskDriver::ArmTimer()
{
  const Duration wait = this->runner.NextWakeup() - BootClock::now();
  this->timer.expires_after(std::max(wait, Duration::zero()));
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Handle(RunnerTick{});
    }
  });
}

} // namespace oriolespread
