// Learns how much runs that use unused capacity slow down runs that serve beside them.
//
// The tail latency of a serving run grows like that of a queue, t0 / (1 - utilisation), and what
// works beside it adds to the utilisation. The headroom, target / tail latency, is therefore
// linear:
//
//   headroom = headroom of the step by itself - sum over filling runs of weight x share of cores
//
// A target is met at a headroom of 1 or more. The headroom of a step by itself follows the load of
// its users and is the same for all tasks of the step, so tasks that have company are told from the
// ones that have none, whatever the load does. Each pair of a serving and a filling image has a
// weight; a Kalman filter a serving image estimates them. Serves loads in which an image disturbs
// some serving images much and others hardly. Not thread-safe.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// The headroom that the tasks of one serving step have without company.
struct BaselineHeadroom
{
  // Before the first observation: what a step that is at its busiest was seen to keep.
  double current = 1.6;
  double variance = 1.0;
  // The least of the recent past, as loads come back to it.
  double recentMin = 1.6;
  Instant lastUpdate{};
};

class InterferenceModel
{
public:
  // Runs of one image beside a serving run, and the share of the worker's cores that they use.
  struct CoRunner
  {
    std::string image;
    double coreShare = 0;
  };

  // Returns the number of a serving image, the same as long as the model lives.
  std::size_t ServingImageIndex(const std::string& aServingImage);

  // `aHeadroom` was measured for a run of the serving image at `aNow`; `aOwn` belongs to its step.
  void Observe(std::size_t aServingIndex,
               double aHeadroom,
               const std::vector<CoRunner>& aCoRunners,
               BaselineHeadroom& aBaseline,
               Instant aNow);

  // Returns the headroom that runs of a filling image take from a serving image if they use all
  // cores of the worker; never negative.
  double Weight(const std::string& aBestEffortImage, std::size_t aServingIndex) const;
  // Returns the weight by the number of the serving image.
  std::vector<double> WeightsByServingImage(const std::string& aBestEffortImage) const;
  // Returns the mean over all serving images that were seen.
  double MeanWeight(const std::string& aBestEffortImage) const;

  // Encodes the weights, for a process that goes on with them; at most 50 KB.
  std::string Encode() const;
  // Takes the weights of another process, which count as roughly known. Returns false, and changes
  // nothing, for bytes that are no weights.
  bool Restore(const std::string& aBytes);
  bool IsEmpty() const { return this->bestEffortIndices.empty(); }

private:
  // What is known of the weights of all filling images beside one serving image.
  struct Estimate
  {
    std::vector<double> weights;
    // Of the weights, by rows; symmetric.
    std::vector<std::vector<double>> covariance;

    void Grow(std::size_t aSize);
  };

  std::map<std::string, std::size_t> servingIndices;
  std::map<std::string, std::size_t> bestEffortIndices;
  // By the number of the serving image.
  std::vector<Estimate> estimates;
};

} // namespace oriolespread::jobs
