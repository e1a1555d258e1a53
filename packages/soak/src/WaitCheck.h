// Checks that no accepted work waits while workers have room for it.
#pragma once

#include "Promises.h"

#include "oriolespread/base/Time.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::soak {

// The room of a worker: what it has and what its runs have reserved.
struct WorkerRoom
{
  std::string id;
  Resources capacity;
  Resources reserved;
};

class WaitCheck
{
public:
  // The references must outlive the check.
  WaitCheck(Promises& aPromises, InTouchSince aInTouchSince);

  // From then on, each wait that is too long is reported, whatever was disturbed.
  void SetSettledFrom(Instant aTime) { this->settledFrom = aTime; }
  // Looks at all jobs; to be called several times a second. `aWorkers` are the sound workers.
  void Check(const std::vector<WorkerRoom>& aWorkers);
  // Returns how many jobs waited as long although half of the cores were reserved, which is
  // allowed.
  std::size_t WaitsOnFullWorkers() const { return this->waitsOnFullWorkers; }

  // Returns the longest time in which no run started although there was room for a task twice and
  // nothing else for it to wait for.
  Duration LongestStandstill() const { return this->longestStandstill; }

private:
  struct Wait
  {
    Instant since{};
    // The largest share of reserved cores while it waited.
    double highestUse = 0;
    bool reported = false;
  };

  void CheckStandstill();
  bool HasWaitingTask(const SoakJob& aJob) const;
  void CheckJob(const std::string& aId, const SoakJob& aJob);
  void CheckLastingTasks(const std::string& aId, const SoakJob& aJob);
  // Notes that `aWhat` waits, or not, and reports a wait that is too long. `aFrom` is when the wait
  // began to count at the earliest; a wait that counts only below half of the cores is otherwise
  // counted in `waitsOnFullWorkers`.
  void Note(const std::string& aWhat,
            bool aWaits,
            Instant aFrom,
            bool aOnlyBelowHalf,
            const std::string& aText);
  // Returns whether the workers have room for two tasks of the step.
  bool HasRoomTwice(const SoakJob& aJob, std::size_t aStep) const;

  Promises& promises;
  InTouchSince inTouchSince;
  Instant settledFrom = Instant::max();
  std::vector<WorkerRoom> workers;
  double use = 0;
  std::size_t waitsOnFullWorkers = 0;
  Instant now{};
  // Since when a task has waited and no run has started; the epoch if none waits.
  Instant standsSince{};
  std::size_t starts = 0;
  Duration longestStandstill{};
  std::map<std::string, Wait> waits;
};

} // namespace oriolespread::soak
