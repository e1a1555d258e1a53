#include "oriolespread/jobs/StepOrder.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// Factor on the estimated durations when they are compared with a deadline, because estimates are
// rough.
constexpr double kDeadlineEstimateFactor = 0.7;

// Value of completing a job: a constant plus a share of its work relative to the mean of its queue.
constexpr double kCompletionValue = 0.3;
constexpr double kRelativeWorkValue = 0.7;
constexpr double kMaxRelativeWork = 4.0;
// Share of that value that is left once the objective, or the time of useful results, has passed. A
// job that is too late is still completed, because it was accepted.
constexpr double kLateValueShare = 0.15;
constexpr double kTooLateValueShare = 0.03;
constexpr double kMinCoreSeconds = 0.01;

double ValueShare(Lateness aLateness)
{
  switch (aLateness) {
    case Lateness::OnTime:
      return 1.0;
    case Lateness::Late:
      return kLateValueShare;
    case Lateness::TooLate:
      return kTooLateValueShare;
  }
  return kTooLateValueShare;
}

} // namespace

std::int64_t ObjectiveMs(const JobRecord& aRecord)
{
  return ObjectiveMs(aRecord.policy, CriticalPathMs(aRecord.spec));
}

std::int64_t ObjectiveMs(const QueuePolicy& aPolicy, std::int64_t aPathMs)
{
  return static_cast<std::int64_t>(aPolicy.stretch * static_cast<double>(aPathMs)) +
         aPolicy.targetLatencyMs;
}

std::int64_t DueUnixMs(const JobRecord& aRecord, std::uint32_t aOccurrence)
{
  return aRecord.spec.repeats == 0
           ? aRecord.submittedUnixMs
           : aRecord.spec.initialDelayMs + aRecord.spec.intervalMs * aOccurrence;
}

Lateness EstimateLateness(std::int64_t aSinceDueMs,
                          std::int64_t aRemainingMs,
                          std::int64_t aObjectiveMs)
{
  const double expectedMs =
    static_cast<double>(aSinceDueMs) + kDeadlineEstimateFactor * static_cast<double>(aRemainingMs);
  const auto objectiveMs = static_cast<double>(aObjectiveMs);
  if (expectedMs < objectiveMs) {
    return Lateness::OnTime;
  }
  return expectedMs < kUsefulObjectiveFactor * objectiveMs ? Lateness::Late : Lateness::TooLate;
}

double CompletionValue(double aRelativeWork)
{
  return kCompletionValue + kRelativeWorkValue * std::min(aRelativeWork, kMaxRelativeWork);
}

double ValueDensity(const StepCandidate& aCandidate)
{
  return ValueShare(aCandidate.lateness) * CompletionValue(aCandidate.relativeWork) /
         std::max(aCandidate.remainingCoreSeconds, kMinCoreSeconds);
}

} // namespace oriolespread::jobs
