// Serves the counters and histograms of a process as text.
#pragma once

#include "oriolespread/http/HttpServer.h"
#include "oriolespread/service/LatencyHistogram.h"
#include "oriolespread/service/MetricsText.h"

#include <functional>

namespace oriolespread::daemon {

// Fixed, because the deploy file names it for all machines.
inline constexpr std::uint16_t kMetricsPort = 9464;

class MetricsServer
{
public:
  // What a process shows besides its counters.
  struct Values
  {
    std::map<std::string, double> gauges;
    // Shown in seconds under the name and "_seconds".
    std::map<std::string, const LatencyHistogram*> histograms;
  };
  using ValuesSource = std::function<Values()>;

  // Without the port the process runs on without metrics, and logs why.
  MetricsServer(asio::io_context& aContext,
                const std::string& aIp,
                Counters& aCounters,
                ValuesSource aSource);

private:
  std::unique_ptr<HttpServer> server;
};

} // namespace oriolespread::daemon
