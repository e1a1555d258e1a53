#include "oriolespread/service/MetricsText.h"

#include "oriolespread/service/LatencyHistogram.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

// Guards against a label that breaks the text format for every reader of /metrics.
TEST_CASE("MetricsText EscapesLabelsAndListsCumulativeBuckets")
{
  Counters counters;
  counters.Add("refused_total", "a\"b\\c\nd", 2);
  LatencyHistogram latency;
  latency.Add(std::chrono::microseconds(10));
  latency.Add(std::chrono::milliseconds(3));
  latency.Add(std::chrono::seconds(1000));
  const std::string text = MetricsText(counters, { { "queued", 3 } }, { { "request", &latency } });
  INFO(text);
  CHECK(text.find(R"(oriolespread_refused_total{reason="a\"b\\c\nd"} 2)") != std::string::npos);
  CHECK(text.find("oriolespread_queued 3\n") != std::string::npos);
  CHECK(text.find("oriolespread_request_seconds_bucket{le=\"100\"} 2\n") != std::string::npos);
  CHECK(text.find("oriolespread_request_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("oriolespread_request_seconds_count 3\n") != std::string::npos);
}

TEST_CASE("LatencyHistogram ReturnsTheUpperBoundOfTheQuantilesBin")
{
  LatencyHistogram latency;
  CHECK(latency.Quantile(0.5) == Duration::zero());
  for (int count = 0; count < 100; ++count) {
    latency.Add(count < 95 ? std::chrono::milliseconds(1) : std::chrono::milliseconds(50));
  }
  CHECK(latency.Quantile(0.5) <= std::chrono::milliseconds(2));
  CHECK(latency.Quantile(0.99) >= std::chrono::milliseconds(50));
  CHECK(latency.Quantile(0.99) <= std::chrono::milliseconds(80));
}
