#include "oriolespread/cluster/WorkerFence.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr std::int64_t kNowMs = 1'796'000'000'000;
constexpr std::int64_t kHourMs = 3'600'000;

} // namespace

// Guards against orders of an earlier leader that are carried out under a later one.
TEST_CASE("WorkerFence SupersedesAnEarlierLeaderWhenTheClockWasSetBackOrStampsWereRaised")
{
  WorkerFence earlier(kNowMs);
  earlier.Follow(Epoch{ 1 }, kNowMs);
  for (int refusal = 0; refusal < 100; ++refusal) {
    earlier.RaiseAfterRefusal();
  }
  WorkerFence later(kNowMs - kHourMs);
  later.Follow(Epoch{ 2 }, kNowMs - kHourMs);
  CHECK(later.Token() > earlier.Token());
}

// Guards against calls that are sent before a raise and carried out after it.
TEST_CASE("WorkerFence RisesWithEachRaiseWhenTheClockStandsOrWasSetBack")
{
  WorkerFence fence(kNowMs);
  fence.Follow(Epoch{ 1 }, kNowMs);
  for (const std::int64_t unixMs : { kNowMs, kNowMs - kHourMs, kNowMs + 100, kNowMs + kHourMs }) {
    const FencingToken before = fence.Token();
    fence.Raise(unixMs);
    CHECK(fence.Token() > before);
  }
}

// Guards against calls of an earlier process of the agent that are carried out after a restart.
TEST_CASE("WorkerFence SupersedesAnEarlierProcessUnderTheSameLeader")
{
  WorkerFence earlier(kNowMs);
  earlier.Follow(Epoch{ 1 }, kNowMs);
  earlier.Raise(kNowMs);
  WorkerFence later(kNowMs + 2000);
  later.Follow(Epoch{ 1 }, kNowMs + 2000);
  CHECK(later.Token() > earlier.Token());
}

// Guards against an agent that its worker refuses for as long as the clock was set back.
TEST_CASE("WorkerFence SupersedesAnEarlierProcessAfterSomeRefusalsWhenTheClockWasSetBack")
{
  WorkerFence earlier(kNowMs);
  earlier.Follow(Epoch{ 1 }, kNowMs);
  WorkerFence later(kNowMs - kHourMs);
  later.Follow(Epoch{ 1 }, kNowMs - kHourMs);
  int refusals = 0;
  while (later.Token() <= earlier.Token() && refusals < 100) {
    later.RaiseAfterRefusal();
    ++refusals;
  }
  CHECK(refusals <= 12);
}

// Guards against tokens that a reader of JSON numbers rounds.
TEST_CASE("WorkerFence KeepsTokensExactInAFloatingPointNumber")
{
  WorkerFence fence(kNowMs);
  fence.Follow(Epoch{ (std::uint64_t{ 1 } << 21U) - 1 }, kNowMs);
  CHECK(fence.Token().Value() < std::uint64_t{ 1 } << 53U);
}
