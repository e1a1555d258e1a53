#include "ProcessorSpeed.h"

#include "oriolespread/base/Time.h"

#include <algorithm>
#include <cstdint>

namespace oriolespread::daemon {

namespace {

// A try takes about 0.2 ms of a core, so that most tries are not interrupted.
constexpr std::uint32_t kSteps = 100'000;
constexpr int kTries = 4;

} // namespace

double MeasureProcessorSpeed()
{
  double best = 0;
  // Volatile, so that the computation is not left out.
  volatile std::uint32_t state = 1;
  for (int round = 0; round < kTries; ++round) {
    const Instant begun = BootClock::now();
    for (std::uint32_t step = 0; step < kSteps; ++step) {
      state = state * 1664525U + 1013904223U;
    }
    const double seconds = std::chrono::duration<double>(BootClock::now() - begun).count();
    best = std::max(best, kSteps / std::max(seconds, 1e-9) / 1e6);
  }
  return best;
}

} // namespace oriolespread::daemon
