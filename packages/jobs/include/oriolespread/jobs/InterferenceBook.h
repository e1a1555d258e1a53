// Learns how much runs that use unused capacity raise the tail latency of runs that serve beside
// them. Serves loads in which few images disturb much and most disturb little. Each image gets one
// weight, found by stochastic gradient descent on
//
//   ln(tail latency / target) = base + residual of the worker + sum of the weights at work beside
//   it
//
// The residual follows the load of what serves, which swings slowly. What fills comes and goes
// within reports, so that a sudden change of the ratio is the doing of the images that changed.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace oriolespread::jobs {

class InterferenceBook
{
public:
  // A run beside those that serve, and at what share of its full speed it works, 0 to 1.
  struct Company
  {
    std::string image;
    double share = 1.0;
  };

  // `aRatio` is the worst tail latency against its target on a worker, `aResidual` the worker's
  // own, which is moved towards what the company does not explain.
  void Observe(double aRatio, const std::vector<Company>& aCompany, double& aResidual);

  // The expected rise of ln(ratio) by one run of this image.
  double Weight(const std::string& aImage) const;

  // The expected ln(ratio) of a worker with nothing but what serves.
  double Base() const { return kBase; }

  const std::map<std::string, double>& Weights() const { return this->weights; }

private:
  // A serving run without company is at about two fifths of its target.
  static constexpr double kBase = -0.9;

  std::map<std::string, double> weights;
};

} // namespace oriolespread::jobs
