#include "LoopMonitor.h"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

// Longer than the monitor's interval and the lateness that it reports.
constexpr Duration kHandlerTime = std::chrono::milliseconds(1200);

void Compute(Duration aTime)
{
  const Instant end = BootClock::now() + aTime;
  while (BootClock::now() < end) {
  }
}

struct MonitoredLoop
{
  asio::io_context context{ 1 };
  Counters counters;
  LoopMonitor monitor{ this->context, this->counters };

  void RunWith(const std::function<void()>& aHandler)
  {
    asio::post(this->context, aHandler);
    this->context.run_for(std::chrono::milliseconds(1700));
  }
};

} // namespace

// Guards against stalls of a process that no log or metric tells from a slow store.
TEST_CASE("LoopMonitor CountsALateLoopWhenAHandlerComputesForLong")
{
  MonitoredLoop loop;
  loop.RunWith([] { Compute(kHandlerTime); });
  CHECK(loop.counters.Get("loop_late_total", "computing") == 1);
  CHECK(loop.counters.Get("loop_late_total", "not_running") == 0);
  CHECK(loop.monitor.Lateness().Buckets().count >= 1);
}

TEST_CASE("LoopMonitor CountsALateLoopWhenTheProcessDoesNotRun")
{
  MonitoredLoop loop;
  loop.RunWith([] { std::this_thread::sleep_for(kHandlerTime); });
  CHECK(loop.counters.Get("loop_late_total", "not_running") == 1);
  CHECK(loop.counters.Get("loop_late_total", "computing") == 0);
}
