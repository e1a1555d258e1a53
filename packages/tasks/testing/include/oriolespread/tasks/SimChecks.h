// Checks invariants of a simulation against what the workers run and what the journal contains.
#pragma once

#include "absl/strings/str_cat.h"

#include "oriolespread/tasks/JournalRecord.h"
#include "oriolespread/tasks/ShardRows.h"
#include "oriolespread/tasks/SimClock.h"

#include <map>
#include <set>
#include <string>

namespace oriolespread::sim {

class SimChecks
{
public:
  // First violation found; empty if there is none.
  std::string violation;
  std::uint64_t starts = 0;

  void Fail(const std::string& aText)
  {
    if (this->violation.empty()) {
      this->violation = aText;
    }
  }

  // Called when a worker starts an attempt.
  void OnStart(const AttemptId& aAttempt, const std::string& aCheckpoint)
  {
    ++this->starts;
    TaskHistory& task = this->tasks[aAttempt.task];
    if (task.placed.count(aAttempt.token) == 0) {
      this->Fail("started without a committed placement: " + ToString(aAttempt));
    }
    if (!(task.lastStarted < aAttempt.token)) {
      this->Fail("attempt started twice or after a later attempt: " + ToString(aAttempt));
    }
    if (!aCheckpoint.empty() && aCheckpoint != task.checkpointAtPlacement[aAttempt.token]) {
      this->Fail("started from a checkpoint other than the journaled one: " + ToString(aAttempt));
    }
    if (task.cancelled && task.placedBeforeCancel.count(aAttempt.token) == 0) {
      this->Fail("started although it was cancelled before its placement: " + ToString(aAttempt));
    }
    task.lastStarted = aAttempt.token;
  }

  // Called when a worker resumes a paused attempt.
  void OnResume(const AttemptId& aAttempt)
  {
    if (aAttempt.token < this->tasks[aAttempt.task].lastStarted) {
      this->Fail("resumed although a later attempt has started: " + ToString(aAttempt));
    }
  }

  // Called with 1 when an attempt begins to run and with -1 when it no longer runs.
  void OnRunning(const AttemptId& aAttempt, int aChange)
  {
    int& copies = this->tasks[aAttempt.task].running;
    copies += aChange;
    if (copies > 1) {
      this->Fail("task runs in two attempts at once: " + ToString(aAttempt));
    }
  }

  // Called when the store has applied a transaction.
  void OnApplied(const Transaction& aTransaction)
  {
    for (const RowWrite& write : aTransaction.writes) {
      if (write.value.has_value() && write.key.find("/journal/") != std::string::npos) {
        this->OnJournalRow(write.key.substr(0, write.key.rfind('/')), *write.value);
      }
    }
  }

  // Totals over all tasks, from the journal.
  std::size_t completed = 0;
  std::size_t expiredLeases = 0;
  std::size_t evictions = 0;
  std::size_t placements = 0;

private:
  struct TaskHistory
  {
    std::set<AttemptToken> placed;
    std::map<AttemptToken, std::string> checkpointAtPlacement;
    std::string lastCheckpoint;
    AttemptToken lastStarted;
    std::set<AttemptToken> placedBeforeCancel;
    bool cancelled = false;
    bool completed = false;
    int running = 0;
  };

  void OnJournalRow(const std::string& aShard, const nlohmann::json& aValue)
  {
    const auto epoch = aValue.at("epoch").get<Epoch>();
    if (epoch < this->epochs[aShard]) {
      this->Fail(absl::StrCat("journal row of epoch ", epoch.Value(), " after a later epoch"));
    }
    this->epochs[aShard] = epoch;
    for (const nlohmann::json& value : aValue.at("records")) {
      this->OnRecord(*DecodeRecord(value));
    }
  }

  void OnRecord(const JournalRecord& aRecord)
  {
    if (const auto* submit = std::get_if<JobSubmitted>(&aRecord)) {
      this->jobTasks[submit->spec.job] = submit->spec.tasks;
    } else if (const auto* place = std::get_if<TaskPlaced>(&aRecord)) {
      TaskHistory& task = this->tasks[place->attempt.task];
      if (task.cancelled || task.completed) {
        this->Fail("task placed after it was completed or cancelled: " + ToString(place->attempt));
      }
      ++this->placements;
      task.placed.insert(place->attempt.token);
      task.checkpointAtPlacement[place->attempt.token] = task.lastCheckpoint;
    } else if (const auto* cancel = std::get_if<TasksCancelled>(&aRecord)) {
      this->OnCancel(*cancel);
    } else if (const auto* progress = std::get_if<TaskProgressed>(&aRecord)) {
      this->tasks[progress->attempt.task].lastCheckpoint = progress->checkpoint;
    } else if (const auto* end = std::get_if<AttemptEnded>(&aRecord)) {
      TaskHistory& task = this->tasks[end->attempt.task];
      if (!end->checkpoint.empty()) {
        task.lastCheckpoint = end->checkpoint;
      }
      this->expiredLeases += end->reason == "lease_lapsed" ? 1 : 0;
      this->evictions += end->end == AttemptEnd::Evicted ? 1 : 0;
      if (end->end == AttemptEnd::Completed) {
        if (task.completed) {
          this->Fail("task completed twice: " + ToString(end->attempt));
        }
        task.completed = true;
        ++this->completed;
      }
    }
  }

  void OnCancel(const TasksCancelled& aCancel)
  {
    std::vector<std::uint32_t> indexes = aCancel.tasks;
    for (std::uint32_t index = 0; aCancel.tasks.empty() && index < this->jobTasks[aCancel.job];
         ++index) {
      indexes.push_back(index);
    }
    for (const std::uint32_t index : indexes) {
      TaskHistory& task = this->tasks[TaskId{ aCancel.job, index }];
      task.cancelled = task.cancelled || !task.completed;
      task.placedBeforeCancel = task.placed;
    }
  }

  std::map<TaskId, TaskHistory> tasks;
  std::map<JobId, std::uint32_t> jobTasks;
  std::map<std::string, Epoch> epochs;
};

} // namespace oriolespread::sim
