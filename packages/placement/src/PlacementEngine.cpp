#include "PlacementEngine.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace oriolespread::internal {

PlacementEngine::PlacementEngine(Counters& aCounters)
  : counters(aCounters)
  , capacity(aCounters)
  , queue(this->shares,
          [this](const QueueEntry& aEntry) {
            return this->tasks.IsCurrent(aEntry.task, aEntry.sequence) &&
                   this->tasks.At(aEntry.task).phase == TaskPhase::Queued;
          })
  , reservations(this->capacity)
  , headroom(this->capacity, aCounters)
  , victims(this->tasks.Records())
  , health(aCounters)
  , interferencePolicy(this->interferenceModel, aCounters)
{
}

void PlacementEngine::SetWorker(const WorkerSpec& aSpec)
{
  const WorkerIndex worker = this->capacity.FindOrAdd(aSpec.worker);
  // Replicas are counted by the data centre and rack of the worker, which may change.
  for (const TaskIndex task : this->capacity.At(worker).tasks) {
    this->replicaCounts.Remove(
      this->tasks.At(task).shape.service, this->capacity.At(worker), worker);
  }
  const bool changed = this->capacity.SetWorker(aSpec).second;
  for (const TaskIndex task : this->capacity.At(worker).tasks) {
    this->replicaCounts.Add(this->tasks.At(task).shape.service, this->capacity.At(worker), worker);
  }
  if (changed) {
    this->CancelOvercommit(worker);
    this->shares.SetTotal(this->capacity.Total());
    this->OnWorkersChanged();
    this->OnCapacityFreed(worker);
  }
}

void PlacementEngine::SetAvailable(const WorkerId& aWorker, bool aAvailable)
{
  const WorkerIndex worker = this->capacity.Find(aWorker);
  if (worker == kNone || this->capacity.At(worker).available == aAvailable) {
    return;
  }
  this->capacity.SetAvailable(worker, aAvailable);
  if (aAvailable) {
    this->OnCapacityFreed(worker);
  } else {
    this->CancelReservationsOn(worker);
  }
}

void PlacementEngine::RemoveWorker(const WorkerId& aWorker)
{
  const WorkerIndex worker = this->capacity.Find(aWorker);
  if (worker == kNone) {
    return;
  }
  this->capacity.SetAvailable(worker, false);
  this->CancelReservationsOn(worker);
  this->capacity.At(worker).removing = true;
  this->FinishRemoval(worker);
}

void PlacementEngine::FinishRemoval(WorkerIndex aWorker)
{
  if (!this->capacity.At(aWorker).removing || !this->capacity.At(aWorker).tasks.empty()) {
    return;
  }
  this->health.RemoveWorker(aWorker);
  this->interferencePolicy.RemoveWorker(aWorker);
  this->capacity.Remove(aWorker);
  this->shares.SetTotal(this->capacity.Total());
  this->OnWorkersChanged();
}

void PlacementEngine::OnWorkersChanged()
{
  this->queue.WakeUnplaceable();
}

void PlacementEngine::OnCapacityFreed(WorkerIndex aWorker)
{
  this->reservations.TopUp(aWorker);
  if (aWorker >= this->isFreedWorkerQueued.size()) {
    this->isFreedWorkerQueued.resize(aWorker + 1);
  }
  if (!this->isFreedWorkerQueued[aWorker]) {
    this->isFreedWorkerQueued[aWorker] = true;
    this->freedWorkers.push_back(aWorker);
  }
}

void PlacementEngine::CancelReservationsOn(WorkerIndex aWorker)
{
  this->headroom.ReleaseAll(aWorker);
  for (const TaskIndex task : this->reservations.OnWorker(aWorker)) {
    this->CancelReservation(this->now, task);
  }
}

// Cancels the reservations on a worker whose running tasks turn out to need the capacity.
void PlacementEngine::CancelOvercommit(WorkerIndex aWorker)
{
  if (!this->capacity.At(aWorker).Free().IsNonNegative()) {
    this->CancelReservationsOn(aWorker);
  }
}

void PlacementEngine::CancelReservation(Instant aNow, TaskIndex aTask)
{
  const WorkerIndex worker = this->reservations.Cancel(aTask);
  TaskRecord& task = this->tasks.At(aTask);
  this->shares.Refund(task.shape.organisation, task.shape.team, task.grant);
  this->OnShareChanged(task.shape.organisation, task.shape.team);
  task.grant = Resources{};
  this->Enqueue(aNow, aTask);
  this->OnCapacityFreed(worker);
}

TaskShape PlacementEngine::ShapeOf(const PlacementRequest& aRequest)
{
  const std::string& organisation = aRequest.organisation.Value();
  TaskShape shape;
  shape.organisation = this->organisationNames.Intern("o" + organisation);
  shape.team = this->teamNames.Intern(aRequest.team.Value());
  shape.kind = this->kindNames.Intern(organisation + "/" + aRequest.kind);
  if (!aRequest.service.Value().empty()) {
    shape.service = this->serviceNames.Intern(organisation + "/" + aRequest.service.Value());
  }
  shape.taskClass = aRequest.taskClass;
  shape.urgent = aRequest.urgent;
  shape.declared = aRequest.declared;
  if (const TaskHistory* history = this->tasks.FindHistory(aRequest.task)) {
    shape.minDemand = history->minDemand;
    shape.exclusionId = history->failedOn.empty() ? 0 : history->generation;
  }
  return shape;
}

void PlacementEngine::Submit(Instant aNow, const PlacementRequest& aRequest)
{
  this->now = std::max(this->now, aNow);
  if (this->tasks.Find(aRequest.task) != kNone) {
    this->counters.Add("placement_submit_refused_total", "duplicate");
    return;
  }
  if (!aRequest.declared.IsNonNegative()) {
    this->counters.Add("placement_submit_refused_total", "negative_amount");
    return;
  }
  const TaskIndex task = this->tasks.Add(aRequest.task, this->ShapeOf(aRequest));
  this->Enqueue(aNow, task);
}

void PlacementEngine::Enqueue(Instant aNow, TaskIndex aTask)
{
  TaskRecord& task = this->tasks.At(aTask);
  task.phase = TaskPhase::Queued;
  task.group = this->queue.Add(task.shape, { aTask, task.sequence, aNow });
  if (this->queue.At(task.group).state == GroupState::Unplaceable) {
    // The new task has not been reported as unplaceable yet.
    this->queue.Wake(task.group);
  }
}

void PlacementEngine::Dequeue(TaskIndex aTask)
{
  TaskRecord& task = this->tasks.At(aTask);
  task.phase = TaskPhase::Unused;
  this->queue.Cancel(task.group);
  task.group = kNone;
}

void PlacementEngine::Restore(Instant aNow,
                              const PlacementRequest& aRequest,
                              const WorkerId& aWorker,
                              const Resources& aGrant)
{
  this->now = std::max(this->now, aNow);
  TaskIndex task = this->tasks.Find(aRequest.task);
  if (task != kNone && OccupiesWorker(this->tasks.At(task).phase)) {
    this->counters.Add("placement_restore_refused_total", "already_placed");
    return;
  }
  if (task != kNone) {
    this->Release(aRequest.task);
  }
  task = this->tasks.Add(aRequest.task, this->ShapeOf(aRequest));
  const WorkerIndex worker = this->capacity.FindOrAdd(aWorker);
  const TaskRecord& record = this->tasks.At(task);
  this->capacity.Restore(worker, aGrant);
  this->CancelOvercommit(worker);
  this->shares.Charge(record.shape.organisation, record.shape.team, aGrant);
  this->Attach(aNow, task, worker, aGrant);
}

void PlacementEngine::Attach(Instant aNow,
                             TaskIndex aTask,
                             WorkerIndex aWorker,
                             const Resources& aGrant)
{
  TaskRecord& task = this->tasks.At(aTask);
  WorkerRecord& worker = this->capacity.At(aWorker);
  task.phase = TaskPhase::Placed;
  task.worker = aWorker;
  task.grant = aGrant;
  task.placedAt = aNow;
  task.checkpointedAt = aNow;
  task.position = static_cast<std::uint32_t>(worker.tasks.size());
  worker.tasks.push_back(aTask);
  if (VictimSelector::IsPreemptible(task.shape)) {
    this->capacity.AddPreemptible(aWorker, aGrant);
  }
  if (task.shape.service != kNone) {
    this->replicaCounts.Add(task.shape.service, worker, aWorker);
  }
  this->OnShareChanged(task.shape.organisation, kNone);
}

void PlacementEngine::Detach(TaskIndex aTask)
{
  TaskRecord& task = this->tasks.At(aTask);
  WorkerRecord& worker = this->capacity.At(task.worker);
  worker.tasks[task.position] = worker.tasks.back();
  this->tasks.At(worker.tasks.back()).position = task.position;
  worker.tasks.pop_back();
  if (task.phase == TaskPhase::Placed && VictimSelector::IsPreemptible(task.shape)) {
    this->capacity.RemovePreemptible(task.worker, task.grant);
  }
  if (task.shape.service != kNone) {
    this->replicaCounts.Remove(task.shape.service, worker, task.worker);
  }
  this->capacity.Free(task.worker, task.grant);
  this->shares.Refund(task.shape.organisation, task.shape.team, task.grant);
  this->OnShareChanged(task.shape.organisation, task.shape.team);
}

void PlacementEngine::Release(const TaskId& aTask)
{
  const TaskIndex index = this->tasks.Find(aTask);
  if (index == kNone) {
    this->counters.Add("placement_release_ignored_total", "unknown_task");
    return;
  }
  const TaskRecord& task = this->tasks.At(index);
  const WorkerIndex worker = task.worker;
  if (task.phase == TaskPhase::Queued) {
    this->Dequeue(index);
  } else if (task.phase == TaskPhase::Reserved) {
    this->CancelReservation(this->now, index);
    this->Dequeue(index);
  } else {
    const Resources freed = task.shape.urgent ? task.grant : Resources{};
    this->RecordOutcome(index);
    this->Detach(index);
    this->reservations.TopUp(worker);
    this->headroom.Hold(this->now, worker, freed);
  }
  this->tasks.Remove(index);
  if (worker != kNone) {
    this->OnCapacityFreed(worker);
    this->FinishRemoval(worker);
  }
}

void PlacementEngine::RecordCheckpoint(Instant aNow, const TaskId& aTask)
{
  this->now = std::max(this->now, aNow);
  const TaskIndex task = this->tasks.Find(aTask);
  if (task != kNone && OccupiesWorker(this->tasks.At(task).phase)) {
    this->tasks.At(task).checkpointedAt = aNow;
  }
}

void PlacementEngine::SetQuota(const TeamId& aTeam, std::optional<Resources> aQuota)
{
  const NameIndex team = this->teamNames.Intern(aTeam.Value());
  if (team == kNone) {
    return;
  }
  this->shares.SetQuota(team, aQuota);
  this->queue.WakeTeam(team);
  this->queue.WakeUnplaceable();
}

void PlacementEngine::SetWeight(const OrganisationId& aOrganisation, double aWeight)
{
  const NameIndex organisation = this->organisationNames.Intern("o" + aOrganisation.Value());
  this->shares.SetWeight(organisation, aWeight);
  this->OnShareChanged(organisation, kNone);
}

void PlacementEngine::OnShareChanged(NameIndex aOrganisation, NameIndex aTeam)
{
  this->queue.OnShareChanged(aOrganisation);
  if (aTeam != kNone) {
    this->queue.WakeTeam(aTeam);
  }
}

Resources PlacementEngine::AllocatedOn(const WorkerId& aWorker) const
{
  const WorkerIndex worker = this->capacity.Find(aWorker);
  return worker == kNone ? Resources{} : this->capacity.At(worker).allocated;
}

void PlacementEngine::QueueAction(TaskIndex aTask, PlacementAction aAction)
{
  this->pendingActions.push_back({ aTask, this->tasks.At(aTask).sequence, std::move(aAction) });
}

} // namespace oriolespread::internal
