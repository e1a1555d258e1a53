#include "oriolespread/cluster/WorkerFence.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr std::int64_t kNowMs = 1'796'000'000'000;
constexpr std::int64_t kHourMs = 3'600'000;

} // namespace

// Guards against calls that are sent before a raise and carried out after it.
TEST_CASE("WorkerFence RisesWithEachRaiseWhenTheClockStandsOrWasSetBack")
{
  WorkerFence fence(kNowMs);
  for (const std::int64_t unixMs : { kNowMs, kNowMs - kHourMs, kNowMs + 100, kNowMs + kHourMs }) {
    const FencingToken before = fence.Token();
    fence.Raise(unixMs);
    CHECK(fence.Token() > before);
  }
}

// Guards against calls of an earlier process of the agent that are carried out after a restart,
// whatever leader each of the two follows.
TEST_CASE("WorkerFence SupersedesAnEarlierProcessThatWasRaisedOften")
{
  WorkerFence earlier(kNowMs);
  for (int raise = 0; raise < 1000; ++raise) {
    earlier.Raise(kNowMs);
  }
  const WorkerFence later(kNowMs + 1);
  CHECK(later.Token() > earlier.Token());
}

// Guards against an agent that its worker refuses for as long as the clock was set back.
TEST_CASE("WorkerFence SupersedesAnEarlierProcessAfterSomeRefusalsWhenTheClockWasSetBack")
{
  WorkerFence earlier(kNowMs);
  earlier.Raise(kNowMs);
  WorkerFence later(kNowMs - kHourMs);
  int refusals = 0;
  while (later.Token() <= earlier.Token() && refusals < 100) {
    later.RaiseAfterRefusal();
    ++refusals;
  }
  CHECK(refusals <= 12);
}

// Guards against a worker that refuses its agent from an update on: earlier versions used the epoch
// of the leader times 2^32, plus a Unix time in seconds.
TEST_CASE("WorkerFence SupersedesTheTokensOfEarlierVersions")
{
  constexpr std::uint64_t kManyEpochs = 800'000;
  const FencingToken earlier{ (kManyEpochs << 32U) + kNowMs / 1000 };
  CHECK(WorkerFence(kNowMs).Token() > earlier);
}

// Guards against tokens that a reader of JSON numbers rounds.
TEST_CASE("WorkerFence KeepsTokensExactInAFloatingPointNumber")
{
  constexpr std::int64_t kYearsMs = 80LL * 365 * 24 * kHourMs;
  WorkerFence fence(kNowMs + kYearsMs);
  CHECK(fence.Token().Value() < std::uint64_t{ 1 } << 53U);
  for (int refusal = 0; refusal < 100'000; ++refusal) {
    fence.RaiseAfterRefusal();
  }
  fence.Raise(kNowMs);
  CHECK(fence.Token().Value() < std::uint64_t{ 1 } << 53U);
}
