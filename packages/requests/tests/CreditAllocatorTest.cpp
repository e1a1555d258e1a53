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
  CreditAllocator ledger{ counters };
  std::map<LinkId, std::uint32_t> granted;

  explicit Fixture(std::uint64_t aLinks, std::uint32_t aConnections = kSlots)
  {
    this->ledger.SetUpstream(kUpstream, Incarnation{ 1 }, kSlots, aConnections);
    for (std::uint64_t link = 1; link <= aLinks; ++link) {
      this->ledger.AddLink(LinkId{ link });
    }
    this->Take();
  }

  void Take()
  {
    for (const LinkGrant& grant : this->ledger.TakeChangedGrants()) {
      this->granted[grant.link] = grant.grant.slots;
    }
  }

  void Demand(std::uint64_t aLink, std::uint32_t aQueued)
  {
    this->ledger.SetDemand(LinkId{ aLink }, { kUpstream, aQueued, 0 });
    this->Take();
  }

  std::uint32_t Begin(std::uint64_t aLink, std::uint32_t aCount)
  {
    std::uint32_t begun = 0;
    while (begun < aCount && this->ledger.TryBeginCall(LinkId{ aLink }, kUpstream)) {
      ++begun;
    }
    return begun;
  }
};

} // namespace

// Guards against starving an entry with little demand, and against unused slots.
TEST_CASE("CreditLedger DividesMaxMinByDemandAndSpreadsTheRest")
{
  Fixture f(3);
  CHECK(f.granted[LinkId{ 1 }] + f.granted[LinkId{ 2 }] + f.granted[LinkId{ 3 }] == kSlots);
  f.Demand(1, 100);
  f.Demand(2, 2);
  CHECK(f.granted[LinkId{ 1 }] == 5);
  CHECK(f.granted[LinkId{ 2 }] == 2);
  CHECK(f.granted[LinkId{ 3 }] == 1);
}

// Guards against running more than the slots while an entry that was cut still uses its old credit.
TEST_CASE("CreditLedger GivesReducedCreditAwayOnlyAsItsRequestsEnd")
{
  Fixture f(1);
  REQUIRE(f.Begin(1, 8) == 8);
  f.ledger.AddLink(LinkId{ 2 });
  f.Take();
  CHECK(f.granted[LinkId{ 2 }] == 0);
  CHECK(f.Begin(2, 1) == 0);
  f.Demand(2, 100);
  f.ledger.SetDemand(LinkId{ 1 }, { kUpstream, 0, 8 });
  for (int i = 0; i < 4; ++i) {
    f.ledger.End(LinkId{ 1 }, kUpstream);
    f.Take();
    CHECK(f.ledger.CommittedSlots(kUpstream) <= kSlots);
  }
  CHECK(f.granted[LinkId{ 2 }] == 4);
  CHECK(f.Begin(1, 1) == 0);
  CHECK(f.counters.Get("calls_refused_total", "no_credit") >= 2);
}

// Guards against a dead entry's slots being given away while its requests still run, and against
// losing them for good.
TEST_CASE("CreditLedger ReturnsTheCreditOfADeadEntryWithItsLastRequest")
{
  Fixture f(2);
  f.Demand(1, 8);
  REQUIRE(f.Begin(1, 7) == 7);
  f.ledger.RemoveLink(LinkId{ 1 });
  f.Demand(2, 8);
  CHECK(f.granted[LinkId{ 2 }] == 1);
  for (int i = 0; i < 7; ++i) {
    f.ledger.End(LinkId{ 1 }, kUpstream);
  }
  f.Take();
  CHECK(f.granted[LinkId{ 2 }] == kSlots);
}

// Guards against calls that wait at the upstream barring another entry from its slots.
TEST_CASE("CreditLedger KeepsASlotForAnEntryWhileAnotherFillsItsConnections")
{
  Fixture f(2, 64);
  f.Demand(1, 100);
  CHECK(f.granted[LinkId{ 1 }] == 7);
  CHECK(f.Begin(1, 64) == 56);
  CHECK(f.Begin(2, 1) == 1);
  f.Demand(2, 100);
  for (int i = 0; i < 53; ++i) {
    f.ledger.End(LinkId{ 1 }, kUpstream);
  }
  f.Take();
  CHECK(f.granted[LinkId{ 1 }] == 4);
  CHECK(f.granted[LinkId{ 2 }] == 4);
}

// Guards against more than the limit under any interleaving of demand, calls, links and restarts.
TEST_CASE("CreditLedger NeverCommitsMoreThanTheSlots")
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
          f.ledger.AddLink(link);
          live[link] = true;
        }
        break;
      case 1:
        if (random.Chance(0.2)) {
          f.ledger.RemoveLink(link);
          live[link] = false;
        }
        break;
      case 2:
        f.ledger.SetDemand(
          link, { kUpstream, static_cast<std::uint32_t>(random.Below(20)), running[link] });
        break;
      case 3:
      case 4:
        running[link] += f.ledger.TryBeginCall(link, kUpstream) ? 1 : 0;
        break;
      default:
        if (running[link] > 0) {
          f.ledger.End(link, kUpstream);
          --running[link];
        }
    }
    std::uint32_t sum = 0;
    for (const auto& [id, count] : running) {
      sum += count;
    }
    REQUIRE(f.ledger.InFlight(kUpstream) == sum);
    REQUIRE(f.ledger.CommittedSlots(kUpstream) <= kSlots);
    REQUIRE(f.ledger.CommittedConnections(kUpstream) <= connections);
  }
}
