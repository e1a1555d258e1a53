#include "oriolespread/cluster/PeerSelector.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
const Instant kNow = Instant{} + std::chrono::hours(1);

} // namespace

TEST_CASE("PeerSelector PrefersThePeerThatServedTheLastRequest")
{
  PeerSelector selector({});
  CHECK_FALSE(selector.Choose({}, kNow).has_value());
  selector.SetPeers({ "a", "b", "c" });
  selector.OnServed("b");
  CHECK(selector.Choose({}, kNow) == "b");
  CHECK(selector.Choose({ "b" }, kNow) == "a");
}

// Guards against a peer that is asked although it was removed from the directory.
TEST_CASE("PeerSelector ForgetsPeersThatHaveLeft")
{
  PeerSelector selector({});
  selector.SetPeers({ "a", "b" });
  selector.OnServed("b");
  selector.SetPeers({ "a" });
  CHECK(selector.Choose({}, kNow) == "a");
  CHECK_FALSE(selector.Choose({ "a" }, kNow).has_value());
}

// Plays an outage in which the store serves no entry, with 200 requests a second at one entry.
// Guards against requests that are multiplied by the number of entries.
TEST_CASE("PeerSelector AsksPeersRarelyWhileNoneIsServed")
{
  PeerSelector selector({});
  selector.SetPeers({ "a", "b", "c", "d" });
  int calls = 0;
  Instant now = kNow;
  for (int request = 0; request < 1000; ++request) {
    std::set<std::string> tried;
    while (const auto peer = selector.Choose(tried, now)) {
      ++calls;
      tried.insert(*peer);
      selector.OnFailed(*peer, now);
    }
    now += 5 * kMs;
  }
  // Four peers, each asked once in 0.5 s for 5 s.
  CHECK(calls <= 4 * 10);
  selector.OnServed("c");
  CHECK(selector.Choose({}, now + 500 * kMs) == "c");
}
