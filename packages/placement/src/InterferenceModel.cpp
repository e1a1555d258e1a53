#include "InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::internal {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr Duration kHalfLife = hours(1);
constexpr Duration kInitialAntiAffinity = minutes(10);
constexpr Duration kMaxAntiAffinity = hours(2);
// At this number of observations the counts are halved, so that older observations weigh less.
constexpr float kMaxObservations = 100.0F;
constexpr int kMaxPairsPerSweep = 16;

} // namespace

void InterferenceModel::RecordObservation(Instant aNow,
                                          NameIndex aKind,
                                          NameIndex aService,
                                          bool aDegraded)
{
  Pair* pair = this->FindOrAdd(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  if (pair->observations >= kMaxObservations) {
    pair->observations *= 0.5F;
    pair->degradedObservations *= 0.5F;
  }
  pair->observations += 1.0F;
  pair->degradedObservations += aDegraded ? 1.0F : 0.0F;
}

void InterferenceModel::RecordEffect(Instant aNow,
                                     NameIndex aKind,
                                     NameIndex aService,
                                     bool aHelped)
{
  Pair* pair = this->FindOrAdd(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  const double decayedEstimate = Decayed(pair->estimate, aNow - pair->estimatedAt);
  pair->estimate =
    aHelped ? decayedEstimate + 0.5 * (1.0 - decayedEstimate) : 0.5 * decayedEstimate;
  pair->estimatedAt = aNow;
}

void InterferenceModel::AddAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService)
{
  Pair* pair = this->FindOrAdd(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  const double decayedCount = Decayed(pair->antiAffinityCount, aNow - pair->antiAffinityUntil);
  // Bounded so that the conversion to Duration cannot overflow; the result is above
  // kMaxAntiAffinity at the bound.
  const double factor = std::min(std::exp2(decayedCount), 64.0);
  const auto duration = std::chrono::duration_cast<Duration>(kInitialAntiAffinity * factor);
  pair->antiAffinityCount = decayedCount + 1.0;
  pair->antiAffinityUntil = aNow + std::min(duration, kMaxAntiAffinity);
  const auto insert = [](std::vector<NameIndex>& aList, NameIndex aName) {
    if (std::find(aList.begin(), aList.end(), aName) == aList.end()) {
      aList.push_back(aName);
    }
  };
  insert(this->antiAffineKinds[aService], aKind);
  insert(this->antiAffineServices[aKind], aService);
}

void InterferenceModel::RemoveAntiAffinity(NameIndex aKind, NameIndex aService)
{
  const auto it = this->pairs.find({ aKind, aService });
  if (it != this->pairs.end()) {
    it->second.antiAffinityUntil = Instant{};
    it->second.antiAffinityCount = 0.0;
  }
}

double InterferenceModel::Estimate(Instant aNow, NameIndex aKind, NameIndex aService) const
{
  const Pair* pair = this->Find(aKind, aService);
  return pair == nullptr ? 0.0 : Decayed(pair->estimate, aNow - pair->estimatedAt);
}

double InterferenceModel::Correlation(NameIndex aKind, NameIndex aService) const
{
  const Pair* pair = this->Find(aKind, aService);
  return pair == nullptr ? 0.5 : (pair->degradedObservations + 1.0) / (pair->observations + 2.0);
}

bool InterferenceModel::HasAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService) const
{
  const Pair* pair = this->Find(aKind, aService);
  return pair != nullptr && aNow < pair->antiAffinityUntil;
}

std::vector<NameIndex> InterferenceModel::AntiAffineServices(Instant aNow, NameIndex aKind) const
{
  std::vector<NameIndex> services;
  const auto it = this->antiAffineServices.find(aKind);
  if (it != this->antiAffineServices.end()) {
    std::copy_if(it->second.begin(),
                 it->second.end(),
                 std::back_inserter(services),
                 [&](NameIndex aService) { return this->HasAntiAffinity(aNow, aKind, aService); });
  }
  return services;
}

std::vector<NameIndex> InterferenceModel::AntiAffineKinds(Instant aNow, NameIndex aService) const
{
  std::vector<NameIndex> kinds;
  const auto it = this->antiAffineKinds.find(aService);
  if (it != this->antiAffineKinds.end()) {
    std::copy_if(it->second.begin(),
                 it->second.end(),
                 std::back_inserter(kinds),
                 [&](NameIndex aKind) { return this->HasAntiAffinity(aNow, aKind, aService); });
  }
  return kinds;
}

InterferenceModel::Pair* InterferenceModel::FindOrAdd(Instant aNow,
                                                      NameIndex aKind,
                                                      NameIndex aService)
{
  const Key key(aKind, aService);
  auto it = this->pairs.find(key);
  if (it == this->pairs.end()) {
    this->RemoveStale(aNow);
    if (this->pairs.size() >= kMaxPairs) {
      return nullptr;
    }
    it = this->pairs.emplace(key, Pair{}).first;
  }
  it->second.updatedAt = aNow;
  return &it->second;
}

const InterferenceModel::Pair* InterferenceModel::Find(NameIndex aKind, NameIndex aService) const
{
  const auto it = this->pairs.find({ aKind, aService });
  return it == this->pairs.end() ? nullptr : &it->second;
}

double InterferenceModel::Decayed(double aValue, Duration aAge)
{
  const auto age = std::max(aAge, Duration::zero());
  const auto halfLives =
    std::chrono::duration<double>(age) / std::chrono::duration<double>(kHalfLife);
  return aValue == 0.0 ? 0.0 : aValue * std::exp2(-halfLives);
}

void InterferenceModel::RemoveStale(Instant aNow)
{
  auto it = this->pairs.lower_bound(this->sweepPosition);
  for (int i = 0; i < kMaxPairsPerSweep && it != this->pairs.end(); ++i) {
    if (it->second.updatedAt + 4 * kHalfLife < aNow && it->second.antiAffinityUntil < aNow) {
      const Key key = it->first;
      std::erase(this->antiAffineServices[key.first], key.second);
      std::erase(this->antiAffineKinds[key.second], key.first);
      it = this->pairs.erase(it);
    } else {
      ++it;
    }
  }
  this->sweepPosition = it == this->pairs.end() ? Key(0, 0) : it->first;
}

} // namespace oriolespread::internal
