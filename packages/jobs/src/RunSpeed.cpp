#include "oriolespread/jobs/RunSpeed.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

constexpr double kWholePercent = 100.0;
// Lower limit of a measured speed, because a run that stands still now may go on later.
constexpr double kMinSpeed = 0.05;

} // namespace

void RunSpeed::Restart(int aPercent, Instant aNow)
{
  this->since = aNow;
  this->percentAtSince = aPercent;
  this->lastPercent = aPercent;
}

void RunSpeed::RestartAfter(int aPercent)
{
  this->since.reset();
  this->percentAtSince = aPercent;
}

bool RunSpeed::Update(int aPercent, std::int64_t aEstimateMs, Duration aWindow, Instant aNow)
{
  if (!this->since.has_value()) {
    if (aPercent > this->percentAtSince) {
      this->Restart(aPercent, aNow);
    }
    return false;
  }
  if (aPercent < this->lastPercent) {
    // The run has lost progress or reports a wrong one, which tells nothing about its speed.
    this->Restart(aPercent, aNow);
    return false;
  }
  this->lastPercent = aPercent;
  const Duration elapsed = aNow - *this->since;
  if (elapsed < aWindow) {
    return false;
  }
  const double progress = (aPercent - this->percentAtSince) / kWholePercent;
  this->last =
    progress * static_cast<double>(aEstimateMs) / static_cast<double>(ToMilliseconds(elapsed));
  this->Restart(aPercent, aNow);
  return true;
}

Duration MoveGain(const MoveCandidate& aCandidate)
{
  const auto estimateMs = static_cast<double>(aCandidate.estimateMs);
  const double remaining = 1.0 - aCandidate.percent / kWholePercent;
  const double hereMs = remaining * estimateMs / std::max(aCandidate.speed, kMinSpeed);
  const double elsewhereMs = (aCandidate.resumable ? remaining : 1.0) * estimateMs;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(hereMs - elsewhereMs));
}

} // namespace oriolespread::jobs
