// The rows in which the scheduler keeps jobs, and their keys:
//
//   jobs     <id>                the submitted record, written by the entry that accepted it
//            <id>.cancel         present once a cancellation was accepted
//   state    <id>                the state that callers are shown, written by the leader
//   waiting  <queue>/<id>        present until the job's first task is started
//   progress <id>.<occ>.<step>   runs, failures and checkpoints of a step, written by the leader
//   learned  interference        what the leader has learned of images, for the next leader
//   lead     leader              who leads; every transaction of the leader renews it
//
// The rows of `jobs` and `waiting` are spread over parts of the store by job, all others are in the
// leader's part. A transaction holds rows of one part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::jobs {

inline constexpr std::string_view kJobsTable = "jobs";
inline constexpr std::string_view kStateTable = "state";
inline constexpr std::string_view kWaitingTable = "waiting";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kLearnedTable = "learned";
inline constexpr std::string_view kLeadTable = "lead";
inline constexpr std::string_view kLeaderKey = "leader";
inline constexpr std::string_view kCancelSuffix = ".cancel";

// The part of the leader's rows and of what entries tell one another.
inline constexpr std::string_view kSharedPart = "s0";
// A part takes one transaction after another, six a second from a store that is slowed 50 times.
// Eight parts take 48 submissions a second then, and do not delay the leader's transactions.
inline constexpr std::size_t kJobPartCount = 8;

struct RowKey
{
  std::string table;
  std::string key;
  std::string part = std::string(kSharedPart);

  friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

// A row to be written, or removed when `remove` is set.
struct RowChange
{
  RowKey row;
  std::string value;
  bool remove = false;
};

// What callers are shown of a job.
enum class JobState
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

// Returns the name of a state as it is stored.
std::string_view JobStateName(JobState aState);
// Returns false for a text that names no state.
bool ParseJobState(std::string_view aText, JobState& aState);
bool IsTerminal(JobState aState);

// The name of one task, in the form ID.OCCURRENCE.STEP.INDEX.
struct TaskName
{
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  static bool Parse(std::string_view aText, TaskName& aName);
};

std::string ToString(const TaskName& aName);
std::string ProgressKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);

// Names of the parts that hold `jobs` and `waiting`; the index is below kJobPartCount.
std::string JobPart(std::size_t aIndex);
// The part of a job's rows, the same in every process and build.
std::string JobPartOf(const std::string& aJob);

RowKey LeaderRow();
RowKey LearnedRow();
RowKey JobRow(const std::string& aJob);
RowKey CancelRow(const std::string& aJob);
RowKey WaitingRow(const std::string& aQueue, const std::string& aJob);
RowKey StateRow(const std::string& aJob);
RowKey ProgressRow(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);

} // namespace oriolespread::jobs
