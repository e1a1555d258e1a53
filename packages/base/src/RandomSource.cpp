#include "oriolespread/base/RandomSource.h"

namespace oriolespread {

std::uint64_t RandomSource::Below(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(this->engine);
}

double RandomSource::Unit()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

Duration RandomSource::Exponential(Duration aMean)
{
  const double mean = static_cast<double>(aMean.count());
  if (mean <= 0.0) {
    return Duration::zero();
  }
  return Duration(
    static_cast<Duration::rep>(std::exponential_distribution<double>(1.0 / mean)(this->engine)));
}

Duration RandomSource::Between(Duration aLow, Duration aHigh)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(aLow.count(), aHigh.count())(this->engine));
}

} // namespace oriolespread
