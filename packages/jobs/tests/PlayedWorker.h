// Plays the process of a worker, which may crash and begin again under the same id. Its clock and
// counts then begin anew, and it carries out calls that were meant for the earlier process.
#pragma once

#include "SchedulerFixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriolespread::jobs {

// The longest lease that a worker takes, above the lease that agents ask for.
inline constexpr Duration kPlayedLongestLease = 10'000 * kMs;

struct PlayedRun
{
  Instant startedAt{};
  // Zero if the run lasts until it is stopped.
  Duration length{};
  bool stalls = false;
  RunEnd how = RunEnd::Done;
};

// A fencing token: a number that rises with each process of the agent, each leader that it follows
// and each incarnation of the worker.
struct PlayedToken
{
  // The leader that the agent followed, for the rules.
  Epoch epoch;
  std::uint64_t stamp = 0;

  friend auto operator<=>(const PlayedToken& aLeft, const PlayedToken& aRight)
  {
    return aLeft.stamp <=> aRight.stamp;
  }
  friend bool operator==(const PlayedToken& aLeft, const PlayedToken& aRight)
  {
    return aLeft.stamp == aRight.stamp;
  }
};

class PlayedWorker
{
public:
  enum class Answer
  {
    Done,
    Started,
    AlreadyEnded,
    Fenced,
    Late,
    // The worker has no process.
    Refused,
    // There was no answer in time.
    Unknown,
  };

  // Ends the runs that have ended by themselves, and all if the lease has expired.
  void Advance(Instant aNow)
  {
    const std::map<RunRef, PlayedRun> runs = this->running;
    for (const auto& [ref, run] : runs) {
      const Instant end = run.startedAt + run.length;
      if (run.length > Duration::zero() && !run.stalls &&
          end <= std::min(aNow, this->leaseExpiry)) {
        this->End(ref, run.how);
      } else if (this->leaseExpiry <= aNow) {
        this->End(ref, RunEnd::Lapsed);
      }
    }
  }

  // A deadline is a time on the clock of a process, which begins at zero with it.
  Answer Start(const RunRef& aRef, const PlayedRun& aRun, PlayedToken aToken, Duration aDeadline)
  {
    if (!this->Accept(aToken)) {
      return Answer::Fenced;
    }
    if (this->running.contains(aRef)) {
      return Answer::Done;
    }
    if (this->settled.contains(aRef)) {
      return Answer::AlreadyEnded;
    }
    if (this->bootedAt + aDeadline <= aRun.startedAt) {
      return Answer::Late;
    }
    this->ExtendLease(aDeadline, aRun.startedAt);
    this->running[aRef] = aRun;
    return Answer::Started;
  }

  // Returns whether the call is carried out, which extends the lease if the call has a deadline.
  bool Poll(PlayedToken aToken, std::optional<Duration> aDeadline, Instant aNow)
  {
    if (!this->Accept(aToken)) {
      return false;
    }
    if (aDeadline.has_value()) {
      this->ExtendLease(*aDeadline, aNow);
    }
    return true;
  }

  // A run that is stopped before it starts can not start any more.
  Answer Stop(const RunRef& aRef, PlayedToken aToken)
  {
    if (!this->Accept(aToken)) {
      return Answer::Fenced;
    }
    if (this->running.contains(aRef)) {
      this->End(aRef, RunEnd::Stopped);
    }
    this->settled.insert(aRef);
    return Answer::Done;
  }

  void Crash()
  {
    this->up = false;
    this->state.draining = false;
    this->running.clear();
    this->ended.clear();
    this->settled.clear();
    this->fence = {};
    this->lastEnd = 0;
    this->leaseExpiry = {};
  }

  void Boot(std::int64_t aBorn, Instant aNow)
  {
    this->up = true;
    this->state.born = aBorn;
    this->bootedAt = aNow;
  }

  WorkerState state;
  bool up = true;
  // While the worker is down, its calls wait for the next process instead of being refused.
  bool keepsCalls = false;
  std::vector<std::function<void()>> keptCalls;
  Instant bootedAt{};
  // How much longer a time lasts than on the worker's clock, which may be 2% slow.
  double slowness = 1;
  // The worker carries out starts late that are sent before this time.
  Instant lateUntil{};
  PlayedToken fence;
  Instant leaseExpiry{};
  std::map<RunRef, PlayedRun> running;
  // Ends that were not acknowledged.
  std::vector<EndedRun> ended;

private:
  bool Accept(PlayedToken aToken)
  {
    const bool accepted = aToken >= this->fence;
    this->fence = std::max(this->fence, aToken);
    return accepted;
  }

  // A lease is at most the longest one, and never gets shorter.
  void ExtendLease(Duration aDeadline, Instant aNow)
  {
    const Duration length = std::min(this->bootedAt + aDeadline - aNow, kPlayedLongestLease);
    this->leaseExpiry = std::max(
      this->leaseExpiry, aNow + std::chrono::duration_cast<Duration>(length * this->slowness));
  }

  void End(const RunRef& aRef, RunEnd aHow)
  {
    this->running.erase(aRef);
    this->settled.insert(aRef);
    this->ended.push_back({ ++this->lastEnd, aRef, aHow, "" });
  }

  std::set<RunRef> settled;
  std::uint64_t lastEnd = 0;
};

} // namespace oriolespread::jobs
