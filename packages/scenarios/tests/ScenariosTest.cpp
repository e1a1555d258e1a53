// Plays every script of the folder scripts, and compares whole sessions with the files of the
// folder golden. With ORIOLESPREAD_GOLDEN=write in the environment the golden files are written
// anew.

#include "oriolespread/scenarios/ScenarioRunner.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

using namespace oriolespread;
using namespace oriolespread::scenarios;

namespace {

// Whole sessions of tickets, of tasks through a store outage, and of requests.
const std::set<std::string> kGolden = { "p9-tickets", "f7-store-down", "p7-p8-leaving" };

std::string ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

// Returns the first lines in which two texts differ.
std::string FirstDifference(const std::string& aExpected, const std::string& aActual)
{
  std::istringstream expected(aExpected);
  std::istringstream actual(aActual);
  std::string left;
  std::string right;
  for (int line = 1;; ++line) {
    const bool more = static_cast<bool>(std::getline(expected, left));
    const bool moreActual = static_cast<bool>(std::getline(actual, right));
    if (!more && !moreActual) {
      return {};
    }
    if (left != right || more != moreActual) {
      return "line " + std::to_string(line) + "\n- " + (more ? left : "(end)") + "\n+ " +
             (moreActual ? right : "(end)");
    }
  }
}

void CompareWithGolden(const std::string& aName, const ScenarioResult& aResult)
{
  const auto path = std::filesystem::path(SCENARIO_DIR) / "golden" / (aName + ".txt");
  const std::string actual = Join(aResult.trace);
  const char* mode = std::getenv("ORIOLESPREAD_GOLDEN");
  if (mode != nullptr && std::string(mode) == "write") {
    std::ofstream(path) << actual;
    return;
  }
  INFO(path.filename().string() << ", first difference: "
                                << FirstDifference(ReadFile(path), actual));
  CHECK(ReadFile(path) == actual);
}

void PlayAll(const std::string& aPrefix)
{
  int played = 0;
  std::set<std::filesystem::path> paths;
  for (const auto& file :
       std::filesystem::directory_iterator(std::filesystem::path(SCENARIO_DIR) / "scripts")) {
    paths.insert(file.path());
  }
  for (const auto& path : paths) {
    const std::string name = path.stem().string();
    if (!name.starts_with(aPrefix)) {
      continue;
    }
    Findings findings;
    const auto script = Script::Parse(ReadFile(path), path.filename().string(), findings);
    INFO(findings.Report());
    REQUIRE(script.has_value());
    const ScenarioResult result = RunScenario(*script);
    INFO(name << "\n" << Join(result.failures));
    CHECK(result.failures.empty());
    if (kGolden.count(name) > 0) {
      CompareWithGolden(name, result);
    }
    ++played;
  }
  CHECK(played > 0);
}

} // namespace

// Each script says which promise it guards.
TEST_CASE("Scenarios HoldEveryPromise")
{
  PlayAll("p");
}

TEST_CASE("Scenarios SurviveEveryFault")
{
  PlayAll("f");
}

TEST_CASE("Scenarios RunBothDeploymentsAtTheirSizes")
{
  PlayAll("deployment");
}

// Guards against a runner whose expectations cannot fail.
TEST_CASE("Scenarios FailWhenAnExpectationDoesNotHold")
{
  Findings findings;
  const auto script = Script::Parse("tasks entries 1 workers 1 capacity 1 100\n"
                                    "at 5s expect tasks completed 1\n"
                                    "at 6s upstream 1 killed\n",
                                    "x",
                                    findings);
  REQUIRE(script.has_value());
  CHECK(RunScenario(*script).failures.size() == 2);
}
