#include "SoakCluster.h"

#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <unistd.h>

#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace oriolespread::review {

namespace {

constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kWorkerPort = 8165;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kProxyPort = 8164;
constexpr int kNetworks = 250;
// The third numbers of the addresses.
constexpr int kEntries = 1;
constexpr int kWorkers = 2;
constexpr int kStore = 3;
constexpr Duration kCallerTimeout = std::chrono::milliseconds(3000);

std::string Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

} // namespace

Record::Record(const std::string& aPath)
  : out(aPath)
  , start(BootClock::now())
{
}

std::int64_t Record::Ms() const
{
  return ToMilliseconds(BootClock::now() - this->start);
}

void Record::Add(const char* aEvent, const nlohmann::ordered_json& aFields)
{
  nlohmann::ordered_json line{ { "ms", this->Ms() }, { "event", aEvent } };
  line.update(aFields);
  this->out << line.dump() << std::endl;
}

Site::Site(asio::io_context& aContext, SiteOptions aOptions, Record& aRecord)
  : context(aContext)
  , options(std::move(aOptions))
  , record(aRecord)
  , store(aContext, 1)
{
  std::filesystem::create_directories(this->options.directory);
  for (int tried = 0; this->storeAddress.empty(); ++tried) {
    if (tried == kNetworks) {
      throw std::runtime_error("no free loopback network");
    }
    this->network = 1 + (static_cast<int>(::getpid()) + tried) % kNetworks;
    try {
      this->store.Serve(this->Ip(kStore, 0), kStorePort);
      this->storeAddress = this->Ip(kStore, 0) + ":" + std::to_string(kStorePort);
    } catch (const std::runtime_error&) {
      // Another site uses this network.
      continue;
    }
  }
  cluster::ClusterConfig config;
  config.version = 1;
  config.services[kService].checksAdmission = true;
  for (const auto& [index, service] : this->options.services) {
    config.services[service].checksAdmission = true;
  }
  config.queues = this->options.queues;
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  platformwire_testing::EncodeConfig(config));
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    this->AddEntry(index);
  }
  for (std::size_t index = 0; index < this->options.workers; ++index) {
    this->AddWorker(index);
  }
}

cluster::QueueConfig Site::Queue(const std::string& aName,
                                 const std::string& aPrefix,
                                 const std::string& aService)
{
  cluster::QueueConfig queue;
  queue.host = kHost;
  queue.pathPrefix = aPrefix;
  queue.timeoutMs = ToMilliseconds(kCallerTimeout);
  queue.policy.queue = aName;
  queue.policy.service = aService;
  queue.policy.maxAttempts = 3;
  queue.policy.stretch = 2.0;
  queue.policy.targetLatencyMs = 500;
  return queue;
}

std::string Site::Ip(int aKind, std::size_t aIndex) const
{
  return "127." + std::to_string(this->network) + "." + std::to_string(aKind) + "." +
         std::to_string(aIndex + 1);
}

std::string Site::Settings(const std::string& aName,
                           const std::string& aIp,
                           const std::string& aStore,
                           const std::string& aMore) const
{
  std::ostringstream text;
  text << "node_name = " << Quoted(aName) << "\nip = " << Quoted(aIp)
       << "\nzone = \"z1\"\nregion = \"r\"\nport_range = [7720, 7735]\nseeds = []\n"
       << "bootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
       << "orders = \"rpc\"\n"
       << aMore << "[zones]\nz1 = \"r\"\n"
       << "[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = " << this->options.memoryMb
       << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
       << "[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n"
       << "cancel_ms = 3000\nvisible_ms = 3000\nstop_grace_ms = 200\nfinish_s = 14\n"
       << "status_s = 120\nmax_hold_ms = " << this->options.maxHoldMs
       << "\n[platform]\naddress = " << Quoted(aStore) << "\nform = \"table\"\n";
  return text.str();
}

void Site::AddEntry(std::size_t aIndex)
{
  const std::string name = "edge-" + std::to_string(aIndex + 1);
  const std::string ip = this->Ip(kEntries, aIndex);
  const std::string path = this->options.directory + "/" + name + ".toml";
  const std::string front = ToString(SocketAddress{ ip, kFrontPort });
  std::ofstream(path) << this->Settings(name, ip, this->storeAddress, "machine_class = \"edge\"\n")
                      << "[listen_addrs]\nfront = " << Quoted(front)
                      << "\nready = " << Quoted(ToString(SocketAddress{ ip, kReadyPort })) << "\n";
  this->entries.push_back(std::make_unique<soak::Process>(
    std::vector<std::string>{ "target/packages/apps/oriolespread", "serve-cluster" },
    path,
    this->options.directory + "/" + name + ".log"));
  auto caller = HttpClient::Create(this->context, front, { .connections = 64 }, this->counters);
  if (!caller.ok()) {
    throw std::runtime_error(std::string(caller.status().message()));
  }
  this->callers.push_back(*std::move(caller));
}

void Site::AddWorker(std::size_t aIndex)
{
  const std::string name = "side-" + std::to_string(aIndex + 1);
  const std::string ip = this->Ip(kWorkers, aIndex);
  const std::string path = this->options.directory + "/" + name + ".toml";
  const std::string control = ToString(SocketAddress{ ip, kControlPort });
  const auto known = this->options.services.find(aIndex);
  const std::string service = known == this->options.services.end() ? kService : known->second;
  // Each agent has an address of the store of its own, so that the store can turn it away.
  const std::string storeIp = this->Ip(kStore, aIndex + 1);
  static_cast<void>(this->store.Serve(storeIp, kStorePort));
  const std::uint16_t appPort = this->options.holdsCall ? kProxyPort : kWorkerPort;
  std::ofstream(path) << this->Settings(name,
                                        ip,
                                        ToString(SocketAddress{ storeIp, kStorePort }),
                                        "machine_class = \"side\"\napp = " +
                                          Quoted(ToString(SocketAddress{ ip, appPort })) +
                                          "\nservice = " + Quoted(service) + "\n")
                      << "[listen_addrs]\ncontrol = " << Quoted(control) << "\n";
  this->agents.push_back(std::make_unique<soak::Process>(
    std::vector<std::string>{ "target/packages/apps/oriolespread-agent", "--cluster" },
    path,
    this->options.directory + "/" + name + ".log"));
  platformwire_testing::StandInWorkerOptions worker;
  worker.id = "w-" + std::to_string(aIndex + 1);
  worker.service = service;
  worker.ip = ip;
  worker.port = kWorkerPort;
  worker.agentAddress = control;
  worker.heartbeatInterval = std::chrono::milliseconds(1500);
  worker.maxLease = std::chrono::milliseconds(this->options.maxHoldMs);
  worker.capacity = { 32000, 128000, 0 };
  worker.maxStopTime = std::chrono::milliseconds(200);
  worker.profile = this->options.profile;
  platformwire_testing::StandInWorkerObserver observer;
  observer.started = [this, id = worker.id](
                       const std::string& aTask, std::uint64_t aRun, const std::string& aPayload) {
    this->record.Add(
      "start", { { "worker", id }, { "task", aTask }, { "run", aRun }, { "spec", aPayload } });
    if (this->options.onStarted) {
      this->options.onStarted(id, aTask, aRun, aPayload);
    }
  };
  observer.ended =
    [this, id = worker.id](const std::string& aTask, std::uint64_t aRun, const std::string& aHow) {
      this->record.Add("end",
                       { { "worker", id }, { "task", aTask }, { "run", aRun }, { "how", aHow } });
      if (this->options.onEnded) {
        this->options.onEnded(id, aTask, aRun, aHow);
      }
    };
  observer.acknowledged =
    [this, id = worker.id](const std::string& aTask, std::uint64_t aRun, const std::string& aHow) {
      this->record.Add("noted",
                       { { "worker", id }, { "task", aTask }, { "run", aRun }, { "how", aHow } });
    };
  this->workers.push_back(std::make_unique<platformwire_testing::StandInWorker>(
    this->context, worker, std::move(observer), aIndex + 1));
  if (this->options.holdsCall) {
    this->AddProxy(aIndex);
  }
}

void Site::AddProxy(std::size_t aIndex)
{
  const std::string ip = this->Ip(kWorkers, aIndex);
  auto client = HttpClient::Create(
    this->context, ToString(SocketAddress{ ip, kWorkerPort }), {}, this->counters);
  if (!client.ok()) {
    throw std::runtime_error(std::string(client.status().message()));
  }
  this->proxyClients.push_back(*std::move(client));
  auto proxy = HttpServer::Create(
    this->context,
    ip,
    kProxyPort,
    {},
    [this, aIndex](const HttpRequest& aRequest, HttpServer::Reply aReply) {
      if (this->options.holdsCall(aIndex, aRequest)) {
        return;
      }
      this->proxyClients[aIndex]->Call(
        { aRequest.method,
          aRequest.target,
          { { "Host", kHost }, { "Content-Type", "application/json" } },
          aRequest.body },
        kCallerTimeout,
        [reply = std::move(aReply)](const HttpResult& aResult) {
          if (aResult.end == HttpEnd::Answered) {
            reply({ aResult.response.status,
                    { { "Content-Type", "application/json" } },
                    aResult.response.body });
          }
        });
    },
    this->counters);
  if (!proxy.ok()) {
    throw std::runtime_error(std::string(proxy.status().message()));
  }
  this->proxies.push_back(*std::move(proxy));
}

void Site::Deliver(std::size_t aWorker, const HttpRequest& aCall)
{
  this->proxyClients[aWorker]->Call({ aCall.method,
                                      aCall.target,
                                      { { "Host", kHost }, { "Content-Type", "application/json" } },
                                      aCall.body },
                                    kCallerTimeout,
                                    [this, aWorker](const HttpResult& aResult) {
                                      this->record.Add("late_call",
                                                       { { "worker", this->workers[aWorker]->Id() },
                                                         { "status", aResult.response.status },
                                                         { "body", aResult.response.body } });
                                    });
}

void Site::SetStoreRefuses(std::size_t aWorker, bool aRefuses)
{
  platformwire_testing::StoreFault fault;
  fault.busy = aRefuses;
  // The first address is that of the entries.
  this->store.SetFault(aWorker + 1, fault);
  this->record.Add("store", { { "machine", aWorker + 1 }, { "refuses", aRefuses } });
}

void Site::Start()
{
  for (const auto& process : this->entries) {
    process->Start();
  }
  for (const auto& process : this->agents) {
    process->Start();
  }
}

void Site::Run(Duration aTime)
{
  this->context.run_for(std::chrono::duration_cast<std::chrono::nanoseconds>(aTime));
}

void Site::Send(const std::string& aMethod,
                std::size_t aEntry,
                const std::string& aPath,
                const std::string& aBody,
                Answer aAnswer)
{
  if (aMethod != "GET") {
    this->record.Add("send", { { "method", aMethod }, { "entry", aEntry + 1 }, { "path", aPath } });
  }
  HttpRequest request{ aMethod,
                       aPath,
                       { { "Host", kHost },
                         { "Content-Type", "application/json" },
                         { "X-Oriolespread-Timeout-Ms",
                           std::to_string(ToMilliseconds(kCallerTimeout)) } },
                       aBody };
  this->callers[aEntry]->Call(
    std::move(request),
    kCallerTimeout,
    [this, aMethod, aEntry, aPath, answer = std::move(aAnswer)](const HttpResult& aResult) {
      const bool answered = aResult.end == HttpEnd::Answered;
      const int status = answered ? aResult.response.status : 0;
      const std::string text = std::to_string(status) + " " + aResult.response.body;
      if (std::string& last = this->lastAnswers[aMethod + " " + aPath];
          aMethod != "GET" || last != text) {
        last = text;
        this->record.Add("answer",
                         { { "method", aMethod },
                           { "entry", aEntry + 1 },
                           { "path", aPath },
                           { "status", status },
                           { "body", aResult.response.body } });
      }
      if (answer) {
        answer(status, aResult.response.body);
      }
    });
}

std::int64_t Site::ResidentMb(soak::Process& aProcess)
{
  if (!aProcess.IsRunning()) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(aProcess.Id()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoll(line.substr(6)) / 1024;
    }
  }
  return 0;
}

} // namespace oriolespread::review
