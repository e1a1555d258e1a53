// The real programs as processes on loopback addresses, with stand-ins for the store and the
// workers: entries in groups, one agent for each worker.
#pragma once

#include "Process.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/platformwire/DaemonSettings.h"
#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread::soak {

struct SoakClusterOptions
{
  std::string programs;
  // Settings and logs.
  std::string directory;
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  // Entries are spread over the groups in turn, each of which is a data centre of its own.
  std::size_t groups = 1;
  std::size_t workers = 5;
  // Distinguishes the loopback addresses of runs side by side, 1 to 250.
  int network = 1;
  // The longest time-out that a caller may ask for.
  std::int64_t queueTimeoutMs = 3000;
  Duration stopGrace = std::chrono::seconds(6);
  // The delay of the store's answers while no fault is set.
  platformwire_testing::StoreFault calmStore;
  // Gives the duration of a run from its payload.
  std::function<Duration(const std::string& aPayload)> runTimeOf;
  // Gives the callbacks of the worker with this name.
  std::function<platformwire_testing::StandInWorkerObserver(const std::string& aWorker)> observerOf;
};

class SoakCluster
{
public:
  static constexpr const char* kHost = "h.example";
  static constexpr const char* kPrefix = "/q/";

  // `aContext` must outlive the cluster. Throws if an address is in use.
  SoakCluster(asio::io_context& aContext, SoakClusterOptions aOptions);

  // Starts all processes.
  void Start();
  // Processes are numbered from 0, entries before agents.
  std::size_t Processes() const { return this->processes.size(); }
  std::size_t Entries() const { return this->options.entries; }
  Process& ProcessAt(std::size_t aIndex) { return *this->processes[aIndex]; }
  const std::string& NameOf(std::size_t aProcess) const { return this->names[aProcess]; }
  std::vector<std::size_t> EntriesOfGroup(std::size_t aGroup) const;
  SocketAddress FrontOf(std::size_t aEntry) const;
  SocketAddress ReadyOf(std::size_t aEntry) const;
  // Returns the entry that the leadership row names, as last read by any entry.
  std::optional<std::size_t> Leader() const;

  // Sets the delay of the store's answers to one process, or ends it.
  void SlowStore(std::size_t aProcess, Duration aDelay, Duration aSpread);
  void CalmStore(std::size_t aProcess);
  // Puts the configuration with the next version number.
  void PutConfig();

private:
  std::string Ip(int aKind, std::size_t aIndex) const;
  void AddEntry(std::size_t aIndex);
  void AddWorker(std::size_t aIndex);
  void AddProcess(const std::string& aProgram,
                  const std::string& aArgument,
                  platformwire::DaemonSettings aSettings);

  asio::io_context& context;
  SoakClusterOptions options;
  RandomSource random;
  platformwire_testing::StandInStore store;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::string> names;
  std::vector<std::unique_ptr<platformwire_testing::StandInWorker>> workers;
  std::string leadValue;
  std::uint64_t configVersion = 0;
};

} // namespace oriolespread::soak
