// Orders the steps that wait for capacity by what callers gain from starting them next.
//
// Answers a load above the capacity of the cluster, for example after a burst of large jobs: not
// every job can then meet its objective, and the order decides which ones do. Steps are ranked by
// the value of completing their job per core-second that the job still needs. A job that misses its
// objective keeps a part of its value, so that a late job with one task left is finished before a
// new job is begun, while a late job with most of its work left yields.
#pragma once

#include "oriolespread/jobs/JobModel.h"
#include "oriolespread/jobs/Lateness.h"

#include <cstdint>

namespace oriolespread::jobs {

// What the rank of a step depends on.
struct StepCandidate
{
  Lateness lateness = Lateness::OnTime;
  // The work of the job relative to the mean of its queue.
  double relativeWork = 1;
  // The estimated work of all tasks of the occurrence that are not done.
  double remainingCoreSeconds = 0;
};

// Returns the time in which an occurrence of the job should complete, counted from when it is due.
std::int64_t ObjectiveMs(const JobRecord& aRecord);
// The same for a longest path of `aPathMs` in place of the declared one.
std::int64_t ObjectiveMs(const QueuePolicy& aPolicy, std::int64_t aPathMs);

// Returns the Unix time from which the objective of an occurrence counts, in milliseconds.
std::int64_t DueUnixMs(const JobRecord& aRecord, std::uint32_t aOccurrence);

// Estimates whether a job ends in time that has been due for `aSinceDueMs` and still has a path of
// `aRemainingMs` to run.
Lateness EstimateLateness(std::int64_t aSinceDueMs,
                          std::int64_t aRemainingMs,
                          std::int64_t aObjectiveMs);

// Multiple of a job's objective up to which a late result is still useful to the caller.
inline constexpr double kUsefulObjectiveFactor = 3.0;

// Returns the value of completing a job in time; `aRelativeWork` is its work relative to the mean
// of its queue.
double CompletionValue(double aRelativeWork);

// Returns the value of completing the job per core-second that it still needs. Always positive;
// among steps of equal priority, the highest value is placed first.
double ValueDensity(const StepCandidate& aCandidate);

} // namespace oriolespread::jobs
