// Seeded random numbers, so that every random decision can be replayed.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <random>

namespace oriolespread {

// A deterministic generator: equal seeds give equal sequences. Not thread-safe.
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  std::uint64_t Next() { return this->engine(); }
  // Returns a number from 0 to aBound - 1; aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound);
  // Returns a number in [0, 1).
  double Unit();
  // Returns true with the given probability.
  bool Chance(double aProbability) { return this->Unit() < aProbability; }
  // Returns an exponentially distributed duration.
  Duration Exponential(Duration aMean);
  // Returns a duration in [aLow, aHigh].
  Duration Between(Duration aLow, Duration aHigh);

private:
  std::mt19937_64 engine;
};

} // namespace oriolespread
