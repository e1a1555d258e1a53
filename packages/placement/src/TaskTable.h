// Stores the records of all queued and placed tasks by index, and keeps the history of a task
// between its attempts.
#pragma once

#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <string>
#include <vector>

namespace oriolespread::internal {

// The data of a task that is kept after its release for the next attempt.
struct TaskHistory
{
  Resources minDemand;
  Instant lastEvicted;
  // Workers on which the task failed, without duplicates.
  std::vector<WorkerId> failedOn;
  std::uint16_t evictions = 0;
  // Unique to the history; distinguishes it from a later one of the same task.
  std::uint64_t generation = 0;
};

// Not thread-safe. Keeps at most kMaxHistories histories and removes the oldest first.
class TaskTable
{
public:
  TaskTable();
  TaskTable(const TaskTable&) = delete;
  TaskTable& operator=(const TaskTable&) = delete;

  // Returns kNone if the task is unknown.
  TaskIndex Find(const TaskId& aTask) const;
  // The task must be unknown.
  TaskIndex Add(const TaskId& aTask, const TaskShape& aShape);
  void Remove(TaskIndex aIndex);

  TaskRecord& At(TaskIndex aIndex) { return this->records[aIndex]; }
  const TaskRecord& At(TaskIndex aIndex) const { return this->records[aIndex]; }
  const std::vector<TaskRecord>& Records() const { return this->records; }
  // Returns whether the index still belongs to the submission with this sequence number.
  bool IsCurrent(TaskIndex aIndex, std::uint64_t aSequence) const
  {
    return this->records[aIndex].sequence == aSequence &&
           this->records[aIndex].phase != TaskPhase::Unused;
  }
  std::size_t size() const { return this->indexes.size(); }

  // Returns the history of the task and adds an empty one if there is none.
  TaskHistory& FindOrAddHistory(const TaskId& aTask);
  // Returns nullptr if there is no history of the task.
  const TaskHistory* FindHistory(const TaskId& aTask) const;
  void RemoveHistory(const TaskId& aTask) { this->histories.erase(aTask); }

  static constexpr std::size_t kMaxHistories = 20'000;

private:
  // The set of known tasks holds only indexes; the ids are in the records.
  struct IdHash
  {
    using is_transparent = void;
    const std::vector<TaskRecord>* records;
    std::size_t operator()(const TaskId& aTask) const { return absl::Hash<TaskId>()(aTask); }
    std::size_t operator()(TaskIndex aIndex) const { return (*this)((*this->records)[aIndex].id); }
  };
  struct IdEqual
  {
    using is_transparent = void;
    const std::vector<TaskRecord>* records;
    bool operator()(TaskIndex aLeft, TaskIndex aRight) const { return aLeft == aRight; }
    bool operator()(TaskIndex aLeft, const TaskId& aRight) const
    {
      return (*this->records)[aLeft].id == aRight;
    }
    bool operator()(const TaskId& aLeft, TaskIndex aRight) const { return (*this)(aRight, aLeft); }
  };

  void TrimHistories();

  std::vector<TaskRecord> records;
  // Indexes of removed records, which are reused.
  std::vector<TaskIndex> unused;
  absl::flat_hash_set<TaskIndex, IdHash, IdEqual> indexes;
  absl::flat_hash_map<TaskId, TaskHistory> histories;
  // Tasks and generations of the histories, oldest first.
  std::deque<std::pair<TaskId, std::uint64_t>> historyOrder;
  std::uint64_t lastGeneration = 0;
  std::uint64_t lastSequence = 0;
};

} // namespace oriolespread::internal
