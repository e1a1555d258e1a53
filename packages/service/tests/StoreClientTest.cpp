#include "oriolespread/service/StoreClient.h"

#include <catch2/catch.hpp>

#include <future>

using namespace oriolespread;

namespace {

// One store thread with an embedded platform, and one loop.
struct Site
{
  std::shared_ptr<EmbeddedPlatform> platform = std::make_shared<EmbeddedPlatform>();
  Counters counters;
  EventLoop loop{ "test", 16, counters };
  StorePool pool{ 1, 1, [this] { return PlatformClient::Embedded(this->platform); } };
  StoreClient client{ pool, loop, counters };
};

} // namespace

TEST_CASE("StoreClient RunsCallbacksOnTheLoop")
{
  Site site;
  std::promise<std::thread::id> ranOn;
  std::promise<CommitOutcome> outcome;
  site.loop.Start();
  site.loop.Deliver([&] {
    site.client.Commit({ TransactionId{ "t" }, {}, { { "a", 1 } } },
                       [&](const CommitOutcome& aOutcome) {
                         ranOn.set_value(std::this_thread::get_id());
                         outcome.set_value(aOutcome);
                       });
  });
  CHECK(ranOn.get_future().get() != std::this_thread::get_id());
  CHECK(outcome.get_future().get().status == CommitStatus::Committed);
}

// Guards against an unbounded backlog, or a lost callback, when the store is slower than its
// callers.
TEST_CASE("StoreClient EndsACallAsUnavailableWhenItsRingIsFull")
{
  Site site;
  std::promise<void> blocked;
  std::promise<void> release;
  REQUIRE(site.pool.TryRun([&](PlatformClient&) {
    blocked.set_value();
    release.get_future().wait();
  }));
  blocked.get_future().wait();
  std::vector<CommitStatus> ended;
  std::promise<void> all;
  const auto done = [&](const CommitOutcome& aOutcome) {
    ended.push_back(aOutcome.status);
    if (ended.size() == 2) {
      all.set_value();
    }
  };
  site.loop.Start();
  site.loop.Deliver([&] {
    site.client.Commit({ TransactionId{ "t1" }, {}, {} }, done);
    site.client.Commit({ TransactionId{ "t2" }, {}, {} }, done);
    release.set_value();
  });
  all.get_future().wait();
  site.loop.Stop();
  REQUIRE(ended.size() == 2);
  CHECK(std::count(ended.begin(), ended.end(), CommitStatus::Unavailable) == 1);
  CHECK(std::count(ended.begin(), ended.end(), CommitStatus::Committed) == 1);
  CHECK(site.counters.Get("store_commits_total", "ring_full") == 1);
}

// Guards against work that is posted while the loop leaves its drain and then never runs.
TEST_CASE("EventLoop RunsEveryAcceptedPost")
{
  Counters counters;
  EventLoop loop("test", 64, counters);
  std::atomic<int> ran = 0;
  loop.Start();
  int accepted = 0;
  while (accepted < 100'000) {
    if (loop.TryPost([&] { ++ran; })) {
      ++accepted;
    } else {
      std::this_thread::yield();
    }
  }
  std::promise<void> end;
  while (!loop.TryPost([&] { end.set_value(); })) {
    std::this_thread::yield();
  }
  end.get_future().wait();
  CHECK(ran.load() == accepted);
}
