#include "Process.h"

#include "oriolespread/platformwire/DaemonSettings.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace oriolespread::soak {

Process::Process(std::vector<std::string> aCommand, std::string aSettings, std::string aLog)
  : command(std::move(aCommand))
  , settings(std::string(platformwire::kSettingsVariable) + "=" + std::move(aSettings))
  , log(std::move(aLog))
{
}

Process::~Process()
{
  if (this->IsRunning()) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
}

void Process::Start()
{
  std::vector<char*> arguments;
  for (std::string& word : this->command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  char* environment[] = { this->settings.data(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The process must not hold the sockets on which the stand-ins listen.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = ::posix_spawn(
    &this->pid, this->command.front().c_str(), &actions, nullptr, arguments.data(), environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + this->command.front());
  }
}

void Process::Signal(int aSignal) const
{
  if (this->pid > 0) {
    ::kill(this->pid, aSignal);
  }
}

bool Process::IsRunning()
{
  if (this->pid > 0 && ::waitpid(this->pid, &this->exitStatus, WNOHANG) == this->pid) {
    this->pid = 0;
  }
  return this->pid > 0;
}

} // namespace oriolespread::soak
