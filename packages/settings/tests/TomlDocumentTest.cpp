#include "oriolespread/settings/TomlDocument.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

// The first and the last character of each range for which toml++'s test for white space has no
// branch, and one next to each range.
const char* const kCharacters[] = { "\u00A1", "\u0499", "\u049A", "\u2C5D", "\u2C5E", "\u2FFF",
                                    "\u3001", "\u3057", "\u3058", "\uFB25", "\uFB26", "\uFEFE" };

// Returns the text with the character in the place of each '@'.
std::string WithCharacter(std::string aText, const std::string& aCharacter)
{
  for (std::size_t at = aText.find('@'); at != std::string::npos; at = aText.find('@')) {
    aText.replace(at, 1, aCharacter);
  }
  return aText;
}

} // namespace

// Guards against reaching the branches of toml++ that are undefined, on any path that tests a
// character for white space.
TEST_CASE("TomlDocument RefusesNonAsciiCharactersOutsideOfStringsWithTheirPlace")
{
  struct Case
  {
    const char* text;
    std::uint32_t line;
    std::uint32_t column;
  };
  constexpr Case kCases[] = {
    { "@ = 1", 1, 1 },
    { "a = 1\na@ = 1", 2, 2 },
    { "a @= 1", 1, 3 },
    { "a = @", 1, 5 },
    { "a = 1@", 1, 6 },
    { "a = \"\u00E9\" @", 1, 9 },
    { "a = true@", 1, 9 },
    { "a = 10:00:00@", 1, 13 },
    { "a = [1,\n@]", 2, 1 },
    { "a = {@}", 1, 6 },
    { "[@]", 1, 2 },
    { "[a]@", 1, 4 },
    // A number is read ahead to its end, which passes over a quotation mark.
    { "a = 1\"@\"", 1, 6 },
    { "a = 1.'@'", 1, 7 },
    // A backslash in a multi-line string must stand before an escape or the end of the line.
    { "a = \"\"\"\\@\"\"\"", 1, 9 },
    { "a = \"\"\"\\ @\"\"\"", 1, 10 },
  };
  for (const char* character : kCharacters) {
    for (const Case& expected : kCases) {
      INFO(character << " in " << expected.text);
      Findings findings;
      CHECK_FALSE(internal::ParseToml(WithCharacter(expected.text, character), "s.toml", findings));
      REQUIRE(findings.size() == 1);
      const Finding& finding = findings.All().front();
      CHECK(finding.place == Place{ "s.toml", expected.line, expected.column, {} });
      CHECK_FALSE(finding.problem.empty());
      CHECK_FALSE(finding.expected.empty());
    }
  }
}

// Guards against refusing valid documents, and against the undefined branch where valid TOML
// reaches it: at the first character after a line-ending backslash.
TEST_CASE("TomlDocument KeepsNonAsciiCharactersOfStringsAndComments")
{
  for (const char* character : kCharacters) {
    for (const char* text : { "a = \"@\"",
                              "a = '@'",
                              "a = \"\"\"@\"\"\"",
                              "a = '''@'''",
                              "a = \"\"\"\\\n  @\"\"\" # @",
                              "a = \"\"\"\\  \n\r\n\t@\"\"\"",
                              "# @\na = \"@\"\n['@']\n\"@\" = 1" }) {
      INFO(character << " in " << text);
      Findings findings;
      const auto document = internal::ParseToml(WithCharacter(text, character), "s.toml", findings);
      INFO(findings.Report());
      REQUIRE(document.has_value());
      CHECK(document->at_path("a").value<std::string>() == character);
    }
  }
}

// Guards against a check of toml++ that ends the process in a build with assertions and is assumed
// to hold in others.
TEST_CASE("TomlDocument RefusesDocumentsThatBreakAnAssertionOfTheParser")
{
  for (const char* text : { "[!]", "[[!]]", "a = 2020-01-01 1," }) {
    INFO(text);
    Findings findings;
    CHECK_FALSE(internal::ParseToml(text, "s.toml", findings));
    REQUIRE(findings.size() == 1);
    CHECK(findings.All().front().place.line == 1);
  }
}
