// Estimates how much best-effort runs, which use unused capacity, slow down the serving runs on the
// same worker.
//
// The tail latency of a serving run is modelled as that of a queue, t0 / (1 - utilisation), where
// t0 is the latency without load and every run on the worker adds to the utilisation. The headroom,
// latency target / tail latency, is then linear in the utilisation:
//
//   headroom = baseline headroom of the step
//              - sum over its co-runners of (weight x share of the worker's cores)
//
// A headroom of 1 or more means that the target is met. The baseline headroom varies with the user
// load and is common to all tasks of a step, so comparing tasks with and without co-runners
// separates interference from load. Each pair of a best-effort and a serving image has a weight,
// because an image may slow down some serving images and not others; one Kalman filter per serving
// image estimates them. Not thread-safe.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::jobs {

// The headroom that the tasks of a serving step have without co-runners.
struct BaselineHeadroom
{
  // The estimate. The initial value is typical of a step at its peak load.
  double current = 1.6;
  double variance = 1.0;
  // The decaying minimum of the estimate, because peak loads recur.
  double recentMin = 1.6;
  Instant lastUpdate{};
};

class InterferenceModel
{
public:
  // The runs of one best-effort image on the worker of a serving run, and the share of the worker's
  // cores that they use.
  struct CoRunner
  {
    std::string image;
    double coreShare = 0;
  };

  // Returns the index of a serving image and assigns one to a new image. An index never changes.
  std::size_t ServingImageIndex(const std::string& aServingImage);

  // Updates the estimates with the headroom `aHeadroom` of a run of the serving image, measured at
  // `aNow`, and updates `aBaseline`, the baseline headroom of the run's step.
  void Observe(std::size_t aServingIndex,
               double aHeadroom,
               const std::vector<CoRunner>& aCoRunners,
               BaselineHeadroom& aBaseline,
               Instant aNow);

  // Returns the headroom that runs of the best-effort image would cost the serving image if they
  // used all cores of the worker. Never negative.
  double Weight(const std::string& aBestEffortImage, std::size_t aServingIndex) const;
  // Returns the weights of a best-effort image, by index of the serving image.
  std::vector<double> WeightsByServingImage(const std::string& aBestEffortImage) const;

  // Returns the weights in their stored form of at most 49,152 bytes, which the next leader
  // reads. Images with names of more than 80 bytes are left out.
  std::string Encode() const;
  // Replaces the weights by those that an earlier leader encoded. Returns false and changes nothing
  // if the bytes cannot be decoded.
  bool Restore(const std::string& aBytes);
  bool IsEmpty() const { return this->bestEffortIndices.empty(); }

private:
  // The estimated weights of all best-effort images for one serving image.
  struct Estimate
  {
    std::vector<double> weights;
    // The covariance matrix of the weights, as rows; symmetric.
    std::vector<std::vector<double>> covariance;

    // The time of the last measurement.
    Instant lastUpdate{};

    void Grow(std::size_t aSize);
    // Adds the uncertainty that has arisen since the last measurement, because weights change.
    void AddDrift(Instant aNow);
  };

  std::map<std::string, std::size_t> servingIndices;
  std::map<std::string, std::size_t> bestEffortIndices;
  // By index of the serving image.
  std::vector<Estimate> estimates;
};

} // namespace oriolespread::jobs
