// A latency histogram with exponential decay: after every kSamplesPerDecay samples all counts are
// halved.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <memory>

namespace oriolespread::internal {

// Covers 10 us to 100 s with steps of about 4%. Not thread-safe.
class LatencyHistogram
{
public:
  static constexpr std::uint32_t kSamplesPerDecay = 2'000;

  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration aLatency);
  // Returns an upper bound of the given quantile; 0 when the histogram is empty.
  Duration Quantile(double aQuantile) const;
  std::uint64_t Samples() const { return this->samples; }

private:
  struct Bins;
  std::unique_ptr<Bins> bins;
  std::uint64_t samples = 0;
};

} // namespace oriolespread::internal
