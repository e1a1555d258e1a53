#include "oriolespread/service/EventLoop.h"

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace oriolespread;

// Guards against a process that ends, or a loop that takes no more work, because work throws on a
// malformed message or an unexpected error.
TEST_CASE("EventLoop RunsOtherWorkWhenSomeThrows")
{
  Counters counters;
  EventLoop loop("test", 16, counters);
  std::promise<void> posted;
  std::promise<void> delivered;
  std::promise<void> postedLater;
  REQUIRE(loop.TryPost([] { throw std::out_of_range("no such step"); }));
  REQUIRE(loop.TryPost([&] { posted.set_value(); }));
  loop.Deliver([] { throw std::out_of_range("no such agent"); });
  loop.Deliver([&] { delivered.set_value(); });
  loop.Start();
  constexpr Duration kTime = std::chrono::seconds(10);
  CHECK(posted.get_future().wait_for(kTime) == std::future_status::ready);
  CHECK(delivered.get_future().wait_for(kTime) == std::future_status::ready);
  REQUIRE(loop.TryPost([&] { postedLater.set_value(); }));
  CHECK(postedLater.get_future().wait_for(kTime) == std::future_status::ready);
  CHECK(counters.Get("handler_errors_total", "exception") == 2);
  loop.Stop();
}
