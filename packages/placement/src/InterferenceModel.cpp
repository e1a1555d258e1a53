#include "InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::internal {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr Duration kHalfLife = hours(1);
constexpr Duration kFirstApart = minutes(10);
constexpr Duration kMaxApart = hours(2);
// Observations are counted up to this number, after which older ones fade.
constexpr float kMaxSeen = 100.0F;
constexpr int kSweepStep = 16;

} // namespace

void InterferenceModel::Observe(Instant aNow, NameIndex aKind, NameIndex aService, bool aSuffering)
{
  Pair* pair = this->Touch(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  if (pair->seen >= kMaxSeen) {
    pair->seen *= 0.5F;
    pair->suffered *= 0.5F;
  }
  pair->seen += 1.0F;
  pair->suffered += aSuffering ? 1.0F : 0.0F;
}

void InterferenceModel::RecordEffect(Instant aNow,
                                     NameIndex aKind,
                                     NameIndex aService,
                                     bool aHelped)
{
  Pair* pair = this->Touch(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  const double before = Decayed(pair->estimate, aNow - pair->estimatedAt);
  pair->estimate = aHelped ? before + 0.5 * (1.0 - before) : 0.5 * before;
  pair->estimatedAt = aNow;
}

void InterferenceModel::KeepApart(Instant aNow, NameIndex aKind, NameIndex aService)
{
  Pair* pair = this->Touch(aNow, aKind, aService);
  if (pair == nullptr) {
    return;
  }
  const double times = Decayed(pair->timesApart, aNow - pair->apartUntil);
  const double factor = std::min(std::exp2(times), 64.0);
  const auto length = std::chrono::duration_cast<Duration>(kFirstApart * factor);
  pair->timesApart = times + 1.0;
  pair->apartUntil = aNow + std::min(length, kMaxApart);
  const auto insert = [](std::vector<NameIndex>& aList, NameIndex aName) {
    if (std::find(aList.begin(), aList.end(), aName) == aList.end()) {
      aList.push_back(aName);
    }
  };
  insert(this->apartByService[aService], aKind);
  insert(this->apartByKind[aKind], aService);
}

void InterferenceModel::EndApart(NameIndex aKind, NameIndex aService)
{
  const auto it = this->pairs.find({ aKind, aService });
  if (it != this->pairs.end()) {
    it->second.apartUntil = Instant{};
    it->second.timesApart = 0.0;
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
  return pair == nullptr ? 0.5 : (pair->suffered + 1.0) / (pair->seen + 2.0);
}

bool InterferenceModel::IsApart(Instant aNow, NameIndex aKind, NameIndex aService) const
{
  const Pair* pair = this->Find(aKind, aService);
  return pair != nullptr && aNow < pair->apartUntil;
}

std::vector<NameIndex> InterferenceModel::ServicesApart(Instant aNow, NameIndex aKind) const
{
  std::vector<NameIndex> services;
  const auto it = this->apartByKind.find(aKind);
  if (it != this->apartByKind.end()) {
    std::copy_if(it->second.begin(),
                 it->second.end(),
                 std::back_inserter(services),
                 [&](NameIndex aService) { return this->IsApart(aNow, aKind, aService); });
  }
  return services;
}

std::vector<NameIndex> InterferenceModel::KindsApart(Instant aNow, NameIndex aService) const
{
  std::vector<NameIndex> kinds;
  const auto it = this->apartByService.find(aService);
  if (it != this->apartByService.end()) {
    std::copy_if(it->second.begin(),
                 it->second.end(),
                 std::back_inserter(kinds),
                 [&](NameIndex aKind) { return this->IsApart(aNow, aKind, aService); });
  }
  return kinds;
}

InterferenceModel::Pair* InterferenceModel::Touch(Instant aNow, NameIndex aKind, NameIndex aService)
{
  const Key key(aKind, aService);
  auto it = this->pairs.find(key);
  if (it == this->pairs.end()) {
    this->Sweep(aNow);
    if (this->pairs.size() >= kMaxPairs) {
      return nullptr;
    }
    it = this->pairs.emplace(key, Pair{}).first;
  }
  it->second.touched = aNow;
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
  const auto halves = std::chrono::duration<double>(age) / std::chrono::duration<double>(kHalfLife);
  return aValue == 0.0 ? 0.0 : aValue * std::exp2(-halves);
}

void InterferenceModel::Sweep(Instant aNow)
{
  auto it = this->pairs.lower_bound(this->sweepFrom);
  for (int i = 0; i < kSweepStep && it != this->pairs.end(); ++i) {
    if (it->second.touched + 4 * kHalfLife < aNow && it->second.apartUntil < aNow) {
      const Key key = it->first;
      std::erase(this->apartByKind[key.first], key.second);
      std::erase(this->apartByService[key.second], key.first);
      it = this->pairs.erase(it);
    } else {
      ++it;
    }
  }
  this->sweepFrom = it == this->pairs.end() ? Key(0, 0) : it->first;
}

} // namespace oriolespread::internal
