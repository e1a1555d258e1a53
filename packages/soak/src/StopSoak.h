// Runs the programs without faults, stops and starts them as operators do, and has callers on plain
// connections check that no request is left without an answer.
#pragma once

#include "JobCaller.h"
#include "SoakCluster.h"
#include "StopChecks.h"

#include "oriolespread/http/HttpClient.h"

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace oriolespread::soak {

// Which processes get SIGTERM in a round.
enum class StopPlan
{
  // The entry that all callers use.
  Used,
  // One entry after the other.
  Entries,
  // All entries of a group.
  Groups,
  // The entry that leads.
  Leader,
  // One agent after the other.
  Agents,
  // None: only reloads and configurations.
  None,
  // One of the others, as the seed chooses.
  Mixed,
};

// Returns the plan with this name in small letters; nothing for others.
std::optional<StopPlan> ParseStopPlan(const std::string& aName);

// Whose store calls are answered after 0.2 to 3 s from before the SIGTERM to the exit.
enum class SlowStore
{
  None,
  // Those of the processes that stop.
  Stopping,
  // Those of all entries.
  Entries,
};

std::optional<SlowStore> ParseSlowStore(const std::string& aName);

struct StopSoakOptions
{
  std::string programs;
  std::string directory;
  std::uint64_t seed = 1;
  // The time in which rounds begin.
  Duration length = std::chrono::seconds(10);
  std::size_t entries = 3;
  std::size_t groups = 3;
  std::size_t workers = 5;
  std::size_t callers = 60;
  // Distinguishes the loopback addresses of runs side by side, 1 to 250.
  int network = 1;
  StopPlan plan = StopPlan::Entries;
  SlowStore slowStore = SlowStore::None;
  // Stopping processes get a second SIGTERM.
  bool secondSignal = false;
  // Half of the requests have a time-out of 10 s.
  bool longTimeouts = false;
  // Callers send a cancellation again that got no answer.
  bool repeatCancels = false;
  // A load balancer sends no caller to an entry from 2 s after its SIGTERM until it is ready again.
  // Otherwise callers use a stopping entry until it refuses their connections.
  bool balanced = false;
};

class StopSoak
{
public:
  explicit StopSoak(StopSoakOptions aOptions);

  // Returns the promises that were broken.
  std::vector<std::string> Run();
  const std::vector<std::string>& Findings() const { return this->checks.Findings(); }
  // Returns what happened to the processes, with times.
  const std::vector<std::string>& Events() const { return this->events; }
  std::string Figures() const;

private:
  SoakClusterOptions ClusterOptions();
  void AddCaller(std::size_t aIndex);
  void RunFor(Duration aTime);
  void After(Duration aTime, std::function<void()> aCall);
  void Note(const std::string& aEvent);
  // Runs until the entry answers that it is ready, for some seconds at most.
  bool WaitUntilReady(std::size_t aEntry);
  bool IsReady(std::size_t aEntry);

  void PlayRounds();
  std::vector<std::size_t> ChooseTargets(StopPlan aPlan, std::size_t aRound);
  void StopAndStart(const std::vector<std::size_t>& aTargets);
  void WaitForExit(const std::vector<std::size_t>& aStops);
  void SendSecondSignal(std::size_t aStop);
  void SetSlowStore(const std::vector<std::size_t>& aTargets, bool aSlow);
  void ReloadSoon();
  void PutConfigSoon();
  void CheckOthersRun();

  // Ends the callers and waits for their last answers.
  void FinishCallers(std::thread& aThread);
  // Asks for the states of open jobs until all have ended and no cancelled one can run any more.
  void FollowJobs();
  void Ask(const std::string& aJob);
  // Measures how late the timers of a loop are.
  void MeasureLag(asio::io_context& aContext, std::atomic<std::int64_t>& aWorst);

  StopSoakOptions options;
  RandomSource random;
  Counters counters;
  Instant start;
  StopChecks checks;
  asio::io_context context{ 1 };
  SoakCluster cluster;
  std::vector<std::unique_ptr<HttpClient>> fronts;
  std::vector<std::unique_ptr<HttpClient>> readies;
  CallerDirectives directives;
  asio::io_context callerContext{ 1 };
  std::vector<std::unique_ptr<JobCaller>> callers;
  std::atomic<bool> callersEnded = false;
  std::atomic<std::int64_t> worstLagMs = 0;
  std::atomic<std::int64_t> worstCallerLagMs = 0;
  // Processes that are not to run at the moment.
  std::set<std::size_t> stopped;
  bool playing = false;
  // When the last round may begin.
  Instant roundsEnd{};
  // Accepted jobs whose end has not been shown.
  std::set<std::string> openJobs;
  std::vector<std::string> events;
};

} // namespace oriolespread::soak
