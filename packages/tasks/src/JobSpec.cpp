#include "oriolespread/tasks/JobSpec.h"

#include "absl/strings/str_cat.h"

#include <cmath>
#include <set>

namespace oriolespread {

namespace {

using nlohmann::json;

// Reads and validates the members of a JSON object and reports errors as findings.
class ObjectReader
{
public:
  ObjectReader(const json& aObject,
               const std::string& aSource,
               std::string aPath,
               Findings& aFindings)
    : object(aObject)
    , source(aSource)
    , path(std::move(aPath))
    , findings(aFindings)
  {
  }

  void Report(const std::string& aKey, std::string aProblem, std::string aExpected)
  {
    this->findings.Add(
      { this->source, 0, 0, this->path + aKey }, std::move(aProblem), std::move(aExpected));
  }

  std::string ReadName(const std::string& aKey, bool aRequired)
  {
    const std::string text = this->ReadText(aKey, aRequired, kMaxNameLength);
    if (!text.empty() && !IsValidName(text)) {
      this->Report(aKey, "is not a valid name", "letters, digits, '.', '_' and '-'");
    }
    return text;
  }

  std::string ReadText(const std::string& aKey, bool aRequired, std::size_t aMaxBytes)
  {
    const json* value = this->FindMember(aKey, aRequired);
    if (value == nullptr) {
      return {};
    }
    const std::string expected = absl::StrCat("a string of at most ", aMaxBytes, " bytes");
    if (!value->is_string()) {
      this->Report(aKey, absl::StrCat("is a ", value->type_name()), expected);
      return {};
    }
    auto text = value->get<std::string>();
    if (text.size() > aMaxBytes || (aRequired && text.empty())) {
      this->Report(aKey, absl::StrCat("has ", text.size(), " bytes"), expected);
      return {};
    }
    return text;
  }

  std::int64_t ReadInteger(const std::string& aKey,
                           std::int64_t aDefault,
                           std::int64_t aMinimum,
                           std::int64_t aMaximum,
                           bool aRequired)
  {
    const json* value = this->FindMember(aKey, aRequired);
    if (value == nullptr) {
      return aDefault;
    }
    const std::string expected = absl::StrCat("an integer from ", aMinimum, " to ", aMaximum);
    const bool fits = value->is_number_integer() &&
                      (!value->is_number_unsigned() ||
                       value->get<std::uint64_t>() <= static_cast<std::uint64_t>(aMaximum)) &&
                      value->get<std::int64_t>() >= aMinimum &&
                      value->get<std::int64_t>() <= aMaximum;
    if (!fits) {
      this->Report(aKey, absl::StrCat("is ", value->dump()), expected);
      return aDefault;
    }
    return value->get<std::int64_t>();
  }

  // Reads a number of cores, which may be fractional, and returns it in thousandths of a core.
  std::int64_t ReadMilliCores(const std::string& aKey)
  {
    constexpr double kMinCores = 0.001;
    constexpr double kMaxCores = 1'000'000.0;
    const json* value = this->FindMember(aKey, true);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number() || value->get<double>() < kMinCores ||
        value->get<double>() > kMaxCores) {
      this->Report(aKey, absl::StrCat("is ", value->dump()), "a number from 0.001 to 1000000");
      return 0;
    }
    return std::llround(value->get<double>() * 1000.0);
  }

  bool ReadBoolean(const std::string& aKey)
  {
    const json* value = this->FindMember(aKey, false);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_boolean()) {
      this->Report(aKey, absl::StrCat("is a ", value->type_name()), "true or false");
      return false;
    }
    return value->get<bool>();
  }

  const json* FindMember(const std::string& aKey, bool aRequired)
  {
    this->known.insert(aKey);
    const auto it = this->object.find(aKey);
    if (it != this->object.end()) {
      return &*it;
    }
    if (aRequired) {
      this->Report(aKey, "is missing", {});
    }
    return nullptr;
  }

  void ReportUnknownKeys()
  {
    for (const auto& [key, value] : this->object.items()) {
      if (this->known.count(key) == 0) {
        this->Report(key, "is not a known key", {});
      }
    }
  }

private:
  const json& object;
  const std::string& source;
  std::string path;
  Findings& findings;
  std::set<std::string> known;
};

TaskClass ReadTaskClass(ObjectReader& aReader)
{
  const std::string text = aReader.ReadText("class", false, kMaxNameLength);
  if (text == "latency_critical") {
    return TaskClass::LatencyCritical;
  }
  if (!text.empty() && text != "batch") {
    aReader.Report("class", "is '" + text + "'", "batch or latency_critical");
  }
  return TaskClass::Batch;
}

Resources ReadResources(ObjectReader& aReader, const std::string& aSource, Findings& aFindings)
{
  constexpr std::int64_t kMaxAmount = 1'000'000'000;
  const json* value = aReader.FindMember("resources", true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_object()) {
    aReader.Report("resources", absl::StrCat("is a ", value->type_name()), "an object");
    return {};
  }
  ObjectReader reader(*value, aSource, "resources.", aFindings);
  Resources resources;
  resources.milliCores = reader.ReadMilliCores("cores");
  resources.memoryMiB = reader.ReadInteger("memory_mib", 0, 1, kMaxAmount, true);
  resources.accelerators = reader.ReadInteger("accelerators", 0, 0, kMaxAmount, false);
  reader.ReportUnknownKeys();
  return resources;
}

} // namespace

std::optional<JobSpec> ParseJobSpec(std::string_view aText,
                                    const std::string& aSource,
                                    Findings& aFindings)
{
  const json document = json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    aFindings.Add({ aSource, 0, 0, {} }, "is not a JSON object", "an object");
    return std::nullopt;
  }
  Findings findings;
  ObjectReader reader(document, aSource, {}, findings);
  JobSpec spec;
  spec.job = JobId{ reader.ReadName("job", true) };
  spec.team = TeamId{ reader.ReadName("team", false) };
  spec.taskClass = ReadTaskClass(reader);
  spec.urgent = reader.ReadBoolean("urgent");
  spec.program = reader.ReadText("program", true, kMaxProgramBytes);
  spec.arguments = reader.ReadText("arguments", false, kMaxProgramBytes);
  spec.kind = reader.ReadText("kind", false, kMaxNameLength);
  spec.service = ServiceName{ reader.ReadName("service", false) };
  spec.tasks =
    static_cast<std::uint32_t>(reader.ReadInteger("tasks", 1, 1, kMaxTasksPerJob, false));
  spec.resources = ReadResources(reader, aSource, findings);
  if (spec.taskClass == TaskClass::LatencyCritical && spec.service.Value().empty()) {
    reader.Report("service", "is missing", "the service of latency_critical tasks");
  }
  reader.ReportUnknownKeys();
  aFindings.Append(findings);
  if (!findings.empty()) {
    return std::nullopt;
  }
  if (spec.kind.empty()) {
    spec.kind = spec.program;
  }
  return spec;
}

PlacementRequest MakePlacementRequest(const JobSpec& aSpec, std::uint32_t aIndex)
{
  PlacementRequest request;
  request.task = TaskId{ aSpec.job, aIndex };
  request.organisation = aSpec.organisation;
  request.team = aSpec.team;
  request.taskClass = aSpec.taskClass;
  request.urgent = aSpec.urgent;
  request.kind = aSpec.kind;
  request.service = aSpec.service;
  request.declared = aSpec.resources;
  return request;
}

} // namespace oriolespread
