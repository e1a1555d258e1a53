#include "EngineCore.h"

#include "FailureAnswer.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// A longer time between the due wakeup and the next event means that this process was paused. It
// is well above what scheduling costs and below the silence that makes an agent suspect.
constexpr Duration kPauseGap = std::chrono::milliseconds(500);

} // namespace

EngineCore::EngineCore(RequestEngineOptions aOptions, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
  , membership(aCounters)
  , router(this->options.dataCentre, this->options.seed)
  , ejector(aCounters)
  , gate(this->options.entry, this->options.incarnation, aCounters)
{
}

void EngineCore::Handle(Instant aNow, const RequestEvent& aEvent, RequestEffects& aEffects)
{
  this->now = aNow;
  this->effects = &aEffects;
  this->DetectOwnPause();
  std::visit([this](const auto& aDetail) { this->On(aDetail); }, aEvent);
  this->RunTimers();
  this->lastHandled = aNow;
  this->effects = nullptr;
}

Instant EngineCore::NextWakeup() const
{
  const Instant demandAt = this->membership.Pools().empty() ? Instant::max() : this->nextDemand;
  const Instant drainAt =
    this->requests.empty() ? Instant::max() : this->drainUntil.value_or(Instant::max());
  return std::min({ this->timers.Next(),
                    this->membership.NextExpiry(),
                    this->gate.NextWakeup(),
                    demandAt,
                    drainAt });
}

RequestLoad EngineCore::Load() const
{
  RequestLoad load;
  for (const auto& [key, pool] : this->pools) {
    load.queued += pool.queue.size();
  }
  load.calls = this->calls.size();
  load.requests = this->requests.size();
  return load;
}

bool EngineCore::HasUpstream(const PoolKey& aPool) const
{
  const auto& members = this->membership.PoolOf(aPool);
  return std::any_of(members.begin(), members.end(), [](const UpstreamPtr& aUpstream) {
    return aUpstream->IsServing();
  });
}

bool EngineCore::IsDrained() const
{
  return this->drainUntil.has_value() && this->requests.empty() && this->gate.size() == 0;
}

void EngineCore::On(const NewRequest& aEvent)
{
  this->counters.Add("requests_total", ToString(aEvent.requestClass));
  if (this->requests.contains(aEvent.id)) {
    this->counters.Add("requests_dropped_total", "duplicate_id");
    return;
  }
  const ServicePolicy* service = this->policy.Find(aEvent.organisation, aEvent.service);
  if (const std::optional<Reason> refusal = this->Refusal(aEvent, service)) {
    this->counters.Add("requests_refused_total", ToString(*refusal));
    this->effects->emplace_back(MakeFailureResponse(aEvent.id, Outcome::NotRun, *refusal));
    return;
  }
  auto added = std::make_unique<ActiveRequest>();
  ActiveRequest& active = *added;
  active.request = aEvent;
  active.request.deadline = std::min(aEvent.deadline, this->now + service->maxDeadline);
  active.pool = PolicyTable::PoolOf(*service);
  active.idempotent = IsIdempotentMethod(aEvent.content->method);
  this->requests[aEvent.id] = std::move(added);
  ++this->requestsOf[aEvent.organisation];
  this->timers.Add({ active.request.deadline, TimerKind::Deadline, aEvent.id, {} });
  active.gated = aEvent.idempotencyKey.has_value();
  if (!active.gated) {
    this->Enqueue(active);
  } else if (!this->gate.Begin(this->now, active.request, *this->effects)) {
    this->Fail(active, Outcome::NotRun, Reason::StoreUnavailable);
  }
}

std::optional<Reason> EngineCore::Refusal(const NewRequest& aRequest, const ServicePolicy* aService)
{
  if (this->drainUntil.has_value()) {
    return Reason::Draining;
  }
  if (aService == nullptr) {
    return Reason::UnknownService;
  }
  if (aRequest.deadline <= this->now) {
    return Reason::DeadlineUnreachable;
  }
  const auto held = this->requestsOf.find(aRequest.organisation);
  if (held != this->requestsOf.end() &&
      held->second >= this->policy.Of(aRequest.organisation).requestLimit) {
    return Reason::OrganisationLimit;
  }
  if (!this->HasUpstream(PolicyTable::PoolOf(*aService))) {
    return Reason::NoUpstream;
  }
  return std::nullopt;
}

void EngineCore::Enqueue(ActiveRequest& aRequest)
{
  const OrganisationId& organisation = aRequest.request.organisation;
  ServicePool& pool = this->PoolFor(aRequest.pool);
  if (!this->HasUpstream(aRequest.pool)) {
    this->Fail(aRequest, Outcome::NotRun, Reason::NoUpstream);
    return;
  }
  if (!this->CanMeetDeadline(aRequest, pool)) {
    this->Fail(aRequest, Outcome::NotRun, Reason::DeadlineUnreachable);
    return;
  }
  const QueuedRequest queued{
    aRequest.request.id, organisation, aRequest.request.requestClass, aRequest.request.deadline
  };
  if (!pool.queue.Push(queued, this->policy.Of(organisation).queueLimit)) {
    this->Fail(aRequest, Outcome::NotRun, Reason::QueueFull);
    return;
  }
  this->Pump(PoolKey(aRequest.pool));
}

bool EngineCore::CanMeetDeadline(const ActiveRequest& aRequest, ServicePool& aPool) const
{
  std::size_t slots = 0;
  for (const UpstreamPtr& upstream : this->membership.PoolOf(aRequest.pool)) {
    slots += upstream->IsServing() ? upstream->slots : 0;
  }
  const NewRequest& request = aRequest.request;
  std::size_t ahead = aPool.queue.SizeOf(request.organisation, RequestClass::LatencyCritical);
  if (request.requestClass == RequestClass::Batch) {
    ahead += aPool.queue.SizeOf(request.organisation, RequestClass::Batch);
  }
  // A lower bound of the wait: as if all slots served this organisation alone.
  const double waitNs =
    slots == 0 ? 0.0
               : static_cast<double>(ahead) * aPool.hedges.MeanNs() / static_cast<double>(slots);
  const Duration needed = Duration(static_cast<Duration::rep>(waitNs)) + aPool.hedges.Fastest();
  return this->now + needed <= request.deadline;
}

void EngineCore::On(const LinkUp& aEvent)
{
  this->membership.LinkUp(aEvent.link, aEvent.roundTrip);
}

void EngineCore::On(const LinkRoundTrip& aEvent)
{
  this->membership.SetRoundTrip(aEvent.link, aEvent.roundTrip);
}

void EngineCore::On(const LinkDown& aEvent)
{
  const std::vector<PoolKey> touched = this->membership.LinkDown(aEvent.link);
  this->demand.LinkDown(aEvent.link);
  std::vector<CallId> lost;
  for (const auto& [id, call] : this->calls) {
    if (call.upstream->link == aEvent.link) {
      lost.push_back(id);
    }
  }
  // In order of their start, so that a run can be repeated.
  std::sort(lost.begin(), lost.end());
  for (const CallId id : lost) {
    this->On(CallUnknown{ id, Reason::LinkClosed });
  }
  this->PumpAll(touched);
}

void EngineCore::On(const LinkMessageReceived& aEvent)
{
  const LinkId link = aEvent.link;
  const auto apply = [&](const auto& aMessage) -> std::vector<PoolKey> {
    if constexpr (requires { this->membership.Apply(this->now, link, aMessage); }) {
      return this->membership.Apply(this->now, link, aMessage);
    } else {
      return this->membership.Apply(link, aMessage);
    }
  };
  this->PumpAll(std::visit(apply, aEvent.message));
}

void EngineCore::On(const TransactionDone& aEvent)
{
  GateVerdicts verdicts;
  this->gate.OnTransaction(this->now, aEvent, *this->effects, verdicts);
  this->Take(verdicts);
}

void EngineCore::On(const FateDone& aEvent)
{
  GateVerdicts verdicts;
  this->gate.OnFate(this->now, aEvent, *this->effects, verdicts);
  this->Take(verdicts);
}

void EngineCore::On(const RowScanDone& aEvent)
{
  GateVerdicts verdicts;
  this->gate.OnScan(aEvent, *this->effects, verdicts);
  this->Take(verdicts);
}

void EngineCore::Take(const GateVerdicts& aVerdicts)
{
  for (const GateVerdict& verdict : aVerdicts) {
    ActiveRequest* active = this->Find(verdict.request);
    if (active == nullptr) {
      continue;
    }
    active->gated = false;
    switch (verdict.decision) {
      case GateDecision::Dispatch:
        this->Enqueue(*active);
        break;
      case GateDecision::Replay:
        this->Complete(*active, verdict.response);
        break;
      case GateDecision::Refuse:
        this->Fail(*active, verdict.outcome, verdict.reason);
        break;
    }
  }
}

void EngineCore::On(const PolicyChanged& aEvent)
{
  this->policy.Replace(aEvent.policy);
  for (auto& [key, pool] : this->pools) {
    pool.queue.SetWeights(this->policy.Weights());
  }
}

void EngineCore::On(const DrainRequested& aEvent)
{
  this->drainUntil = aEvent.until;
}

void EngineCore::On(const CallerDisconnected& aEvent)
{
  ActiveRequest* active = this->Find(aEvent.request);
  if (active == nullptr) {
    return;
  }
  this->counters.Add("requests_dropped_total", "caller_gone");
  const bool proved = active->calls.empty() && !active->mayHaveRun;
  this->Cancel(*active);
  this->gate.Abandon(aEvent.request, proved ? Outcome::NotRun : Outcome::Unknown, *this->effects);
  this->Erase(*active);
}

void EngineCore::On(const Tick& /*aEvent*/) {}

void EngineCore::DetectOwnPause()
{
  if (this->lastHandled == Instant::max()) {
    return;
  }
  const Instant due = std::max(this->NextWakeup(), this->lastHandled);
  if (due < this->now - kPauseGap) {
    this->counters.Add("own_pauses_total", "");
    this->membership.Forgive(this->now - due);
  }
}

void EngineCore::RunTimers()
{
  while (const std::optional<Timer> due = this->timers.PopDue(this->now)) {
    switch (due->kind) {
      case TimerKind::Deadline:
        this->OnDeadline(due->request);
        break;
      case TimerKind::SlowCall:
        this->OnSlowCall(due->call);
        break;
      case TimerKind::Pump:
        for (auto& [key, pool] : this->pools) {
          this->Pump(key);
        }
        break;
    }
  }
  this->OnSuspects(this->membership.Expire(this->now));
  this->gate.OnTick(this->now, *this->effects);
  if (this->drainUntil.has_value() && this->now >= *this->drainUntil) {
    this->EndDrain();
  }
  if (this->now >= this->nextDemand) {
    this->ReportDemand();
  }
}

void EngineCore::ReportDemand()
{
  this->nextDemand = this->now + DemandReporter::kInterval;
  for (const auto& [key, members] : this->membership.Pools()) {
    this->demand.Report(members, this->PoolFor(key).queue.size(), *this->effects);
  }
}

} // namespace oriolespread::internal
