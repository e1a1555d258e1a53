// A program of the system that runs as a process of its own.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace oriolespread::soak {

class Process
{
public:
  // `aLog` gets the process's standard output and error, appended.
  Process(std::vector<std::string> aCommand, std::string aSettings, std::string aLog);
  // Ends the process if it runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int aSignal) const;
  // Returns whether the process runs; collects it when it has ended.
  bool IsRunning();
  // Returns how the last process that IsRunning collected has ended, as waitpid reports it.
  int ExitStatus() const { return this->exitStatus; }

private:
  std::vector<std::string> command;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  int exitStatus = 0;
};

} // namespace oriolespread::soak
