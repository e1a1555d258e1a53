#include "oriolespread/requests/Outcome.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

// Guards against a code that cannot be parsed by its receiver, and against a reason without a code.
TEST_CASE("Outcome ParsesEveryReasonCode")
{
  for (int i = 0; i <= static_cast<int>(Reason::IdempotencyMismatch); ++i) {
    const auto reason = static_cast<Reason>(i);
    INFO("reason " << i << " " << ToString(reason));
    CHECK(ParseReason(ToString(reason)) == reason);
    CHECK(HttpStatusOf(reason) >= 400);
  }
  CHECK_FALSE(ParseReason("no such code").has_value());
}

// Guards against repeating a request whose method changes state on each execution.
TEST_CASE("Outcome TreatsOnlyRepeatableMethodsAsIdempotent")
{
  for (const char* method : { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" }) {
    CHECK(IsIdempotentMethod(method));
  }
  for (const char* method : { "POST", "PATCH", "get", "" }) {
    CHECK_FALSE(IsIdempotentMethod(method));
  }
}
