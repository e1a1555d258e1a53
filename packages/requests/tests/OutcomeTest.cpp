#include "oriolespread/requests/Outcome.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

// Guards against a code that one side writes and the other cannot read, and against a reason that
// was added without a code.
TEST_CASE("Outcome ReadsBackEveryReasonItWrites")
{
  for (int i = 0; i <= static_cast<int>(Reason::IdempotencyMismatch); ++i) {
    const auto reason = static_cast<Reason>(i);
    INFO("reason " << i << " " << ToString(reason));
    CHECK(ParseReason(ToString(reason)) == reason);
    CHECK(HttpStatusOf(reason) >= 400);
  }
  CHECK_FALSE(ParseReason("no such code").has_value());
}

// Guards against repeating a method that changes state each time it runs.
TEST_CASE("Outcome CountsOnlyRepeatableMethodsAsIdempotent")
{
  for (const char* method : { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" }) {
    CHECK(IsIdempotentMethod(method));
  }
  for (const char* method : { "POST", "PATCH", "get", "" }) {
    CHECK_FALSE(IsIdempotentMethod(method));
  }
}
