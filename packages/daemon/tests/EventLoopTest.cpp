#include "EventLoop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace oriolespread;
using namespace oriolespread::daemon;

// Guards against a process that ends because a handler throws on a malformed message or an
// unexpected error.
TEST_CASE("EventLoop RunsOtherHandlersWhenOneThrows")
{
  asio::io_context context{ 1 };
  Counters counters;
  int handled = 0;
  asio::post(context, [&] { ++handled; });
  asio::post(context, [] { throw std::out_of_range("no such step"); });
  asio::post(context, [&] { ++handled; });
  RunEventLoop(context, counters);
  CHECK(handled == 2);
  CHECK(counters.Get("handler_errors_total", "exception") == 1);
}

TEST_CASE("EventLoop EndsWhenTheContextIsStopped")
{
  asio::io_context context{ 1 };
  Counters counters;
  auto work = asio::make_work_guard(context);
  asio::post(context, [&] { context.stop(); });
  RunEventLoop(context, counters);
  CHECK(context.stopped());
}
