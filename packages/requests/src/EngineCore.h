// The implementation of RequestEngine, which combines admission, queueing, routing, calls and
// idempotency.
#pragma once

#include "DemandReporter.h"
#include "FairQueue.h"
#include "HedgePolicy.h"
#include "IdempotencyCoordinator.h"
#include "Membership.h"
#include "OutlierEjector.h"
#include "PolicyTable.h"
#include "RetryBudget.h"
#include "Router.h"
#include "TimerQueue.h"

#include "oriolespread/requests/RequestEngine.h"

#include <map>
#include <string_view>

namespace oriolespread::internal {

// The state of a pool besides its upstreams.
struct ServicePool
{
  FairQueue queue;
  HedgePolicy hedgePolicy;
};

struct ActiveRequest
{
  NewRequest request;
  PoolKey pool;
  bool idempotent = false;
  // Waits for the result of the idempotency coordinator.
  bool awaitingIdempotency = false;
  // A call has ended without proof that the upstream did not run it.
  bool mayHaveRun = false;
  std::uint32_t attempts = 0;
  std::vector<WorkerId> triedWorkers;
  std::vector<CallId> calls;
};

struct ActiveCall
{
  RequestId request;
  UpstreamPtr upstream;
  Instant started;
};

enum class CallKind
{
  First,
  Retry,
  Hedge,
};

class EngineCore
{
public:
  EngineCore(RequestEngineOptions aOptions, Counters& aCounters);

  void Handle(Instant aNow, const RequestEvent& aEvent, RequestEffects& aEffects);
  Instant NextWakeup() const;
  RequestLoad Load() const;
  bool HasUpstream(const PoolKey& aPool) const;
  bool IsDrained() const;

private:
  static constexpr std::uint32_t kMaxAttempts = 3;

  // Event handlers, one overload for each event.
  void On(const NewRequest& aEvent);
  void On(const LinkUp& aEvent);
  void On(const LinkRoundTrip& aEvent);
  void On(const LinkDown& aEvent);
  void On(const LinkMessageReceived& aEvent);
  void On(const CallResponse& aEvent);
  void On(const CallNotRun& aEvent);
  void On(const CallUnknown& aEvent);
  void On(const TransactionDone& aEvent);
  void On(const FateDone& aEvent);
  void On(const RowScanDone& aEvent);
  void On(const PolicyChanged& aEvent);
  void On(const DrainRequested& aEvent);
  void On(const CallerDisconnected& aEvent);
  void On(const Tick& aEvent);

  // Admission.

  // Returns the reason why a request is refused, or nothing when it is admitted.
  std::optional<Reason> CheckAdmission(const NewRequest& aRequest, const ServicePolicy* aService);
  void Enqueue(ActiveRequest& aRequest);
  void ApplyIdempotencyResults(const IdempotencyResults& aResults);
  bool CanMeetDeadline(const ActiveRequest& aRequest, ServicePool& aPool) const;

  // Timers and periodic work.
  void RunTimers();
  void OnDeadline(const RequestId& aRequest);
  void OnHedgeDelay(const CallId& aCall);
  void ReportDemand();
  void EndDrain();
  void DetectProcessPause();

  // Pools.
  ServicePool& GetOrCreatePool(const PoolKey& aKey);
  void DispatchAll(const std::vector<PoolKey>& aPools);
  void DispatchQueued(const PoolKey& aKey);
  double PoolLatencyNs(const PoolKey& aKey);

  // Calls.
  void Start(ActiveRequest& aRequest, const UpstreamPtr& aUpstream, CallKind aKind);
  // Removes a call and returns it; nothing when it has been removed before.
  std::optional<ActiveCall> RemoveCall(CallId aCall, std::string_view aResult);
  void Cancel(ActiveRequest& aRequest);
  void RecordResult(const ActiveCall& aCall, bool aFailed);
  void OnFailedCall(const ActiveCall& aCall, bool aMayHaveRun, Reason aReason);
  bool TryRetry(ActiveRequest& aRequest, Reason aReason);
  void OnSuspects(const std::vector<UpstreamPtr>& aSuspects);

  // Completion of requests.

  // Fails a request; its outcome is Unknown when one of its calls may have run.
  void FailWithReason(ActiveRequest& aRequest, Reason aReason);
  void FailQueued(const std::vector<QueuedRequest>& aQueued, Reason aReason);
  void Fail(ActiveRequest& aRequest, Outcome aOutcome, Reason aReason);
  void Complete(ActiveRequest& aRequest, const ResponseContentPtr& aResponse);
  void Erase(ActiveRequest& aRequest);
  ActiveRequest* Find(const RequestId& aRequest);

  RequestEngineOptions options;
  Counters& counters;
  PolicyTable policy;
  Membership membership;
  Router router;
  OutlierEjector ejector;
  RetryBudget retryBudget;
  IdempotencyCoordinator idempotency;
  DemandReporter demandReporter;
  TimerQueue timers;
  std::map<PoolKey, ServicePool> pools;
  absl::flat_hash_map<RequestId, std::unique_ptr<ActiveRequest>> requests;
  absl::flat_hash_map<CallId, ActiveCall> calls;
  absl::flat_hash_map<OrganisationId, std::size_t> requestCounts;
  std::uint64_t lastCall = 0;
  std::optional<Instant> drainUntil;
  Instant nextDemandReport = Instant::min();
  Instant lastHandled = Instant::max();

  // Only valid during Handle.
  Instant now;
  RequestEffects* effects = nullptr;
};

} // namespace oriolespread::internal
