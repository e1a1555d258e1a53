#include "oriolespread/cluster/PaceController.h"

#include <algorithm>

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
  bool serves = false;
  std::map<RunRef, int> present;
  for (const PacedRun& run : aRuns) {
    if (run.latencyTargetMs > 0) {
      serves = true;
      worst = std::max(worst,
                       static_cast<double>(run.figure) / static_cast<double>(run.latencyTargetMs));
    }
    if (run.fillsUnused) {
      const auto known = this->told.find(run.ref);
      present[run.ref] = known == this->told.end() ? kFullPace : known->second;
    }
  }
  this->told = std::move(present);
  if (!serves) {
    this->percent = kFullPace;
  } else if (worst > 1.0) {
    if (this->percent > 0 && aNow - this->changed >= this->settings.settle) {
      this->percent = this->percent > this->settings.firstStep ? this->settings.firstStep : 0;
      this->changed = aNow;
    }
  } else if (worst < this->settings.riseBelow && this->percent < kFullPace &&
             aNow - this->changed >= this->settings.riseInterval) {
    this->percent = std::min(kFullPace, this->percent + this->settings.riseStep);
    this->changed = aNow;
  }
  std::vector<PaceOrder> orders;
  for (auto& [ref, last] : this->told) {
    if (last != this->percent) {
      last = this->percent;
      orders.push_back({ ref, this->percent });
    }
  }
  return orders;
}

void PaceController::OnFailed(const RunRef& aRef)
{
  if (const auto it = this->told.find(aRef); it != this->told.end()) {
    // Not a pace, so that the next update tells the run again.
    it->second = -1;
  }
}

} // namespace oriolespread::cluster
