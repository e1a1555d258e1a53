// Capacity that is gathered on one worker for a waiting task: what is free there at once, and what
// becomes free later, until the task fits. Nobody else can take what is held.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <map>
#include <optional>
#include <vector>

namespace oriolespread::internal {

struct Reservation
{
  WorkerIndex worker = kNone;
  Resources demand;
  Resources held;
  Instant deadline;
  bool urgent = false;
};

// Not thread-safe. What is held counts as used in the capacity index.
class ReservationTable
{
public:
  explicit ReservationTable(CapacityIndex& aCapacity);

  // Opens a reservation and takes what is free. A task has at most one.
  void Open(TaskIndex aTask, const Reservation& aReservation);
  // Takes what has become free on the worker, urgent reservations first, then older ones.
  void TopUp(WorkerIndex aWorker);
  // Ends the reservation and frees what it held. Returns its worker, or kNone without one.
  WorkerIndex Cancel(TaskIndex aTask);
  // Ends a complete reservation; the wanted amount stays reserved and becomes the caller's grant.
  Reservation Take(TaskIndex aTask);

  // Returns a task whose reservation is complete.
  std::optional<TaskIndex> FirstComplete() const;
  // Returns the tasks whose reservation has passed its deadline.
  std::vector<TaskIndex> Expired(Instant aNow) const;
  std::vector<TaskIndex> OnWorker(WorkerIndex aWorker) const;
  const Reservation* Find(TaskIndex aTask) const;
  // Returns the number of reservations that are not urgent.
  std::size_t NonUrgentCount() const { return this->nonUrgentCount; }
  std::size_t size() const { return this->byTask.size(); }

private:
  void TakeFreeCapacity(TaskIndex aTask, Reservation& aReservation);
  Reservation Remove(TaskIndex aTask);

  CapacityIndex& capacity;
  // Ordered, so that results do not depend on hashing.
  std::map<TaskIndex, Reservation> byTask;
  absl::flat_hash_map<WorkerIndex, std::vector<TaskIndex>> byWorker;
  std::vector<TaskIndex> completeTasks;
  std::size_t nonUrgentCount = 0;
};

} // namespace oriolespread::internal
