// Reservations of capacity on one worker for a waiting task. A reservation takes the capacity that
// is free on the worker now and what becomes free later, until the task fits. No other task can get
// capacity that a reservation holds.
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

// Not thread-safe. Held capacity counts as allocated in the capacity index.
class ReservationTable
{
public:
  explicit ReservationTable(CapacityIndex& aCapacity);

  // Opens a reservation and takes the free capacity. A task has at most one reservation.
  void Open(TaskIndex aTask, const Reservation& aReservation);
  // Gives capacity that became free on the worker to its reservations: urgent ones first, then in
  // the order in which they were opened.
  void TopUp(WorkerIndex aWorker);
  // Removes the reservation and frees the capacity that it held. Returns its worker, or kNone if
  // the task has no reservation.
  WorkerIndex Cancel(TaskIndex aTask);
  // Removes a complete reservation. Its capacity stays allocated, and the caller uses it as the
  // grant of the task.
  Reservation Take(TaskIndex aTask);

  // Returns a task whose reservation is complete.
  std::optional<TaskIndex> FirstComplete() const;
  // Returns the tasks whose reservation is past its deadline and not complete.
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
  // An ordered map, so that results do not depend on hashing.
  std::map<TaskIndex, Reservation> byTask;
  absl::flat_hash_map<WorkerIndex, std::vector<TaskIndex>> byWorker;
  std::vector<TaskIndex> completeTasks;
  std::size_t nonUrgentCount = 0;
};

} // namespace oriolespread::internal
