// A job that the soak has submitted, and what workers and callers have seen of it.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/jobs/JobSpec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::soak {

struct SoakRun
{
  std::string worker;
  Instant started{};
  // It was reported that the run goes on after the cancellation of its job.
  bool overdueReported = false;
};

struct SoakTask
{
  // The runs that are present on workers, by their numbers.
  std::map<std::uint64_t, SoakRun> running;
  bool done = false;
  // The end was acknowledged at the worker, so that the task must not start again.
  bool acknowledgedDone = false;
  std::uint32_t failures = 0;
  std::uint32_t acknowledgedFailures = 0;
  // Checkpoint to the number of the run that made it.
  std::map<std::string, std::uint64_t> checkpoints;
  // When the last run was gone; the job's acceptance counts before the first one.
  Instant lastEnd{};
};

struct SoakJob
{
  jobs::JobSpec spec;
  // The prefix of the queue's requests.
  std::string prefix;
  std::uint32_t maxAttempts = 0;
  // By step and index.
  std::vector<std::vector<SoakTask>> tasks;
  bool accepted = false;
  Instant acceptedAt{};
  // Every try so far was refused, so that the job must not run.
  bool onlyRefused = true;
  // A submission has no answer yet, or is to be tried again.
  bool submitting = true;
  // A cancellation was sent, and when the first one was; when one was acknowledged, or a time far
  // ahead.
  bool cancelled = false;
  Instant cancelSentAt{};
  Instant cancelledAt{};
  // A caller was shown the end of the job.
  bool ended = false;
  // The earliest time at which the job may have ended; far ahead while it cannot have.
  Instant mayHaveEndedAt = Instant::max();

  // Sets the job's description before it is submitted.
  void SetSpec(jobs::JobSpec aSpec);
  bool AllDone(std::size_t aStep) const;
  // Returns whether all steps before this one are done.
  bool HasTurn(std::size_t aStep) const;
  bool IsCompleted() const;
  // Returns whether a task has used up its attempts.
  bool HasFailed() const;
  bool HasRunning() const;
  bool HasStarted() const;
};

} // namespace oriolespread::soak
