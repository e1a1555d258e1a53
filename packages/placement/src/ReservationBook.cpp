#include "ReservationBook.h"

#include <algorithm>

namespace oriolespread::internal {

ReservationBook::ReservationBook(CapacityIndex& aCapacity)
  : capacity(aCapacity)
{
}

void ReservationBook::Open(TaskIndex aTask, const Reservation& aReservation)
{
  Reservation& reservation = this->open.emplace(aTask, aReservation).first->second;
  reservation.held = Resources{};
  this->byWorker[reservation.worker].push_back(aTask);
  this->patient += reservation.urgent ? 0 : 1;
  this->Gather(aTask, reservation);
}

void ReservationBook::TopUp(WorkerIndex aWorker)
{
  const auto it = this->byWorker.find(aWorker);
  if (it == this->byWorker.end()) {
    return;
  }
  for (const bool urgent : { true, false }) {
    for (const TaskIndex task : it->second) {
      Reservation& reservation = this->open.at(task);
      if (reservation.urgent == urgent) {
        this->Gather(task, reservation);
      }
    }
  }
}

WorkerIndex ReservationBook::Cancel(TaskIndex aTask)
{
  if (!this->open.contains(aTask)) {
    return kNone;
  }
  const Reservation reservation = this->Remove(aTask);
  this->capacity.Free(reservation.worker, reservation.held);
  return reservation.worker;
}

Reservation ReservationBook::Take(TaskIndex aTask)
{
  return this->Remove(aTask);
}

std::optional<TaskIndex> ReservationBook::Complete() const
{
  return this->complete.empty() ? std::nullopt : std::optional(this->complete.front());
}

std::vector<TaskIndex> ReservationBook::Expired(Instant aNow) const
{
  std::vector<TaskIndex> expired;
  for (const auto& [task, reservation] : this->open) {
    if (reservation.deadline <= aNow && reservation.held != reservation.wanted) {
      expired.push_back(task);
    }
  }
  return expired;
}

std::vector<TaskIndex> ReservationBook::OnWorker(WorkerIndex aWorker) const
{
  const auto it = this->byWorker.find(aWorker);
  return it == this->byWorker.end() ? std::vector<TaskIndex>{} : it->second;
}

const Reservation* ReservationBook::Find(TaskIndex aTask) const
{
  const auto it = this->open.find(aTask);
  return it == this->open.end() ? nullptr : &it->second;
}

void ReservationBook::Gather(TaskIndex aTask, Reservation& aReservation)
{
  const Resources missing = aReservation.wanted - aReservation.held;
  const Resources free = this->capacity.At(aReservation.worker).Free();
  const Resources more = Greatest(Least(missing, free), Resources{});
  if (missing == Resources{} || !this->capacity.Reserve(aReservation.worker, more)) {
    return;
  }
  aReservation.held += more;
  if (aReservation.held == aReservation.wanted) {
    this->complete.push_back(aTask);
  }
}

Reservation ReservationBook::Remove(TaskIndex aTask)
{
  const auto it = this->open.find(aTask);
  const Reservation reservation = it->second;
  this->open.erase(it);
  this->patient -= reservation.urgent ? 0 : 1;
  std::vector<TaskIndex>& list = this->byWorker[reservation.worker];
  std::erase(list, aTask);
  if (list.empty()) {
    this->byWorker.erase(reservation.worker);
  }
  std::erase(this->complete, aTask);
  return reservation;
}

} // namespace oriolespread::internal
