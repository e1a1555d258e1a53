#include "oriolespread/jobs/InterferenceModel.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolespread::jobs {

namespace {

// Of a pair that was not seen yet. On the further sites a fifth of the pairs has a weight of about
// 9 and the others of about 1 or less.
constexpr double kFirstWeight = 2.5;
constexpr double kFirstVariance = 12.0;
// Filling images that are told apart; further ones keep the first weight. Bounds an estimate to
// 128 KiB.
constexpr std::size_t kMostImages = 128;
// Images of either kind whose weights are encoded, and the unit and the largest number of a weight.
constexpr std::size_t kMostEncoded = 100;
constexpr double kStoredScale = 100;
constexpr double kMostStored = 30000;
// Of a weight that another process has learned; it does not tell how well.
constexpr double kRestoredVariance = 2.0;
// How fast the headroom of a step by itself may drift, as variance a second: loads that swing from
// one end to the other within 7 s change by at most 0.5 a second.
constexpr double kDriftVariance = 0.15;
constexpr double kMostVariance = 1.0;
// Of a measured headroom: rough figures scatter by about a tenth.
constexpr double kRelativeNoise = 0.1;
constexpr double kLeastNoise = 0.1;
// Some figures are off by half; they count as being off by this many standard deviations.
constexpr double kMostDeviations = 3.0;
// Beyond these a figure tells no more than that the target is far.
constexpr double kLeastHeadroom = 0.2;
constexpr double kMostHeadroom = 8.0;
// The lowest headroom is forgotten over about twice the longest period of loads seen, 20 s.
constexpr double kLowMemorySeconds = 40.0;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void InterferenceModel::Estimate::Grow(std::size_t aSize)
{
  const std::size_t before = this->weights.size();
  if (aSize <= before) {
    return;
  }
  this->weights.resize(aSize, kFirstWeight);
  this->covariance.resize(aSize);
  for (auto& row : this->covariance) {
    row.resize(aSize, 0);
  }
  for (std::size_t index = before; index < aSize; ++index) {
    this->covariance[index][index] = kFirstVariance;
  }
}

std::size_t InterferenceModel::NumberOf(const std::string& aServing)
{
  const std::size_t number =
    this->servingNumbers.try_emplace(aServing, this->servingNumbers.size()).first->second;
  this->estimates.resize(this->servingNumbers.size());
  return number;
}

void InterferenceModel::Observe(std::size_t aServing,
                                double aHeadroom,
                                const std::vector<Company>& aCompany,
                                OwnHeadroom& aOwn,
                                Instant aNow)
{
  Estimate& estimate = this->estimates[aServing];
  // Pairs of the image's index and its share of cores.
  std::vector<std::pair<std::size_t, double>> company;
  for (const Company& item : aCompany) {
    const std::size_t index =
      this->fillingNumbers.try_emplace(item.image, this->fillingNumbers.size()).first->second;
    if (index < kMostImages) {
      company.emplace_back(index, item.cores);
    }
  }
  estimate.Grow(std::min(this->fillingNumbers.size(), kMostImages));
  const std::size_t size = estimate.weights.size();
  // The covariance of each weight with the headroom that the company takes.
  std::vector<double> shared(size, 0);
  double taken = 0;
  double takenVariance = 0;
  for (const auto& [index, cores] : company) {
    taken += cores * estimate.weights[index];
    for (std::size_t other = 0; other < size; ++other) {
      shared[other] += cores * estimate.covariance[other][index];
    }
  }
  for (const auto& [index, cores] : company) {
    takenVariance += cores * shared[index];
  }
  const double measured = std::clamp(aHeadroom, kLeastHeadroom, kMostHeadroom);
  if (aOwn.updated == Instant{}) {
    aOwn.now = std::max(aOwn.now, measured + taken);
  } else {
    aOwn.variance =
      std::min(kMostVariance, aOwn.variance + kDriftVariance * Seconds(aNow - aOwn.updated));
  }
  const double noise = std::max(kLeastNoise, kRelativeNoise * measured);
  const double total = noise * noise + aOwn.variance + takenVariance;
  const double most = kMostDeviations * std::sqrt(total);
  const double error = std::clamp(measured - (aOwn.now - taken), -most, most);
  if (aOwn.updated != Instant{}) {
    const double keep = std::exp(-Seconds(aNow - aOwn.updated) / kLowMemorySeconds);
    aOwn.low = aOwn.now - keep * (aOwn.now - aOwn.low);
  }
  aOwn.now += error * aOwn.variance / total;
  aOwn.variance -= aOwn.variance * aOwn.variance / total;
  aOwn.low = std::min(aOwn.low, aOwn.now);
  aOwn.updated = aNow;
  if (company.empty()) {
    return;
  }
  for (std::size_t row = 0; row < size; ++row) {
    if (shared[row] == 0) {
      continue;
    }
    estimate.weights[row] = std::max(0.0, estimate.weights[row] - error * shared[row] / total);
    for (std::size_t column = 0; column < size; ++column) {
      estimate.covariance[row][column] -= shared[row] * shared[column] / total;
    }
  }
}

double InterferenceModel::Weight(const std::string& aFilling, std::size_t aServing) const
{
  const auto index = this->fillingNumbers.find(aFilling);
  if (index == this->fillingNumbers.end() || aServing >= this->estimates.size()) {
    return kFirstWeight;
  }
  const std::vector<double>& weights = this->estimates[aServing].weights;
  return index->second < weights.size() ? weights[index->second] : kFirstWeight;
}

std::vector<double> InterferenceModel::WeightsOf(const std::string& aFilling) const
{
  std::vector<double> weights;
  for (std::size_t serving = 0; serving < this->estimates.size(); ++serving) {
    weights.push_back(this->Weight(aFilling, serving));
  }
  return weights;
}

std::string InterferenceModel::Encode() const
{
  std::vector<std::string> serving(std::min(this->servingNumbers.size(), kMostEncoded));
  std::vector<std::string> filling(std::min(this->fillingNumbers.size(), kMostEncoded));
  for (const auto& [names, numbers] :
       { std::pair(&serving, &this->servingNumbers), std::pair(&filling, &this->fillingNumbers) }) {
    for (const auto& [image, number] : *numbers) {
      if (number < names->size()) {
        (*names)[number] = image;
      }
    }
  }
  std::vector<std::vector<int>> weights;
  for (std::size_t index = 0; index < serving.size(); ++index) {
    const std::vector<double>& known = this->estimates[index].weights;
    auto& row = weights.emplace_back();
    for (std::size_t image = 0; image < std::min(known.size(), filling.size()); ++image) {
      row.push_back(
        static_cast<int>(std::min(kMostStored, std::round(known[image] * kStoredScale))));
    }
  }
  std::string bytes;
  nlohmann::json::to_msgpack(
    { { "serving", serving }, { "filling", filling }, { "weights", weights } }, bytes);
  return bytes;
}

bool InterferenceModel::Restore(const std::string& aBytes)
{
  const auto parsed = nlohmann::json::from_msgpack(aBytes, true, false);
  std::vector<std::string> serving;
  std::vector<std::string> filling;
  std::vector<std::vector<int>> weights;
  try {
    serving = parsed.at("serving").get<std::vector<std::string>>();
    filling = parsed.at("filling").get<std::vector<std::string>>();
    weights = parsed.at("weights").get<std::vector<std::vector<int>>>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  if (weights.size() != serving.size() || filling.size() > kMostImages) {
    return false;
  }
  InterferenceModel restored;
  for (const std::string& image : filling) {
    restored.fillingNumbers.try_emplace(image, restored.fillingNumbers.size());
  }
  for (std::size_t index = 0; index < serving.size(); ++index) {
    Estimate& estimate = restored.estimates.emplace_back();
    estimate.Grow(filling.size());
    if (!restored.servingNumbers.try_emplace(serving[index], index).second ||
        weights[index].size() > filling.size()) {
      return false;
    }
    for (std::size_t image = 0; image < weights[index].size(); ++image) {
      estimate.weights[image] = std::max(0, weights[index][image]) / kStoredScale;
      estimate.covariance[image][image] = kRestoredVariance;
    }
  }
  *this = std::move(restored);
  return true;
}

double InterferenceModel::MeanWeight(const std::string& aFilling) const
{
  const std::vector<double> weights = this->WeightsOf(aFilling);
  return weights.empty() ? kFirstWeight
                         : std::accumulate(weights.begin(), weights.end(), 0.0) /
                             static_cast<double>(weights.size());
}

} // namespace oriolespread::jobs
