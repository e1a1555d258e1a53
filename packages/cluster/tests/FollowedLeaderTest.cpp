#include "oriolespread/cluster/FollowedLeader.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

LeaderClaim NewClaim(std::uint64_t aEpoch)
{
  return { Epoch{ aEpoch }, false, false };
}

LeaderClaim RenewedClaim(std::uint64_t aEpoch)
{
  return { Epoch{ aEpoch }, true, false };
}

LeaderClaim RepeatedClaim(std::uint64_t aEpoch)
{
  return { Epoch{ aEpoch }, true, true };
}

} // namespace

// Guards against a new process that follows a leader which its earlier process knew to be
// superseded.
TEST_CASE("FollowedLeader WaitsForARenewalWhenItsProcessHasFollowedNoLeader")
{
  FollowedLeader followed;
  CHECK_FALSE(followed.OnClaim("a", NewClaim(34)));
  CHECK(followed.Entry().empty());
  CHECK(followed.OnClaim("b", RenewedClaim(35)));
  CHECK_FALSE(followed.OnClaim("a", RepeatedClaim(34)));
  CHECK(followed.Entry() == "b");
  CHECK(followed.LatestEpoch() == Epoch{ 35 });
}

// Guards against an agent that never follows the leader to which it was linked first.
TEST_CASE("FollowedLeader FollowsALeaderThatItsProcessDoesNotKnowWhenItHasRenewed")
{
  FollowedLeader followed;
  CHECK_FALSE(followed.OnClaim("a", NewClaim(34)));
  CHECK(followed.OnClaim("a", RepeatedClaim(34)));
  CHECK(followed.Entry() == "a");
}

// Guards against leases that lapse because links come up anew while the store is away.
TEST_CASE("FollowedLeader FollowsAKnownLeaderAtOnceWhenItsLinkComesUpAgain")
{
  FollowedLeader followed;
  REQUIRE(followed.OnClaim("a", RenewedClaim(34)));
  CHECK_FALSE(followed.OnLinkDown("b"));
  CHECK(followed.OnLinkDown("a"));
  CHECK(followed.Entry().empty());
  CHECK(followed.OnClaim("a", NewClaim(34)));
}

// Guards against orders that are suspended because a claim was repeated, and against a leader that
// has loaded its state and gets no full report.
TEST_CASE("FollowedLeader BeginsAnewWhenALeaderClaimsAgainButNotWhenItTellsOfARenewal")
{
  FollowedLeader followed;
  REQUIRE(followed.OnClaim("a", RenewedClaim(34)));
  CHECK_FALSE(followed.OnClaim("a", RepeatedClaim(34)));
  CHECK(followed.OnClaim("a", NewClaim(34)));
  CHECK(followed.OnClaim("b", NewClaim(35)));
  CHECK_FALSE(followed.OnClaim("a", RenewedClaim(34)));
  CHECK_FALSE(followed.OnClaim("a", { Epoch{}, true, false }));
  CHECK(followed.Entry() == "b");
}
