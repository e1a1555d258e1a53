#include "oriolespread/requests/ConcurrencyLimiter.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

Instant At(std::int64_t aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

} // namespace

// Guards against more calls in an upstream than its slots, although entries may send more.
TEST_CASE("SlotGate NeverRunsMoreThanItsSlots")
{
  ConcurrencyLimiter gate(2, 10);
  CHECK(gate.Offer(1, At(1000)) == CallAdmission::Start);
  CHECK(gate.Offer(2, At(1000)) == CallAdmission::Start);
  CHECK(gate.Offer(3, At(1000)) == CallAdmission::Wait);
  CHECK(gate.Offer(4, At(1000)) == CallAdmission::Wait);
  CHECK(gate.Finish(At(10)).start == std::vector<std::uint64_t>{ 3 });
  CHECK(gate.Running() == 2);
  gate.SetSlots(1);
  CHECK(gate.Finish(At(11)).start.empty());
  CHECK(gate.Finish(At(12)).start == std::vector<std::uint64_t>{ 4 });
}

// Guards against an upstream that works for callers who have gone.
TEST_CASE("SlotGate DropsCallsBeyondTheirDeadlineAndBoundsItsQueue")
{
  ConcurrencyLimiter gate(1, 2);
  CHECK(gate.Offer(1, At(1000)) == CallAdmission::Start);
  CHECK(gate.Offer(2, At(20)) == CallAdmission::Wait);
  CHECK(gate.Offer(3, At(1000)) == CallAdmission::Wait);
  CHECK(gate.Offer(4, At(1000)) == CallAdmission::Refused);
  const DequeuedCalls turn = gate.Finish(At(30));
  CHECK(turn.expired == std::vector<std::uint64_t>{ 2 });
  CHECK(turn.start == std::vector<std::uint64_t>{ 3 });
}
