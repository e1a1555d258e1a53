// The placement decisions of PlacementEngine: which waiting task gets which free capacity, and
// which tasks are evicted.
#include "PlacementEngine.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>

namespace oriolespread::internal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workers compared for one placement, per data centre and FitOrder.
constexpr std::size_t kMaxCandidates = 8;
// Workers compared for one preemption, per FitOrder.
constexpr std::size_t kMaxPreemptionCandidates = 16;
// Attempts beyond the limit of actions that one Schedule may spend on tasks that cannot be placed.
constexpr std::size_t kExtraAttempts = 64;
// A victim takes up to 0.5 s to stop, and its release needs a report. After this time another
// worker is sought.
constexpr Duration kVictimTimeout = seconds(3);
constexpr int kProbesPerSchedule = 2;
constexpr Duration kUrgentRetryInterval = milliseconds(100);
// Groups that were set aside are retried periodically even if no worker changed, because the index
// search is bounded and interference estimates decay.
constexpr Duration kRetryDelay = seconds(5);
constexpr std::size_t kMaxRetriesPerInterval = 4;
constexpr Duration kRetryInterval = milliseconds(100);
// A task that has waited this long for capacity gets a reservation on a worker. Without one, small
// tasks would always take the freed capacity first.
constexpr Duration kStarvationThreshold = seconds(60);
constexpr Duration kStarvationReservationTimeout = seconds(600);
// Limits reservations for starved tasks to one for each this many workers, plus one.
constexpr std::size_t kWorkersPerStarvationReservation = 50;
// Makes one more replica in the same failure domain outweigh any difference in fit.
constexpr double kSpreadPenaltyWeight = 10.0;

} // namespace

std::vector<PlacementAction> PlacementEngine::Schedule(Instant aNow, std::size_t aLimit)
{
  this->now = std::max(this->now, aNow);
  this->HandleTimers(aNow);
  std::vector<PlacementAction> actions;
  std::size_t attempts = aLimit + kExtraAttempts;
  this->TakePendingActions(actions, aLimit);
  // Tasks are placed only while no action is pending, so that every placement is returned by the
  // call that makes it.
  for (int i = 0; i < kProbesPerSchedule && actions.size() < aLimit; ++i) {
    this->PlaceProbe(aNow);
    this->TakePendingActions(actions, aLimit);
  }
  while (actions.size() < aLimit && attempts > 0 && this->ProcessNext(aNow)) {
    this->TakePendingActions(actions, aLimit);
    --attempts;
  }
  return actions;
}

void PlacementEngine::TakePendingActions(std::vector<PlacementAction>& aActions, std::size_t aLimit)
{
  while (!this->pendingActions.empty() && aActions.size() < aLimit) {
    PendingAction& next = this->pendingActions.front();
    if (this->tasks.IsCurrent(next.task, next.sequence)) {
      aActions.push_back(std::move(next.action));
    }
    this->pendingActions.pop_front();
  }
}

void PlacementEngine::HandleTimers(Instant aNow)
{
  for (const TaskIndex task : this->reservations.Expired(aNow)) {
    this->counters.Add("placement_reservations_expired_total", "timeout");
    this->CancelReservation(aNow, task);
  }
  for (const auto& [task, sequence] : this->interferencePolicy.TakeExpiredThrottles(aNow)) {
    if (this->tasks.IsCurrent(task, sequence)) {
      this->tasks.At(task).throttled = false;
    }
  }
  this->interferencePolicy.RemoveStale(aNow);
  for (const WorkerIndex worker : this->headroom.Expire(aNow)) {
    this->OnCapacityFreed(worker);
  }
  if (aNow >= this->nextUrgentRetry) {
    this->nextUrgentRetry = aNow + kUrgentRetryInterval;
    this->queue.WakeUrgent();
  }
  if (aNow < this->nextRetry) {
    return;
  }
  this->nextRetry = aNow + kRetryInterval;
  for (std::size_t i = 0; i < kMaxRetriesPerInterval; ++i) {
    const std::optional<GroupIndex> group = this->queue.OldestSetAside(aNow - kRetryDelay);
    if (!group.has_value()) {
      return;
    }
    if (!this->ReserveForStarvedGroup(aNow, *group)) {
      this->queue.Wake(*group);
    }
  }
}

// Processes one complete reservation, freed worker or ready group; returns whether there was one.
bool PlacementEngine::ProcessNext(Instant aNow)
{
  if (const std::optional<TaskIndex> task = this->reservations.FirstComplete()) {
    const Reservation reservation = this->reservations.Take(*task);
    this->Place(aNow, *task, reservation.worker, reservation.demand);
    return true;
  }
  const std::optional<GroupIndex> ready = this->queue.NextReady();
  if (!this->freedWorkers.empty()) {
    const std::optional<GroupIndex> candidate =
      this->BestGroupForWorker(this->freedWorkers.front());
    if (!candidate.has_value()) {
      this->isFreedWorkerQueued[this->freedWorkers.front()] = false;
      this->freedWorkers.pop_front();
      return true;
    }
    if (!ready.has_value() || this->queue.RankOf(*candidate) < this->queue.RankOf(*ready)) {
      const TaskIndex task = this->queue.Head(*candidate).task;
      const Resources demand = this->queue.At(*candidate).demand;
      const WorkerIndex worker = this->freedWorkers.front();
      this->queue.PopHead(*candidate);
      if (this->capacity.Reserve(worker, demand)) {
        const TaskShape& shape = this->tasks.At(task).shape;
        this->shares.Charge(shape.organisation, shape.team, demand);
        this->Place(aNow, task, worker, demand);
      } else {
        this->Enqueue(aNow, task);
      }
      return true;
    }
  }
  return ready.has_value() && this->ServeReadyGroup(aNow, *ready);
}

std::optional<GroupIndex> PlacementEngine::BestGroupForWorker(WorkerIndex aWorker)
{
  const WorkerRecord& worker = this->capacity.At(aWorker);
  if (!worker.AcceptsTasks() || !worker.Free().IsNonNegative()) {
    return std::nullopt;
  }
  return this->queue.BestGroupFor(worker.Free(), [&](GroupIndex aGroup) {
    const TaskGroup& group = this->queue.At(aGroup);
    return this->shares.QuotaAllows(group.shape.team, group.demand) &&
           this->MayRunOn(group.entries.front().task, aWorker);
  });
}

bool PlacementEngine::ServeReadyGroup(Instant aNow, GroupIndex aGroup)
{
  const TaskIndex index = this->queue.Head(aGroup).task;
  const TaskShape shape = this->tasks.At(index).shape;
  const Resources demand = this->DemandOf(shape);
  if (!this->shares.QuotaAllows(shape.team, demand)) {
    if (!this->ReportIfUnplaceable(aNow, aGroup, demand)) {
      this->counters.Add("placement_set_aside_total", "quota");
      this->queue.SetAside(aNow, aGroup, GroupState::NoQuota, demand);
    }
    return true;
  }
  WorkerIndex worker = this->ChooseWorker(this->tasks.At(index), index, demand);
  if (worker == kNone && shape.urgent) {
    worker = this->headroom.Release(demand);
  }
  if (worker != kNone && this->capacity.Reserve(worker, demand)) {
    this->queue.PopHead(aGroup);
    this->shares.Charge(shape.organisation, shape.team, demand);
    this->Place(aNow, index, worker, demand);
    return true;
  }
  if (this->ReportIfUnplaceable(aNow, aGroup, demand)) {
    return true;
  }
  if (shape.urgent && this->Preempt(aNow, index, demand)) {
    return true;
  }
  this->counters.Add("placement_set_aside_total", "capacity");
  this->queue.SetAside(aNow, aGroup, GroupState::NoCapacity, demand);
  return true;
}

WorkerIndex PlacementEngine::ChooseWorker(const TaskRecord& aTask,
                                          TaskIndex aIndex,
                                          const Resources& aDemand)
{
  this->candidates.clear();
  this->capacity.Collect(aDemand, kMaxCandidates, FitOrder::BestFit, this->candidates);
  if (aTask.shape.service != kNone) {
    // The best-fitting workers often are those that hold replicas already.
    this->capacity.Collect(aDemand, kMaxCandidates, FitOrder::WorstFit, this->candidates);
  }
  WorkerIndex best = kNone;
  double bestScore = std::numeric_limits<double>::infinity();
  for (const WorkerIndex worker : this->candidates) {
    const double score = this->Score(aTask, aDemand, worker);
    if (score < bestScore && this->MayRunOn(aIndex, worker)) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

// Returns the cost of placing the task on the worker (lower is better): first the spread penalty of
// its service, then the share of capacity that would be left free.
double PlacementEngine::Score(const TaskRecord& aTask,
                              const Resources& aDemand,
                              WorkerIndex aWorker) const
{
  const WorkerRecord& worker = this->capacity.At(aWorker);
  const Resources remaining = worker.Free() - aDemand;
  const auto fraction = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0.0;
  };
  const Resources& workerCapacity = worker.spec.capacity;
  double score = fraction(remaining.milliCores, workerCapacity.milliCores) +
                 fraction(remaining.memoryMiB, workerCapacity.memoryMiB) +
                 fraction(remaining.accelerators, workerCapacity.accelerators);
  if (aTask.shape.service != kNone) {
    score += kSpreadPenaltyWeight *
             this->replicaCounts.SpreadPenalty(aTask.shape.service, worker, aWorker);
  }
  return score;
}

// The caller has reserved the grant on the worker and charged it to the organisation and team.
void PlacementEngine::Place(Instant aNow,
                            TaskIndex aTask,
                            WorkerIndex aWorker,
                            const Resources& aGrant)
{
  this->Attach(aNow, aTask, aWorker, aGrant);
  TaskRecord& task = this->tasks.At(aTask);
  task.reportedUnplaceable = false;
  this->QueueAction(aTask, PlaceTask{ task.id, this->capacity.At(aWorker).spec.worker, aGrant });
}

bool PlacementEngine::Preempt(Instant aNow, TaskIndex aTask, const Resources& aDemand)
{
  this->candidates.clear();
  this->capacity.CollectPreemptible(
    aDemand, kMaxPreemptionCandidates, FitOrder::BestFit, this->candidates);
  this->capacity.CollectPreemptible(
    aDemand, kMaxPreemptionCandidates, FitOrder::WorstFit, this->candidates);
  std::optional<VictimSet> best;
  for (const WorkerIndex worker : this->candidates) {
    std::optional<VictimSet> set =
      this->victims.Choose(aNow, aDemand, worker, this->capacity.At(worker));
    if (set.has_value() && (!best.has_value() || set->cost < best->cost) &&
        this->MayRunOn(aTask, worker)) {
      best = std::move(set);
    }
  }
  if (!best.has_value()) {
    this->counters.Add("placement_preemption_refused_total", "no_victims");
    return false;
  }
  this->headroom.RecordPreemption(aNow);
  for (const TaskIndex victim : best->victims) {
    this->Evict(aNow, victim, EvictionReason::Preempted);
  }
  TaskRecord& task = this->tasks.At(aTask);
  this->queue.PopHead(task.group);
  task.group = kNone;
  task.phase = TaskPhase::Reserved;
  task.grant = aDemand;
  this->shares.Charge(task.shape.organisation, task.shape.team, aDemand);
  this->OnShareChanged(task.shape.organisation, kNone);
  this->reservations.Open(aTask, { best->worker, aDemand, {}, aNow + kVictimTimeout, true });
  return true;
}

// Opens a reservation for the head of a group that has waited too long; returns whether it did.
bool PlacementEngine::ReserveForStarvedGroup(Instant aNow, GroupIndex aGroup)
{
  const QueueEntry head = this->queue.Head(aGroup);
  const Resources demand = this->queue.At(aGroup).demand;
  const std::size_t maxReservations =
    1 + this->capacity.WorkerCount() / kWorkersPerStarvationReservation;
  TaskRecord& task = this->tasks.At(head.task);
  if (aNow - head.queuedAt < kStarvationThreshold ||
      this->reservations.NonUrgentCount() >= maxReservations || task.shape.urgent ||
      !this->shares.QuotaAllows(task.shape.team, demand)) {
    return false;
  }
  this->candidates.clear();
  this->capacity.CollectPreemptible(
    demand, kMaxPreemptionCandidates, FitOrder::WorstFit, this->candidates);
  WorkerIndex best = kNone;
  double bestMissing = std::numeric_limits<double>::infinity();
  for (const WorkerIndex worker : this->candidates) {
    const WorkerRecord& record = this->capacity.At(worker);
    const double missing =
      DominantShare(ElementwiseMax(demand - record.Free(), Resources{}), record.spec.capacity);
    if (missing < bestMissing && this->reservations.OnWorker(worker).empty() &&
        this->MayRunOn(head.task, worker)) {
      best = worker;
      bestMissing = missing;
    }
  }
  if (best == kNone) {
    return false;
  }
  this->counters.Add("placement_gatherings_total", "starvation");
  this->queue.PopHead(aGroup);
  task.group = kNone;
  task.phase = TaskPhase::Reserved;
  task.grant = demand;
  this->shares.Charge(task.shape.organisation, task.shape.team, demand);
  this->OnShareChanged(task.shape.organisation, kNone);
  this->reservations.Open(head.task,
                          { best, demand, {}, aNow + kStarvationReservationTimeout, false });
  return true;
}

void PlacementEngine::Evict(Instant aNow, TaskIndex aTask, EvictionReason aReason)
{
  TaskRecord& task = this->tasks.At(aTask);
  if (VictimSelector::IsPreemptible(task.shape)) {
    this->capacity.RemovePreemptible(task.worker, task.grant);
  }
  task.phase = TaskPhase::Evicting;
  ++task.evictions;
  task.lastEvicted = aNow;
  TaskHistory& history = this->tasks.FindOrAddHistory(task.id);
  history.evictions = task.evictions;
  history.lastEvicted = aNow;
  static constexpr const char* kLabels[] = { "preempted", "interference", "memory_exceeded" };
  this->counters.Add("placement_evictions_total", kLabels[static_cast<std::size_t>(aReason)]);
  this->QueueAction(aTask, EvictTask{ task.id, aReason });
}

// If the demand fits no worker or exceeds the quota of its team, reports every task of the group
// that has not been reported yet and sets the group aside. Returns whether that was the case.
bool PlacementEngine::ReportIfUnplaceable(Instant aNow, GroupIndex aGroup, const Resources& aDemand)
{
  const TaskGroup& group = this->queue.At(aGroup);
  Findings findings;
  this->capacity.ExplainUnplaceable(aDemand, "resources", findings);
  const std::optional<Resources> quota = this->shares.Quota(group.shape.team);
  if (quota.has_value() && !aDemand.FitsIn(*quota)) {
    findings.Add({ "", 0, 0, "team" },
                 "has a quota below the demand of one task",
                 "a quota that covers the demand of the task");
  }
  if (findings.empty()) {
    return false;
  }
  this->queue.ForEachLive(aGroup, [&](const QueueEntry& aEntry) {
    TaskRecord& task = this->tasks.At(aEntry.task);
    if (!task.reportedUnplaceable) {
      task.reportedUnplaceable = true;
      this->counters.Add("placement_unplaceable_total", "reported");
      this->QueueAction(aEntry.task, ReportUnplaceable{ task.id, findings });
    }
  });
  this->queue.SetAside(aNow, aGroup, GroupState::Unplaceable, aDemand);
  return true;
}

} // namespace oriolespread::internal
