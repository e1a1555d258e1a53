#include "oriolespread/cluster/LeaderElection.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const Instant kStart = Instant{} + std::chrono::hours(1);

StoredRow RowOf(const LeadRow& aRow, std::uint64_t aVersion)
{
  return { { "lead", "leader" }, EncodeLeadRow(aRow), aVersion, false };
}

LeadRow Held(const std::string& aEntry)
{
  return { aEntry, "p-" + aEntry, 4, 9, false };
}

} // namespace

TEST_CASE("LeaderElection ClaimsAtOnceWhenNobodyLeads")
{
  LeaderElection election({}, "a", "p-a");
  CHECK_FALSE(election.ShouldClaim(kStart));
  election.OnRow(std::nullopt, kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
  CHECK(election.MakeClaim().conditions.at(0).version == 0);
  CHECK(election.ClaimedRow().epoch == 1);
}

TEST_CASE("LeaderElection LeavesALeaderAloneWhileItRenews")
{
  LeaderElection election({}, "a", "p-a");
  Instant now = kStart;
  for (std::uint64_t version = 10; version < 30; ++version) {
    election.OnRow(RowOf(Held("b"), version), now, now);
    CHECK_FALSE(election.ShouldClaim(now));
    now += 450 * kMs;
  }
}

// Guards against an epoch that does not rise, which would let two leaders' orders pass.
TEST_CASE("LeaderElection ClaimsAHigherEpochOnTheVersionSeenWhenTheLeaderIsSilent")
{
  LeaderElection election({}, "a", "p-a");
  election.OnRow(RowOf(Held("b"), 10), kStart, kStart);
  election.OnRow(RowOf(Held("b"), 10), kStart + 1000 * kMs, kStart + 1000 * kMs);
  CHECK_FALSE(election.ShouldClaim(kStart + 1000 * kMs));
  election.OnRow(RowOf(Held("b"), 10), kStart + 1900 * kMs, kStart + 1900 * kMs);
  REQUIRE(election.ShouldClaim(kStart + 1900 * kMs));
  CHECK(election.MakeClaim().conditions.at(0).version == 10);
  CHECK(election.ClaimedRow().epoch == 5);
}

TEST_CASE("LeaderElection ClaimsAtOnceWhenTheLeadershipIsReleased")
{
  LeaderElection election({}, "a", "p-a");
  LeadRow released = Held("b");
  released.released = true;
  election.OnRow(RowOf(released, 10), kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
}

TEST_CASE("LeaderElection ClaimsAtOnceWhenItsOwnEarlierProcessLed")
{
  LeaderElection election({}, "a", "p-new");
  election.OnRow(RowOf(Held("a"), 10), kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
}

// Guards against a read that was answered late and shows an older row.
TEST_CASE("LeaderElection IgnoresARowOlderThanTheOneSeen")
{
  LeaderElection election({}, "a", "p-a");
  election.OnRow(RowOf(Held("b"), 12), kStart, kStart);
  election.OnRow(RowOf(Held("c"), 10), kStart + 10 * kMs, kStart + 20 * kMs);
  CHECK(election.Current()->entry == "b");
}
