#include "LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <vector>

namespace oriolespread::internal {

namespace bh = boost::histogram;

namespace {

constexpr int kBinCount = 400;
constexpr double kLowestUs = 10.0;
constexpr double kHighestUs = 1e8;

auto MakeHistogram()
{
  return bh::make_histogram_with(
    std::vector<double>(),
    bh::axis::regular<double, bh::axis::transform::log>(kBinCount, kLowestUs, kHighestUs));
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(MakeHistogram()) histogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration aLatency)
{
  this->bins->histogram(std::chrono::duration<double, std::micro>(aLatency).count());
  if (++this->samples % kSamplesPerDecay == 0) {
    this->bins->histogram *= 0.5;
  }
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  const auto& histogram = this->bins->histogram;
  double total = 0.0;
  for (const auto& bin : bh::indexed(histogram, bh::coverage::all)) {
    total += *bin;
  }
  double cumulative = 0.0;
  for (const auto& bin : bh::indexed(histogram, bh::coverage::all)) {
    cumulative += *bin;
    if (cumulative > 0.0 && cumulative >= aQuantile * total) {
      const double upper = std::min(bin.bin().upper(), kHighestUs);
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(upper));
    }
  }
  return Duration::zero();
}

} // namespace oriolespread::internal
