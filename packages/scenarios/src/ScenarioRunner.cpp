#include "oriolespread/scenarios/ScenarioRunner.h"

#include "Worlds.h"
#include "absl/strings/str_cat.h"

namespace oriolespread::scenarios {

namespace {

constexpr Duration kTraceInterval = std::chrono::seconds(10);

// Runs all worlds to the time of a step and notes what has changed meanwhile.
void Advance(Worlds& aWorlds, Duration aUntil, std::string& aLast, std::vector<std::string>& aTrace)
{
  while (aWorlds.Now() < aUntil) {
    aWorlds.RunUntil(std::min(aUntil, aWorlds.Now() + kTraceInterval));
    const std::string summary = aWorlds.Summary();
    if (summary != aLast) {
      aTrace.push_back(absl::StrCat(ToMilliseconds(aWorlds.Now()), "ms ", summary));
      aLast = summary;
    }
  }
}

} // namespace

ScenarioResult RunScenario(const Script& aScript)
{
  ScenarioResult result;
  Worlds worlds(aScript);
  std::string last;
  for (const Step& step : aScript.Steps()) {
    if (!step.at.has_value()) {
      continue;
    }
    Advance(worlds, *step.at, last, result.trace);
    const std::string failure = worlds.Apply(step);
    const std::string outcome = failure.empty() ? "" : " -> " + failure;
    result.trace.push_back(
      absl::StrCat(ToMilliseconds(worlds.Now()), "ms line ", step.line, ": ", step.form, outcome));
    if (!failure.empty()) {
      result.failures.push_back(absl::StrCat("line ", step.line, ": ", step.text, ": ", failure));
    }
  }
  for (const std::string& violation : worlds.Violations()) {
    result.failures.push_back("invariant: " + violation);
  }
  result.trace.push_back("end " + worlds.Summary());
  return result;
}

} // namespace oriolespread::scenarios
