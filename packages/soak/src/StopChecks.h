// Checks what callers and workers saw around planned work, after a run has ended, and counts what
// is allowed.
#pragma once

#include "JobCaller.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread::soak {

// A run of a task as its worker saw it.
struct WorkerRun
{
  std::string job;
  std::string task;
  std::string worker;
  Instant startedAt{};
  // Not set while it runs.
  std::optional<Instant> endedAt;
};

// A planned stop of a process.
struct PlannedStop
{
  std::size_t process = 0;
  std::string name;
  Instant signalAt{};
  // Not set if the process had to be killed.
  std::optional<Instant> exitedAt;
  // As waitpid reports it.
  int exitStatus = 0;
  // When the process that was started in its place could be used; not set if it never could.
  std::optional<Instant> readyAt;
};

class StopChecks
{
public:
  // Everything is reported relative to `aStart`.
  explicit StopChecks(Instant aStart)
    : start(aStart)
  {
  }

  std::vector<PlannedStop> stops;
  std::vector<WorkerRun> runs;
  // Processes that ended without a signal, with the time.
  std::vector<std::string> unplannedEnds;
  // Accepted jobs of which an entry said later that they do not exist.
  std::vector<std::string> unknownJobs;
  // Accepted jobs that were not seen to end.
  std::vector<std::string> openJobs;

  void Check(const std::vector<std::unique_ptr<JobCaller>>& aCallers);

  // Promises that were broken.
  const std::vector<std::string>& Broken() const { return this->broken; }
  // What the promises do not cover but operators want to know.
  const std::vector<std::string>& Findings() const { return this->findings; }
  // Returns one line of figures.
  std::string Figures() const;
  // Returns milliseconds since the start of the run.
  std::string At(Instant aTime) const;

private:
  struct Counts
  {
    std::size_t requests = 0;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t unansweredLate = 0;
    std::size_t unansweredEarly = 0;
    std::size_t usedUpTimeouts = 0;
    std::size_t answeredTooLate = 0;
    std::size_t silent = 0;
    std::size_t notSent = 0;
    std::size_t notConnectedInStops = 0;
    std::size_t notConnectedOtherwise = 0;
    std::size_t cancelsAnswered = 0;
    std::size_t cancelsUnanswered = 0;
    std::size_t startedAfterUnansweredCancel = 0;
    std::int64_t slowestExitMs = 0;
    std::int64_t slowestAnswerMs = 0;
    std::int64_t slowestJobMs = 0;
    std::map<int, std::size_t> statuses;
  };

  void CheckStops();
  void CheckRecord(const CallRecord& aRecord);
  void CheckJob(const std::string& aId, const CallerJob& aJob);
  // Returns the last stop of the entry that began before the time.
  const PlannedStop* StopBefore(std::size_t aEntry, Instant aTime) const;
  std::string Describe(const CallRecord& aRecord) const;

  Instant start;
  Counts counts;
  std::vector<std::string> broken;
  std::vector<std::string> findings;
};

} // namespace oriolespread::soak
