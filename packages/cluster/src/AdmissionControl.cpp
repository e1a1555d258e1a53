#include "oriolespread/cluster/AdmissionControl.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace oriolespread::cluster {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

// Returns the time after which the job is expected to end within its objective, if the backlog
// shrinks as it is carried out, spread over half as much again by the job's identifier, so that
// callers that were refused at the same time do not return together.
std::int64_t RetryAfterSeconds(const AdmissionRequest& aRequest, std::int64_t aWaitMs)
{
  // After the whole wait, waiting longer gains nothing.
  const std::int64_t delayMs = std::min(aWaitMs, aWaitMs + aRequest.pathMs - aRequest.objectiveMs);
  const std::int64_t seconds =
    std::max<std::int64_t>((delayMs + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond, 1);
  const auto choices = static_cast<std::uint64_t>((seconds + 1) / 2 + 1);
  return seconds + static_cast<std::int64_t>(std::hash<std::string>{}(aRequest.job) % choices);
}

} // namespace

AdmissionDecision AdmissionControl::Decide(const AdmissionRequest& aRequest,
                                           const std::optional<PublishedWait>& aWait,
                                           Instant aNow)
{
  const auto objectiveMs = static_cast<double>(aRequest.objectiveMs);
  const JobClass jobClass{ aRequest.queue,
                           std::bit_width(static_cast<std::uint64_t>(
                             std::max<std::int64_t>(aRequest.objectiveMs, 0))) };
  AdmissionDecision decision;
  // A job without an objective is useful at any time, and one whose path alone is too long for its
  // objective is not late because of the backlog.
  if (!aWait.has_value() || aNow - aWait->publishedAt > this->settings.maxAge ||
      aRequest.objectiveMs <= 0 ||
      static_cast<double>(aRequest.pathMs) > this->settings.refuseFactor * objectiveMs) {
    this->refusing.erase(jobClass);
    return decision;
  }
  decision.expectedEndMs = aWait->waitMs + aRequest.pathMs;
  const auto expectedEndMs = static_cast<double>(decision.expectedEndMs);
  if (expectedEndMs > this->settings.refuseFactor * objectiveMs) {
    this->refusing.insert(jobClass);
  } else if (expectedEndMs < this->settings.acceptFactor * objectiveMs) {
    this->refusing.erase(jobClass);
  }
  decision.refused = this->refusing.contains(jobClass);
  if (decision.refused) {
    decision.retryAfterSeconds = RetryAfterSeconds(aRequest, aWait->waitMs);
  }
  return decision;
}

} // namespace oriolespread::cluster
