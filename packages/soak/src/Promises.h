// Checks the promises of the system from what workers and callers see. A promise that is broken is
// reported with the time and what was seen.
#pragma once

#include "SoakJob.h"

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::soak {

struct PromiseBounds
{
  // A cancellation has to reach every worker within this time of its acknowledgement.
  Duration cancelTime = std::chrono::milliseconds(3000);
  // A run of a cancelled job has to be gone within this time of the acknowledgement: 4 s for starts
  // by the users' rules, and 0.9 s for stops.
  Duration cancelledRunTime = std::chrono::milliseconds(4900);
  // How long callers may ask for an ended job.
  Duration keepEnded = std::chrono::seconds(120);
  // Bounds in time hold only while all machines are in touch. Otherwise they always hold.
  bool onlyInTouch = false;
};

// The time from which on all machines are in touch; a time ahead while they are not.
using InTouchSince = std::function<Instant()>;

class Promises
{
public:
  Promises(Instant aStart, PromiseBounds aBounds, InTouchSince aInTouchSince);

  std::map<std::string, SoakJob> jobs;

  void OnResumed(const std::string& aWorker,
                 const std::string& aTask,
                 std::uint64_t aRun,
                 const std::string& aCheckpoint);
  void OnStarted(const std::string& aWorker,
                 const std::string& aTask,
                 std::uint64_t aRun,
                 const std::string& aPayload);
  void OnSaved(const std::string& aTask, std::uint64_t aRun, const std::string& aCheckpoint);
  void OnEnded(const std::string& aWorker,
               const std::string& aTask,
               std::uint64_t aRun,
               const std::string& aHow);
  void OnAcknowledged(const std::string& aTask, const std::string& aHow);
  // A caller was shown this state of a job.
  void OnShown(const std::string& aJob, const std::string& aState);
  // A caller was told that the job does not exist.
  void OnUnknown(const std::string& aJob);
  // Checks that no run goes on for too long after the cancellation of its job was acknowledged.
  // Unless the bounds hold only in touch, call it only while nothing fails.
  void CheckCancelled();

  // After all faults have ended and time was given: every accepted job has to have ended.
  void CheckEnd();

  // Records a broken promise with the present time.
  void Break(const std::string& aText);
  const std::vector<std::string>& Broken() const { return this->broken; }
  std::size_t Starts() const { return this->starts; }
  // Returns the number of jobs whose end, or the answer to whose submission, is awaited.
  std::size_t OpenJobs() const;
  // Returns how many runs began from a checkpoint.
  std::size_t Resumed() const { return this->resumed; }
  std::string TimeText(Instant aTime) const;

private:
  // Returns the task; null if no job has it.
  SoakTask* FindTask(const std::string& aTask);
  bool IsInTouch() const;

  Instant start;
  PromiseBounds bounds;
  InTouchSince inTouchSince;
  std::vector<std::string> broken;
  std::size_t starts = 0;
  std::size_t resumed = 0;
};

} // namespace oriolespread::soak
