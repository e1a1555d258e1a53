// The rows in which jobs are stored, and their keys:
//
//   jobs     <job>               the submitted record, written by the entry that accepted it
//            <job>.cancel        present once a cancellation of the job was accepted
//            <id>+<queue>.cancel present once a cancellation was accepted before the queue's job
//                                with this identifier was stored
//   state    <job>               the job state shown to callers, written by the leader
//   waiting  <queue>/<job>       present until a worker has started a task of the job, or the job
//                                has ended
//            =<queue>/<job>      the same if the name of the queue is too long for a key; the value
//                                is the name
//   progress <job>.<occ>.<step>  runs, failures and checkpoints of a step, written by the leader
//            <job>.<occ>.<step>+<row>   the same for some of the tasks of a wide step
//   learned  interference        the leader's interference weights, read by the next leader
//   lead     leader              the current leader; renewed by each of its transactions
//
// The clients of each queue choose identifiers on their own, so that queues may have jobs with the
// same one. <job> is the identifier alone or, while a job of another service has that key,
// <id>@<service>. A service has one job with an identifier at a time, as its workers know a task by
// the identifier. After the identifier or '=', <queue> and <service> are hashes of the names.
//
// An entry is a process that accepts jobs from callers; one of them is the leader.
//
// Rows of `jobs` and `waiting` are distributed over several parts (partitions) of the store by job.
// All other rows are in the leader's part. A transaction is limited to one part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
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

// The longest key and the longest value of a row that the store takes.
inline constexpr std::size_t kMaxKeyBytes = 200;
inline constexpr std::size_t kMaxRowBytes = 65'536;
// The longest value of a row that is not longer than that in Base64.
inline constexpr std::size_t kMaxRowValueBytes = 49'152;

// The longest key of a job. The rest of a row's key is for the numbers that the leader adds.
inline constexpr std::size_t kMaxJobKeyBytes = 160;

// The part with the leader's rows and those that entries share.
inline constexpr std::string_view kSharedPart = "s0";
// A part runs one transaction at a time, about six per second while the store is slowed down by
// a factor of 50. Eight parts then accept 48 submissions per second without delaying the leader's
// transactions.
inline constexpr std::size_t kJobPartCount = 8;

// Tasks of a step that one row of `progress` holds. A step with more tasks has several rows, since
// the store limits the size of a row.
inline constexpr std::uint32_t kTasksPerProgressRow = 40;

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

// The job state shown to callers.
enum class JobState
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

// Returns the stored name of a state.
std::string_view JobStateName(JobState aState);
// Returns false if the text names no state.
bool ParseJobState(std::string_view aText, JobState& aState);
bool IsTerminal(JobState aState);

// Returns the key of the service's job with the identifier while a job of another service has the
// identifier as its key.
std::string ServiceJobKey(const std::string& aIdentifier, const std::string& aService);
// Returns the identifier that the caller has chosen, from the key of a job.
std::string IdentifierOf(std::string_view aJob);
// Returns what stands for the queue's job with the identifier, whatever its key will be, in the key
// of a cancellation that was accepted before the job was stored.
std::string EarlyCancelName(const std::string& aIdentifier, const std::string& aQueue);
// Returns whether the name is one that EarlyCancelName returns and not the key of a job.
bool IsEarlyCancelName(std::string_view aName);

// A task name in the form ID.OCCURRENCE.STEP.INDEX. In messages to workers, `job` is the job's
// identifier; within the scheduler, it is the job's key.
struct TaskName
{
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  static bool Parse(std::string_view aText, TaskName& aName);
};

std::string ToString(const TaskName& aName);

// The key of a progress row in the form ID.OCCURRENCE.STEP or ID.OCCURRENCE.STEP+ROW.
struct ProgressName
{
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  // Which tasks the row holds: kTasksPerProgressRow of them from the index row *
  // kTasksPerProgressRow. Without a number, the row holds all tasks of the step.
  std::optional<std::uint32_t> row;

  // Returns false if the text is not such a key.
  static bool Parse(std::string_view aText, ProgressName& aName);
};

std::string ToString(const ProgressName& aName);

// Returns the name of a part with rows of `jobs` and `waiting`; the index is below kJobPartCount.
std::string JobPart(std::size_t aIndex);
// Returns the part of the rows of all jobs with the identifier of this one, which is the same in
// every process and build.
std::string JobPartOf(const std::string& aJob);

// The value of a row of `state`.
struct StoredJobState
{
  JobState state = JobState::Queued;
  // When the job ended; 0 before.
  std::int64_t endedUnixMs = 0;
  // The name and the address of the job's queue at the submission; empty if the row was written by
  // a version that did not store them.
  std::string queue;
  std::string address;
};

std::string EncodeJobState(const StoredJobState& aState);
// Returns none if the value is not such a state.
std::optional<StoredJobState> DecodeJobState(const std::string& aValue);

RowKey LeaderRow();
RowKey InterferenceWeightsRow();
RowKey JobRow(const std::string& aJob);
RowKey CancelRow(const std::string& aJob);
RowKey WaitingRow(const std::string& aQueue, const std::string& aJob);
// Returns the change that writes the row.
RowChange MakeWaitingRow(const std::string& aQueue, const std::string& aJob);
// Returns what the keys of the queue's rows of `waiting` begin with, each with '/' as the last
// character. Rows of other queues may begin with it too.
std::vector<std::string> WaitingKeyPrefixes(const std::string& aQueue);
// Returns whether this is a row of `waiting` of the queue.
bool IsWaitingRowOf(const std::string& aQueue, std::string_view aKey, std::string_view aValue);
RowKey StateRow(const std::string& aJob);
RowKey ProgressRow(const std::string& aJob,
                   std::uint32_t aOccurrence,
                   std::uint32_t aStep,
                   std::optional<std::uint32_t> aRow = std::nullopt);
// Returns the value of a cancellation's row: when it was sent to the store, in Unix milliseconds.
std::string EncodeCancellation(std::int64_t aUnixMs);
// Returns that time; none if the value has no valid one, as in the rows of earlier versions.
std::optional<std::int64_t> DecodeCancellation(const std::string& aValue);
// Returns the number of the row with this task, or none if one row holds a step of this many tasks.
std::optional<std::uint32_t> ProgressRowNumber(std::size_t aTaskCount, std::uint32_t aIndex);

} // namespace oriolespread::jobs
