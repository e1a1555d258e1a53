#include "oriolespread/scenarios/Script.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace oriolespread;
using namespace oriolespread::scenarios;

// Guards against an author who has to mend a script one line at a time.
TEST_CASE("Script ReportsEveryWrongLineWithLineAndColumn")
{
  Findings findings;
  const auto script = Script::Parse("seed 3\n"
                                    "at 5s kill wroker 1\n"
                                    "  at soon store down\n"
                                    "at 5s pause agent 1 for 3 hours\n"
                                    "at 5s kill worker\n"
                                    "at 5s store up now\n",
                                    "x.scenario",
                                    findings);
  CHECK_FALSE(script.has_value());
  INFO(findings.Report());
  REQUIRE(findings.size() == 5);
  const std::pair<std::uint32_t, std::uint32_t> places[] = {
    { 2, 12 }, { 3, 6 }, { 4, 25 }, { 5, 18 }, { 6, 16 }
  };
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK(findings.All()[index].place.line == places[index].first);
    CHECK(findings.All()[index].place.column == places[index].second);
  }
}

TEST_CASE("Script OrdersStepsByTimeAndKeepsTheirValues")
{
  Findings findings;
  const auto script = Script::Parse("at 2min kill worker 4 # comment\nat 5s ticket t at entry 1 "
                                    "based on 2 sets organisation/a to {\"weight\": 2}\n",
                                    "x",
                                    findings);
  INFO(findings.Report());
  REQUIRE(script.has_value());
  REQUIRE(script->Steps().size() == 2);
  CHECK(script->Steps()[0].Text("rest") == "{\"weight\": 2}");
  CHECK(script->Steps()[1].at == std::chrono::minutes(2));
  CHECK(script->Steps()[1].Number("count") == 4);
}

// Guards against a crash on any text.
TEST_CASE("Script SurvivesArbitraryBytes")
{
  const std::uint64_t seed = 99;
  RandomSource random(seed);
  const std::string valid =
    "seed 1\nat 5s submit job a tasks 2 length 3s need 1 5\nat 9s store down\n";
  for (int round = 0; round < 20'000; ++round) {
    std::string text = valid;
    for (std::uint64_t edits = 1 + random.Below(4); edits > 0; --edits) {
      text[random.Below(text.size())] = static_cast<char>(random.Next());
    }
    Findings findings;
    const auto script = Script::Parse(text, "x", findings);
    INFO("seed " << seed << " round " << round);
    CHECK(script.has_value() == findings.empty());
  }
}

// Guards against steps that the documentation does not name.
TEST_CASE("Script FormsAreAllDocumented")
{
  std::ifstream file(std::string(SCENARIO_DIR) + "/../../docs/scenarios.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  for (const std::string& form : AllForms()) {
    INFO(form);
    CHECK(page.find("`" + form + "`") != std::string::npos);
  }
}
