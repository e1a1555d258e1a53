// Checks the promises of the system from what workers and callers see. A promise that is broken is
// reported with the time and what was seen.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::soak {

// A submitted job: steps of equal tasks, each step after the one before.
struct SoakJob
{
  std::string payload;
  std::vector<std::uint32_t> steps;
  bool accepted = false;
  // Every try so far was refused, so that the job must not run.
  bool onlyRefused = true;
  // A submission has no answer yet, or is to be tried again.
  bool submitting = true;
  bool cancelled = false;
  Instant cancelledAt{};
  bool ended = false;
};

class Promises
{
public:
  explicit Promises(Instant aStart)
    : start(aStart)
  {
  }

  std::map<std::string, SoakJob> jobs;

  void OnStarted(const std::string& aWorker,
                 const std::string& aTask,
                 std::uint64_t aRun,
                 const std::string& aPayload);
  void OnEnded(const std::string& aWorker, const std::string& aTask, const std::string& aHow);
  void OnAcknowledged(const std::string& aTask, const std::string& aHow);
  // Checks that no run goes on for too long after the cancellation of its job was acknowledged.
  // Holds only while nothing fails.
  void CheckCancelledRuns();
  // A caller was shown this state of a job.
  void OnShown(const std::string& aJob, const std::string& aState);
  // A caller was told that the job does not exist.
  void OnUnknown(const std::string& aJob);

  // After all faults have ended and time was given: every accepted job has to have ended.
  void CheckEnd();

  const std::vector<std::string>& Broken() const { return this->broken; }
  std::size_t Starts() const { return this->starts; }
  // Returns the number of jobs whose end, or the answer to whose submission, is awaited.
  std::size_t OpenJobs() const;

private:
  void Break(const std::string& aText);
  bool AllDone(const std::string& aJob, std::size_t aSteps) const;

  Instant start;
  std::vector<std::string> broken;
  std::size_t starts = 0;
  // Task to the worker on which it runs.
  std::map<std::string, std::string> running;
  std::set<std::string> done;
  std::set<std::string> acknowledgedDone;
};

} // namespace oriolespread::soak
