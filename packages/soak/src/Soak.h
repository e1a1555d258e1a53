// Runs the programs as processes beside stand-ins for the store, the workers and callers, and
// injects faults that a seed chooses.
#pragma once

#include "LinkProxy.h"
#include "MixTraffic.h"
#include "Process.h"
#include "ProcessorQuota.h"
#include "Promises.h"
#include "WaitCheck.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/platformwire/DaemonSettings.h"
#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <asio/io_context.hpp>

#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::soak {

// What happens to all processes at the end of the load of a mixed load.
enum class SoakEnd
{
  None,
  // They are killed.
  Kill,
  // They are killed, workers lose their runs, and the connections to entries stay half-open.
  Power,
};

// Returns nothing for an unknown name.
std::optional<SoakEnd> ParseSoakEnd(const std::string& aName);

// The names of entries and agents, before their number from 1 on.
inline constexpr const char* kEntryName = "edge-";
inline constexpr const char* kAgentName = "side-";

struct SoakOptions
{
  std::string programs;
  std::string directory;
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(10);
  std::size_t entries = 3;
  std::size_t workers = 5;
  // Distinguishes the loopback addresses of runs side by side, 1 to 250.
  int network = 1;
  bool calm = false;
  // Workers also refuse connections for a while, during which their runs go on. Without it, a seed
  // gives the faults that it gave before.
  bool refusals = false;
  // Callers cancel some jobs before they are accepted, runs are long, the store is slow for a while
  // now and then, and entries and agents are stopped as planned and started again. With `mix`, no
  // job is cancelled before it is accepted.
  bool giveUps = false;
  // Jobs of a mixed load instead of small ones, on workers of the size that it needs.
  bool mix = false;
  // Submitted jobs a second of the mixed load; 0 for a rate that the workers can carry.
  double rate = 0;
  // How long callers may ask for an ended job.
  Duration keepEnded = std::chrono::seconds(120);
  // The shares of a core of entries, in turn, and of each agent; without a limit if empty or 0.
  // The settings file of a process names its share.
  std::vector<double> entryQuotas;
  double agentQuota = 0;
  // The delay of each answer of the store outside of faults.
  Duration storeDelay{};
  // The share of transactions without an answer in phases of faults of a mixed load, which a calm
  // run has as well then.
  double lostAnswers = 0;
  // The delay on connections to entries outside of faults, one way.
  Duration linkDelay{};
  // All transactions of the store are written to the file store.log beside the logs.
  bool logStore = false;
  // The leading entry is killed once, after a third of the load.
  bool killLeader = false;
  // The longest lease that workers accept.
  Duration maxWorkerLease = std::chrono::seconds(6);
  // Half of the workers crash and start again under their ids, and their agents are cut off soon
  // after, repeatedly. Some runs are long.
  bool workerCrashes = false;
  // The leading entry is killed after each of these crashes.
  bool crashKillsLeader = false;
  // Faults in pairs, the second one during the recovery from the first one, repeatedly. Some runs
  // are long.
  bool pairs = false;
  // Only for a mixed load. All processes start again 1 to 2 s later, and callers go on.
  SoakEnd end = SoakEnd::None;
};

class Soak
{
public:
  explicit Soak(SoakOptions aOptions);

  // Returns the promises that were broken.
  std::vector<std::string> Run();
  std::size_t Starts() const { return this->promises.Starts(); }
  std::size_t Jobs() const { return this->promises.jobs.size(); }
  const std::vector<std::string>& Faults() const { return this->faults; }
  // Returns what the mixed load did, and how late the soak's own loop was at most.
  std::string MixSummary() const;

private:
  // The kinds of faults that pairs consist of.
  enum class PairFault : std::uint8_t;

  std::string Ip(int aKind, std::size_t aIndex) const;
  void AddEntry(std::size_t aIndex);
  void AddWorker(std::size_t aIndex);
  // Fills in what all machines have in common, and returns the path of the file.
  // `aQuota` is the share of a core of the process, 0 for no limit.
  std::string WriteSettings(platformwire::DaemonSettings aSettings, double aQuota);
  void PutConfig();
  void RunFor(Duration aTime);
  void RunUntil(Instant aTime);

  // Returns the share of a core of the entry, 0 for no limit.
  double EntryQuota(std::size_t aIndex) const;
  void Recover();
  void RecoverMix();
  // Returns the process of the leading entry, as last read by any entry.
  std::optional<std::size_t> Leader() const;
  void KillLeader();
  // Ends all processes at once.
  void LoseAll();
  // Checks that requests are served again after all processes were lost.
  void CheckReturn();
  // Returns the processor times of all entries in milliseconds.
  std::string EntryTimes() const;
  void WatchMixSoon();
  std::vector<WorkerRoom> Rooms() const;
  Instant InTouchSince() const;
  // Sets that machines are disturbed until then.
  void Disturb(Duration aTime);

  void SubmitSoon();
  void Submit();
  void Post(const std::string& aId, int aTries);
  void Ask(const std::string& aId);
  void CancelJob(const std::string& aId);
  HttpClient& AnyEntry();

  void InjectSoon();
  void Inject();
  void LoseAnswers();
  platformwire_testing::StoreFault CalmStore() const;
  void RefuseSoon();
  void StopSoon();
  void SlowStoreSoon();
  void CrashWorkersSoon(Duration aTime);
  void CrashWorkers();
  void SetAgentCut(std::size_t aWorker, bool aCut);
  void InjectPair();
  // Faults of workers and agents concern these machines, numbered as the workers.
  void InjectPairFault(PairFault aKind, const std::vector<std::size_t>& aMachines, Duration aTime);
  void InjectPairFaultIntoMachine(PairFault aKind, std::size_t aIndex, Duration aTime);
  void InjectIntoProcess(std::size_t aIndex);
  void InjectIntoStore(std::size_t aIndex);
  void InjectIntoLink(std::size_t aIndex);
  void InjectIntoWorker(std::size_t aIndex);
  // Notes a fault that lasts for this time.
  void Note(const std::string& aFault, Duration aTime = {});
  void KeepRunning();
  void After(Duration aTime, std::function<void()> aCall);

  SoakOptions options;
  RandomSource random;
  // Chooses the refusals.
  RandomSource refusalRandom;
  // Chooses what `giveUps` adds.
  RandomSource giveUpRandom;
  // Chooses what `workerCrashes` adds, and the long runs.
  RandomSource crashRandom;
  // Chooses the pairs of faults.
  RandomSource pairRandom;
  // Chooses when processes start again after the loss of all.
  RandomSource endRandom;
  asio::io_context context{ 1 };
  Counters counters;
  Instant start;
  Instant faultsEnd;
  Promises promises;
  platformwire_testing::StandInStore store;
  std::ofstream storeLog;
  std::vector<std::unique_ptr<Process>> processes;
  // When a process that has ended is started again.
  std::vector<Instant> restarts;
  ProcessorQuota quota;
  std::vector<std::unique_ptr<LinkProxy>> proxies;
  // Between callers and entries, only for SoakEnd::Power.
  std::vector<std::unique_ptr<LinkProxy>> frontProxies;
  std::vector<std::unique_ptr<platformwire_testing::StandInWorker>> workers;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::unique_ptr<MixTraffic> mixTraffic;
  std::unique_ptr<WaitCheck> waitCheck;
  std::vector<std::string> faults;
  std::size_t lastPair = 0;
  // The entry that a pair has cut off from the store.
  std::optional<std::size_t> cutEntry;
  // The end of the last disturbance of a machine.
  Instant disturbedUntil{};
  // The present or next phase of faults in a mixed load.
  Instant faultPhaseStart{};
  Instant faultPhaseEnd{};
  // Answers of the store are lost at present.
  bool losesAnswers = false;
  // Processes that have ended are not started before then.
  Instant downUntil{};
  std::string returned;
  // When the callers' load ends.
  Instant trafficEnd;
  Duration latestTurn{};
  // The epochs of all leaders that entries have read of.
  std::set<std::uint64_t> epochs;
  // The name of the entry of the newest epoch; empty before the first one.
  std::string leader;
  std::uint64_t configVersion = 0;
  std::uint64_t lastJob = 0;
};

} // namespace oriolespread::soak
