#include "EventLoop.h"

#include "oriolespread/service/Log.h"

#include <exception>

namespace oriolespread::daemon {

void RunEventLoop(asio::io_context& aContext, Counters& aCounters)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      aCounters.Add("handler_errors_total", "exception");
      Log(LogLevel::Error, "handler_failed", { { "reason", std::string(error.what()) } });
    }
  }
}

} // namespace oriolespread::daemon
