#include "oriolespread/requests/ConcurrencyLimiter.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

Instant At(std::int64_t aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

} // namespace

// Guards against running more calls in an upstream than it has slots when entries send more.
TEST_CASE("ConcurrencyLimiter NeverRunsMoreCallsThanSlots")
{
  ConcurrencyLimiter limiter(2, 10);
  CHECK(limiter.Offer(1, At(1000)) == CallAdmission::Start);
  CHECK(limiter.Offer(2, At(1000)) == CallAdmission::Start);
  CHECK(limiter.Offer(3, At(1000)) == CallAdmission::Wait);
  CHECK(limiter.Offer(4, At(1000)) == CallAdmission::Wait);
  CHECK(limiter.Finish(At(10)).start == std::vector<std::uint64_t>{ 3 });
  CHECK(limiter.Running() == 2);
  limiter.SetSlots(1);
  CHECK(limiter.Finish(At(11)).start.empty());
  CHECK(limiter.Finish(At(12)).start == std::vector<std::uint64_t>{ 4 });
}

// Guards against running calls whose callers no longer wait for the response.
TEST_CASE("ConcurrencyLimiter DropsExpiredCallsAndLimitsItsQueue")
{
  ConcurrencyLimiter limiter(1, 2);
  CHECK(limiter.Offer(1, At(1000)) == CallAdmission::Start);
  CHECK(limiter.Offer(2, At(20)) == CallAdmission::Wait);
  CHECK(limiter.Offer(3, At(1000)) == CallAdmission::Wait);
  CHECK(limiter.Offer(4, At(1000)) == CallAdmission::Refused);
  const DequeuedCalls dequeued = limiter.Finish(At(30));
  CHECK(dequeued.expired == std::vector<std::uint64_t>{ 2 });
  CHECK(dequeued.start == std::vector<std::uint64_t>{ 3 });
}
