#include "ReservationTable.h"

#include <algorithm>

namespace oriolespread::internal {

ReservationTable::ReservationTable(CapacityIndex& aCapacity)
  : capacity(aCapacity)
{
}

void ReservationTable::Open(TaskIndex aTask, const Reservation& aReservation)
{
  Reservation& reservation = this->byTask.emplace(aTask, aReservation).first->second;
  reservation.held = Resources{};
  this->byWorker[reservation.worker].push_back(aTask);
  this->nonUrgentCount += reservation.urgent ? 0 : 1;
  this->TakeFreeCapacity(aTask, reservation);
}

void ReservationTable::TopUp(WorkerIndex aWorker)
{
  const auto it = this->byWorker.find(aWorker);
  if (it == this->byWorker.end()) {
    return;
  }
  for (const bool urgent : { true, false }) {
    for (const TaskIndex task : it->second) {
      Reservation& reservation = this->byTask.at(task);
      if (reservation.urgent == urgent) {
        this->TakeFreeCapacity(task, reservation);
      }
    }
  }
}

WorkerIndex ReservationTable::Cancel(TaskIndex aTask)
{
  if (!this->byTask.contains(aTask)) {
    return kNone;
  }
  const Reservation reservation = this->Remove(aTask);
  this->capacity.Free(reservation.worker, reservation.held);
  return reservation.worker;
}

Reservation ReservationTable::Take(TaskIndex aTask)
{
  return this->Remove(aTask);
}

std::optional<TaskIndex> ReservationTable::FirstComplete() const
{
  return this->completeTasks.empty() ? std::nullopt : std::optional(this->completeTasks.front());
}

std::vector<TaskIndex> ReservationTable::Expired(Instant aNow) const
{
  std::vector<TaskIndex> expired;
  for (const auto& [task, reservation] : this->byTask) {
    if (reservation.deadline <= aNow && reservation.held != reservation.demand) {
      expired.push_back(task);
    }
  }
  return expired;
}

std::vector<TaskIndex> ReservationTable::OnWorker(WorkerIndex aWorker) const
{
  const auto it = this->byWorker.find(aWorker);
  return it == this->byWorker.end() ? std::vector<TaskIndex>{} : it->second;
}

const Reservation* ReservationTable::Find(TaskIndex aTask) const
{
  const auto it = this->byTask.find(aTask);
  return it == this->byTask.end() ? nullptr : &it->second;
}

void ReservationTable::TakeFreeCapacity(TaskIndex aTask, Reservation& aReservation)
{
  const Resources missing = aReservation.demand - aReservation.held;
  const Resources free = this->capacity.At(aReservation.worker).Free();
  const Resources more = ElementwiseMax(ElementwiseMin(missing, free), Resources{});
  if (missing == Resources{} || !this->capacity.Reserve(aReservation.worker, more)) {
    return;
  }
  aReservation.held += more;
  if (aReservation.held == aReservation.demand) {
    this->completeTasks.push_back(aTask);
  }
}

Reservation ReservationTable::Remove(TaskIndex aTask)
{
  const auto it = this->byTask.find(aTask);
  const Reservation reservation = it->second;
  this->byTask.erase(it);
  this->nonUrgentCount -= reservation.urgent ? 0 : 1;
  std::vector<TaskIndex>& list = this->byWorker[reservation.worker];
  std::erase(list, aTask);
  if (list.empty()) {
    this->byWorker.erase(reservation.worker);
  }
  std::erase(this->completeTasks, aTask);
  return reservation;
}

} // namespace oriolespread::internal
