// A scenario as text, one step a line; docs/scenarios.md describes the language:
//
//   Findings findings;
//   std::optional<Script> script = Script::Parse(text, "lost-worker.scenario", findings);
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::scenarios {

// One line: its form, for example "kill worker <index>", and the values of its slots by name.
struct Step
{
  // When it happens, counted from the start; steps without "at" happen before the start.
  std::optional<Duration> at;
  std::uint32_t line = 0;
  std::string form;
  std::map<std::string, std::string> values;
  // The line as written, for messages.
  std::string text;

  std::uint64_t Number(const std::string& aSlot) const;
  Duration Time(const std::string& aSlot) const;
  // Returns a percentage as a fraction.
  double Share(const std::string& aSlot) const;
  const std::string& Text(const std::string& aSlot) const { return this->values.at(aSlot); }
};

class Script
{
public:
  static constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 10U;

  // Returns the script, or nothing and a finding for each wrong line with its line and column.
  // Accepts any bytes.
  static std::optional<Script> Parse(std::string_view aText,
                                     const std::string& aSource,
                                     Findings& aFindings);

  const std::vector<Step>& Steps() const { return this->steps; }

private:
  std::vector<Step> steps;
};

// Returns all forms of steps, for the documentation's test.
std::vector<std::string> AllForms();

} // namespace oriolespread::scenarios
