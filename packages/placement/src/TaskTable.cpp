#include "TaskTable.h"

namespace oriolespread::internal {

TaskTable::TaskTable()
  : indexes(0, IdHash{ &this->records }, IdEqual{ &this->records })
{
}

TaskIndex TaskTable::Find(const TaskId& aTask) const
{
  const auto it = this->indexes.find(aTask);
  return it == this->indexes.end() ? kNone : *it;
}

TaskIndex TaskTable::Add(const TaskId& aTask, const TaskShape& aShape)
{
  TaskIndex index = kNone;
  if (this->unused.empty()) {
    index = static_cast<TaskIndex>(this->records.size());
    this->records.emplace_back();
  } else {
    index = this->unused.back();
    this->unused.pop_back();
  }
  TaskRecord& record = this->records[index];
  record.id = aTask;
  record.shape = aShape;
  record.sequence = ++this->lastSequence;
  if (const TaskHistory* history = this->FindHistory(aTask)) {
    record.evictions = history->evictions;
    record.lastEvicted = history->lastEvicted;
  }
  this->indexes.insert(index);
  return index;
}

void TaskTable::Remove(TaskIndex aIndex)
{
  this->indexes.erase(aIndex);
  this->records[aIndex] = TaskRecord{};
  this->unused.push_back(aIndex);
}

TaskHistory& TaskTable::FindOrAddHistory(const TaskId& aTask)
{
  const auto [it, added] = this->histories.try_emplace(aTask);
  if (added) {
    it->second.generation = ++this->lastGeneration;
    this->historyOrder.emplace_back(aTask, it->second.generation);
    this->TrimHistories();
  }
  return this->histories.find(aTask)->second;
}

void TaskTable::TrimHistories()
{
  while (this->historyOrder.size() > kMaxHistories) {
    const auto& [task, generation] = this->historyOrder.front();
    const auto oldest = this->histories.find(task);
    if (oldest != this->histories.end() && oldest->second.generation == generation) {
      this->histories.erase(oldest);
    }
    this->historyOrder.pop_front();
  }
}

const TaskHistory* TaskTable::FindHistory(const TaskId& aTask) const
{
  const auto it = this->histories.find(aTask);
  return it == this->histories.end() ? nullptr : &it->second;
}

} // namespace oriolespread::internal
