#include "oriolespread/cluster/PaceController.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::cluster {

namespace {

constexpr int kFullPacePercent = 100;
constexpr int kUnknownPacePercent = -1;
// Upper limit of the headroom, also assumed if the latency of no serving run is known.
constexpr double kMaxHeadroom = 10.0;

} // namespace

PaceController::PaceController(PaceSettings aSettings)
  : settings(aSettings)
{
}

std::vector<PaceOrder> PaceController::Update(const std::vector<PacedRun>& aRuns, Instant aNow)
{
  double headroom = kMaxHeadroom;
  std::map<RunRef, Pace> currentPaces;
  for (const PacedRun& run : aRuns) {
    if (run.latencyTargetMs > 0 && run.tailLatencyMs > 0) {
      headroom =
        std::min(headroom,
                 static_cast<double>(run.latencyTargetMs) / static_cast<double>(run.tailLatencyMs));
    }
    if (run.fillsUnused) {
      const auto known = this->paces.find(run.ref);
      Pace& pace = currentPaces[run.ref];
      if (known != this->paces.end()) {
        pace = known->second;
      } else if (run.inherited) {
        pace.sentPercent = kUnknownPacePercent;
      }
      pace.headroomCost = run.headroomCost;
    }
  }
  this->paces = std::move(currentPaces);
  if (headroom >= 1.0) {
    this->targetMissedSince = {};
  } else if (this->targetMissedSince == Instant{}) {
    this->targetMissedSince = aNow;
  }
  if (this->targetMissedSince != Instant{} &&
      aNow - this->targetMissedSince >= this->settings.pauseAllAfter) {
    for (auto& [ref, pace] : this->paces) {
      pace.targetPercent = 0;
    }
    this->lastChange = aNow;
  } else if (headroom < this->settings.lowerBelowHeadroom) {
    if (aNow - this->lastChange >= this->settings.settleTime) {
      this->LowerPaces(this->settings.lowerTargetHeadroom - headroom);
      this->lastChange = aNow;
    }
  } else if (aNow - this->lastChange >= this->settings.raiseInterval &&
             this->RaisePaces(headroom - this->settings.raiseTargetHeadroom)) {
    this->lastChange = aNow;
  }
  std::vector<PaceOrder> orders;
  for (auto& [ref, pace] : this->paces) {
    // The last repetition is sent after the time has passed.
    const bool repeatDue =
      pace.sentAt < pace.repeatUntil && aNow - pace.sentAt >= this->settings.repeatInterval;
    if (pace.sentPercent != pace.targetPercent || repeatDue) {
      pace.sentPercent = pace.targetPercent;
      pace.sentAt = aNow;
      orders.push_back({ ref, pace.targetPercent });
    }
  }
  return orders;
}

PaceController::Pace* PaceController::MostInterfering()
{
  Pace* mostInterfering = nullptr;
  for (auto& [ref, pace] : this->paces) {
    if (pace.targetPercent > 0 &&
        (mostInterfering == nullptr ||
         pace.targetPercent * pace.headroomCost >
           mostInterfering->targetPercent * mostInterfering->headroomCost)) {
      mostInterfering = &pace;
    }
  }
  return mostInterfering;
}

void PaceController::LowerPaces(double aMissingHeadroom)
{
  double missing = aMissingHeadroom;
  Pace* mostInterfering = this->MostInterfering();
  if (mostInterfering != nullptr &&
      mostInterfering->headroomCost < this->settings.minHeadroomCost) {
    // The known interference does not explain the missing headroom, so one run is throttled per
    // update.
    mostInterfering->targetPercent =
      mostInterfering->targetPercent > this->settings.fallbackPacePercent
        ? this->settings.fallbackPacePercent
        : 0;
    return;
  }
  while (missing > 0 && mostInterfering != nullptr &&
         mostInterfering->headroomCost >= this->settings.minHeadroomCost) {
    const int previousPercent = mostInterfering->targetPercent;
    const int reduction =
      static_cast<int>(std::ceil(kFullPacePercent * missing / mostInterfering->headroomCost));
    mostInterfering->targetPercent = previousPercent - reduction >= this->settings.minPacePercent
                                       ? previousPercent - reduction
                                       : 0;
    missing -= mostInterfering->headroomCost * (previousPercent - mostInterfering->targetPercent) /
               kFullPacePercent;
    mostInterfering = this->MostInterfering();
  }
}

bool PaceController::RaisePaces(double aSpareHeadroom)
{
  double spare = aSpareHeadroom;
  bool raised = false;
  std::vector<Pace*> lowered;
  for (auto& [ref, pace] : this->paces) {
    if (pace.targetPercent < kFullPacePercent) {
      lowered.push_back(&pace);
    }
  }
  std::sort(lowered.begin(), lowered.end(), [](const Pace* aLeft, const Pace* aRight) {
    return aLeft->headroomCost < aRight->headroomCost;
  });
  for (Pace* pace : lowered) {
    const double headroomCost = std::max(pace->headroomCost, this->settings.minHeadroomCost);
    const int affordable =
      static_cast<int>(std::min<double>(kFullPacePercent, kFullPacePercent * spare / headroomCost));
    const int nextPercent = std::min(kFullPacePercent, pace->targetPercent + affordable);
    if (nextPercent - pace->targetPercent < this->settings.minPacePercent &&
        nextPercent < kFullPacePercent) {
      break;
    }
    spare -= headroomCost * (nextPercent - pace->targetPercent) / kFullPacePercent;
    pace->targetPercent = nextPercent;
    raised = true;
  }
  return raised;
}

void PaceController::OnFailed(const RunRef& aRef)
{
  if (const auto it = this->paces.find(aRef); it != this->paces.end()) {
    it->second.sentPercent = kUnknownPacePercent;
  }
}

void PaceController::OnUnanswered(const RunRef& aRef, Instant aNow)
{
  if (const auto it = this->paces.find(aRef); it != this->paces.end()) {
    it->second.sentPercent = kUnknownPacePercent;
    it->second.repeatUntil = aNow + this->settings.maxOrderDelay;
  }
}

} // namespace oriolespread::cluster
