#include "EngineCore.h"
#include "FailureAnswer.h"
#include "LatencyEstimate.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr int kFirstServerErrorStatus = 500;
// Assumed latency of a service before its first response.
constexpr double kDefaultLatencyNs = 10e6;

std::string_view CallKindLabel(CallKind aKind)
{
  switch (aKind) {
    case CallKind::First:
      return "first";
    case CallKind::Retry:
      return "retry";
    case CallKind::Hedge:
      break;
  }
  return "hedge";
}

// Refusals for lack of credit, while leaving or by the link do not indicate a fault of the
// upstream.
bool IsUpstreamFault(Reason aReason)
{
  return aReason != Reason::NoCredit && aReason != Reason::UpstreamLeaving &&
         aReason != Reason::StreamRefused;
}

} // namespace

ServicePool& EngineCore::GetOrCreatePool(const PoolKey& aKey)
{
  const auto [found, added] = this->pools.try_emplace(aKey);
  if (added) {
    found->second.queue.SetWeights(this->policy.Weights());
  }
  return found->second;
}

double EngineCore::PoolLatencyNs(const PoolKey& aKey)
{
  const double mean = this->GetOrCreatePool(aKey).hedgePolicy.MeanLatencyNs();
  return mean == 0.0 ? kDefaultLatencyNs : mean;
}

void EngineCore::DispatchAll(const std::vector<PoolKey>& aPools)
{
  for (const PoolKey& key : aPools) {
    this->DispatchQueued(key);
  }
}

void EngineCore::DispatchQueued(const PoolKey& aKey)
{
  ServicePool& pool = this->GetOrCreatePool(aKey);
  if (pool.queue.empty()) {
    return;
  }
  if (!this->HasUpstream(aKey)) {
    this->FailQueued(pool.queue.Clear(), Reason::NoUpstream);
    return;
  }
  const Instant earliestResponse = this->now + pool.hedgePolicy.MinLatency();
  std::vector<QueuedRequest> dropped;
  while (const QueuedRequest* next = pool.queue.Peek(earliestResponse, dropped)) {
    ActiveRequest* active = this->Find(next->id);
    const UpstreamPtr upstream = this->router.Pick(
      this->now, this->membership.PoolOf(aKey), active->triedWorkers, this->PoolLatencyNs(aKey));
    if (upstream == nullptr) {
      break;
    }
    pool.queue.Pop();
    this->Start(*active, upstream, active->attempts == 0 ? CallKind::First : CallKind::Retry);
  }
  this->FailQueued(dropped, Reason::DeadlineUnreachable);
}

void EngineCore::FailQueued(const std::vector<QueuedRequest>& aQueued, Reason aReason)
{
  for (const QueuedRequest& queued : aQueued) {
    ActiveRequest& active = *this->Find(queued.id);
    // A request that is queued for a second call may still be answered by its first one.
    if (active.calls.empty()) {
      this->FailWithReason(active, aReason);
    }
  }
}

void EngineCore::Start(ActiveRequest& aRequest, const UpstreamPtr& aUpstream, CallKind aKind)
{
  const CallId id{ ++this->lastCall };
  const NewRequest& request = aRequest.request;
  ++aRequest.attempts;
  aRequest.calls.push_back(id);
  aRequest.triedWorkers.push_back(aUpstream->worker);
  ++aUpstream->ownInFlight;
  aUpstream->peakInFlight = std::max(aUpstream->peakInFlight, aUpstream->ownInFlight);
  this->calls.emplace(id, ActiveCall{ request.id, aUpstream, this->now });
  this->counters.Add("calls_started_total", CallKindLabel(aKind));
  this->effects->emplace_back(StartCall{ id,
                                         aUpstream->link,
                                         aUpstream->id,
                                         request.id,
                                         request.organisation,
                                         request.service,
                                         request.deadline,
                                         request.content });
  HedgePolicy& hedgePolicy = this->GetOrCreatePool(aRequest.pool).hedgePolicy;
  hedgePolicy.RecordCall();
  const bool mayHedge =
    aRequest.idempotent && request.requestClass == RequestClass::LatencyCritical;
  if (mayHedge && hedgePolicy.HedgeDelay() != Duration::max()) {
    this->timers.Add({ this->now + hedgePolicy.HedgeDelay(), TimerKind::Hedge, request.id, id });
  }
}

std::optional<ActiveCall> EngineCore::RemoveCall(CallId aCall, std::string_view aResult)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    this->counters.Add("late_results_dropped_total", aResult);
    return std::nullopt;
  }
  ActiveCall call = std::move(found->second);
  this->calls.erase(found);
  --call.upstream->ownInFlight;
  if (ActiveRequest* active = this->Find(call.request)) {
    std::erase(active->calls, aCall);
  }
  return call;
}

void EngineCore::On(const CallResponse& aEvent)
{
  const std::optional<ActiveCall> call = this->RemoveCall(aEvent.call, "answered");
  if (!call.has_value()) {
    return;
  }
  if (aEvent.request != call->request) {
    // The response to another request must never reach this caller.
    this->counters.Add("answers_mismatched_total", "");
    this->OnFailedCall(*call, true, Reason::AnswerMismatched);
    return;
  }
  const bool failed = aEvent.response->status >= kFirstServerErrorStatus;
  const Duration latency = this->now - call->started;
  if (!failed) {
    AddMeasuredLatency(this->now, *call->upstream, latency);
    this->GetOrCreatePool(call->upstream->pool).hedgePolicy.RecordLatency(latency);
  }
  this->RecordResult(*call, failed);
  ActiveRequest& active = *this->Find(call->request);
  if (!failed) {
    this->retryBudget.RecordSuccess(active.request.organisation);
  }
  this->Complete(active, aEvent.response);
  this->DispatchQueued(call->upstream->pool);
}

void EngineCore::On(const CallNotRun& aEvent)
{
  const std::optional<ActiveCall> call = this->RemoveCall(aEvent.call, "not_run");
  if (call.has_value()) {
    this->OnFailedCall(*call, false, aEvent.reason);
  }
}

void EngineCore::On(const CallUnknown& aEvent)
{
  const std::optional<ActiveCall> call = this->RemoveCall(aEvent.call, "unknown");
  if (call.has_value()) {
    this->OnFailedCall(*call, true, aEvent.reason);
  }
}

void EngineCore::RecordResult(const ActiveCall& aCall, bool aFailed)
{
  Upstream& upstream = *aCall.upstream;
  const auto& members = this->membership.PoolOf(upstream.pool);
  if (!upstream.removed && this->ejector.Record(this->now, upstream, aFailed, members)) {
    this->timers.Add({ upstream.ejectedUntil, TimerKind::DispatchQueued, {}, {} });
  }
}

void EngineCore::OnFailedCall(const ActiveCall& aCall, bool aMayHaveRun, Reason aReason)
{
  this->counters.Add("calls_failed_total", ToString(aReason));
  if (IsUpstreamFault(aReason)) {
    this->RecordResult(aCall, true);
  }
  if (aReason == Reason::NoCredit) {
    aCall.upstream->creditRefused = true;
  }
  ActiveRequest& active = *this->Find(aCall.request);
  active.mayHaveRun = active.mayHaveRun || aMayHaveRun;
  const bool hasOtherCall = !active.calls.empty();
  const bool mayRetry = active.idempotent || !active.mayHaveRun;
  if (!hasOtherCall && !(mayRetry && this->TryRetry(active, aReason))) {
    this->FailWithReason(active, aReason);
  }
  this->DispatchQueued(aCall.upstream->pool);
}

bool EngineCore::TryRetry(ActiveRequest& aRequest, Reason aReason)
{
  ServicePool& pool = this->GetOrCreatePool(aRequest.pool);
  const auto& members = this->membership.PoolOf(aRequest.pool);
  const bool otherWorkerAvailable =
    std::any_of(members.begin(), members.end(), [&](const UpstreamPtr& aItem) {
      return aItem->IsServing() &&
             std::find(aRequest.triedWorkers.begin(), aRequest.triedWorkers.end(), aItem->worker) ==
               aRequest.triedWorkers.end();
    });
  std::string_view refusal;
  if (aRequest.attempts >= kMaxAttempts) {
    refusal = "attempts";
  } else if (!otherWorkerAvailable) {
    refusal = "no_other_worker";
  } else if (this->now + pool.hedgePolicy.MinLatency() > aRequest.request.deadline) {
    refusal = "deadline";
  } else if (!this->retryBudget.TryTakeToken(aRequest.request.organisation)) {
    refusal = "budget";
  }
  if (!refusal.empty()) {
    this->counters.Add("retries_refused_total", refusal);
    return false;
  }
  this->counters.Add("retries_total", ToString(aReason));
  const NewRequest& request = aRequest.request;
  pool.queue.PushFront(
    { request.id, request.organisation, request.requestClass, request.deadline });
  return true;
}

void EngineCore::OnHedgeDelay(const CallId& aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  ActiveRequest& active = *this->Find(found->second.request);
  if (active.calls.size() > 1 || active.attempts >= kMaxAttempts) {
    return;
  }
  const UpstreamPtr upstream = this->router.Pick(this->now,
                                                 this->membership.PoolOf(active.pool),
                                                 active.triedWorkers,
                                                 this->PoolLatencyNs(active.pool));
  if (upstream == nullptr) {
    this->counters.Add("hedges_refused_total", "no_credit");
  } else if (!this->GetOrCreatePool(active.pool).hedgePolicy.TryTakeToken()) {
    this->counters.Add("hedges_refused_total", "budget");
  } else {
    this->Start(active, upstream, CallKind::Hedge);
  }
}

void EngineCore::OnSuspects(const std::vector<UpstreamPtr>& aSuspects)
{
  if (aSuspects.empty()) {
    return;
  }
  std::vector<CallId> callsOnSuspects;
  std::vector<PoolKey> affected;
  affected.reserve(aSuspects.size());
  for (const UpstreamPtr& upstream : aSuspects) {
    affected.push_back(upstream->pool);
  }
  for (const auto& [id, call] : this->calls) {
    if (std::find(aSuspects.begin(), aSuspects.end(), call.upstream) != aSuspects.end()) {
      callsOnSuspects.push_back(id);
    }
  }
  std::sort(callsOnSuspects.begin(), callsOnSuspects.end());
  for (const CallId id : callsOnSuspects) {
    ActiveRequest& active = *this->Find(this->calls.at(id).request);
    // The first call is not cancelled, because a suspect upstream may still respond.
    if (active.idempotent && active.calls.size() == 1) {
      this->TryRetry(active, Reason::UpstreamSuspect);
    }
  }
  this->DispatchAll(affected);
}

void EngineCore::OnDeadline(const RequestId& aRequest)
{
  ActiveRequest* active = this->Find(aRequest);
  if (active == nullptr) {
    return;
  }
  if (active->awaitingIdempotency) {
    this->FailWithReason(*active, Reason::StoreUnavailable);
    return;
  }
  const bool neverStarted = active->calls.empty() && !active->mayHaveRun;
  this->FailWithReason(*active,
                       neverStarted ? Reason::DeadlineUnreachable : Reason::DeadlineExceeded);
}

void EngineCore::EndDrain()
{
  std::vector<RequestId> remaining;
  for (const auto& [id, active] : this->requests) {
    remaining.push_back(id);
  }
  std::sort(remaining.begin(), remaining.end());
  for (const RequestId& id : remaining) {
    this->FailWithReason(*this->Find(id), Reason::Draining);
  }
}

void EngineCore::Cancel(ActiveRequest& aRequest)
{
  for (const CallId id : std::vector<CallId>(aRequest.calls)) {
    const std::optional<ActiveCall> call = this->RemoveCall(id, "");
    this->counters.Add("calls_cancelled_total", "");
    this->effects->emplace_back(CancelCall{ id, call->upstream->link });
  }
}

void EngineCore::FailWithReason(ActiveRequest& aRequest, Reason aReason)
{
  const bool unknown = aRequest.mayHaveRun || !aRequest.calls.empty();
  this->Fail(aRequest, unknown ? Outcome::Unknown : Outcome::NotRun, aReason);
}

void EngineCore::Fail(ActiveRequest& aRequest, Outcome aOutcome, Reason aReason)
{
  const RequestId id = aRequest.request.id;
  this->Cancel(aRequest);
  const bool isFirstForKey = this->idempotency.Abandon(id, aOutcome, *this->effects);
  const Outcome outcome = isFirstForKey ? aOutcome : Outcome::Unknown;
  this->counters.Add("requests_failed_total", ToString(aReason));
  this->counters.Add("request_outcomes_total", ToString(outcome));
  this->effects->emplace_back(MakeFailureResponse(id, outcome, aReason));
  this->Erase(aRequest);
}

void EngineCore::Complete(ActiveRequest& aRequest, const ResponseContentPtr& aResponse)
{
  const RequestId id = aRequest.request.id;
  this->Cancel(aRequest);
  this->counters.Add("request_outcomes_total", "answered");
  this->effects->emplace_back(FinalResponse{ id, aResponse, std::nullopt, std::nullopt });
  this->idempotency.Finish(id, aResponse, *this->effects);
  this->Erase(aRequest);
}

void EngineCore::Erase(ActiveRequest& aRequest)
{
  const auto pool = this->pools.find(aRequest.pool);
  if (pool != this->pools.end()) {
    pool->second.queue.Remove(aRequest.request.id);
  }
  const auto count = this->requestCounts.find(aRequest.request.organisation);
  if (--count->second == 0) {
    this->requestCounts.erase(count);
  }
  this->requests.erase(RequestId(aRequest.request.id));
}

ActiveRequest* EngineCore::Find(const RequestId& aRequest)
{
  const auto found = this->requests.find(aRequest);
  return found == this->requests.end() ? nullptr : found->second.get();
}

} // namespace oriolespread::internal
