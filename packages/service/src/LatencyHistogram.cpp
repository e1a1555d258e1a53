#include "oriolespread/service/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace oriolespread {

namespace {

namespace bh = boost::histogram;

constexpr double kLowSeconds = 1e-4;
constexpr double kHighSeconds = 1e2;
constexpr unsigned kBins = 36;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<Axis>()));

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

struct LatencyHistogram::Storage
{
  Histogram histogram = bh::make_histogram(Axis(kBins, kLowSeconds, kHighSeconds));
  double sumSeconds = 0.0;
};

LatencyHistogram::LatencyHistogram()
  : storage(std::make_unique<Storage>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration aLatency)
{
  const double seconds = std::max(Seconds(aLatency), 0.0);
  const std::lock_guard lock(this->mutex);
  // Values below the first bin belong to it: a bucket counts everything up to its upper bound.
  this->storage->histogram(std::max(seconds, kLowSeconds));
  this->storage->sumSeconds += seconds;
}

LatencyBuckets LatencyHistogram::Buckets() const
{
  const std::lock_guard lock(this->mutex);
  LatencyBuckets buckets;
  buckets.sumSeconds = this->storage->sumSeconds;
  for (auto&& bin : bh::indexed(this->storage->histogram, bh::coverage::all)) {
    buckets.count += static_cast<std::uint64_t>(*bin);
    const int index = bin.index(0);
    if (index >= 0 && index < static_cast<int>(kBins)) {
      buckets.upperSeconds.push_back(bin.bin(0).upper());
      buckets.cumulative.push_back(buckets.count);
    }
  }
  return buckets;
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  const LatencyBuckets buckets = this->Buckets();
  if (buckets.count == 0) {
    return Duration::zero();
  }
  const double rank = aQuantile * static_cast<double>(buckets.count);
  double upper = kHighSeconds;
  for (std::size_t index = 0; index < buckets.cumulative.size(); ++index) {
    if (static_cast<double>(buckets.cumulative[index]) >= rank) {
      upper = buckets.upperSeconds[index];
      break;
    }
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
}

} // namespace oriolespread
