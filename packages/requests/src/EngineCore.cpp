#include "EngineCore.h"

#include "FailureAnswer.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// A longer delay between the due wakeup and the next event means that this process was paused. The
// threshold is well above scheduling delays and below Membership::kSuspectTimeout.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

} // namespace

EngineCore::EngineCore(RequestEngineOptions aOptions, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
  , membership(aCounters)
  , router(this->options.dataCentre, this->options.seed)
  , ejector(aCounters)
  , idempotency(this->options.entry, this->options.incarnation, aCounters)
{
}

void EngineCore::Handle(Instant aNow, const RequestEvent& aEvent, RequestEffects& aEffects)
{
  this->now = aNow;
  this->effects = &aEffects;
  this->DetectProcessPause();
  std::visit([this](const auto& aDetail) { this->On(aDetail); }, aEvent);
  this->RunTimers();
  this->lastHandled = aNow;
  this->effects = nullptr;
}

Instant EngineCore::NextWakeup() const
{
  const Instant demandAt =
    this->membership.Pools().empty() ? Instant::max() : this->nextDemandReport;
  const Instant drainAt =
    this->requests.empty() ? Instant::max() : this->drainUntil.value_or(Instant::max());
  return std::min({ this->timers.NextDue(),
                    this->membership.NextExpiry(),
                    this->idempotency.NextWakeup(),
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
  return this->drainUntil.has_value() && this->requests.empty() && this->idempotency.size() == 0;
}

void EngineCore::On(const NewRequest& aEvent)
{
  this->counters.Add("requests_total", ToString(aEvent.requestClass));
  if (this->requests.contains(aEvent.id)) {
    this->counters.Add("requests_dropped_total", "duplicate_id");
    return;
  }
  const ServicePolicy* service = this->policy.Find(aEvent.organisation, aEvent.service);
  if (const std::optional<Reason> refusal = this->CheckAdmission(aEvent, service)) {
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
  ++this->requestCounts[aEvent.organisation];
  this->timers.Add({ active.request.deadline, TimerKind::Deadline, aEvent.id, {} });
  active.awaitingIdempotency = aEvent.idempotencyKey.has_value();
  if (!active.awaitingIdempotency) {
    this->Enqueue(active);
  } else if (!this->idempotency.Begin(this->now, active.request, *this->effects)) {
    this->Fail(active, Outcome::NotRun, Reason::StoreUnavailable);
  }
}

std::optional<Reason> EngineCore::CheckAdmission(const NewRequest& aRequest,
                                                 const ServicePolicy* aService)
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
  const auto count = this->requestCounts.find(aRequest.organisation);
  if (count != this->requestCounts.end() &&
      count->second >= this->policy.PolicyOf(aRequest.organisation).requestLimit) {
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
  ServicePool& pool = this->GetOrCreatePool(aRequest.pool);
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
  if (!pool.queue.Push(queued, this->policy.PolicyOf(organisation).queueLimit)) {
    this->Fail(aRequest, Outcome::NotRun, Reason::QueueFull);
    return;
  }
  this->DispatchQueued(PoolKey(aRequest.pool));
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
  // A lower bound of the waiting time, as if all slots served only this organisation.
  const double waitNs =
    slots == 0
      ? 0.0
      : static_cast<double>(ahead) * aPool.hedgePolicy.MeanLatencyNs() / static_cast<double>(slots);
  const Duration needed =
    Duration(static_cast<Duration::rep>(waitNs)) + aPool.hedgePolicy.MinLatency();
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
  const std::vector<PoolKey> affected = this->membership.LinkDown(aEvent.link);
  this->demandReporter.LinkDown(aEvent.link);
  std::vector<CallId> callsOnLink;
  for (const auto& [id, call] : this->calls) {
    if (call.upstream->link == aEvent.link) {
      callsOnLink.push_back(id);
    }
  }
  // Sorts by start order, so that runs with the same seed are reproducible.
  std::sort(callsOnLink.begin(), callsOnLink.end());
  for (const CallId id : callsOnLink) {
    this->On(CallUnknown{ id, Reason::LinkClosed });
  }
  this->DispatchAll(affected);
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
  this->DispatchAll(std::visit(apply, aEvent.message));
}

void EngineCore::On(const TransactionDone& aEvent)
{
  IdempotencyResults results;
  this->idempotency.OnTransaction(this->now, aEvent, *this->effects, results);
  this->ApplyIdempotencyResults(results);
}

void EngineCore::On(const FateDone& aEvent)
{
  IdempotencyResults results;
  this->idempotency.OnFate(this->now, aEvent, *this->effects, results);
  this->ApplyIdempotencyResults(results);
}

void EngineCore::On(const RowScanDone& aEvent)
{
  IdempotencyResults results;
  this->idempotency.OnScan(aEvent, *this->effects, results);
  this->ApplyIdempotencyResults(results);
}

void EngineCore::ApplyIdempotencyResults(const IdempotencyResults& aResults)
{
  for (const IdempotencyResult& result : aResults) {
    ActiveRequest* active = this->Find(result.request);
    if (active == nullptr) {
      continue;
    }
    active->awaitingIdempotency = false;
    switch (result.decision) {
      case IdempotencyDecision::Dispatch:
        this->Enqueue(*active);
        break;
      case IdempotencyDecision::Replay:
        this->Complete(*active, result.response);
        break;
      case IdempotencyDecision::Refuse:
        this->Fail(*active, result.outcome, result.reason);
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
  const bool provenNotRun = active->calls.empty() && !active->mayHaveRun;
  this->Cancel(*active);
  this->idempotency.Abandon(
    aEvent.request, provenNotRun ? Outcome::NotRun : Outcome::Unknown, *this->effects);
  this->Erase(*active);
}

void EngineCore::On(const Tick& /*aEvent*/) {}

void EngineCore::DetectProcessPause()
{
  if (this->lastHandled == Instant::max()) {
    return;
  }
  const Instant due = std::max(this->NextWakeup(), this->lastHandled);
  if (due < this->now - kPauseThreshold) {
    this->counters.Add("own_pauses_total", "");
    this->membership.ExtendExpiries(this->now - due);
  }
}

void EngineCore::RunTimers()
{
  while (const std::optional<Timer> due = this->timers.PopDue(this->now)) {
    switch (due->kind) {
      case TimerKind::Deadline:
        this->OnDeadline(due->request);
        break;
      case TimerKind::Hedge:
        this->OnHedgeDelay(due->call);
        break;
      case TimerKind::DispatchQueued:
        for (auto& [key, pool] : this->pools) {
          this->DispatchQueued(key);
        }
        break;
    }
  }
  this->OnSuspects(this->membership.ExpireSilentAgents(this->now));
  this->idempotency.OnTick(this->now, *this->effects);
  if (this->drainUntil.has_value() && this->now >= *this->drainUntil) {
    this->EndDrain();
  }
  if (this->now >= this->nextDemandReport) {
    this->ReportDemand();
  }
}

void EngineCore::ReportDemand()
{
  this->nextDemandReport = this->now + DemandReporter::kReportInterval;
  for (const auto& [key, members] : this->membership.Pools()) {
    this->demandReporter.Report(members, this->GetOrCreatePool(key).queue.size(), *this->effects);
  }
}

} // namespace oriolespread::internal
