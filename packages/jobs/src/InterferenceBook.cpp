#include "oriolespread/jobs/InterferenceBook.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

// Of an image that was not seen yet.
constexpr double kFirstWeight = 0.3;
// Share of an observation's error by which the weights, and the residual, move.
constexpr double kImageRate = 0.15;
constexpr double kResidualRate = 0.3;
constexpr double kMaxWeight = 2.0;
// Ratios below this say no more than that the target is far.
constexpr double kLeastRatio = 0.1;

} // namespace

void InterferenceBook::Observe(double aRatio,
                               const std::vector<Company>& aCompany,
                               double& aResidual)
{
  double expected = kBase + aResidual;
  double norm = 0;
  for (const Company& item : aCompany) {
    expected += item.share * this->weights.try_emplace(item.image, kFirstWeight).first->second;
    norm += item.share * item.share;
  }
  const double error = std::log(std::max(aRatio, kLeastRatio)) - expected;
  aResidual += kResidualRate * error;
  for (const Company& item : aCompany) {
    double& weight = this->weights[item.image];
    weight =
      std::clamp(weight + kImageRate * error * item.share / std::max(norm, 1.0), 0.0, kMaxWeight);
  }
}

double InterferenceBook::Weight(const std::string& aImage) const
{
  const auto it = this->weights.find(aImage);
  return it == this->weights.end() ? kFirstWeight : it->second;
}

} // namespace oriolespread::jobs
