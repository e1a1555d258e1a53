// Measures how fast a run works, relative to the estimated duration of its task, and tells whether
// the run would end sooner on another worker.
//
// Answers workers that become several times slower while jobs come as usual: every job with a task
// on such a worker waits for that task, although the others end in time.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <optional>

namespace oriolespread::jobs {

class RunSpeed
{
public:
  // Begins a measurement at this progress.
  void Restart(int aPercent, Instant aNow);
  // Begins a measurement once there is more progress than this: a run that resumes from a
  // checkpoint makes none at first.
  void RestartAfter(int aPercent);

  // Takes the reported progress. Returns whether a measurement of at least `aWindow` was completed;
  // the next one then begins. Progress that goes back begins a measurement without a result.
  bool Update(int aPercent, std::int64_t aEstimateMs, Duration aWindow, Instant aNow);

  // Returns the last measured speed, 1 if the run works as fast as its estimate says; empty before
  // the first measurement.
  std::optional<double> Last() const { return this->last; }

private:
  std::optional<double> last;
  // The begin of the measurement; empty until it begins.
  std::optional<Instant> since;
  int percentAtSince = 0;
  // The progress at the last update.
  int lastPercent = 0;
};

// What decides whether a slow run is stopped and its task started on another worker.
struct MoveCandidate
{
  double speed = 1;
  // The progress of the run.
  int percent = 0;
  std::int64_t estimateMs = 0;
  // The next run continues from a checkpoint of this one.
  bool resumable = false;
};

// Returns the time by which the task is expected to end earlier on a worker of normal speed, not
// counting the move; negative if later.
Duration MoveGain(const MoveCandidate& aCandidate);

} // namespace oriolespread::jobs
