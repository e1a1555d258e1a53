#include "oriolespread/cluster/TimeoutEstimator.h"

#include <algorithm>

namespace oriolespread::cluster {

namespace {

// The gains and the factor of RFC 6298.
constexpr int kLatencyGainDivisor = 8;
constexpr int kVariationGainDivisor = 4;
constexpr int kVariationFactor = 4;
constexpr int kMaxBackoff = 16;

} // namespace

TimeoutEstimator::TimeoutEstimator(TimeoutLimits aLimits)
  : limits(aLimits)
{
}

Duration TimeoutEstimator::Timeout() const
{
  if (!this->hasSample) {
    return this->limits.max;
  }
  const Duration estimate = this->smoothedLatency + kVariationFactor * this->latencyVariation;
  return std::min(std::max(estimate, this->limits.min) * this->backoff, this->limits.max);
}

void TimeoutEstimator::OnAnswer(Duration aLatency)
{
  this->backoff = 1;
  if (!this->hasSample) {
    this->hasSample = true;
    this->smoothedLatency = aLatency;
    this->latencyVariation = aLatency / 2;
    return;
  }
  const Duration deviation =
    std::max(this->smoothedLatency, aLatency) - std::min(this->smoothedLatency, aLatency);
  this->latencyVariation += (deviation - this->latencyVariation) / kVariationGainDivisor;
  this->smoothedLatency += (aLatency - this->smoothedLatency) / kLatencyGainDivisor;
}

void TimeoutEstimator::OnTimeout()
{
  this->backoff = std::min(2 * this->backoff, kMaxBackoff);
}

} // namespace oriolespread::cluster
