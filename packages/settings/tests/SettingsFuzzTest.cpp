#include "oriolespread/base/RandomSource.h"
#include "oriolespread/settings/AgentSettings.h"
#include "oriolespread/settings/EntrySettings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace oriolespread;

namespace {

// ORIOLESPREAD_SEED replays a printed seed.
std::uint64_t Seed()
{
  const char* text = std::getenv("ORIOLESPREAD_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

std::string ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string Damaged(std::string aText, RandomSource& aRandom)
{
  static constexpr const char* kFragments[] = {
    "[", "]", "{", "}", "\"\"\"", "'", "=", "\n", "nan", "1e999", "\\u", "\xFF", "[[", "a.b"
  };
  const std::uint64_t changes = 1 + aRandom.Below(8);
  for (std::uint64_t change = 0; change < changes && !aText.empty(); ++change) {
    const std::size_t at = aRandom.Below(aText.size());
    const std::size_t length = aRandom.Below(64);
    switch (aRandom.Below(5)) {
      case 0:
        aText[at] = static_cast<char>(aRandom.Next());
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(aRandom.Below(aText.size()), length));
        break;
      case 3:
        aText.insert(at, kFragments[aRandom.Below(std::size(kFragments))]);
        break;
      default:
        aText.resize(aRandom.Chance(0.1) ? at : aText.size());
    }
  }
  return aText;
}

template<typename Settings>
void CheckNeverThrows(const std::string& aText)
{
  Findings findings;
  std::optional<Settings> settings;
  REQUIRE_NOTHROW(settings = Settings::Parse(aText, "fuzz.toml", findings));
  REQUIRE(settings.has_value() == findings.empty());
}

std::string Repeated(const std::string& aText, std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

} // namespace

// Guards against a crash, an exception or a refusal without a reason on damaged files.
TEST_CASE("Settings ReportEveryDamagedFileWithoutThrowing")
{
  const std::uint64_t seed = Seed();
  std::cout << "settings fuzz seed " << seed << "\n";
  RandomSource random(seed);
  const std::string entry = ReadText("examples/entry.toml");
  const std::string agent = ReadText("examples/agent.toml");
  for (int round = 0; round < 3'000; ++round) {
    INFO("seed " << seed << " round " << round);
    CheckNeverThrows<EntrySettings>(Damaged(entry, random));
    CheckNeverThrows<AgentSettings>(Damaged(agent, random));
  }
}

// Guards against stack overflow on documents that nest deeply.
TEST_CASE("Settings RefuseDeepNesting")
{
  for (const char* unit : { "[", "{a=", "a.", "a=[{", "[a." }) {
    INFO("unit " << unit);
    CheckNeverThrows<EntrySettings>("x=" + Repeated(unit, 100'000));
    CheckNeverThrows<EntrySettings>(Repeated(unit, 100'000));
  }
  CheckNeverThrows<AgentSettings>("[" + Repeated("a.", 200'000) + "a]\n");
  CheckNeverThrows<AgentSettings>(std::string(2'000'000, '#'));
}
