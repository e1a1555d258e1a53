#include "Process.h"

#include "oriolespread/platformwire/DaemonSettings.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <utility>

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
  const std::lock_guard<std::mutex> lock(this->mutex);
  const int error = ::posix_spawn(
    &this->pid, this->command.front().c_str(), &actions, nullptr, arguments.data(), environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0 || ::clock_getcpuclockid(this->pid, &this->clock) != 0) {
    throw std::runtime_error("cannot start " + this->command.front());
  }
  this->paused = false;
  if (this->throttled) {
    ::kill(this->pid, SIGSTOP);
  }
}

void Process::Signal(int aSignal)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->pid > 0) {
    ::kill(this->pid, aSignal);
  }
}

void Process::SetPaused(bool aPaused)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Stop(this->paused, aPaused);
}

void Process::SetThrottled(bool aThrottled)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Stop(this->throttled, aThrottled);
}

void Process::Stop(bool& aReason, bool aStop)
{
  const bool before = this->paused || this->throttled;
  aReason = aStop;
  const bool after = this->paused || this->throttled;
  if (before != after && this->pid > 0) {
    ::kill(this->pid, after ? SIGSTOP : SIGCONT);
  }
}

bool Process::IsRunning()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->pid > 0 && ::waitpid(this->pid, &this->exitStatus, WNOHANG) == this->pid) {
    this->pid = 0;
    this->earlierTime += std::exchange(this->presentTime, Duration::zero());
  }
  return this->pid > 0;
}

Duration Process::ProcessorTime()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  timespec time{};
  if (this->pid > 0 && ::clock_gettime(this->clock, &time) == 0) {
    const Duration present =
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    this->presentTime = std::max(this->presentTime, present);
  }
  return this->earlierTime + this->presentTime;
}

} // namespace oriolespread::soak
