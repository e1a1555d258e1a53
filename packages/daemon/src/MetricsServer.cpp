#include "MetricsServer.h"

#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

MetricsServer::MetricsServer(asio::io_context& aContext,
                             const std::string& aIp,
                             Counters& aCounters,
                             ValuesSource aSource)
{
  auto created = HttpServer::Create(
    aContext,
    aIp,
    kMetricsPort,
    {},
    [&aCounters, source = std::move(aSource)](const HttpRequest& aRequest,
                                              const HttpServer::Reply& aReply) {
      if (aRequest.target != "/metrics") {
        aReply({ kHttpNotFound, {}, {} });
        return;
      }
      const Values values = source();
      aReply({ kHttpOk,
               { { "Content-Type", "text/plain; version=0.0.4" } },
               MetricsText(aCounters, values.gauges, values.histograms) });
    },
    aCounters);
  if (!created.ok()) {
    Log(LogLevel::Warning,
        "metrics_unavailable",
        { { "reason", std::string(created.status().message()) } });
    return;
  }
  this->server = *std::move(created);
}

} // namespace oriolespread::daemon
