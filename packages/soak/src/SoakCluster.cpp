#include "SoakCluster.h"

#include "oriolespread/cluster/LeaderElection.h"
#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace oriolespread::soak {

namespace {

constexpr const char* kService = "s";
constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kWorkerPort = 8165;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kLinkPort = 7720;
// The last but one number of the addresses of each kind.
constexpr int kEntryAddress = 1;
constexpr int kWorkerAddress = 2;
constexpr int kStoreAddress = 3;

} // namespace

SoakCluster::SoakCluster(asio::io_context& aContext, SoakClusterOptions aOptions)
  : context(aContext)
  , options(std::move(aOptions))
  , random(this->options.seed)
  , store(aContext, this->options.seed)
{
  std::filesystem::create_directories(this->options.directory);
  this->store.onRead = [this](const std::string& aTable, const std::string& aValue) {
    if (aTable == jobs::LeaderRow().table) {
      this->leadValue = aValue;
    }
    return aValue;
  };
  this->PutConfig();
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    this->AddEntry(index);
  }
  for (std::size_t index = 0; index < this->options.workers; ++index) {
    this->AddWorker(index);
  }
}

std::string SoakCluster::Ip(int aKind, std::size_t aIndex) const
{
  return "127." + std::to_string(this->options.network) + "." + std::to_string(aKind) + "." +
         std::to_string(aIndex + 1);
}

void SoakCluster::AddProcess(const std::string& aProgram,
                             const std::string& aArgument,
                             platformwire::DaemonSettings aSettings)
{
  const std::string storeIp = this->Ip(kStoreAddress, this->processes.size());
  this->store.SetFault(this->store.Serve(storeIp, kStorePort), this->options.calmStore);
  aSettings.internalPort = kLinkPort;
  aSettings.maxWorkerLease = std::chrono::seconds(6);
  aSettings.stopGrace = this->options.stopGrace;
  aSettings.keepEnded = std::chrono::seconds(120);
  aSettings.drainTime = std::chrono::seconds(2);
  aSettings.storeAddress = ToString(SocketAddress{ storeIp, kStorePort });
  const std::string path = this->options.directory + "/" + aSettings.machine + ".toml";
  std::ofstream(path) << platformwire_testing::EncodeSettings(aSettings);
  this->processes.push_back(std::make_unique<Process>(
    std::vector<std::string>{ this->options.programs + "/" + aProgram, aArgument },
    path,
    this->options.directory + "/" + aSettings.machine + ".log"));
  this->names.push_back(aSettings.machine);
}

void SoakCluster::AddEntry(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "edge-" + std::to_string(aIndex + 1);
  settings.dataCentre = "z" + std::to_string(aIndex % this->options.groups + 1);
  settings.ip = this->Ip(kEntryAddress, aIndex);
  settings.front = this->FrontOf(aIndex);
  settings.ready = this->ReadyOf(aIndex);
  this->AddProcess("oriolespread", "serve-cluster", std::move(settings));
}

void SoakCluster::AddWorker(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "side-" + std::to_string(aIndex + 1);
  settings.dataCentre = "z" + std::to_string(aIndex % this->options.groups + 1);
  settings.ip = this->Ip(kWorkerAddress, aIndex);
  settings.control = { settings.ip, kControlPort };
  settings.workerAddress = ToString(SocketAddress{ settings.ip, kWorkerPort });
  settings.workerService = kService;
  platformwire_testing::StandInWorkerOptions worker;
  worker.id = "w-" + std::to_string(aIndex + 1);
  worker.service = kService;
  worker.ip = settings.ip;
  worker.port = kWorkerPort;
  worker.agentAddress = ToString(settings.control);
  worker.runTimeOf = this->options.runTimeOf;
  this->AddProcess("oriolespread-agent", "--cluster", std::move(settings));
  platformwire_testing::StandInWorkerObserver observer = this->options.observerOf(worker.id);
  this->workers.push_back(std::make_unique<platformwire_testing::StandInWorker>(
    this->context, worker, std::move(observer), this->random.Next()));
}

void SoakCluster::Start()
{
  for (const auto& process : this->processes) {
    process->Start();
  }
}

std::vector<std::size_t> SoakCluster::EntriesOfGroup(std::size_t aGroup) const
{
  std::vector<std::size_t> found;
  for (std::size_t index = aGroup; index < this->options.entries; index += this->options.groups) {
    found.push_back(index);
  }
  return found;
}

SocketAddress SoakCluster::FrontOf(std::size_t aEntry) const
{
  return { this->Ip(kEntryAddress, aEntry), kFrontPort };
}

SocketAddress SoakCluster::ReadyOf(std::size_t aEntry) const
{
  return { this->Ip(kEntryAddress, aEntry), kReadyPort };
}

std::optional<std::size_t> SoakCluster::Leader() const
{
  const auto record = cluster::DecodeLeaderRecord(this->leadValue);
  const auto name = record.has_value()
                      ? std::find(this->names.begin(), this->names.end(), record->entry)
                      : this->names.end();
  return name == this->names.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(name - this->names.begin()));
}

void SoakCluster::SlowStore(std::size_t aProcess, Duration aDelay, Duration aSpread)
{
  platformwire_testing::StoreFault fault;
  fault.delay = aDelay;
  fault.delaySpread = aSpread;
  this->store.SetFault(aProcess, fault);
}

void SoakCluster::CalmStore(std::size_t aProcess)
{
  this->store.SetFault(aProcess, this->options.calmStore);
}

void SoakCluster::PutConfig()
{
  cluster::ClusterConfig config;
  config.version = ++this->configVersion;
  config.services[kService] = {};
  cluster::QueueConfig& queue = config.queues.emplace_back();
  queue.host = kHost;
  queue.pathPrefix = kPrefix;
  queue.timeoutMs = this->options.queueTimeoutMs;
  queue.policy.queue = "q";
  queue.policy.service = kService;
  queue.policy.maxAttempts = 3;
  queue.policy.stretch = 2.0;
  queue.policy.targetLatencyMs = 500;
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  platformwire_testing::EncodeConfig(config));
}

} // namespace oriolespread::soak
