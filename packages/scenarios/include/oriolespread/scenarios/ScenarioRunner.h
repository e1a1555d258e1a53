// Plays a script against the real decision logic in simulated worlds:
//
//   ScenarioResult result = RunScenario(script);
//   if (!result.failures.empty()) { ... }
#pragma once

#include "oriolespread/scenarios/Script.h"

#include <string>
#include <vector>

namespace oriolespread::scenarios {

struct ScenarioResult
{
  // Expectations that did not hold and invariants that were broken, each with its line; empty when
  // the scenario passed.
  std::vector<std::string> failures;
  // What happened, one line each, equal for equal scripts and code.
  std::vector<std::string> trace;
};

// Runs the script to its last step. The world of tasks, of requests and of tickets exists when the
// script declares it; all three keep the same virtual time.
ScenarioResult RunScenario(const Script& aScript);

} // namespace oriolespread::scenarios
