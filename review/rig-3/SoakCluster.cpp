#include "SoakCluster.h"

#include "oriolespread/cluster/LeaderElection.h"
#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace oriolespread::review {

namespace {

constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kWorkerPort = 8165;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kLinkPort = 7720;
constexpr const char* kService = "desk";
constexpr const char* kHost = "h.example";
// Longer than any time for which a worker holds a call.
constexpr Duration kCallTime = std::chrono::seconds(5);
constexpr Duration kWatchInterval = std::chrono::milliseconds(50);
// "A process that exits or is killed is restarted after a short delay" (DEPLOY.md).
constexpr Duration kRestartDelay = std::chrono::milliseconds(500);

std::int64_t ResidentKib(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  std::int64_t value = 0;
  while (status >> word) {
    if (word == "VmRSS:" && status >> value) {
      return value;
    }
  }
  return 0;
}

} // namespace

Rig::Rig(RigOptions aOptions)
  : store(this->context, 1)
  , options(std::move(aOptions))
  , record(this->options.record)
  , started(BootClock::now())
{
  std::filesystem::create_directories(this->options.directory);
  this->store.onRead = [this](const std::string& aTable, const std::string& aValue) {
    if (aTable == jobs::LeaderRow().table) {
      if (const auto row = cluster::DecodeLeaderRecord(aValue); row.has_value()) {
        if (this->epochs.insert(row->epoch).second && row->epoch == *this->epochs.rbegin()) {
          this->Note("leader: " + row->entry + ", epoch " + std::to_string(row->epoch));
        }
        if (row->epoch == *this->epochs.rbegin()) {
          this->leader = row->entry;
        }
      }
    }
    return aValue;
  };
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    this->AddEntry(index);
  }
  for (std::size_t index = 0; index < this->options.workers; ++index) {
    this->AddWorker(index);
  }
}

Rig::~Rig()
{
  this->watching = false;
}

std::string Rig::Ip(int aKind, std::size_t aIndex) const
{
  return "127." + std::to_string(this->options.network) + "." + std::to_string(aKind) + "." +
         std::to_string(aIndex + 1);
}

std::string Rig::ServeStore()
{
  const std::string storeIp = this->Ip(3, this->storeCount++);
  // "4 ms an answer" (SYSTEM.md).
  this->store.SetFault(this->store.Serve(storeIp, kStorePort),
                       { .delay = std::chrono::milliseconds(4) });
  return ToString(SocketAddress{ storeIp, kStorePort });
}

std::string Rig::WriteSettings(platformwire::DaemonSettings aSettings, std::int64_t aMemoryMb)
{
  aSettings.dataCentre = "z";
  aSettings.internalPort = kLinkPort;
  aSettings.maxWorkerLease = this->options.maxLease;
  aSettings.stopGrace = std::chrono::seconds(6);
  aSettings.keepEnded = std::chrono::seconds(120);
  aSettings.drainTime = std::chrono::seconds(2);
  if (aSettings.storeAddress.empty()) {
    aSettings.storeAddress = this->ServeStore();
  }
  const std::string path = this->options.directory + "/" + aSettings.machine + ".toml";
  std::ofstream(path) << platformwire_testing::EncodeSettings(aSettings)
                      << "[limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_mb = " << aMemoryMb
                      << "\nmax_fds = 4100\n";
  return path;
}

void Rig::AddEntry(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "edge-z-" + std::to_string(aIndex + 1);
  settings.ip = this->Ip(1, aIndex);
  settings.front = { settings.ip, kFrontPort };
  settings.ready = { settings.ip, kReadyPort };
  const std::string path = this->WriteSettings(settings, this->options.entryMemoryMb);
  this->entries.push_back(std::make_unique<soak::Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread", "serve-cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  this->entryStarts.push_back({});
  this->clients.push_back(
    *HttpClient::Create(this->context, ToString(settings.front), {}, this->counters));
}

void Rig::AddWorker(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "side-" + std::to_string(aIndex + 1);
  settings.ip = this->Ip(2, aIndex);
  settings.control = { settings.ip, kControlPort };
  settings.workerAddress = ToString(SocketAddress{ this->Ip(4, aIndex), kWorkerPort });
  settings.workerService = kService;
  const std::string path = this->WriteSettings(settings, this->options.agentMemoryMb);
  this->agents.push_back(std::make_unique<soak::Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread-agent", "--cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  this->agentStarts.push_back({});
  platformwire_testing::StandInWorkerOptions worker;
  worker.id = "w-" + std::to_string(aIndex + 1);
  worker.service = kService;
  worker.ip = settings.ip;
  worker.port = kWorkerPort;
  worker.agentAddress = ToString(settings.control);
  worker.heartbeatInterval = std::chrono::milliseconds(1500);
  worker.maxLease = this->options.maxLease;
  worker.capacity = this->options.capacity;
  worker.maxStopTime = std::chrono::milliseconds(200);
  worker.profile = [this](const std::string& aTask, std::uint64_t aRun) {
    if (this->profile != nullptr) {
      if (const auto found = this->profile(aTask, aRun); found.has_value()) {
        return *found;
      }
    }
    jobs::TaskName name;
    if (jobs::TaskName::Parse(aTask, name)) {
      const auto found = this->work.find(name.job);
      if (found != this->work.end() && name.step < found->second.size()) {
        return found->second[name.step];
      }
    }
    return platformwire_testing::StandInRunProfile{};
  };
  platformwire_testing::StandInWorkerObserver observer;
  observer.started = [this, id = worker.id](const std::string& aTask,
                                            std::uint64_t aRun,
                                            const std::string& /*aPayload*/) {
    this->starts.push_back({ aTask, aRun, id, BootClock::now() });
    this->Note("run: " + id + " starts " + aTask + " run " + std::to_string(aRun));
  };
  observer.ended =
    [this, id = worker.id](const std::string& aTask, std::uint64_t aRun, const std::string& aHow) {
      this->ends[{ aTask, aRun }] = aHow;
      this->Note("run: " + id + " ends " + aTask + " run " + std::to_string(aRun) + " " + aHow);
    };
  observer.acknowledged =
    [](const std::string& /*aTask*/, std::uint64_t /*aRun*/, const std::string& /*aHow*/) {};
  this->workers.push_back(std::make_unique<platformwire_testing::StandInWorker>(
    this->context, worker, std::move(observer), aIndex + 1));
  this->AddWorkerProxy(aIndex);
}

std::unique_ptr<HttpClient> Rig::ConnectWorker(std::size_t aIndex)
{
  return *HttpClient::Create(this->context,
                             ToString(SocketAddress{ this->Ip(2, aIndex), kWorkerPort }),
                             { .connections = 64 },
                             this->counters);
}

void Rig::AddWorkerProxy(std::size_t aIndex)
{
  this->workerClients.push_back(this->ConnectWorker(aIndex));
  auto server = HttpServer::Create(
    this->context,
    this->Ip(4, aIndex),
    kWorkerPort,
    {},
    [this, aIndex](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
      const auto delay = this->delays == nullptr ? std::nullopt : this->delays(aIndex, aRequest);
      if (delay.has_value()) {
        this->After(*delay, [this, aIndex, request = aRequest] {
          this->Note("network: a delayed call arrives: " + request.target + " " + request.body);
          this->workerClients[aIndex] = this->ConnectWorker(aIndex);
          this->workerClients[aIndex]->Call(request, kCallTime, [this](const HttpResult& aResult) {
            this->Note("network: the worker's answer to the delayed call, not passed on: " +
                       std::to_string(aResult.response.status) + " " + aResult.response.body);
          });
        });
        return;
      }
      this->workerClients[aIndex]->Call(aRequest, kCallTime, [aReply](const HttpResult& aResult) {
        if (aResult.end == HttpEnd::Answered) {
          aReply(aResult.response);
        }
      });
    },
    this->counters);
  if (!server.ok()) {
    throw std::runtime_error(std::string(server.status().message()));
  }
  this->workerProxies.push_back(*std::move(server));
}

void Rig::After(Duration aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aTime);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

void Rig::LosePower(std::size_t aWorker, Duration aWorkerTime, Duration aAgentTime)
{
  const std::string number = std::to_string(aWorker + 1);
  this->Note("platform: side-" + number + " and its worker w-" + number + " lose power");
  platformwire_testing::StandInWorker& worker = *this->workers[aWorker];
  worker.SetListening(false);
  worker.Restart();
  soak::Process& agent = *this->agents[aWorker];
  agent.Signal(SIGKILL);
  while (agent.IsRunning()) {
  }
  this->agentStarts[aWorker] = BootClock::now() + aAgentTime;
  // The connections of before have ended.
  this->workerClients[aWorker] = this->ConnectWorker(aWorker);
  this->After(aWorkerTime, [this, &worker, number] {
    worker.Restart();
    worker.SetListening(true);
    this->Note("platform: w-" + number + " is back under its id");
  });
}

void Rig::PutConfig(const nlohmann::json& aRoutes)
{
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& route : aRoutes) {
    nlohmann::json item{ { "host", kHost },           { "timeout_ms", 3000 },
                         { "service", kService },     { "priority", 0 },
                         { "max_attempts", 3 },       { "stretch", 2.0 },
                         { "target_latency_ms", 500 } };
    item.update(route);
    routes.push_back(std::move(item));
  }
  const nlohmann::json config{ { "version", ++this->configVersion },
                               { "routes", routes },
                               { "services",
                                 { { { "name", kService }, { "admission_check", true } } } },
                               { "limits", { { "max_body_bytes", 262144 } } } };
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  config.dump());
}

void Rig::Start()
{
  for (const auto& process : this->entries) {
    process->Start();
  }
  for (const auto& process : this->agents) {
    process->Start();
  }
  this->watching = true;
  this->Watch();
}

bool Rig::ReplaceEntries(std::size_t aCount)
{
  constexpr std::size_t kAtOnce = 16;
  constexpr std::size_t kAddressesPerKind = 250;
  constexpr int kFirstKind = 10;
  if (this->replacedStoreAddress.empty()) {
    this->replacedStoreAddress = this->ServeStore();
  }
  for (std::size_t first = 0; first < aCount; first += kAtOnce) {
    const std::size_t before = this->store.CountRows("members");
    const std::size_t count = std::min(kAtOnce, aCount - first);
    std::vector<std::unique_ptr<soak::Process>> batch;
    for (std::size_t index = first; index < first + count; ++index) {
      platformwire::DaemonSettings settings;
      settings.machine = "edge-a-" + std::to_string(100000 + index);
      settings.ip = this->Ip(kFirstKind + static_cast<int>(index / kAddressesPerKind),
                             index % kAddressesPerKind);
      settings.front = { settings.ip, kFrontPort };
      settings.ready = { settings.ip, kReadyPort };
      settings.storeAddress = this->replacedStoreAddress;
      const std::string path = this->WriteSettings(settings, this->options.entryMemoryMb);
      batch.push_back(std::make_unique<soak::Process>(
        std::vector<std::string>{ this->options.programs + "/oriolespread", "serve-cluster" },
        path,
        "/dev/null"));
      batch.back()->Start();
    }
    if (!this->RunUntil([&] { return this->store.CountRows("members") >= before + count; },
                        std::chrono::seconds(10))) {
      return false;
    }
    // Their processes end with the batch.
  }
  this->Note("platform: " + std::to_string(aCount) + " entries were started and removed for good");
  return true;
}

void Rig::Watch()
{
  const Instant now = BootClock::now();
  if (this->nextWatch != Instant{}) {
    this->longestLateness = std::max(this->longestLateness, now - this->nextWatch);
  }
  this->nextWatch = now + kWatchInterval;
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    this->WatchProcess(*this->entries[index],
                       "edge-z-" + std::to_string(index + 1),
                       this->options.entryMemoryMb,
                       this->entryStarts[index]);
  }
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    this->WatchProcess(*this->agents[index],
                       "side-" + std::to_string(index + 1),
                       this->options.agentMemoryMb,
                       this->agentStarts[index]);
  }
  auto timer = std::make_shared<asio::steady_timer>(this->context, kWatchInterval);
  timer->async_wait([this, timer](asio::error_code aError) {
    if (!aError && this->watching) {
      this->Watch();
    }
  });
}

void Rig::WatchProcess(soak::Process& aProcess,
                       const std::string& aName,
                       std::int64_t aMemoryMb,
                       Instant& aStartAt)
{
  const Instant now = BootClock::now();
  const pid_t pid = aProcess.Id();
  if (aProcess.IsRunning()) {
    const std::int64_t resident = ResidentKib(pid);
    if (resident > aMemoryMb * 1024) {
      ++this->memoryKills;
      this->Note("platform: kills " + aName + ", which uses " + std::to_string(resident) +
                 " KiB, more than memory_mb = " + std::to_string(aMemoryMb));
      aProcess.Signal(SIGKILL);
      aStartAt = now + kRestartDelay;
      while (aProcess.IsRunning()) {
      }
    }
    return;
  }
  if (aStartAt == Instant{}) {
    ++this->ownEnds;
    this->Note("platform: " + aName + " has ended, status " +
               std::to_string(aProcess.ExitStatus()));
    aStartAt = now + kRestartDelay;
  } else if (now >= aStartAt) {
    aStartAt = {};
    aProcess.Start();
    this->Note("platform: starts " + aName + " again");
  }
}

void Rig::RunFor(Duration aTime)
{
  this->context.restart();
  this->context.run_for(aTime);
}

bool Rig::RunUntil(const std::function<bool()>& aCondition, Duration aTime)
{
  const Instant latest = BootClock::now() + aTime;
  while (!aCondition()) {
    if (BootClock::now() >= latest) {
      return false;
    }
    this->RunFor(std::chrono::milliseconds(10));
  }
  return true;
}

Answer Rig::Call(std::size_t aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 Duration aTimeout)
{
  auto answer = std::make_shared<Answer>();
  auto ended = std::make_shared<bool>(false);
  const Instant sent = BootClock::now();
  this->clients[aEntry]->Call(
    { aMethod,
      aPath,
      { { "Host", kHost },
        { "Content-Type", "application/json" },
        { "X-Oriolespread-Timeout-Ms", std::to_string(ToMilliseconds(aTimeout)) } },
      aBody },
    aTimeout,
    [answer, ended](const HttpResult& aResult) {
      *ended = true;
      if (aResult.end == HttpEnd::Answered) {
        *answer = { aResult.response.status, aResult.response.body };
      }
    });
  this->RunUntil([&] { return *ended; }, aTimeout + std::chrono::seconds(1));
  this->Note("client: " + aMethod + " " + aPath + " to edge-z-" + std::to_string(aEntry + 1) +
             (aBody.empty() ? "" : " " + aBody.substr(0, 200)) + " -> " +
             (answer->status == 0 ? "no answer" : std::to_string(answer->status)) + " " +
             answer->body + " after " + std::to_string(ToMilliseconds(BootClock::now() - sent)) +
             " ms");
  return *answer;
}

Answer Rig::CallAny(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody,
                    int aTries)
{
  Answer answer;
  for (int attempt = 0; attempt < aTries; ++attempt) {
    answer = this->Call(this->nextEntry++ % this->entries.size(), aMethod, aPath, aBody);
    if (answer.status == kHttpOk || answer.status == kHttpGone ||
        answer.status == kHttpBadRequest) {
      break;
    }
    this->RunFor(std::chrono::milliseconds(300));
  }
  return answer;
}

std::string Rig::TimeText(Instant aAt) const
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << std::setw(8)
       << std::chrono::duration<double>(aAt - this->started).count();
  return text.str();
}

void Rig::Note(const std::string& aText)
{
  this->record << this->TimeText(BootClock::now()) << " " << aText << "\n" << std::flush;
}

void Rig::SetWork(const std::string& aJob,
                  std::vector<platformwire_testing::StandInRunProfile> aSteps)
{
  this->work[aJob] = std::move(aSteps);
}

} // namespace oriolespread::review
