#include "oriolespread/jobs/InterferenceModel.h"

#include "oriolespread/base/ExternalJson.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::jobs {

namespace {

// Prior of a pair without observations. Typically about a fifth of the pairs have a weight of about
// 9, and the others of about 1 or less.
constexpr double kPriorWeight = 2.5;
constexpr double kPriorWeightVariance = 12.0;
// Further images keep the prior weight. This limits an estimate to 128 KiB.
constexpr std::size_t kMaxBestEffortImages = 128;
// Limits and unit of the encoded weights; the image limit holds for each of the two kinds. Callers
// choose the names of images at any length, and the store refuses a row that is too long together
// with all rows of its transaction.
constexpr std::size_t kMaxEncodedImages = 100;
constexpr std::size_t kMaxEncodedNameBytes = 80;
constexpr double kEncodedWeightScale = 100;
constexpr double kMaxEncodedWeight = 30000;
// Variance of restored weights, because the encoded form does not include it. Lower than that of
// the prior.
constexpr double kRestoredWeightVariance = 2.0;
// Drift of a weight: what a best-effort image uses changes within seconds. Without it, the
// estimates of a long epoch no longer change.
constexpr double kWeightDriftVariancePerSecond = 0.1;
// Drift of a baseline headroom: user loads that swing across their whole range within 7 s change it
// by at most 0.5 per second.
constexpr double kBaselineDriftVariancePerSecond = 0.15;
constexpr double kMaxBaselineVariance = 1.0;
// Standard deviation of a measured headroom, relative to its value and as an absolute minimum.
// Measurements vary by about 10%.
constexpr double kRelativeNoise = 0.1;
constexpr double kMinNoise = 0.1;
// Limit on the deviation of a measurement from its prediction, in standard deviations. Some
// outliers are wrong by 50%.
constexpr double kMaxInnovationDeviations = 3.0;
// Measurements are limited to this range. Values outside it only show that the target is missed or
// met by far.
constexpr double kMinMeasuredHeadroom = 0.2;
constexpr double kMaxMeasuredHeadroom = 8.0;
// About twice the longest observed load period of 20 s.
constexpr double kRecentMinDecaySeconds = 40.0;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// The index of an image and its name.
using EncodedImage = std::pair<std::size_t, std::string>;

// Returns the images that the encoded form includes, by index. The others begin with the prior
// weight under the next leader.
std::vector<EncodedImage> EncodedImages(const std::map<std::string, std::size_t>& aIndices)
{
  std::vector<EncodedImage> images;
  for (const auto& [name, index] : aIndices) {
    if (name.size() <= kMaxEncodedNameBytes) {
      images.emplace_back(index, name);
    }
  }
  std::sort(images.begin(), images.end());
  images.resize(std::min(images.size(), kMaxEncodedImages));
  return images;
}

std::vector<std::string> NamesOf(const std::vector<EncodedImage>& aImages)
{
  std::vector<std::string> names;
  names.reserve(aImages.size());
  for (const auto& [index, name] : aImages) {
    names.push_back(name);
  }
  return names;
}

} // namespace

void InterferenceModel::Estimate::Grow(std::size_t aSize)
{
  const std::size_t oldSize = this->weights.size();
  if (aSize <= oldSize) {
    return;
  }
  this->weights.resize(aSize, kPriorWeight);
  this->covariance.resize(aSize);
  for (auto& row : this->covariance) {
    row.resize(aSize, 0);
  }
  for (std::size_t index = oldSize; index < aSize; ++index) {
    this->covariance[index][index] = kPriorWeightVariance;
  }
}

void InterferenceModel::Estimate::AddDrift(Instant aNow)
{
  if (this->lastUpdate != Instant{}) {
    const double drift = kWeightDriftVariancePerSecond * Seconds(aNow - this->lastUpdate);
    for (std::size_t index = 0; index < this->covariance.size(); ++index) {
      double& variance = this->covariance[index][index];
      variance = std::max(variance, std::min(variance + drift, kPriorWeightVariance));
    }
  }
  this->lastUpdate = aNow;
}

std::size_t InterferenceModel::ServingImageIndex(const std::string& aServingImage)
{
  const std::size_t imageIndex =
    this->servingIndices.try_emplace(aServingImage, this->servingIndices.size()).first->second;
  this->estimates.resize(this->servingIndices.size());
  return imageIndex;
}

void InterferenceModel::Observe(std::size_t aServingIndex,
                                double aHeadroom,
                                const std::vector<CoRunner>& aCoRunners,
                                BaselineHeadroom& aBaseline,
                                Instant aNow)
{
  Estimate& estimate = this->estimates[aServingIndex];
  // Pairs of the index of a best-effort image and its share of cores.
  std::vector<std::pair<std::size_t, double>> coRunners;
  for (const CoRunner& item : aCoRunners) {
    const std::size_t index =
      this->bestEffortIndices.try_emplace(item.image, this->bestEffortIndices.size()).first->second;
    if (index < kMaxBestEffortImages) {
      coRunners.emplace_back(index, item.coreShare);
    }
  }
  estimate.Grow(std::min(this->bestEffortIndices.size(), kMaxBestEffortImages));
  estimate.AddDrift(aNow);
  const std::size_t size = estimate.weights.size();
  // The covariance of each weight with the total headroom cost of the co-runners.
  std::vector<double> crossCovariance(size, 0);
  double headroomCost = 0;
  double headroomCostVariance = 0;
  for (const auto& [index, coreShare] : coRunners) {
    headroomCost += coreShare * estimate.weights[index];
    for (std::size_t other = 0; other < size; ++other) {
      crossCovariance[other] += coreShare * estimate.covariance[other][index];
    }
  }
  for (const auto& [index, coreShare] : coRunners) {
    headroomCostVariance += coreShare * crossCovariance[index];
  }
  const double measured = std::clamp(aHeadroom, kMinMeasuredHeadroom, kMaxMeasuredHeadroom);
  if (aBaseline.lastUpdate == Instant{}) {
    aBaseline.current = std::max(aBaseline.current, measured + headroomCost);
  } else {
    aBaseline.variance = std::min(kMaxBaselineVariance,
                                  aBaseline.variance + kBaselineDriftVariancePerSecond *
                                                         Seconds(aNow - aBaseline.lastUpdate));
  }
  const double noise = std::max(kMinNoise, kRelativeNoise * measured);
  const double innovationVariance = noise * noise + aBaseline.variance + headroomCostVariance;
  const double maxInnovation = kMaxInnovationDeviations * std::sqrt(innovationVariance);
  const double innovation =
    std::clamp(measured - (aBaseline.current - headroomCost), -maxInnovation, maxInnovation);
  if (aBaseline.lastUpdate != Instant{}) {
    const double decay = std::exp(-Seconds(aNow - aBaseline.lastUpdate) / kRecentMinDecaySeconds);
    aBaseline.recentMin = aBaseline.current - decay * (aBaseline.current - aBaseline.recentMin);
  }
  aBaseline.current += innovation * aBaseline.variance / innovationVariance;
  aBaseline.variance -= aBaseline.variance * aBaseline.variance / innovationVariance;
  aBaseline.recentMin = std::min(aBaseline.recentMin, aBaseline.current);
  aBaseline.lastUpdate = aNow;
  if (coRunners.empty()) {
    return;
  }
  for (std::size_t row = 0; row < size; ++row) {
    if (crossCovariance[row] == 0) {
      continue;
    }
    estimate.weights[row] =
      std::max(0.0, estimate.weights[row] - innovation * crossCovariance[row] / innovationVariance);
    for (std::size_t column = 0; column < size; ++column) {
      estimate.covariance[row][column] -=
        crossCovariance[row] * crossCovariance[column] / innovationVariance;
    }
  }
}

double InterferenceModel::Weight(const std::string& aBestEffortImage,
                                 std::size_t aServingIndex) const
{
  const auto index = this->bestEffortIndices.find(aBestEffortImage);
  if (index == this->bestEffortIndices.end() || aServingIndex >= this->estimates.size()) {
    return kPriorWeight;
  }
  const std::vector<double>& weights = this->estimates[aServingIndex].weights;
  return index->second < weights.size() ? weights[index->second] : kPriorWeight;
}

std::vector<double> InterferenceModel::WeightsByServingImage(
  const std::string& aBestEffortImage) const
{
  std::vector<double> weights;
  for (std::size_t servingIndex = 0; servingIndex < this->estimates.size(); ++servingIndex) {
    weights.push_back(this->Weight(aBestEffortImage, servingIndex));
  }
  return weights;
}

std::string InterferenceModel::Encode() const
{
  const std::vector<EncodedImage> servingImages = EncodedImages(this->servingIndices);
  const std::vector<EncodedImage> bestEffortImages = EncodedImages(this->bestEffortIndices);
  std::vector<std::vector<int>> weights;
  for (const auto& [servingIndex, servingImage] : servingImages) {
    const std::vector<double>& weightsOfImage = this->estimates[servingIndex].weights;
    auto& row = weights.emplace_back();
    for (const auto& [index, image] : bestEffortImages) {
      if (index >= weightsOfImage.size()) {
        break;
      }
      row.push_back(static_cast<int>(
        std::min(kMaxEncodedWeight, std::round(weightsOfImage[index] * kEncodedWeightScale))));
    }
  }
  std::string bytes;
  nlohmann::json::to_msgpack({ { "serving", NamesOf(servingImages) },
                               { "filling", NamesOf(bestEffortImages) },
                               { "weights", weights } },
                             bytes);
  return bytes;
}

bool InterferenceModel::Restore(const std::string& aBytes)
{
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed.ok() || HasFloatingPoint(*parsed)) {
    return false;
  }
  std::vector<std::string> servingImages;
  std::vector<std::string> bestEffortImages;
  std::vector<std::vector<int>> weights;
  try {
    servingImages = parsed->at("serving").get<std::vector<std::string>>();
    bestEffortImages = parsed->at("filling").get<std::vector<std::string>>();
    weights = parsed->at("weights").get<std::vector<std::vector<int>>>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  if (weights.size() != servingImages.size() || bestEffortImages.size() > kMaxBestEffortImages) {
    return false;
  }
  InterferenceModel restored;
  for (const std::string& image : bestEffortImages) {
    restored.bestEffortIndices.try_emplace(image, restored.bestEffortIndices.size());
  }
  for (std::size_t index = 0; index < servingImages.size(); ++index) {
    Estimate& estimate = restored.estimates.emplace_back();
    estimate.Grow(bestEffortImages.size());
    if (!restored.servingIndices.try_emplace(servingImages[index], index).second ||
        weights[index].size() > bestEffortImages.size()) {
      return false;
    }
    for (std::size_t image = 0; image < weights[index].size(); ++image) {
      estimate.weights[image] = std::max(0, weights[index][image]) / kEncodedWeightScale;
      estimate.covariance[image][image] = kRestoredWeightVariance;
    }
  }
  *this = std::move(restored);
  return true;
}

} // namespace oriolespread::jobs
