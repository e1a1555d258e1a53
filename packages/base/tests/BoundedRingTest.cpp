#include "oriolespread/base/BoundedRing.h"

#include <catch2/catch.hpp>

#include <memory>
#include <thread>

using namespace oriolespread;

// Guards against losing an item that a full ring has refused.
TEST_CASE("BoundedRing LeavesTheItemWithItsProducerWhenFull")
{
  BoundedRing<std::unique_ptr<int>> ring{ 1 };
  REQUIRE(ring.TryPush(std::make_unique<int>(1)));
  auto refused = std::make_unique<int>(2);
  CHECK_FALSE(ring.TryPush(std::move(refused)));
  REQUIRE(refused != nullptr); // NOLINT(bugprone-use-after-move): the contract under test.
  CHECK(**ring.TryPop() == 1);
  CHECK_FALSE(ring.TryPop().has_value());
}

// Guards against a consumer that never wakes when its ring is closed.
TEST_CASE("BoundedRing WakesAWaitingConsumerOnClose")
{
  BoundedRing<int> ring{ 4 };
  std::optional<int> popped = 7;
  std::thread consumer([&] { popped = ring.PopFor(std::chrono::hours(1)); });
  ring.Close();
  consumer.join();
  CHECK_FALSE(popped.has_value());
}
