// The part of ShardCore that processes submissions and cancellations.
#include "oriolespread/tasks/ShardCore.h"

namespace oriolespread {

void ShardCore::ProcessInbox(const std::vector<InboxRow>& aRows)
{
  // Submissions are processed first, so that a cancellation on the same page finds its job.
  for (const InboxRow& row : aRows) {
    if (!row.item.has_value()) {
      this->DropInboxRow(row.key, "malformed");
    } else if (const auto* spec = std::get_if<JobSpec>(&*row.item)) {
      this->ProcessSubmission(row.key, *spec);
    }
  }
  for (const InboxRow& row : aRows) {
    if (row.item.has_value() && std::holds_alternative<CancelRequest>(*row.item)) {
      this->ProcessCancellation(row.key, std::get<CancelRequest>(*row.item));
    }
  }
}

void ShardCore::DropInboxRow(const std::string& aKey, std::string_view aReason)
{
  this->counters.Add("inbox_dropped_total", aReason);
  this->inbox.MarkProcessed(aKey);
  this->journal.StageWrites({ { aKey, std::nullopt } });
  this->journal.Defer(InboxRowDeleted{ aKey });
}

void ShardCore::ProcessSubmission(const std::string& aKey, const JobSpec& aSpec)
{
  if (this->table.FindJob(aSpec.job) != nullptr) {
    this->DropInboxRow(aKey, "repeated_submission");
    return;
  }
  this->inbox.MarkProcessed(aKey);
  this->Stage(JobSubmitted{ aSpec }, aSpec.job, { { aKey, std::nullopt } });
  this->journal.Defer(InboxRowDeleted{ aKey });
  this->counters.Add("inbox_taken_total", "submit");
  for (std::uint32_t index = 0; index < aSpec.tasks; ++index) {
    this->placerUpdates.emplace_back(SubmitToPlacer{ MakePlacementRequest(aSpec, index) });
  }
}

void ShardCore::ProcessCancellation(const std::string& aKey, const CancelRequest& aRequest)
{
  JobRecord* job = this->table.FindJob(aRequest.job);
  if (job == nullptr) {
    // The pages of a scan are read at different times, so the submission may still be found.
    if (this->inbox.IsOverdue(aKey)) {
      this->DropInboxRow(aKey, "cancel_of_unknown_job");
    }
    return;
  }
  // Collected before the record is applied, because a finished job drops its tasks.
  std::vector<TaskId> waiting;
  std::vector<AttemptId> placed;
  const auto collect = [&](std::uint32_t aIndex) {
    if (aIndex >= job->tasks.size() || IsFinal(job->tasks[aIndex].state)) {
      return;
    }
    const TaskRecord& task = job->tasks[aIndex];
    const TaskId id{ aRequest.job, aIndex };
    if (task.hasAttempt) {
      placed.push_back({ id, task.token });
    } else {
      waiting.push_back(id);
    }
  };
  if (aRequest.tasks.empty()) {
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index) {
      collect(index);
    }
  }
  for (const std::uint32_t index : aRequest.tasks) {
    collect(index);
  }
  if (waiting.empty() && placed.empty()) {
    this->DropInboxRow(aKey, "nothing_to_cancel");
    return;
  }
  this->inbox.MarkProcessed(aKey);
  this->Stage(
    TasksCancelled{ aRequest.job, aRequest.tasks }, aRequest.job, { { aKey, std::nullopt } });
  this->journal.Defer(InboxRowDeleted{ aKey });
  this->counters.Add("inbox_taken_total", "cancel");
  this->counters.Add("tasks_cancelled_total", "waiting", waiting.size());
  this->counters.Add("tasks_cancelled_total", "placed", placed.size());
  for (const TaskId& task : waiting) {
    this->placerUpdates.emplace_back(ReleaseFromPlacer{ task });
  }
  for (const AttemptId& attempt : placed) {
    this->CancelAttempt(attempt);
  }
}

void ShardCore::CancelAttempt(const AttemptId& aAttempt)
{
  LiveAttempt* live = this->FindAttempt(aAttempt, nullptr);
  if (live == nullptr) {
    return;
  }
  live->stopRequested = true;
  live->stopAt = Instant{};
  live->nextSend = Instant{};
  if (!live->mayHaveStarted) {
    this->EndAttempt(aAttempt, AttemptEnd::Evicted, {}, "cancelled_before_start");
  } else {
    this->journal.Defer(DeferredCommand{ aAttempt });
  }
}

} // namespace oriolespread
