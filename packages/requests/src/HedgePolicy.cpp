#include "HedgePolicy.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr double kMeanWeight = 0.02;

} // namespace

void HedgePolicy::RecordCall()
{
  this->tokens = std::min(this->tokens + kTokensPerCall, kMaxTokens);
}

void HedgePolicy::RecordLatency(Duration aLatency)
{
  this->latencies.Add(aLatency);
  const std::uint64_t samples = this->latencies.Samples();
  if (samples >= kMinSamples &&
      (samples % kSamplesPerRefresh == 0 || this->hedgeDelay == Duration::max())) {
    this->hedgeDelay = this->latencies.Quantile(kHedgeQuantile);
    this->minLatency = this->latencies.Quantile(kMinLatencyQuantile);
  }
  const auto latency = static_cast<double>(aLatency.count());
  this->meanLatencyNs +=
    (this->meanLatencyNs == 0.0 ? 1.0 : kMeanWeight) * (latency - this->meanLatencyNs);
}

bool HedgePolicy::TryTakeToken()
{
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

} // namespace oriolespread::internal
