#include "oriolespread/requests/CreditAllocator.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

const UpstreamId kUpstream{ "u" };
constexpr std::uint32_t kSlots = 8;

struct Fixture
{
  Counters counters;
  CreditAllocator allocator{ counters };
  std::map<LinkId, std::uint32_t> granted;

  explicit Fixture(std::uint64_t aLinks, std::uint32_t aConnections = kSlots)
  {
    this->allocator.SetUpstream(kUpstream, Incarnation{ 1 }, kSlots, aConnections);
    for (std::uint64_t link = 1; link <= aLinks; ++link) {
      this->allocator.AddLink(LinkId{ link });
    }
    this->ApplyGrants();
  }

  void ApplyGrants()
  {
    for (const LinkGrant& grant : this->allocator.TakeChangedGrants()) {
      this->granted[grant.link] = grant.grant.slots;
    }
  }

  void SetQueuedDemand(std::uint64_t aLink, std::uint32_t aQueued)
  {
    this->allocator.SetDemand(LinkId{ aLink }, { kUpstream, aQueued, 0 });
    this->ApplyGrants();
  }

  std::uint32_t BeginCalls(std::uint64_t aLink, std::uint32_t aCount)
  {
    std::uint32_t begun = 0;
    while (begun < aCount && this->allocator.TryBeginCall(LinkId{ aLink }, kUpstream)) {
      ++begun;
    }
    return begun;
  }
};

} // namespace

// Guards against starvation of an entry with little demand, and against unused slots.
TEST_CASE("CreditAllocator DividesSlotsMaxMinFairAndDividesTheRemainderEvenly")
{
  Fixture f(3);
  CHECK(f.granted[LinkId{ 1 }] + f.granted[LinkId{ 2 }] + f.granted[LinkId{ 3 }] == kSlots);
  f.SetQueuedDemand(1, 100);
  f.SetQueuedDemand(2, 2);
  CHECK(f.granted[LinkId{ 1 }] == 5);
  CHECK(f.granted[LinkId{ 2 }] == 2);
  CHECK(f.granted[LinkId{ 3 }] == 1);
}

// Guards against exceeding the slots while an entry still uses credit that was reduced.
TEST_CASE("CreditAllocator ReassignsReducedCreditOnlyAsItsRequestsEnd")
{
  Fixture f(1);
  REQUIRE(f.BeginCalls(1, 8) == 8);
  f.allocator.AddLink(LinkId{ 2 });
  f.ApplyGrants();
  CHECK(f.granted[LinkId{ 2 }] == 0);
  CHECK(f.BeginCalls(2, 1) == 0);
  f.SetQueuedDemand(2, 100);
  f.allocator.SetDemand(LinkId{ 1 }, { kUpstream, 0, 8 });
  for (int i = 0; i < 4; ++i) {
    f.allocator.EndCall(LinkId{ 1 }, kUpstream);
    f.ApplyGrants();
    CHECK(f.allocator.CommittedSlots(kUpstream) <= kSlots);
  }
  CHECK(f.granted[LinkId{ 2 }] == 4);
  CHECK(f.BeginCalls(1, 1) == 0);
  CHECK(f.counters.Get("calls_refused_total", "no_credit") >= 2);
}

// Guards against reassigning the slots of a failed entry while its requests still run, and against
// losing the slots permanently.
TEST_CASE("CreditAllocator ReturnsTheCreditOfAFailedEntryWithItsLastRequest")
{
  Fixture f(2);
  f.SetQueuedDemand(1, 8);
  REQUIRE(f.BeginCalls(1, 7) == 7);
  f.allocator.RemoveLink(LinkId{ 1 });
  f.SetQueuedDemand(2, 8);
  CHECK(f.granted[LinkId{ 2 }] == 1);
  for (int i = 0; i < 7; ++i) {
    f.allocator.EndCall(LinkId{ 1 }, kUpstream);
  }
  f.ApplyGrants();
  CHECK(f.granted[LinkId{ 2 }] == kSlots);
}

// Guards against waiting calls of one entry that block another entry from its slots.
TEST_CASE("CreditAllocator KeepsASlotForAnEntryWhileAnotherUsesAllItsConnections")
{
  Fixture f(2, 64);
  f.SetQueuedDemand(1, 100);
  CHECK(f.granted[LinkId{ 1 }] == 7);
  CHECK(f.BeginCalls(1, 64) == 56);
  CHECK(f.BeginCalls(2, 1) == 1);
  f.SetQueuedDemand(2, 100);
  for (int i = 0; i < 53; ++i) {
    f.allocator.EndCall(LinkId{ 1 }, kUpstream);
  }
  f.ApplyGrants();
  CHECK(f.granted[LinkId{ 1 }] == 4);
  CHECK(f.granted[LinkId{ 2 }] == 4);
}

// Guards against exceeding the limits while demands, calls and links change at random.
TEST_CASE("CreditAllocator NeverCommitsMoreThanTheLimits")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  const std::uint32_t connections = GENERATE(8U, 20U, 64U);
  INFO("seed " << seed << ", connections " << connections);
  RandomSource random(seed);
  Fixture f(0, connections);
  std::map<LinkId, std::uint32_t> running;
  std::map<LinkId, bool> live;
  for (int step = 0; step < 2'000; ++step) {
    const LinkId link{ 1 + random.Below(12) };
    switch (random.Below(6)) {
      case 0:
        if (!live[link] && running[link] == 0) {
          f.allocator.AddLink(link);
          live[link] = true;
        }
        break;
      case 1:
        if (random.Chance(0.2)) {
          f.allocator.RemoveLink(link);
          live[link] = false;
        }
        break;
      case 2:
        f.allocator.SetDemand(
          link, { kUpstream, static_cast<std::uint32_t>(random.Below(20)), running[link] });
        break;
      case 3:
      case 4:
        running[link] += f.allocator.TryBeginCall(link, kUpstream) ? 1 : 0;
        break;
      default:
        if (running[link] > 0) {
          f.allocator.EndCall(link, kUpstream);
          --running[link];
        }
    }
    std::uint32_t sum = 0;
    for (const auto& [id, count] : running) {
      sum += count;
    }
    REQUIRE(f.allocator.InFlight(kUpstream) == sum);
    REQUIRE(f.allocator.CommittedSlots(kUpstream) <= kSlots);
    REQUIRE(f.allocator.CommittedConnections(kUpstream) <= connections);
  }
}
