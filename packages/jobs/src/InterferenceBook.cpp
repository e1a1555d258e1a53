#include "oriolespread/jobs/InterferenceBook.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

// Of an image that was not seen yet.
constexpr double kFirstWeight = 0.25;
// Share of an observation's error by which a weight moves.
constexpr double kImageRate = 0.08;
constexpr double kBaseRate = 0.02;
constexpr double kMaxWeight = 2.0;
// Ratios below this say no more than that the target is far.
constexpr double kLeastRatio = 0.1;

} // namespace

double InterferenceBook::Observe(double aRatio, const std::vector<std::string>& aImages)
{
  double expected = this->base;
  for (const std::string& image : aImages) {
    expected += this->weights.try_emplace(image, kFirstWeight).first->second;
  }
  const double error = std::log(std::max(aRatio, kLeastRatio)) - expected;
  this->base += kBaseRate * error;
  const double share = aImages.empty() ? 0 : kImageRate * error / std::sqrt(aImages.size());
  for (const std::string& image : aImages) {
    double& weight = this->weights[image];
    weight = std::clamp(weight + share, 0.0, kMaxWeight);
  }
  return error;
}

double InterferenceBook::Weight(const std::string& aImage) const
{
  const auto it = this->weights.find(aImage);
  return it == this->weights.end() ? kFirstWeight : it->second;
}

} // namespace oriolespread::jobs
