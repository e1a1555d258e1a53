// A program of the system that runs as a process of its own.
#pragma once

#include "oriolespread/base/Time.h"

#include <sys/types.h>

#include <mutex>
#include <string>
#include <vector>

namespace oriolespread::soak {

// Thread-safe.
class Process
{
public:
  // `aLog` gets the process's standard output and error, appended.
  Process(std::vector<std::string> aCommand, std::string aSettings, std::string aLog);
  // Ends the process if it runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Starts a process that is not paused.
  void Start();
  void Signal(int aSignal);
  // A process that is paused or throttled is stopped until it is neither.
  void SetPaused(bool aPaused);
  void SetThrottled(bool aThrottled);
  // Returns whether the process runs; collects it when it has ended.
  bool IsRunning();
  // Returns the number of the process; 0 while none runs.
  pid_t Id() const { return this->pid; }
  // Returns how the last process that IsRunning collected has ended, as waitpid reports it.
  int ExitStatus() const { return this->exitStatus; }
  // Returns the processor time of all processes that were started, with that of all their threads.
  Duration ProcessorTime();

private:
  // To be called with the mutex held.
  void Stop(bool& aReason, bool aStop);

  std::vector<std::string> command;
  std::string settings;
  std::string log;
  std::mutex mutex;
  pid_t pid = 0;
  clockid_t clock = 0;
  bool paused = false;
  bool throttled = false;
  int exitStatus = 0;
  // The processor time of the processes before the present one, and of the present one when it was
  // last read.
  Duration earlierTime{};
  Duration presentTime{};
};

} // namespace oriolespread::soak
