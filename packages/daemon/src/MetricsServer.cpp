#include "MetricsServer.h"

#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

MetricsServer::MetricsServer(asio::io_context& aContext,
                             const std::string& aIp,
                             Counters& aCounters,
                             ValuesSource aSource,
                             const std::shared_ptr<MemoryBudget>& aBudget)
{
  auto created = HttpServer::Create(
    aContext,
    aIp,
    kMetricsPort,
    { .budget = aBudget },
    [&aCounters, source = std::move(aSource), budget = aBudget](const HttpRequest& aRequest,
                                                                const HttpServer::Reply& aReply) {
      if (aRequest.target != "/metrics") {
        aReply({ kHttpNotFound, {}, {} });
        return;
      }
      Values values = source();
      if (budget != nullptr) {
        values.gauges["http_bytes_held"] = static_cast<double>(budget->HeldBytes());
        values.gauges["http_connections_open"] = static_cast<double>(budget->Connections());
      }
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
