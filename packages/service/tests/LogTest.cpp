#include "oriolespread/service/Log.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

// Guards against log lines that a caller could forge by line breaks or broken text in a field.
TEST_CASE("Log EscapesFieldsIntoOneLine")
{
  const std::string line = FormatLogLine(
    LogLevel::Warning, "request_refused", "T", { { "path", "/a\n\"b\xff" }, { "count", 3 } });
  CHECK(line.find('\n') == std::string::npos);
  const auto parsed = nlohmann::json::parse(line);
  CHECK(parsed["level"] == "warning");
  CHECK(parsed["event"] == "request_refused");
  CHECK(parsed["path"] == "/a\n\"b\xEF\xBF\xBD");
  CHECK(parsed["count"] == 3);
}
