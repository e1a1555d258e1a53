// How PlacementEngine handles reports from running tasks: usage, failures and latency.
#include "PlacementEngine.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

using std::chrono::seconds;

// A grant is lowered only after a minute of reports and changed only by more than a tenth, so that
// normal variation causes no messages.
constexpr std::size_t kMinSamplesToShrink = 6;
constexpr std::int64_t kMinChangeDivisor = 10;
constexpr Duration kThrottleMessageInterval = seconds(30);
// A task whose memory usage exceeded its grant gets at least one and a half times that grant next.
constexpr std::int64_t kNextMemoryPercentOfGrant = 150;
// The load of a service can return faster than its grant can be raised, so the grant stays at
// least at the declared amounts divided by this.
constexpr std::int64_t kServiceMinimumDivisor = 2;
constexpr std::int64_t kMinThrottledMilliCores = 100;

std::int64_t ApplyHysteresis(std::int64_t aGrant, std::int64_t aTarget, bool aMayShrink)
{
  const bool small = std::abs(aTarget - aGrant) <= aGrant / kMinChangeDivisor;
  return small || (aTarget < aGrant && !aMayShrink) ? aGrant : aTarget;
}

Resources ServiceMinimum(const Resources& aAmount)
{
  return { aAmount.milliCores / kServiceMinimumDivisor,
           aAmount.memoryMiB / kServiceMinimumDivisor,
           aAmount.accelerators };
}

} // namespace

Resources PlacementEngine::DemandOf(const TaskShape& aShape) const
{
  Resources demand = aShape.declared;
  if (const std::optional<Resources> estimate = this->usage.InitialEstimate(aShape.kind)) {
    demand = { estimate->milliCores, estimate->memoryMiB, aShape.declared.accelerators };
    if (aShape.taskClass == TaskClass::LatencyCritical) {
      demand = ElementwiseMax(demand, ServiceMinimum(aShape.declared));
    }
  }
  demand = ElementwiseMax(demand, aShape.minDemand);
  // A wrong estimate must not make the task unplaceable.
  if (demand != aShape.declared && !this->capacity.FitsAnyWorker(demand)) {
    return aShape.declared;
  }
  return demand;
}

void PlacementEngine::RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed)
{
  this->now = std::max(this->now, aNow);
  const TaskIndex task = this->tasks.Find(aTask);
  if (task == kNone || this->tasks.At(task).phase != TaskPhase::Placed || !aUsed.IsNonNegative()) {
    this->counters.Add("placement_usage_ignored_total", "not_running");
    return;
  }
  const TaskRecord& record = this->tasks.At(task);
  this->usage.Record(task, record.shape.kind, aUsed);
  if (aUsed.memoryMiB > record.grant.memoryMiB) {
    this->HandleMemoryExceeded(aNow, task, aUsed);
  } else {
    this->AdjustGrantToUsage(aNow, task, aUsed);
  }
}

// Handles a task that uses more memory than its grant. A latency-critical task gets a larger grant
// if its worker and quota allow it; any other task is evicted and its next attempt demands more
// memory.
void PlacementEngine::HandleMemoryExceeded(Instant aNow, TaskIndex aTask, const Resources& aUsed)
{
  const TaskRecord& task = this->tasks.At(aTask);
  const std::int64_t next = std::max(UsageEstimator::WithMargin(aUsed).memoryMiB,
                                     task.grant.memoryMiB * kNextMemoryPercentOfGrant / 100);
  if (task.shape.taskClass == TaskClass::LatencyCritical &&
      this->Regrant(aTask, { task.grant.milliCores, next, task.grant.accelerators })) {
    return;
  }
  TaskHistory& history = this->tasks.FindOrAddHistory(task.id);
  history.minDemand.memoryMiB = std::max(history.minDemand.memoryMiB, next);
  this->Evict(aNow, aTask, EvictionReason::MemoryExceeded);
}

void PlacementEngine::AdjustGrantToUsage(Instant aNow, TaskIndex aTask, const Resources& aUsed)
{
  TaskRecord& task = this->tasks.At(aTask);
  const std::optional<Resources> learned = this->usage.GrantTarget(aTask);
  Resources wanted = task.grant;
  if (learned.has_value()) {
    Resources target = *learned;
    if (task.shape.taskClass == TaskClass::LatencyCritical) {
      target = ElementwiseMax(target, ServiceMinimum(task.shape.declared));
    }
    const bool mayShrink = this->usage.SampleCount(aTask) >= kMinSamplesToShrink;
    wanted.milliCores = ApplyHysteresis(task.grant.milliCores, target.milliCores, mayShrink);
    wanted.memoryMiB = ApplyHysteresis(task.grant.memoryMiB, target.memoryMiB, mayShrink);
  }
  if (task.throttled) {
    wanted.milliCores = std::min(wanted.milliCores, task.grant.milliCores);
  }
  const Resources available =
    ElementwiseMax(this->capacity.At(task.worker).Free(), Resources{}) + task.grant;
  wanted = ElementwiseMin(wanted, available);
  if (wanted != task.grant && this->Regrant(aTask, wanted)) {
    return;
  }
  if (aUsed.milliCores > task.grant.milliCores &&
      aNow >= task.lastThrottled + kThrottleMessageInterval) {
    task.lastThrottled = aNow;
    this->counters.Add("placement_regrants_total", "throttled_to_grant");
    this->QueueAction(aTask, RegrantTask{ task.id, task.grant });
  }
}

// Changes the grant if the worker and the quota allow it; returns whether it did.
bool PlacementEngine::Regrant(TaskIndex aTask, const Resources& aGrant)
{
  TaskRecord& task = this->tasks.At(aTask);
  const Resources more = ElementwiseMax(aGrant - task.grant, Resources{});
  const Resources less = ElementwiseMax(task.grant - aGrant, Resources{});
  if (!this->shares.QuotaAllows(task.shape.team, more) && more != Resources{}) {
    this->counters.Add("placement_regrant_refused_total", "quota");
    return false;
  }
  if (!this->capacity.Reserve(task.worker, more)) {
    this->counters.Add("placement_regrant_refused_total", "capacity");
    return false;
  }
  this->capacity.Free(task.worker, less);
  this->shares.Charge(task.shape.organisation, task.shape.team, more);
  this->shares.Refund(task.shape.organisation, task.shape.team, less);
  if (VictimSelector::IsPreemptible(task.shape)) {
    this->capacity.AddPreemptible(task.worker, aGrant - task.grant);
  }
  task.grant = aGrant;
  this->counters.Add("placement_regrants_total", less == Resources{} ? "raised" : "lowered");
  this->QueueAction(aTask, RegrantTask{ task.id, aGrant });
  this->OnShareChanged(task.shape.organisation, task.shape.team);
  if (less != Resources{}) {
    this->OnCapacityFreed(task.worker);
  }
  return true;
}

void PlacementEngine::RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker)
{
  this->now = std::max(this->now, aNow);
  std::vector<WorkerId>& failedOn = this->tasks.FindOrAddHistory(aTask).failedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aWorker) == failedOn.end()) {
    failedOn.push_back(aWorker);
  }
  const TaskIndex task = this->tasks.Find(aTask);
  if (task != kNone) {
    this->tasks.At(task).failed = true;
  }
  const WorkerIndex worker = this->capacity.Find(aWorker);
  if (worker == kNone) {
    this->counters.Add("placement_failures_ignored_total", "unknown_worker");
    return;
  }
  const HealthChange change =
    this->health.RecordFailure(aNow, worker, task, aTask.job, this->capacity.WorkerCount());
  if (change == HealthChange::Quarantined) {
    this->QuarantineWorker(worker);
  }
}

void PlacementEngine::QuarantineWorker(WorkerIndex aWorker)
{
  this->capacity.SetHealthy(aWorker, false);
  this->CancelReservationsOn(aWorker);
}

// Records the outcome of a placed task in the usage estimator, worker health and task history.
void PlacementEngine::RecordOutcome(TaskIndex aTask)
{
  const TaskRecord& task = this->tasks.At(aTask);
  this->usage.RemoveTask(aTask);
  if (task.phase != TaskPhase::Placed || task.failed) {
    this->health.RecordInconclusiveEnd(task.worker, aTask);
    return;
  }
  this->tasks.RemoveHistory(task.id);
  if (this->health.RecordSuccess(task.worker, aTask, task.id.job) == HealthChange::Released) {
    this->capacity.SetHealthy(task.worker, true);
  }
}

std::size_t PlacementEngine::DistinctFailures(const TaskId& aTask) const
{
  const TaskHistory* history = this->tasks.FindHistory(aTask);
  if (history == nullptr) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
    history->failedOn.begin(), history->failedOn.end(), [this](const WorkerId& aWorker) {
      const WorkerIndex worker = this->capacity.Find(aWorker);
      return worker == kNone || !this->health.IsQuarantined(worker);
    }));
}

std::vector<WorkerId> PlacementEngine::Quarantined() const
{
  std::vector<WorkerId> workers;
  for (const WorkerIndex worker : this->health.Quarantined()) {
    workers.push_back(this->capacity.At(worker).spec.worker);
  }
  return workers;
}

void PlacementEngine::RestoreQuarantine(Instant aNow, const WorkerId& aWorker)
{
  const WorkerIndex worker = this->capacity.FindOrAdd(aWorker);
  if (this->health.Quarantine(aNow, worker, this->capacity.WorkerCount())) {
    this->QuarantineWorker(worker);
  }
}

// Places one waiting batch task as a probe on the quarantined worker whose probe is due first.
void PlacementEngine::PlaceProbe(Instant aNow)
{
  const std::optional<WorkerIndex> worker = this->health.NextProbe(aNow);
  if (!worker.has_value()) {
    return;
  }
  const WorkerRecord& record = this->capacity.At(*worker);
  std::optional<GroupIndex> group;
  if (record.available && record.registered && record.Free().IsNonNegative()) {
    group = this->queue.BestGroupFor(record.Free(), [&](GroupIndex aGroup) {
      const TaskGroup& candidate = this->queue.At(aGroup);
      return VictimSelector::IsPreemptible(candidate.shape) &&
             this->shares.QuotaAllows(candidate.shape.team, candidate.demand) &&
             this->MayRunOn(candidate.entries.front().task, *worker);
    });
  }
  const TaskIndex task = group.has_value() ? this->queue.Head(*group).task : kNone;
  const Resources demand = group.has_value() ? this->queue.At(*group).demand : Resources{};
  if (task == kNone || !this->capacity.Reserve(*worker, demand)) {
    this->health.PostponeProbe(aNow, *worker);
    return;
  }
  this->queue.PopHead(*group);
  const TaskShape& shape = this->tasks.At(task).shape;
  this->shares.Charge(shape.organisation, shape.team, demand);
  this->health.RecordProbe(*worker, task);
  this->Place(aNow, task, *worker, demand);
}

void PlacementEngine::RecordLatency(Instant aNow, const ServiceLatencyReport& aReport)
{
  this->now = std::max(this->now, aNow);
  const WorkerIndex worker = this->capacity.Find(aReport.worker);
  if (worker == kNone) {
    this->counters.Add("placement_latency_ignored_total", "unknown_worker");
    return;
  }
  const NameIndex service =
    this->serviceNames.Intern(aReport.organisation.Value() + "/" + aReport.service.Value());
  const std::optional<InterferenceDecision> decision = this->interferencePolicy.Report(
    aNow, worker, service, aReport.suffering, this->SuspectsOn(worker));
  if (!decision.has_value()) {
    return;
  }
  if (decision->step == InterferenceStep::Evict) {
    this->Evict(aNow, decision->task, EvictionReason::Interference);
  } else {
    this->Throttle(decision->task);
  }
}

void PlacementEngine::Throttle(TaskIndex aTask)
{
  TaskRecord& task = this->tasks.At(aTask);
  task.throttled = true;
  Resources grant = task.grant;
  grant.milliCores =
    std::min(grant.milliCores, std::max(grant.milliCores / 2, kMinThrottledMilliCores));
  this->Regrant(aTask, grant);
}

std::vector<Suspect> PlacementEngine::SuspectsOn(WorkerIndex aWorker) const
{
  std::vector<Suspect> suspects;
  const WorkerRecord& worker = this->capacity.At(aWorker);
  const double capacityMilliCores =
    static_cast<double>(std::max<std::int64_t>(worker.spec.capacity.milliCores, 1));
  for (const TaskIndex index : worker.tasks) {
    const TaskRecord& task = this->tasks.At(index);
    if (task.phase == TaskPhase::Placed && task.shape.taskClass == TaskClass::Batch) {
      suspects.push_back({ index,
                           task.sequence,
                           task.shape.kind,
                           &task.id.job,
                           static_cast<double>(task.grant.milliCores) / capacityMilliCores,
                           task.placedAt });
    }
  }
  return suspects;
}

// Returns whether the task may run on the worker: it has not failed there before, and it has no
// anti-affinity with a task on the worker or with a service that was reported there recently.
bool PlacementEngine::MayRunOn(TaskIndex aTask, WorkerIndex aWorker) const
{
  const TaskRecord& task = this->tasks.At(aTask);
  if (task.shape.exclusionId != 0) {
    const TaskHistory* history = this->tasks.FindHistory(task.id);
    const WorkerId& worker = this->capacity.At(aWorker).spec.worker;
    if (history != nullptr &&
        std::find(history->failedOn.begin(), history->failedOn.end(), worker) !=
          history->failedOn.end()) {
      return false;
    }
  }
  return !this->HasAntiAffinityOn(task.shape, aWorker);
}

bool PlacementEngine::HasAntiAffinityOn(const TaskShape& aShape, WorkerIndex aWorker) const
{
  if (aShape.taskClass == TaskClass::Batch) {
    const std::vector<NameIndex> services =
      this->interferenceModel.AntiAffineServices(this->now, aShape.kind);
    return std::any_of(services.begin(), services.end(), [&](NameIndex aService) {
      return this->HostsService(aWorker, aService);
    });
  }
  if (aShape.service == kNone) {
    return false;
  }
  const std::vector<NameIndex> kinds =
    this->interferenceModel.AntiAffineKinds(this->now, aShape.service);
  const std::vector<TaskIndex>& running = this->capacity.At(aWorker).tasks;
  return !kinds.empty() && std::any_of(running.begin(), running.end(), [&](TaskIndex aOther) {
    const TaskShape& other = this->tasks.At(aOther).shape;
    return other.taskClass == TaskClass::Batch &&
           std::find(kinds.begin(), kinds.end(), other.kind) != kinds.end();
  });
}

bool PlacementEngine::HostsService(WorkerIndex aWorker, NameIndex aService) const
{
  const std::vector<TaskIndex>& running = this->capacity.At(aWorker).tasks;
  return this->interferencePolicy.HasRecentReport(this->now, aWorker, aService) ||
         std::any_of(running.begin(), running.end(), [&](TaskIndex aOther) {
           return this->tasks.At(aOther).shape.service == aService;
         });
}

} // namespace oriolespread::internal
