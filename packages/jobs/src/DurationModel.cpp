#include "oriolespread/jobs/DurationModel.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

// Measurements that a moving average covers: some seconds of a busy queue.
constexpr double kWindow = 200;
// Measurements below which declared durations are taken as they are.
constexpr double kMinCount = 20;
// Variance of declared durations, in logarithms, below which they are alike and tell nothing about
// single tasks.
constexpr double kMinVariance = 1e-4;
// Bounds on the factor between the expected and the declared duration.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 2.0;

} // namespace

void DurationModel::Observe(const std::string& aQueue,
                            std::int64_t aDeclaredMs,
                            std::int64_t aMeasuredMs)
{
  if (aDeclaredMs < 1 || aMeasuredMs < 1) {
    return;
  }
  Fit& fit = this->fits[aQueue];
  fit.count = std::min(fit.count + 1, kWindow);
  const double share = 1 / fit.count;
  const double declared = std::log(static_cast<double>(aDeclaredMs)) - fit.meanDeclared;
  const double measured = std::log(static_cast<double>(aMeasuredMs)) - fit.meanMeasured;
  fit.meanDeclared += share * declared;
  fit.meanMeasured += share * measured;
  fit.varianceDeclared = (1 - share) * (fit.varianceDeclared + share * declared * declared);
  fit.covariance = (1 - share) * (fit.covariance + share * declared * measured);
}

std::int64_t DurationModel::ExpectMs(const std::string& aQueue, std::int64_t aDeclaredMs) const
{
  const auto found = this->fits.find(aQueue);
  if (found == this->fits.end() || found->second.count < kMinCount || aDeclaredMs < 1) {
    return aDeclaredMs;
  }
  const Fit& fit = found->second;
  const double slope = fit.varianceDeclared < kMinVariance
                         ? 0
                         : std::clamp(fit.covariance / fit.varianceDeclared, 0.0, 1.0);
  const auto declaredMs = static_cast<double>(aDeclaredMs);
  const double expectedMs =
    std::exp(fit.meanMeasured + slope * (std::log(declaredMs) - fit.meanDeclared));
  return std::max<std::int64_t>(
    std::llround(std::clamp(expectedMs, kMinFactor * declaredMs, kMaxFactor * declaredMs)), 1);
}

} // namespace oriolespread::jobs
