#include "oriolespread/cluster/LeaderElection.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const Instant kStart = Instant{} + std::chrono::hours(1);

StoredRow RowOf(const LeaderRecord& aRecord, std::uint64_t aVersion)
{
  return { { "lead", "leader" }, EncodeLeaderRecord(aRecord), aVersion, false };
}

LeaderRecord MakeRecord(const std::string& aEntry)
{
  return { aEntry, "p-" + aEntry, 4, 9, false, 0 };
}

} // namespace

TEST_CASE("LeaderElection ClaimsImmediatelyWhenThereIsNoLeader")
{
  LeaderElection election({}, "a", "p-a");
  CHECK_FALSE(election.ShouldClaim(kStart));
  election.OnRow(std::nullopt, kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
  CHECK(election.MakeClaim().conditions.at(0).version == 0);
  CHECK(election.ClaimedRecord().epoch == 1);
}

TEST_CASE("LeaderElection DoesNotClaimWhileTheLeaderRenews")
{
  LeaderElection election({}, "a", "p-a");
  Instant now = kStart;
  for (std::uint64_t version = 10; version < 30; ++version) {
    election.OnRow(RowOf(MakeRecord("b"), version), now, now);
    CHECK_FALSE(election.ShouldClaim(now));
    now += 450 * kMs;
  }
}

// Guards against an epoch that does not increase, with which agents would accept the orders of two
// leaders.
TEST_CASE("LeaderElection ClaimsTheNextEpochOnTheLastSeenVersionWhenTheLeaderIsSilent")
{
  LeaderElection election({}, "a", "p-a");
  election.OnRow(RowOf(MakeRecord("b"), 10), kStart, kStart);
  election.OnRow(RowOf(MakeRecord("b"), 10), kStart + 1000 * kMs, kStart + 1000 * kMs);
  CHECK_FALSE(election.ShouldClaim(kStart + 1000 * kMs));
  election.OnRow(RowOf(MakeRecord("b"), 10), kStart + 1900 * kMs, kStart + 1900 * kMs);
  REQUIRE(election.ShouldClaim(kStart + 1900 * kMs));
  CHECK(election.MakeClaim().conditions.at(0).version == 10);
  CHECK(election.ClaimedRecord().epoch == 5);
}

TEST_CASE("LeaderElection ClaimsImmediatelyWhenTheLeadershipIsReleased")
{
  LeaderElection election({}, "a", "p-a");
  LeaderRecord released = MakeRecord("b");
  released.released = true;
  election.OnRow(RowOf(released, 10), kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
}

TEST_CASE("LeaderElection ClaimsImmediatelyWhenItsOwnEarlierProcessLed")
{
  LeaderElection election({}, "a", "p-new");
  election.OnRow(RowOf(MakeRecord("a"), 10), kStart, kStart);
  CHECK(election.ShouldClaim(kStart));
}

// Guards against leases of the earlier leader that outlive the time at which a new leader takes them
// for expired: with a slow store, the row may be renewed while it is being read.
TEST_CASE("LeaderElection CountsARenewalUntilTheAnswerThatShowsIt")
{
  LeaderElection election({}, "a", "p-a");
  election.OnRow(RowOf(MakeRecord("b"), 10), kStart, kStart + 800 * kMs);
  election.OnRow(RowOf(MakeRecord("b"), 10), kStart + 900 * kMs, kStart + 1700 * kMs);
  CHECK(election.UnchangedSince() == kStart);
  CHECK(election.LatestRenewal() == kStart + 800 * kMs);
}

// Guards against replacing the row by an older one from a read that is answered late.
TEST_CASE("LeaderElection IgnoresARowOlderThanTheLastOne")
{
  LeaderElection election({}, "a", "p-a");
  election.OnRow(RowOf(MakeRecord("b"), 12), kStart, kStart);
  election.OnRow(RowOf(MakeRecord("c"), 10), kStart + 10 * kMs, kStart + 10 * kMs);
  CHECK(election.Current()->entry == "b");
}

// Guards against a leader on the slowest machine, whose processor would delay placement.
TEST_CASE("LeaderElection TakesOverFromALeaderOnAMuchSlowerProcessor")
{
  LeaderElection fast({}, "a", "p-a");
  fast.SetSpeed(4.0);
  LeaderRecord slow = MakeRecord("b");
  slow.speed = 1.0;
  fast.OnRow(RowOf(slow, 10), kStart, kStart);
  CHECK_FALSE(fast.ShouldClaim(kStart));
  fast.OnRow(RowOf(slow, 11), kStart + 1600 * kMs, kStart + 1600 * kMs);
  CHECK(fast.ShouldClaim(kStart + 1600 * kMs));
  CHECK(fast.ClaimedRecord().speed == 4.0);
}

// Guards against entries on similar machines that take the leadership from one another.
TEST_CASE("LeaderElection DoesNotTakeOverFromALeaderOfSimilarSpeed")
{
  LeaderElection election({}, "a", "p-a");
  election.SetSpeed(1.7);
  LeaderRecord held = MakeRecord("b");
  held.speed = 1.0;
  for (std::uint64_t version = 10; version < 40; ++version) {
    const Instant now = kStart + static_cast<int>(version) * 450 * kMs;
    election.OnRow(RowOf(held, version), now, now);
    CHECK_FALSE(election.ShouldClaim(now));
  }
}

TEST_CASE("LeaderElection LetsFasterEntriesClaimFirstWhenItIsMuchSlowerThanTheLastLeader")
{
  LeaderElection election({}, "a", "p-a");
  election.SetSpeed(1.0);
  LeaderRecord released = MakeRecord("b");
  released.speed = 4.0;
  released.released = true;
  election.OnRow(RowOf(released, 10), kStart, kStart);
  CHECK_FALSE(election.ShouldClaim(kStart));
  // No faster entry has claimed.
  CHECK(election.ShouldClaim(kStart + 450 * kMs));
}

// Guards against failing to read a row that an earlier version of the program wrote.
TEST_CASE("LeaderElection ReadsARowWithoutASpeed")
{
  const auto record =
    DecodeLeaderRecord(R"({"entry":"b","process":"p","epoch":3,"renewal":1,"released":false})");
  REQUIRE(record.has_value());
  CHECK(record->epoch == 3);
  CHECK(record->speed == 0);
}
