// A small deployment on loopback addresses for the cases of this review: the project's programs as
// processes, the project's stand-ins for the store and the workers, and callers.
#pragma once

#include "../../packages/soak/src/Process.h"

#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/http/HttpClient.h"
#include "oriolespread/http/HttpServer.h"
#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::review {

// Writes one JSON object a line, with the milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Add(const char* aEvent, const nlohmann::ordered_json& aFields);
  std::int64_t Ms() const;

private:
  std::ofstream out;
  Instant start;
};

struct SiteOptions
{
  // Holds settings and logs.
  std::string directory;
  std::size_t entries = 2;
  std::size_t workers = 3;
  // The services of the workers, by index; those without an entry belong to kService.
  std::map<std::size_t, std::string> services;
  // The longest lease that a worker accepts.
  std::int64_t maxHoldMs = 6000;
  std::int64_t memoryMb = 260;
  // If set, calls of agents to workers pass through a proxy, which keeps those without answer for
  // which this returns true, until Deliver.
  std::function<bool(std::size_t aWorker, const HttpRequest& aCall)> holdsCall;
  std::vector<cluster::QueueConfig> queues;
  std::function<platformwire_testing::StandInRunProfile(const std::string& aTask,
                                                        std::uint64_t aRun)>
    profile;
  // Called after the record is written. May be empty.
  std::function<void(const std::string& aWorker,
                     const std::string& aTask,
                     std::uint64_t aRun,
                     const std::string& aPayload)>
    onStarted;
  std::function<void(const std::string& aWorker,
                     const std::string& aTask,
                     std::uint64_t aRun,
                     const std::string& aHow)>
    onEnded;
};

class Site
{
public:
  static constexpr const char* kHost = "h.example";
  static constexpr const char* kService = "s";

  using Answer = std::function<void(int aStatus, const std::string& aBody)>;

  // Throws if no loopback network is free.
  Site(asio::io_context& aContext, SiteOptions aOptions, Record& aRecord);

  static cluster::QueueConfig Queue(const std::string& aName,
                                    const std::string& aPrefix,
                                    const std::string& aService = kService);

  void Start();
  // Runs the event loop for this long.
  void Run(Duration aTime);
  // Sends a request to the entry's front address and records it and its answer; status 0 stands for
  // none. Requests of kind GET are recorded only if the answer differs from the last one.
  void Send(const std::string& aMethod,
            std::size_t aEntry,
            const std::string& aPath,
            const std::string& aBody,
            Answer aAnswer);

  soak::Process& Entry(std::size_t aIndex) { return *this->entries[aIndex]; }
  soak::Process& Agent(std::size_t aIndex) { return *this->agents[aIndex]; }
  platformwire_testing::StandInWorker& Worker(std::size_t aIndex) { return *this->workers[aIndex]; }
  platformwire_testing::StandInStore& Store() { return this->store; }
  // Passes a call that was held on to the worker, whose answer goes nowhere.
  void Deliver(std::size_t aWorker, const HttpRequest& aCall);
  // Sets whether the store turns the worker's machine away with 503.
  void SetStoreRefuses(std::size_t aWorker, bool aRefuses);
  // Returns the resident memory of a process in MB; 0 if it does not run.
  static std::int64_t ResidentMb(soak::Process& aProcess);

private:
  std::string Ip(int aKind, std::size_t aIndex) const;
  std::string Settings(const std::string& aName,
                       const std::string& aIp,
                       const std::string& aStore,
                       const std::string& aMore) const;
  void AddEntry(std::size_t aIndex);
  void AddWorker(std::size_t aIndex);
  // Starts the proxy in front of the worker.
  void AddProxy(std::size_t aIndex);

  asio::io_context& context;
  SiteOptions options;
  Record& record;
  Counters counters;
  int network = 0;
  platformwire_testing::StandInStore store;
  std::string storeAddress;
  std::vector<std::unique_ptr<soak::Process>> entries;
  std::vector<std::unique_ptr<soak::Process>> agents;
  std::vector<std::unique_ptr<platformwire_testing::StandInWorker>> workers;
  std::vector<std::unique_ptr<HttpClient>> callers;
  std::vector<std::unique_ptr<HttpServer>> proxies;
  std::vector<std::unique_ptr<HttpClient>> proxyClients;
  std::map<std::string, std::string> lastAnswers;
};

} // namespace oriolespread::review
