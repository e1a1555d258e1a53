#include "oriolespread/jobs/JobRows.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include "oriolespread/jobs/JobSpec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace oriolespread::jobs {

namespace {

constexpr std::array<std::string_view, 5> kStateNames = { "queued",
                                                          "running",
                                                          "completed",
                                                          "failed",
                                                          "cancelled" };

bool ParseNumber(std::string_view aText, std::uint32_t& aNumber)
{
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return error == std::errc{} && end == aText.data() + aText.size();
}

constexpr char kServiceMark = '@';
constexpr char kEarlyCancelMark = '+';
constexpr char kQueueHashMark = '=';
// The length of <id>@<service>, the longest key that entries give a job.
constexpr std::size_t kServiceJobKeyBytes = 33;

// The hash is part of stored keys.
std::string HashText(const std::string& aText)
{
  return absl::StrCat(absl::Hex(XXH3_64bits(aText.data(), aText.size()), absl::kZeroPad16));
}

std::string HashedQueuePrefix(const std::string& aQueue)
{
  return absl::StrCat(std::string(1, kQueueHashMark), HashText(aQueue), "/");
}

// Spaces separate the fields of a state. A text without spaces and percent signs stays as it is.
std::string EscapeSpaces(const std::string& aText)
{
  return absl::StrReplaceAll(aText, { { "%", "%25" }, { " ", "%20" } });
}

std::string UnescapeSpaces(const std::string& aText)
{
  return absl::StrReplaceAll(aText, { { "%20", " " }, { "%25", "%" } });
}

} // namespace

std::string ServiceJobKey(const std::string& aIdentifier, const std::string& aService)
{
  return aIdentifier + kServiceMark + HashText(aService);
}

std::string IdentifierOf(std::string_view aJob)
{
  const std::size_t mark = std::min(aJob.find(kServiceMark), aJob.find(kEarlyCancelMark));
  return std::string(aJob.substr(0, mark));
}

std::string EarlyCancelName(const std::string& aIdentifier, const std::string& aQueue)
{
  return aIdentifier + kEarlyCancelMark + HashText(aQueue);
}

bool IsEarlyCancelName(std::string_view aName)
{
  return aName.find(kEarlyCancelMark) != std::string_view::npos;
}

std::string EncodeJobState(const StoredJobState& aState)
{
  std::string value = absl::StrCat(std::string(JobStateName(aState.state)),
                                   " ",
                                   aState.endedUnixMs,
                                   " ",
                                   EscapeSpaces(aState.queue));
  if (!aState.address.empty()) {
    absl::StrAppend(&value, " ", EscapeSpaces(aState.address));
  }
  return value;
}

std::optional<StoredJobState> DecodeJobState(const std::string& aValue)
{
  StoredJobState stored;
  std::istringstream stream(aValue);
  std::string state;
  stream >> state >> stored.endedUnixMs >> stored.queue >> stored.address;
  if (!ParseJobState(state, stored.state) || stored.endedUnixMs < 0 ||
      stored.endedUnixMs > kMaxUnixMs) {
    return std::nullopt;
  }
  stored.queue = UnescapeSpaces(stored.queue);
  stored.address = UnescapeSpaces(stored.address);
  return stored;
}

std::string_view JobStateName(JobState aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

bool ParseJobState(std::string_view aText, JobState& aState)
{
  for (std::size_t index = 0; index < kStateNames.size(); ++index) {
    if (kStateNames[index] == aText) {
      aState = static_cast<JobState>(index);
      return true;
    }
  }
  return false;
}

bool IsTerminal(JobState aState)
{
  return aState != JobState::Queued && aState != JobState::Running;
}

bool TaskName::Parse(std::string_view aText, TaskName& aName)
{
  std::array<std::string_view, 4> parts;
  for (std::size_t index = 3; index > 0; --index) {
    const std::size_t dot = aText.rfind('.');
    if (dot == std::string_view::npos) {
      return false;
    }
    parts[index] = aText.substr(dot + 1);
    aText = aText.substr(0, dot);
  }
  aName.job = std::string(aText);
  return !aText.empty() && ParseNumber(parts[1], aName.occurrence) &&
         ParseNumber(parts[2], aName.step) && ParseNumber(parts[3], aName.index);
}

std::string ToString(const TaskName& aName)
{
  return absl::StrCat(aName.job, ".", aName.occurrence, ".", aName.step, ".", aName.index);
}

bool ProgressName::Parse(std::string_view aText, ProgressName& aName)
{
  aName.row.reset();
  if (const std::size_t plus = aText.rfind('+'); plus != std::string_view::npos) {
    if (!ParseNumber(aText.substr(plus + 1), aName.row.emplace())) {
      return false;
    }
    aText = aText.substr(0, plus);
  }
  TaskName name;
  if (!TaskName::Parse(absl::StrCat(std::string(aText), ".0"), name)) {
    return false;
  }
  aName.job = std::move(name.job);
  aName.occurrence = name.occurrence;
  aName.step = name.step;
  return true;
}

std::string ToString(const ProgressName& aName)
{
  std::string text = absl::StrCat(aName.job, ".", aName.occurrence, ".", aName.step);
  if (aName.row.has_value()) {
    absl::StrAppend(&text, "+", *aName.row);
  }
  return text;
}

std::string JobPart(std::size_t aIndex)
{
  return absl::StrCat("j", aIndex);
}

std::string JobPartOf(const std::string& aJob)
{
  // FNV-1a, because std::hash may differ between builds.
  std::uint32_t hash = 2166136261U;
  for (const char c : IdentifierOf(aJob)) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return JobPart(hash % kJobPartCount);
}

RowKey LeaderRow()
{
  return { std::string(kLeadTable), std::string(kLeaderKey) };
}

RowKey InterferenceWeightsRow()
{
  return { std::string(kLearnedTable), "interference" };
}

RowKey JobRow(const std::string& aJob)
{
  return { std::string(kJobsTable), aJob, JobPartOf(aJob) };
}

RowKey CancelRow(const std::string& aJob)
{
  return { std::string(kJobsTable), aJob + std::string(kCancelSuffix), JobPartOf(aJob) };
}

RowKey WaitingRow(const std::string& aQueue, const std::string& aJob)
{
  std::string key = absl::StrCat(aQueue, "/", aJob);
  if (key.size() > kMaxKeyBytes) {
    key = absl::StrCat(HashedQueuePrefix(aQueue), aJob);
  }
  return { std::string(kWaitingTable), std::move(key), JobPartOf(aJob) };
}

RowChange MakeWaitingRow(const std::string& aQueue, const std::string& aJob)
{
  RowKey row = WaitingRow(aQueue, aJob);
  const bool isHashed = aQueue.size() + 1 + aJob.size() > kMaxKeyBytes;
  return { std::move(row), isHashed ? aQueue : std::string(), false };
}

std::vector<std::string> WaitingKeyPrefixes(const std::string& aQueue)
{
  std::vector<std::string> prefixes;
  if (aQueue.size() < kMaxKeyBytes) {
    prefixes.push_back(aQueue + "/");
  }
  if (aQueue.size() + 1 + kServiceJobKeyBytes > kMaxKeyBytes) {
    prefixes.push_back(HashedQueuePrefix(aQueue));
  }
  return prefixes;
}

bool IsWaitingRowOf(const std::string& aQueue, std::string_view aKey, std::string_view aValue)
{
  // The name of a queue may contain slashes, the key of a job does not.
  const std::string_view prefix = aKey.substr(0, aKey.rfind('/') + 1);
  return aValue.empty()
           ? prefix.size() == aQueue.size() + 1 && prefix.substr(0, aQueue.size()) == aQueue
           : aValue == aQueue && prefix == HashedQueuePrefix(aQueue);
}

RowKey StateRow(const std::string& aJob)
{
  return { std::string(kStateTable), aJob };
}

RowKey ProgressRow(const std::string& aJob,
                   std::uint32_t aOccurrence,
                   std::uint32_t aStep,
                   std::optional<std::uint32_t> aRow)
{
  return { std::string(kProgressTable), ToString(ProgressName{ aJob, aOccurrence, aStep, aRow }) };
}

std::string EncodeCancellation(std::int64_t aUnixMs)
{
  return absl::StrCat(aUnixMs);
}

std::optional<std::int64_t> DecodeCancellation(const std::string& aValue)
{
  std::int64_t unixMs = 0;
  const bool isValid = absl::SimpleAtoi(aValue, &unixMs) && unixMs > 0 && unixMs <= kMaxUnixMs;
  return isValid ? std::optional(unixMs) : std::nullopt;
}

std::optional<std::uint32_t> ProgressRowNumber(std::size_t aTaskCount, std::uint32_t aIndex)
{
  return aTaskCount > kTasksPerProgressRow ? std::optional(aIndex / kTasksPerProgressRow)
                                           : std::nullopt;
}

} // namespace oriolespread::jobs
