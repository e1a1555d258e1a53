// Serves the counters and histograms of a process as text.
#pragma once

#include "oriolespread/http/HttpServer.h"
#include "oriolespread/service/MetricsText.h"

#include <functional>

namespace oriolespread::daemon {

// Fixed, because the deploy file names it for all machines.
inline constexpr std::uint16_t kMetricsPort = 9464;

class MetricsServer
{
public:
  using Gauges = std::function<std::map<std::string, double>()>;

  // Without the port the process runs on without metrics, and logs why.
  MetricsServer(asio::io_context& aContext,
                const std::string& aIp,
                Counters& aCounters,
                Gauges aGauges);

private:
  std::unique_ptr<HttpServer> server;
};

} // namespace oriolespread::daemon
