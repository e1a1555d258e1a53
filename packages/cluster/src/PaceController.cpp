#include "oriolespread/cluster/PaceController.h"

#include <algorithm>
#include <cmath>

namespace oriolespread::cluster {

namespace {

constexpr int kFullPacePercent = 100;
constexpr int kUnknownPacePercent = -1;
// Headroom if no serving run has a latency figure.
constexpr double kMaxHeadroom = 10.0;

} // namespace

PaceController::PaceController(PaceSettings aSettings)
  : settings(aSettings)
{
}

std::vector<PaceOrder> PaceController::Update(const std::vector<PacedRun>& aRuns, Instant aNow)
{
  double headroom = kMaxHeadroom;
  std::map<RunRef, Pace> present;
  for (const PacedRun& run : aRuns) {
    if (run.latencyTargetMs > 0 && run.tailLatencyMs > 0) {
      headroom =
        std::min(headroom,
                 static_cast<double>(run.latencyTargetMs) / static_cast<double>(run.tailLatencyMs));
    }
    if (run.fillsUnused) {
      const auto known = this->paces.find(run.ref);
      Pace& pace = present[run.ref];
      if (known != this->paces.end()) {
        pace = known->second;
      } else if (run.inherited) {
        pace.sentPercent = kUnknownPacePercent;
      }
      pace.headroomCost = run.headroomCost;
    }
  }
  this->paces = std::move(present);
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
    if (pace.sentPercent != pace.targetPercent) {
      pace.sentPercent = pace.targetPercent;
      orders.push_back({ ref, pace.targetPercent });
    }
  }
  return orders;
}

PaceController::Pace* PaceController::MostInterfering()
{
  Pace* most = nullptr;
  for (auto& [ref, pace] : this->paces) {
    if (pace.targetPercent > 0 && (most == nullptr || pace.targetPercent * pace.headroomCost >
                                                        most->targetPercent * most->headroomCost)) {
      most = &pace;
    }
  }
  return most;
}

void PaceController::LowerPaces(double aMissingHeadroom)
{
  double missing = aMissingHeadroom;
  Pace* most = this->MostInterfering();
  if (most != nullptr && most->headroomCost < this->settings.minHeadroomCost) {
    // The known interference does not explain the missing headroom, so the runs are tried one by
    // one.
    most->targetPercent = most->targetPercent > this->settings.fallbackPacePercent
                            ? this->settings.fallbackPacePercent
                            : 0;
    return;
  }
  while (missing > 0 && most != nullptr && most->headroomCost >= this->settings.minHeadroomCost) {
    const int before = most->targetPercent;
    const int reduction =
      static_cast<int>(std::ceil(kFullPacePercent * missing / most->headroomCost));
    most->targetPercent =
      before - reduction >= this->settings.minPacePercent ? before - reduction : 0;
    missing -= most->headroomCost * (before - most->targetPercent) / kFullPacePercent;
    most = this->MostInterfering();
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
    const int next = std::min(kFullPacePercent, pace->targetPercent + affordable);
    if (next - pace->targetPercent < this->settings.minPacePercent && next < kFullPacePercent) {
      break;
    }
    spare -= headroomCost * (next - pace->targetPercent) / kFullPacePercent;
    pace->targetPercent = next;
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

} // namespace oriolespread::cluster
