#include "oriolespread/base/Findings.h"

#include "oriolespread/base/Ids.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

// Guards against reporting only the first mistake of an input.
TEST_CASE("Findings ReportsEveryFindingWithItsPlace")
{
  Findings findings;
  findings.Add({ "a.toml", 3, 7, "link.port" }, "is 70000", "an integer from 1 to 65535");
  findings.Add({ "a.toml", 0, 0, "" }, "has no [entry] table");
  CHECK(findings.Report() ==
        "a.toml:3:7: link.port: is 70000; expected an integer from 1 to 65535\n"
        "a.toml: has no [entry] table\n");
  CHECK(findings.ToStatus().code() == absl::StatusCode::kInvalidArgument);
  CHECK(Findings{}.ToStatus().ok());
}

// Guards against names that would form another organisation's table keys.
TEST_CASE("IsValidName RefusesSeparatorsAndExcessiveLength")
{
  CHECK(IsValidName("a-b_c.9"));
  CHECK_FALSE(IsValidName(""));
  CHECK_FALSE(IsValidName("a/b"));
  CHECK_FALSE(IsValidName("a b"));
  CHECK_FALSE(IsValidName(std::string(kMaxNameLength + 1, 'a')));
}
