#include "oriolespread/base/ExternalJson.h"

#include <catch2/catch.hpp>

#include <string>

using namespace oriolespread;
using nlohmann::json;

namespace {

std::string NestedArrays(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string NestedObjects(std::size_t aDepth)
{
  std::string text;
  for (std::size_t level = 0; level < aDepth; ++level) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aDepth, '}');
}

} // namespace

// Guards against a stack overflow: values that nest this deeply overflowed it when they were
// copied, written or read as MessagePack.
TEST_CASE("ExternalJson RefusesDeepNesting")
{
  CHECK(ParseJson(NestedArrays(64)).ok());
  CHECK_FALSE(ParseJson(NestedArrays(65)).ok());
  for (const std::size_t depth : { 65536, 2'000'000 }) {
    CHECK_FALSE(ParseJson(NestedArrays(depth)).ok());
    CHECK_FALSE(ParseJson(NestedObjects(depth)).ok());
    CHECK_FALSE(ParseJson(std::string(depth, '[')).ok());
    CHECK_FALSE(ParseMessagePack(std::string(depth, '\x91') + "\xc0").ok());
    CHECK_FALSE(ParseMessagePack(std::string(depth, '\x91')).ok());
  }
  CHECK(ParseMessagePack(std::string(64, '\x91') + "\xc0").ok());
  CHECK_FALSE(ParseMessagePack(std::string(65, '\x91') + "\xc0").ok());
}

TEST_CASE("ExternalJson CountsNoBracketsInStrings")
{
  const auto parsed = ParseJson("[\"" + std::string(100, '[') + R"(\"[[")" + "]");
  REQUIRE(parsed.ok());
  CHECK(parsed->at(0).get<std::string>() == std::string(100, '[') + "\"[[");
}

// Guards against one odd entry that hides the others of a list.
TEST_CASE("ExternalJson ReplacesValuesThatCannotBeReadInAList")
{
  const std::string odd = "[1," + NestedArrays(100'000) +
                          ",1e999,-1e999,NaN,\"\xff\",\"\\ud800\"," + "{\"\xff\":2}," +
                          NestedObjects(200) + R"(,"\"]",3])";
  CHECK_FALSE(ParseJson(odd).ok());
  const auto parsed = ParseJsonList(odd);
  REQUIRE(parsed.ok());
  REQUIRE(parsed->size() == 11);
  CHECK(parsed->at(0) == 1);
  // The nested arrays are cut at the greatest depth.
  CHECK(parsed->at(1).is_array());
  for (const std::size_t index : { 2, 3, 4, 5, 6 }) {
    INFO("index " << index);
    CHECK(parsed->at(index).is_null());
  }
  CHECK(parsed->at(7) == json{ { "", 2 } });
  CHECK(parsed->at(8).is_object());
  CHECK(parsed->at(9) == "\"]");
  CHECK(parsed->at(10) == 3);
}

TEST_CASE("ExternalJson ReportsTextThatIsNoList")
{
  for (const char* text : { "", "[1", "[1,", "{\"a\"", "]", "}}", "[}", "\"", "[\"a", "{:}" }) {
    INFO(text);
    CHECK_FALSE(ParseJson(text).ok());
    CHECK_FALSE(ParseJsonList(text).ok());
  }
  CHECK_FALSE(ParseMessagePack("").ok());
  CHECK_FALSE(ParseMessagePack("\xc1").ok());
}

// Guards against decoders that miss a floating-point number in a field of an integer.
TEST_CASE("ExternalJson FindsFloatingPointNumbersOutsideOfTheExceptedField")
{
  CHECK(HasFloatingPoint(json(1.0)));
  CHECK(HasFloatingPoint(json::parse(R"([1, {"a": [2.5]}])")));
  CHECK(HasFloatingPoint(json::parse(R"({"a": 1e300, "b": 0.5})"), { "b" }));
  CHECK(HasFloatingPoint(json::parse(R"({"": 0.5})")));
  CHECK_FALSE(HasFloatingPoint(json::parse(R"([1, -1, true, null, "0.5", {"a": {}}])")));
  CHECK_FALSE(HasFloatingPoint(json::parse(R"({"a": 1, "b": {"c": 0.5}})"), { "b" }));
  CHECK_FALSE(HasFloatingPoint(json::parse(R"([{"a": 0.5}, {"b": 0.5}])"), { "a", "b" }));
}
