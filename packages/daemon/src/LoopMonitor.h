// Measures how late the handlers of an event loop run, and whether the process was computing
// meanwhile or did not get the processor. Both delay renewals, orders and reports alike.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace oriolespread::daemon {

class LoopMonitor
{
public:
  // Handlers that are late by more than this are counted and logged.
  static constexpr Duration kLate = std::chrono::milliseconds(300);

  // Starts to measure. The context and the counters must outlive the monitor.
  LoopMonitor(asio::io_context& aContext, Counters& aCounters);

  // The lateness of a timer that expires every half second.
  const LatencyHistogram& Lateness() const { return this->lateness; }

private:
  void Schedule();
  void OnTimer();

  Counters& counters;
  asio::steady_timer timer;
  LatencyHistogram lateness;
  Instant scheduledAt{};
  // The processor time of the process at `scheduledAt`.
  Duration processorTime{};
};

} // namespace oriolespread::daemon
