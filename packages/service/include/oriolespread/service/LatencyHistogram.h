// Distribution of latencies, held in a Boost.Histogram with logarithmic bins.
#pragma once

#include "oriolespread/base/Time.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oriolespread {

// Upper bounds in seconds and cumulative counts, as the Prometheus text format wants them.
struct LatencyBuckets
{
  std::vector<double> upperSeconds;
  std::vector<std::uint64_t> cumulative;
  std::uint64_t count = 0;
  double sumSeconds = 0.0;
};

// Bins from 100 microseconds to 100 seconds, six to a decade. Thread-safe.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration aLatency);
  LatencyBuckets Buckets() const;
  // Returns the upper bound of the bin that holds the quantile, zero when empty.
  Duration Quantile(double aQuantile) const;

private:
  struct Storage;
  mutable std::mutex mutex;
  std::unique_ptr<Storage> storage;
};

} // namespace oriolespread
