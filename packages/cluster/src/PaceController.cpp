#include "oriolespread/cluster/PaceController.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::cluster {

namespace {

constexpr int kFullPace = 100;

} // namespace

PaceController::PaceController(PaceSettings aSettings)
  : settings(aSettings)
{
}

std::vector<PaceOrder> PaceController::Update(const std::vector<PacedRun>& aRuns, Instant aNow)
{
  double worst = 0;
  std::map<RunRef, Pace> present;
  for (const PacedRun& run : aRuns) {
    if (run.latencyTargetMs > 0) {
      worst =
        std::max(worst, static_cast<double>(run.figure) / static_cast<double>(run.latencyTargetMs));
    }
    if (run.fillsUnused) {
      const auto known = this->paces.find(run.ref);
      Pace& pace = present[run.ref];
      pace = known == this->paces.end() ? Pace{} : known->second;
      pace.disturbance = run.disturbance;
    }
  }
  this->paces = std::move(present);
  if (worst <= 1.0) {
    this->missedSince = {};
  } else if (this->missedSince == Instant{}) {
    this->missedSince = aNow;
  }
  const bool missedLong =
    this->missedSince != Instant{} && aNow - this->missedSince >= this->settings.pauseAllAfter;
  if (worst > this->settings.lowerAbove) {
    if (missedLong || aNow - this->changed >= this->settings.settle) {
      this->Lower(worst, missedLong);
      this->changed = aNow;
    }
  } else if (aNow - this->changed >= this->settings.raiseInterval && this->Raise(worst)) {
    this->changed = aNow;
  }
  std::vector<PaceOrder> orders;
  for (auto& [ref, pace] : this->paces) {
    if (pace.told != pace.wanted) {
      pace.told = pace.wanted;
      orders.push_back({ ref, pace.wanted });
    }
  }
  return orders;
}

void PaceController::Lower(double aWorst, bool aAll)
{
  Pace* most = nullptr;
  for (auto& [ref, pace] : this->paces) {
    if (aAll) {
      pace.wanted = 0;
    } else if (pace.wanted > 0 && (most == nullptr || pace.disturbance > most->disturbance)) {
      most = &pace;
    }
  }
  if (most != nullptr) {
    const bool first =
      most->wanted > this->settings.firstStep && aWorst < this->settings.pauseAbove;
    most->wanted = first ? this->settings.firstStep : 0;
  }
}

bool PaceController::Raise(double aWorst)
{
  Pace* least = nullptr;
  for (auto& [ref, pace] : this->paces) {
    if (pace.wanted < kFullPace && (least == nullptr || pace.disturbance < least->disturbance)) {
      least = &pace;
    }
  }
  if (least == nullptr) {
    return false;
  }
  const int next = least->wanted < this->settings.firstStep ? this->settings.firstStep : kFullPace;
  const double rise = least->disturbance * (next - least->wanted) / kFullPace;
  if (aWorst * std::exp(rise) >= this->settings.raiseBelow) {
    return false;
  }
  least->wanted = next;
  return true;
}

void PaceController::OnFailed(const RunRef& aRef)
{
  if (const auto it = this->paces.find(aRef); it != this->paces.end()) {
    // Not a pace, so that the next update tells the run again.
    it->second.told = -1;
  }
}

} // namespace oriolespread::cluster
