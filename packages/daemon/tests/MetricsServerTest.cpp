#include "MetricsServer.h"

#include "oriolespread/http/HttpClient.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace oriolespread;
using namespace oriolespread::daemon;

// Guards against counters, gauges or histograms that are missing on a process's metrics port.
TEST_CASE("MetricsServer ServesCountersGaugesAndHistograms")
{
  asio::io_context context{ 1 };
  Counters counters;
  counters.Add("requests_answered_total", "stored");
  LatencyHistogram latency;
  latency.Add(std::chrono::milliseconds(20));
  // The port is fixed, so the test uses a loopback address of its own.
  MetricsServer server(context, "127.77.3.9", counters, [&] {
    return MetricsServer::Values{ { { "workers_known", 3 } }, { { "request", &latency } } };
  });
  auto client = *HttpClient::Create(
    context, "127.77.3.9:" + std::to_string(kMetricsPort), HttpClientLimits{}, counters);
  std::optional<HttpResult> result;
  client->Call({ "GET", "/metrics", {}, {} },
               std::chrono::seconds(5),
               [&](const HttpResult& aResult) { result = aResult; });
  while (!result.has_value()) {
    context.run_one();
  }
  REQUIRE(result->IsAnswer(kHttpOk));
  const std::string& text = result->response.body;
  INFO(text);
  CHECK(text.find("oriolespread_requests_answered_total{reason=\"stored\"} 1") !=
        std::string::npos);
  CHECK(text.find("oriolespread_workers_known 3") != std::string::npos);
  CHECK(text.find("oriolespread_request_seconds_count 1") != std::string::npos);
}

// Guards against a process that approaches its budget without a sign of it.
TEST_CASE("MetricsServer ServesWhatClientsHoldWhenThereIsABudget")
{
  asio::io_context context{ 1 };
  Counters counters;
  auto budget = std::make_shared<MemoryBudget>();
  MemoryBudget::Account account(budget, [] {});
  REQUIRE(account.TryOpen(BootClock::now()));
  account.Hold(1000000);
  MetricsServer server(
    context, "127.77.3.10", counters, [] { return MetricsServer::Values{}; }, budget);
  auto client = *HttpClient::Create(
    context, "127.77.3.10:" + std::to_string(kMetricsPort), HttpClientLimits{}, counters);
  std::optional<HttpResult> result;
  client->Call({ "GET", "/metrics", {}, {} },
               std::chrono::seconds(5),
               [&](const HttpResult& aResult) { result = aResult; });
  while (!result.has_value()) {
    context.run_one();
  }
  REQUIRE(result->IsAnswer(kHttpOk));
  const std::string& text = result->response.body;
  INFO(text);
  // The connection that asks counts as well.
  CHECK(text.find("oriolespread_http_connections_open 2") != std::string::npos);
  CHECK(budget->HeldBytes() > 1000000);
  CHECK(text.find("oriolespread_http_bytes_held ") != std::string::npos);
}
