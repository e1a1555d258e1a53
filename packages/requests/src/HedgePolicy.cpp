#include "HedgePolicy.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr double kMeanWeight = 0.02;

} // namespace

void HedgePolicy::RecordCall()
{
  this->tokens = std::min(this->tokens + kPerCall, kMost);
}

void HedgePolicy::RecordAnswer(Duration aLatency)
{
  this->latencies.Add(aLatency);
  const std::uint64_t samples = this->latencies.Samples();
  if (samples >= kMinSamples && (samples % kRefresh == 0 || this->delay == Duration::max())) {
    this->delay = this->latencies.Quantile(kQuantile);
    this->fastest = this->latencies.Quantile(kFastestQuantile);
  }
  const auto latency = static_cast<double>(aLatency.count());
  this->meanNs += (this->meanNs == 0.0 ? 1.0 : kMeanWeight) * (latency - this->meanNs);
}

bool HedgePolicy::TryTake()
{
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

} // namespace oriolespread::internal
