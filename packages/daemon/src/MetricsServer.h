// Serves the counters, gauges and histograms of a process over HTTP in the Prometheus text format.
#pragma once

#include "oriolespread/http/HttpServer.h"
#include "oriolespread/service/LatencyHistogram.h"
#include "oriolespread/service/MetricsText.h"

#include <functional>

namespace oriolespread::daemon {

// Must match the port in the deployment file, which is the same for all machines.
inline constexpr std::uint16_t kMetricsPort = 9464;

class MetricsServer
{
public:
  // The values that a process exports besides its counters.
  struct Values
  {
    std::map<std::string, double> gauges;
    // Exported in seconds, with "_seconds" appended to the name.
    std::map<std::string, const LatencyHistogram*> histograms;
  };
  using ValuesSource = std::function<Values()>;

  // Exports what the servers of the process hold as well if there is a budget.
  // If the port cannot be opened, logs the reason and serves nothing.
  MetricsServer(asio::io_context& aContext,
                const std::string& aIp,
                Counters& aCounters,
                ValuesSource aSource,
                const std::shared_ptr<MemoryBudget>& aBudget = nullptr);

private:
  std::unique_ptr<HttpServer> server;
};

} // namespace oriolespread::daemon
