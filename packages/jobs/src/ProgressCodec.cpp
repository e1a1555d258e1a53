#include "ProgressCodec.h"

#include "oriolespread/base/ExternalJson.h"

#include <algorithm>
#include <utility>

namespace oriolespread::jobs::internal {

namespace {

constexpr std::uint64_t kMaxRunNumber = std::uint64_t{ 1 } << 53U;
constexpr std::size_t kFieldsOfUsualTask = 5;

nlohmann::json EncodeRuns(const Task& aTask)
{
  auto runs = nlohmann::json::array();
  for (const Run& run : aTask.runs) {
    runs.push_back({ run.number, run.worker.id, run.worker.born, run.agent });
  }
  return runs;
}

nlohmann::json EncodeOpenStarts(const Task& aTask)
{
  auto starts = nlohmann::json::array();
  for (const KnownOpenStart& start : aTask.openStarts) {
    starts.push_back({ start.worker, start.agent, start.untilUnixMs });
  }
  return starts;
}

// Throws a JSON exception if the value is not a number to which one can be added.
std::uint64_t DecodeRunNumber(const nlohmann::json& aJson)
{
  if (!aJson.is_number_unsigned() || aJson.get<std::uint64_t>() > kMaxRunNumber) {
    throw nlohmann::json::other_error::create(501, "not the number of a run", nullptr);
  }
  return aJson.get<std::uint64_t>();
}

void DecodeTask(const nlohmann::json& aJson, Task& aTask)
{
  aTask.state = aJson.at(0).get<bool>() ? TaskState::Done : TaskState::Waiting;
  aTask.nextRunNumber = DecodeRunNumber(aJson.at(1));
  aTask.failedRuns = aJson.at(2).get<std::uint32_t>();
  aTask.checkpoint = aJson.at(3).get<std::string>();
  for (const auto& runJson : aJson.at(4)) {
    Run run;
    run.number = DecodeRunNumber(runJson.at(0));
    run.worker = { runJson.at(1).get<std::string>(), runJson.at(2).get<std::int64_t>() };
    run.agent = runJson.at(3).get<std::string>();
    run.state = RunState::Ordered;
    aTask.runs.push_back(std::move(run));
    if (aTask.state != TaskState::Done) {
      aTask.state = TaskState::Active;
    }
  }
  // Rows of earlier versions, and those of tasks without such starts, end here.
  if (aJson.size() > kFieldsOfUsualTask) {
    for (const auto& startJson : aJson.at(kFieldsOfUsualTask)) {
      KnownOpenStart start;
      start.worker = startJson.at(0).get<std::string>();
      start.agent = startJson.at(1).get<std::string>();
      start.untilUnixMs = startJson.at(2).get<std::int64_t>();
      aTask.openStarts.push_back(std::move(start));
    }
  }
}

} // namespace

Occurrence MakeOccurrence(const JobSpec& aSpec)
{
  Occurrence occurrence;
  for (const StepSpec& step : aSpec.steps) {
    occurrence.steps.emplace_back().tasks.resize(step.count);
  }
  return occurrence;
}

std::pair<std::size_t, std::size_t> TasksOfRow(const Step& aStep, std::optional<std::uint32_t> aRow)
{
  const std::size_t size = aStep.tasks.size();
  if (!aRow.has_value()) {
    return { 0, size };
  }
  const std::size_t first = std::min(std::size_t{ *aRow } * kTasksPerProgressRow, size);
  return { first, std::min(first + kTasksPerProgressRow, size) };
}

std::string EncodeProgress(const Step& aStep,
                           std::optional<std::uint32_t> aRow,
                           Checkpoints aCheckpoints)
{
  auto tasks = nlohmann::json::array();
  const auto [first, end] = TasksOfRow(aStep, aRow);
  for (std::size_t index = first; index < end; ++index) {
    const Task& task = aStep.tasks[index];
    nlohmann::json& encoded = tasks.emplace_back(
      nlohmann::json::array({ task.state == TaskState::Done,
                              task.nextRunNumber,
                              task.failedRuns,
                              aCheckpoints == Checkpoints::Keep ? task.checkpoint : std::string(),
                              EncodeRuns(task) }));
    if (!task.openStarts.empty()) {
      encoded.push_back(EncodeOpenStarts(task));
    }
  }
  std::string bytes;
  nlohmann::json::to_msgpack(tasks, bytes);
  return bytes;
}

bool DecodeProgress(const std::string& aBytes, std::optional<std::uint32_t> aRow, Step& aStep)
{
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed.ok() || HasFloatingPoint(*parsed)) {
    return false;
  }
  const nlohmann::json& tasks = *parsed;
  const auto [first, end] = TasksOfRow(aStep, aRow);
  if (first == end || !tasks.is_array() || tasks.size() != end - first) {
    return false;
  }
  std::vector<Task> decoded(tasks.size());
  try {
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      DecodeTask(tasks[index], decoded[index]);
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  std::move(
    decoded.begin(), decoded.end(), aStep.tasks.begin() + static_cast<std::ptrdiff_t>(first));
  aStep.done = 0;
  aStep.active = 0;
  for (const Task& task : aStep.tasks) {
    aStep.done += task.state == TaskState::Done ? 1 : 0;
    aStep.active += task.state == TaskState::Active ? 1 : 0;
  }
  return true;
}

} // namespace oriolespread::jobs::internal
