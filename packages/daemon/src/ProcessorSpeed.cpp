#include "ProcessorSpeed.h"

#include "oriolespread/base/Time.h"

#include <algorithm>
#include <cstdint>

namespace oriolespread::daemon {

namespace {

// A measurement takes about 0.2 ms of a core, short enough that most are not interrupted.
constexpr std::uint32_t kStepsPerMeasurement = 100'000;
constexpr int kMeasurements = 4;

} // namespace

double MeasureProcessorSpeed()
{
  double best = 0;
  // Volatile, so that the compiler does not remove the computation.
  volatile std::uint32_t state = 1;
  for (int round = 0; round < kMeasurements; ++round) {
    const Instant startedAt = BootClock::now();
    for (std::uint32_t step = 0; step < kStepsPerMeasurement; ++step) {
      state = state * 1664525U + 1013904223U;
    }
    const double seconds = std::chrono::duration<double>(BootClock::now() - startedAt).count();
    best = std::max(best, kStepsPerMeasurement / std::max(seconds, 1e-9) / 1e6);
  }
  return best;
}

} // namespace oriolespread::daemon
