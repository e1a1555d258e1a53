// Learns how much runs that use unused capacity raise the tail latency of runs that serve beside
// them. Serves loads in which an image disturbs some serving images much and others not at all:
// each pair of images gets a weight, found by stochastic gradient descent on
//
//   ln(tail latency / target) = base + residual + sum of the weights of what is at work beside it
//
// The residual belongs to a serving image on a worker and follows its load, which swings slowly.
// What fills comes and goes within reports, so that a sudden change of the ratio is the doing of
// the images that changed.
#pragma once

#include <cstddef>
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
  // Weights of one filling image, by the number of the serving image; images beyond its end have
  // the weight of an image that was not seen yet.
  using Row = std::vector<double>;

  // Returns the number of a serving image, the same as long as the book lives.
  std::size_t NumberOf(const std::string& aServing);

  // `aRatio` is the worst tail latency against its target of a serving image's runs on a worker;
  // `aResidual` is moved towards what the company does not explain.
  void Observe(std::size_t aServing,
               double aRatio,
               const std::vector<Company>& aCompany,
               double& aResidual);

  // The expected rise of ln(ratio) of a serving image by one run of a filling image.
  const Row& RowOf(const std::string& aFilling) const;
  static double Weight(const Row& aRow, std::size_t aServing);
  // The mean over all serving images that were seen.
  double MeanWeight(const std::string& aFilling) const;

  // The expected ln(ratio) of a run that serves alone.
  static double Base() { return kBase; }

private:
  // A serving run without company is at about two fifths of its target.
  static constexpr double kBase = -0.9;

  std::map<std::string, std::size_t> numbers;
  std::map<std::string, Row> rows;
};

} // namespace oriolespread::jobs
