#include "LoopMonitor.h"

#include "oriolespread/service/Log.h"

#include <algorithm>
#include <ctime>

namespace oriolespread::daemon {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);

Duration ProcessorTime()
{
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

LoopMonitor::LoopMonitor(asio::io_context& aContext, Counters& aCounters)
  : counters(aCounters)
  , timer(aContext)
{
  this->Schedule();
}

void LoopMonitor::Schedule()
{
  this->scheduledAt = BootClock::now();
  this->processorTime = ProcessorTime();
  this->timer.expires_after(kInterval);
  this->timer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      this->OnTimer();
    }
  });
}

void LoopMonitor::OnTimer()
{
  const Duration elapsed = BootClock::now() - this->scheduledAt;
  const Duration late = std::max(elapsed - kInterval, Duration::zero());
  const Duration used = ProcessorTime() - this->processorTime;
  this->lateness.Add(late);
  if (late >= kLate) {
    const char* reason = used >= late / 2 ? "computing" : "not_running";
    this->counters.Add("loop_late_total", reason);
    Log(LogLevel::Warning,
        "loop_late",
        { { "reason", reason },
          { "late_ms", ToMilliseconds(late) },
          { "processor_ms", ToMilliseconds(used) } });
  }
  this->Schedule();
}

} // namespace oriolespread::daemon
