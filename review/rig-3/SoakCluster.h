// A small deployment for the scripts of the third review: the programs of the deploy file as
// separate processes, with stand-ins for the store, the workers and the platform, on loopback
// addresses.
#pragma once

#include "../../packages/soak/src/Process.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/http/HttpClient.h"
#include "oriolespread/http/HttpServer.h"
#include "oriolespread/platformwire/DaemonSettings.h"
#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::review {

struct RigOptions
{
  // The folder of the programs, and the one for settings and logs.
  std::string programs;
  std::string directory;
  std::string record;
  std::size_t entries = 4;
  std::size_t workers = 6;
  // Distinguishes the loopback addresses of rigs side by side, 1 to 250.
  int network = 1;
  // `limits.memory_mb` of an entry and of an agent. The platform ends a process that exceeds it.
  std::int64_t entryMemoryMb = 260;
  std::int64_t agentMemoryMb = 128;
  Resources capacity{ 32000, 128000, 0 };
  Duration maxLease = std::chrono::seconds(10);
};

// A run that a worker has started.
struct StartedRun
{
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  Instant at{};
};

struct Answer
{
  // 0 if none arrived.
  int status = 0;
  std::string body;
};

class Rig
{
public:
  explicit Rig(RigOptions aOptions);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // Writes the configuration; each route is a queue of the service.
  void PutConfig(const nlohmann::json& aRoutes);
  void Start();
  // Takes the power of a worker's machine: ends the worker, which is back under its id and knows
  // nothing after `aWorkerTime`, and the agent, whose next process starts after `aAgentTime`.
  void LosePower(std::size_t aWorker, Duration aWorkerTime, Duration aAgentTime);
  // Starts and removes entries for good, each at an address of its own, until this many have
  // registered. Their names begin with `edge-a`, those of the rig's own entries with `edge-z`.
  bool ReplaceEntries(std::size_t aCount);
  void RunFor(Duration aTime);
  // Runs until the condition holds or the time is over, and returns whether it holds.
  bool RunUntil(const std::function<bool()>& aCondition, Duration aTime);

  // Sends a request of a client to the entry and waits for its answer.
  Answer Call(std::size_t aEntry,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              Duration aTimeout = std::chrono::seconds(3));
  // As a client does: repeats a request without an answer, or refused, at the next entry.
  Answer CallAny(const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 int aTries = 5);

  void Note(const std::string& aText);
  std::string TimeText(Instant aAt) const;
  // What the runs of tasks of the job do, by the number of the step.
  void SetWork(const std::string& aJob,
               std::vector<platformwire_testing::StandInRunProfile> aSteps);

  asio::io_context context{ 1 };
  Counters counters;
  platformwire_testing::StandInStore store;
  std::vector<std::unique_ptr<soak::Process>> entries;
  std::vector<std::unique_ptr<soak::Process>> agents;
  std::vector<std::unique_ptr<platformwire_testing::StandInWorker>> workers;
  std::vector<StartedRun> starts;
  // Replaces what SetWork says of a run.
  std::function<std::optional<platformwire_testing::StandInRunProfile>(const std::string& aTask,
                                                                       std::uint64_t aRun)>
    profile;
  std::map<std::pair<std::string, std::uint64_t>, std::string> ends;
  // How often the platform has ended an entry for its memory.
  std::size_t memoryKills = 0;
  // How late the loop of the stand-ins was at most.
  Duration longestLateness{};
  // How often a process has ended by itself otherwise.
  std::size_t ownEnds = 0;
  // Called with each call of an agent to its worker. If it returns a time, the call gets no answer
  // and is carried out after that time.
  std::function<std::optional<Duration>(std::size_t aWorker, const HttpRequest& aRequest)> delays;
  // The entry of the present leader's row, as last read by any entry.
  std::string leader;
  std::set<std::uint64_t> epochs;

private:
  std::string Ip(int aKind, std::size_t aIndex) const;
  // Serves the store at another address and returns it.
  std::string ServeStore();
  std::string WriteSettings(platformwire::DaemonSettings aSettings, std::int64_t aMemoryMb);
  void AddEntry(std::size_t aIndex);
  void AddWorker(std::size_t aIndex);
  // Passes the calls of the agent on to its worker, and delays some of them.
  void AddWorkerProxy(std::size_t aIndex);
  std::unique_ptr<HttpClient> ConnectWorker(std::size_t aIndex);
  void After(Duration aTime, std::function<void()> aCall);
  // Ends processes above their memory, and starts those that have ended again, as the platform
  // does.
  void Watch();
  void WatchProcess(soak::Process& aProcess,
                    const std::string& aName,
                    std::int64_t aMemoryMb,
                    Instant& aStartAt);

  RigOptions options;
  std::ofstream record;
  Instant started;
  std::size_t nextEntry = 0;
  std::size_t storeCount = 0;
  std::uint64_t configVersion = 0;
  bool watching = false;
  // When the platform looks at the processes next.
  Instant nextWatch{};
  // The address that the store gives to replaced entries.
  std::string replacedStoreAddress;
  std::vector<Instant> entryStarts;
  std::vector<Instant> agentStarts;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::unique_ptr<HttpServer>> workerProxies;
  std::vector<std::unique_ptr<HttpClient>> workerClients;
  std::map<std::string, std::vector<platformwire_testing::StandInRunProfile>> work;
};

} // namespace oriolespread::review
