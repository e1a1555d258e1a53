// Guards against a budget that drops the wrong connection or loses count of what is held.
#include "oriolespread/http/MemoryBudget.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace oriolespread;

namespace {

// Accounts whose release ends them.
struct Held
{
  std::shared_ptr<MemoryBudget> budget;
  std::map<std::string, std::unique_ptr<MemoryBudget::Account>> accounts;
  std::vector<std::string> released;
  Instant now{ std::chrono::seconds(100) };

  explicit Held(MemoryBudget::Limits aLimits)
    : budget(std::make_shared<MemoryBudget>(aLimits))
  {
  }

  MemoryBudget::Account& Open(const std::string& aName)
  {
    auto account = std::make_unique<MemoryBudget::Account>(this->budget, [this, aName] {
      this->released.push_back(aName);
      this->accounts.erase(aName);
    });
    REQUIRE(account->TryOpen(this->now));
    return *(this->accounts[aName] = std::move(account));
  }
};

constexpr std::uint64_t kMany = 1000000;

} // namespace

TEST_CASE("MemoryBudget ReleasesTheAccountThatHasHeldMostForLongestWithoutProgress")
{
  Held held({ .bytes = 10 * kMany });
  REQUIRE(held.Open("old and small").TryHold(kMany / 10, held.now));
  held.now += std::chrono::seconds(4);
  REQUIRE(held.Open("large").TryHold(5 * kMany, held.now));
  REQUIRE(held.Open("larger").TryHold(4 * kMany, held.now));
  held.now += std::chrono::seconds(1);
  held.accounts["larger"]->MarkProgress(held.now);
  REQUIRE(held.Open("new").TryHold(5 * kMany, held.now));
  CHECK(held.released == std::vector<std::string>{ "large" });
  CHECK(held.budget->HeldBytes() == 9 * kMany + kMany / 10);
}

TEST_CASE("MemoryBudget RefusesWhenNoOtherAccountHasStalled")
{
  Held held({ .bytes = 10 * kMany });
  REQUIRE(held.Open("active").TryHold(8 * kMany, held.now));
  held.now += MemoryBudget::kStallTime / 2;
  CHECK_FALSE(held.Open("new").TryHold(3 * kMany, held.now));
  CHECK(held.budget->HeldBytes() == 8 * kMany);
  CHECK(held.released.empty());
}

TEST_CASE("MemoryBudget ReleasesNoAccountWhoseRequestIsHandled")
{
  Held held({ .bytes = 10 * kMany });
  auto& handled = held.Open("handled");
  REQUIRE(handled.TryHold(8 * kMany, held.now));
  handled.SetReleasable(false);
  held.now += std::chrono::seconds(10);
  CHECK_FALSE(held.Open("new").TryHold(3 * kMany, held.now));
  CHECK(held.released.empty());
}

TEST_CASE("MemoryBudget GivesTheReserveToSmallAccountsOnly")
{
  Held held({ .bytes = 10 * kMany, .reservedBytes = 2 * kMany });
  REQUIRE(held.Open("large").TryHold(8 * kMany, held.now));
  CHECK_FALSE(held.Open("not small").TryHold(MemoryBudget::kSmallBytes + 1, held.now));
  CHECK(held.Open("small").TryHold(MemoryBudget::kSmallBytes, held.now));
}

TEST_CASE("MemoryBudget ServesExactlyWhatItHas")
{
  Held held({ .bytes = 10 * kMany });
  CHECK_FALSE(held.Open("beyond").TryHold(10 * kMany + 1, held.now));
  CHECK(held.Open("all").TryHold(10 * kMany, held.now));
}

// Guards against a loop that does not end when a released account keeps what it holds.
TEST_CASE("MemoryBudget RefusesWhenReleasedAccountsReturnNothing")
{
  auto budget = std::make_shared<MemoryBudget>(MemoryBudget::Limits{ .bytes = kMany });
  int calls = 0;
  MemoryBudget::Account kept(budget, [&] { ++calls; });
  const Instant start{ std::chrono::seconds(100) };
  REQUIRE(kept.TryOpen(start));
  REQUIRE(kept.TryHold(kMany, start));
  MemoryBudget::Account other(budget, [] {});
  const Instant later = start + std::chrono::seconds(5);
  REQUIRE(other.TryOpen(later));
  CHECK_FALSE(other.TryHold(kMany, later));
  CHECK(calls == 1);
}

TEST_CASE("MemoryBudget ReleasesAnAccountForAConnectionWhenConnectionsAreUsedUp")
{
  Held held({ .connections = 1 });
  held.Open("first").Hold(10);
  MemoryBudget::Account tooEarly(held.budget, [] {});
  CHECK_FALSE(tooEarly.TryOpen(held.now));
  held.now += MemoryBudget::kStallTime;
  held.Open("second");
  CHECK(held.released == std::vector<std::string>{ "first" });
  CHECK(held.budget->Connections() == 1);
}
