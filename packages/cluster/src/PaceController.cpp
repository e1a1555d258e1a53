#include "oriolespread/cluster/PaceController.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::cluster {

namespace {

constexpr int kFullPace = 100;
constexpr int kUnknownPace = -1;
// Stands for runs without a figure, and for workers without a serving run.
constexpr double kMostHeadroom = 10.0;

} // namespace

PaceController::PaceController(PaceSettings aSettings)
  : settings(aSettings)
{
}

std::vector<PaceOrder> PaceController::Update(const std::vector<PacedRun>& aRuns, Instant aNow)
{
  double headroom = kMostHeadroom;
  std::map<RunRef, Pace> present;
  for (const PacedRun& run : aRuns) {
    if (run.latencyTargetMs > 0 && run.figure > 0) {
      headroom = std::min(
        headroom, static_cast<double>(run.latencyTargetMs) / static_cast<double>(run.figure));
    }
    if (run.fillsUnused) {
      const auto known = this->paces.find(run.ref);
      Pace& pace = present[run.ref];
      if (known != this->paces.end()) {
        pace = known->second;
      } else if (run.inherited) {
        pace.told = kUnknownPace;
      }
      pace.disturbance = run.disturbance;
    }
  }
  this->paces = std::move(present);
  if (headroom >= 1.0) {
    this->missedSince = {};
  } else if (this->missedSince == Instant{}) {
    this->missedSince = aNow;
  }
  if (this->missedSince != Instant{} && aNow - this->missedSince >= this->settings.pauseAllAfter) {
    for (auto& [ref, pace] : this->paces) {
      pace.wanted = 0;
    }
    this->changed = aNow;
  } else if (headroom < this->settings.lowerBelow) {
    if (aNow - this->changed >= this->settings.settle) {
      this->Lower(this->settings.lowerTo - headroom);
      this->changed = aNow;
    }
  } else if (aNow - this->changed >= this->settings.raiseInterval &&
             this->Raise(headroom - this->settings.raiseTo)) {
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

PaceController::Pace* PaceController::MostDisturbing()
{
  Pace* most = nullptr;
  for (auto& [ref, pace] : this->paces) {
    if (pace.wanted > 0 &&
        (most == nullptr || pace.wanted * pace.disturbance > most->wanted * most->disturbance)) {
      most = &pace;
    }
  }
  return most;
}

void PaceController::Lower(double aMissing)
{
  double missing = aMissing;
  Pace* most = this->MostDisturbing();
  if (most != nullptr && most->disturbance < this->settings.leastDisturbance) {
    // What is known explains nothing, so that the runs are tried one by one.
    most->wanted = most->wanted > this->settings.blindStep ? this->settings.blindStep : 0;
    return;
  }
  while (missing > 0 && most != nullptr && most->disturbance >= this->settings.leastDisturbance) {
    const int before = most->wanted;
    const int cut = static_cast<int>(std::ceil(kFullPace * missing / most->disturbance));
    most->wanted = before - cut >= this->settings.leastPace ? before - cut : 0;
    missing -= most->disturbance * (before - most->wanted) / kFullPace;
    most = this->MostDisturbing();
  }
}

bool PaceController::Raise(double aSpare)
{
  double spare = aSpare;
  bool raised = false;
  std::vector<Pace*> lowered;
  for (auto& [ref, pace] : this->paces) {
    if (pace.wanted < kFullPace) {
      lowered.push_back(&pace);
    }
  }
  std::sort(lowered.begin(), lowered.end(), [](const Pace* aLeft, const Pace* aRight) {
    return aLeft->disturbance < aRight->disturbance;
  });
  for (Pace* pace : lowered) {
    const double disturbance = std::max(pace->disturbance, this->settings.leastDisturbance);
    const int affordable =
      static_cast<int>(std::min<double>(kFullPace, kFullPace * spare / disturbance));
    const int next = std::min(kFullPace, pace->wanted + affordable);
    if (next - pace->wanted < this->settings.leastPace && next < kFullPace) {
      break;
    }
    spare -= disturbance * (next - pace->wanted) / kFullPace;
    pace->wanted = next;
    raised = true;
  }
  return raised;
}

void PaceController::OnFailed(const RunRef& aRef)
{
  if (const auto it = this->paces.find(aRef); it != this->paces.end()) {
    it->second.told = kUnknownPace;
  }
}

} // namespace oriolespread::cluster
