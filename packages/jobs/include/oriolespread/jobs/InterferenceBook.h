// Learns how much runs that use unused capacity raise the tail latency of runs that serve beside
// them. Serves loads in which few images disturb much and most disturb little: each image gets one
// weight, found by stochastic gradient descent on
//
//   ln(tail latency / target) = base + sum of the weights of the images at work beside it
//
// Figures lag by half a second and loads swing, so single observations move a weight only a little.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace oriolespread::jobs {

class InterferenceBook
{
public:
  // `aRatio` is the worst tail latency against its target on a worker, `aImages` what fills there,
  // once for each run at work. Returns what the images do not explain, which is the worker's own.
  double Observe(double aRatio, const std::vector<std::string>& aImages);

  // The expected rise of ln(ratio) by one run of this image.
  double Weight(const std::string& aImage) const;

  // The expected ln(ratio) of a worker with nothing but what serves.
  double Base() const { return this->base; }

  const std::map<std::string, double>& Weights() const { return this->weights; }

private:
  double base = kFirstBase;
  std::map<std::string, double> weights;

  // A serving run without company is at about two fifths of its target.
  static constexpr double kFirstBase = -0.9;
};

} // namespace oriolespread::jobs
