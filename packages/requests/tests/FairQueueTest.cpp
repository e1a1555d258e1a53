#include "FairQueue.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;

namespace {

const Instant kLater = Instant(std::chrono::seconds(100));

QueuedRequest Make(std::uint64_t aId,
                   const std::string& aOrganisation,
                   RequestClass aClass = RequestClass::LatencyCritical,
                   Instant aDeadline = kLater)
{
  return { { Incarnation{ 1 }, aId }, OrganisationId{ aOrganisation }, aClass, aDeadline };
}

std::vector<std::string> PopAll(FairQueue& aQueue, std::size_t aCount)
{
  std::vector<std::string> order;
  std::vector<QueuedRequest> dropped;
  while (order.size() < aCount) {
    const QueuedRequest* next = aQueue.Peek(Instant{}, dropped);
    if (next == nullptr) {
      break;
    }
    order.push_back(next->organisation.Value() + std::to_string(next->id.counter));
    aQueue.Pop();
  }
  return order;
}

} // namespace

// Guards against a long queue of one organisation reducing the share of another.
TEST_CASE("FairQueue ServesOrganisationsByWeightForAnyQueueLength")
{
  FairQueue queue;
  queue.SetWeights({ { OrganisationId{ "big" }, 1.0 }, { OrganisationId{ "small" }, 3.0 } });
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push(Make(i, "big"), 1000);
  }
  for (std::uint64_t i = 100; i < 130; ++i) {
    queue.Push(Make(i, "small"), 1000);
  }
  const auto order = PopAll(queue, 40);
  const auto small = std::count_if(
    order.begin(), order.end(), [](const std::string& aItem) { return aItem[0] == 's'; });
  CHECK(small >= 29);
  CHECK(small <= 31);
}

// Guards against an organisation that gets all slots as compensation for its idle time.
TEST_CASE("FairQueue GivesNoCreditForIdleTime")
{
  FairQueue queue;
  for (std::uint64_t i = 0; i < 50; ++i) {
    queue.Push(Make(i, "a"), 1000);
  }
  PopAll(queue, 40);
  for (std::uint64_t i = 50; i < 60; ++i) {
    queue.Push(Make(i, "b"), 1000);
  }
  const auto order = PopAll(queue, 10);
  CHECK(std::count_if(order.begin(), order.end(), [](const std::string& aItem) {
          return aItem[0] == 'b';
        }) <= 6);
}

// Guards against batch requests that delay latency-critical requests of the same organisation, and
// against an unbounded queue.
TEST_CASE("FairQueue ServesLatencyCriticalFirstAndLimitsEachClass")
{
  FairQueue queue;
  CHECK(queue.Push(Make(1, "a", RequestClass::Batch), 1));
  CHECK_FALSE(queue.Push(Make(2, "a", RequestClass::Batch), 1));
  CHECK(queue.Push(Make(3, "a"), 1));
  queue.PushFront(Make(4, "a"));
  CHECK(PopAll(queue, 9) == std::vector<std::string>{ "a4", "a3", "a1" });
}

// Guards against serving a request whose deadline passes before the response, and against index
// entries that outlive their request.
TEST_CASE("FairQueue DropsRequestsThatCannotMeetTheirDeadline")
{
  FairQueue queue;
  queue.Push(Make(1, "a", RequestClass::LatencyCritical, Instant(std::chrono::seconds(5))), 9);
  queue.Push(Make(2, "a"), 9);
  queue.Push(Make(3, "a"), 9);
  CHECK(queue.Remove({ Incarnation{ 1 }, 3 }));
  CHECK_FALSE(queue.Remove({ Incarnation{ 1 }, 3 }));
  std::vector<QueuedRequest> dropped;
  const QueuedRequest* next = queue.Peek(Instant(std::chrono::seconds(6)), dropped);
  REQUIRE(next != nullptr);
  CHECK(next->id.counter == 2);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].id.counter == 1);
  queue.Pop();
  CHECK(queue.empty());
}
