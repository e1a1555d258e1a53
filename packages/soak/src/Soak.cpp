#include "Soak.h"

#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace oriolespread::soak {

namespace {

constexpr const char* kService = "s";
constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kWorkerPort = 8165;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kLinkPort = 7720;
constexpr const char* kHost = "h.example";
constexpr const char* kPrefix = "/q/";

// From the start of the processes to the first job and fault.
constexpr Duration kWarmUp = std::chrono::milliseconds(2500);
// From the end of all faults until every accepted job has to have ended: a lease, a take-over and
// the jobs themselves.
constexpr Duration kRecovery = std::chrono::seconds(30);
constexpr Duration kCallTimeout = std::chrono::seconds(4);
constexpr int kPostTries = 5;
// A run that is longer than a refusal shows whether its task is started again meanwhile.
constexpr Duration kRunTimeWithRefusals = std::chrono::milliseconds(1500);
// A run that is longer than the bound for its end shows whether it was stopped.
constexpr Duration kRunTimeWithGiveUps = std::chrono::milliseconds(6000);
constexpr Duration kSubmitInterval = std::chrono::milliseconds(150);
constexpr Duration kSubmitIntervalWithGiveUps = std::chrono::milliseconds(600);
// Below the time after which a leader that cannot renew its row is replaced.
constexpr Duration kMaxStoreLateness = std::chrono::milliseconds(600);
constexpr double kGiveUpShare = 0.6;
constexpr Duration kLatestGiveUp = std::chrono::milliseconds(400);

} // namespace

Soak::Soak(SoakOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , refusalRandom(this->options.seed)
  , giveUpRandom(this->options.seed)
  , start(BootClock::now())
  , faultsEnd(this->start + kWarmUp + this->options.length)
  , promises(this->start)
  , store(this->context, this->options.seed)
{
  std::filesystem::create_directories(this->options.directory);
  // Agents find entries by their proxies.
  this->store.onRead = [this](const std::string& aTable, const std::string& aValue) {
    std::string shown = aValue;
    const std::string direct = "127." + std::to_string(this->options.network) + ".1.";
    if (aTable == "members" && shown.starts_with(direct)) {
      shown.replace(direct.size() - 2, 1, "4");
    }
    return shown;
  };
  this->PutConfig();
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    this->AddEntry(index);
  }
  for (std::size_t index = 0; index < this->options.workers; ++index) {
    this->AddWorker(index);
  }
}

std::string Soak::Ip(int aKind, std::size_t aIndex) const
{
  return "127." + std::to_string(this->options.network) + "." + std::to_string(aKind) + "." +
         std::to_string(aIndex + 1);
}

std::string Soak::WriteSettings(platformwire::DaemonSettings aSettings)
{
  const std::string storeIp = this->Ip(3, this->processes.size());
  this->store.Serve(storeIp, kStorePort);
  aSettings.dataCentre = "z";
  aSettings.internalPort = kLinkPort;
  aSettings.maxWorkerLease = std::chrono::seconds(6);
  aSettings.stopGrace = std::chrono::seconds(6);
  aSettings.keepEnded = std::chrono::seconds(120);
  aSettings.drainTime = std::chrono::seconds(2);
  aSettings.storeAddress = ToString(SocketAddress{ storeIp, kStorePort });
  const std::string path = this->options.directory + "/" + aSettings.machine + ".toml";
  std::ofstream(path) << platformwire_testing::EncodeSettings(aSettings);
  return path;
}

void Soak::AddEntry(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "edge-" + std::to_string(aIndex + 1);
  settings.ip = this->Ip(1, aIndex);
  settings.front = { settings.ip, kFrontPort };
  settings.ready = { settings.ip, kReadyPort };
  const std::string path = this->WriteSettings(settings);
  this->proxies.push_back(
    std::make_unique<LinkProxy>(this->context, this->Ip(4, aIndex), settings.ip, kLinkPort));
  this->processes.push_back(std::make_unique<Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread", "serve-cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  this->restarts.push_back({});
  this->clients.push_back(
    *HttpClient::Create(this->context, ToString(settings.front), {}, this->counters));
}

void Soak::AddWorker(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = "side-" + std::to_string(aIndex + 1);
  settings.ip = this->Ip(2, aIndex);
  settings.control = { settings.ip, kControlPort };
  settings.workerAddress = ToString(SocketAddress{ settings.ip, kWorkerPort });
  settings.workerService = kService;
  const std::string path = this->WriteSettings(settings);
  this->processes.push_back(std::make_unique<Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread-agent", "--cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  this->restarts.push_back({});
  platformwire_testing::StandInWorkerOptions options;
  options.id = "w-" + std::to_string(aIndex + 1);
  options.service = kService;
  options.ip = settings.ip;
  options.port = kWorkerPort;
  options.agentAddress = ToString(settings.control);
  if (this->options.refusals) {
    options.runTime = kRunTimeWithRefusals;
  }
  if (this->options.giveUps) {
    options.runTime = kRunTimeWithGiveUps;
  }
  platformwire_testing::StandInWorkerObserver observer;
  observer.started = [this, id = options.id](
                       const std::string& aTask, std::uint64_t aRun, const std::string& aPayload) {
    this->promises.OnStarted(id, aTask, aRun, aPayload);
  };
  observer.ended = [this, id = options.id](
                     const std::string& aTask, std::uint64_t /*aRun*/, const std::string& aHow) {
    this->promises.OnEnded(id, aTask, aHow);
  };
  observer.acknowledged =
    [this](const std::string& aTask, std::uint64_t /*aRun*/, const std::string& aHow) {
      this->promises.OnAcknowledged(aTask, aHow);
    };
  this->workers.push_back(std::make_unique<platformwire_testing::StandInWorker>(
    this->context, options, std::move(observer), this->random.Next()));
}

void Soak::PutConfig()
{
  cluster::ClusterConfig config;
  config.version = ++this->configVersion;
  config.services[kService] = {};
  cluster::QueueConfig& queue = config.queues.emplace_back();
  queue.host = kHost;
  queue.pathPrefix = kPrefix;
  queue.timeoutMs = 3000;
  queue.policy.queue = "q";
  queue.policy.service = kService;
  queue.policy.maxAttempts = 3;
  queue.policy.stretch = 2.0;
  queue.policy.targetLatencyMs = 500;
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  platformwire_testing::EncodeConfig(config));
}

std::vector<std::string> Soak::Run()
{
  for (const auto& process : this->processes) {
    process->Start();
  }
  this->RunFor(kWarmUp);
  this->KeepRunning();
  this->SubmitSoon();
  if (!this->options.calm) {
    this->InjectSoon();
  }
  if (this->options.refusals) {
    this->RefuseSoon();
  }
  if (this->options.giveUps) {
    this->StopSoon();
    this->SlowStoreSoon();
  }
  this->RunUntil(this->faultsEnd);
  const Instant latest = BootClock::now() + kRecovery;
  while (BootClock::now() < latest && this->promises.OpenJobs() > 0) {
    for (const auto& [id, job] : this->promises.jobs) {
      if (job.accepted && !job.ended) {
        this->Ask(id);
      }
    }
    this->RunFor(std::chrono::milliseconds(500));
  }
  this->promises.CheckEnd();
  return this->promises.Broken();
}

void Soak::RunFor(Duration aTime)
{
  this->RunUntil(BootClock::now() + aTime);
}

void Soak::RunUntil(Instant aTime)
{
  while (BootClock::now() < aTime) {
    this->context.run_one_for(std::chrono::milliseconds(20));
  }
}

void Soak::After(Duration aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aTime);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

// ---- callers

HttpClient& Soak::AnyEntry()
{
  return *this->clients[this->random.Below(this->clients.size())];
}

void Soak::SubmitSoon()
{
  const Duration interval = this->options.giveUps ? kSubmitIntervalWithGiveUps : kSubmitInterval;
  this->After(this->random.Exponential(interval), [this] {
    if (BootClock::now() < this->faultsEnd) {
      this->Submit();
      this->SubmitSoon();
    }
  });
}

void Soak::Submit()
{
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(16) << ++this->lastJob;
  SoakJob& job = this->promises.jobs[id.str()];
  job.payload = "payload of " + id.str();
  for (std::uint64_t step = 0; step <= this->random.Below(3); ++step) {
    job.steps.push_back(1 + static_cast<std::uint32_t>(this->random.Below(6)));
  }
  this->Post(id.str(), kPostTries);
  if (this->options.giveUps && this->giveUpRandom.Chance(kGiveUpShare)) {
    this->After(this->giveUpRandom.Between({}, kLatestGiveUp),
                [this, jobId = id.str()] { this->CancelJob(jobId); });
  }
}

void Soak::Post(const std::string& aId, int aTries)
{
  const SoakJob& job = this->promises.jobs.at(aId);
  jobs::JobSpec spec;
  spec.payload = job.payload;
  for (std::uint32_t index = 0; index < job.steps.size(); ++index) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count = job.steps[index];
    step.demand = { 1000, 100, 0 };
    step.estimateMs = 300;
    if (index > 0) {
      step.after = { index - 1 };
    }
  }
  HttpRequest request{
    "POST", kPrefix + aId, { { "Host", kHost } }, platformwire_testing::EncodeJob(spec)
  };
  this->AnyEntry().Call(
    std::move(request), kCallTimeout, [this, aId, aTries](const HttpResult& aResult) {
      SoakJob& known = this->promises.jobs.at(aId);
      if (aResult.IsAnswer(kHttpOk)) {
        known.accepted = true;
        known.submitting = false;
        known.onlyRefused = false;
        if (this->random.Chance(0.1)) {
          this->After(std::chrono::milliseconds(200), [this, aId] { this->CancelJob(aId); });
        }
        this->After(std::chrono::milliseconds(700), [this, aId] { this->Ask(aId); });
        return;
      }
      const bool refused = aResult.end == HttpEnd::NotSent || aResult.end == HttpEnd::Refused ||
                           aResult.IsAnswer(kHttpUnavailable) ||
                           aResult.IsAnswer(kHttpTooManyRequests);
      known.onlyRefused = known.onlyRefused && refused;
      known.submitting = aTries > 1;
      if (aTries > 1) {
        this->After(std::chrono::milliseconds(200),
                    [this, aId, aTries] { this->Post(aId, aTries - 1); });
      }
    });
}

void Soak::Ask(const std::string& aId)
{
  this->AnyEntry().Call({ "GET", kPrefix + aId, { { "Host", kHost } }, {} },
                        kCallTimeout,
                        [this, aId](const HttpResult& aResult) {
                          if (aResult.IsAnswer(kHttpGone)) {
                            this->promises.OnUnknown(aId);
                          } else if (aResult.IsAnswer(kHttpOk)) {
                            this->promises.OnShown(
                              aId, platformwire_testing::DecodeState(aResult.response.body));
                          }
                        });
}

void Soak::CancelJob(const std::string& aId)
{
  // From its sending on the job may be shown as cancelled; the bound counts from its answer.
  SoakJob& job = this->promises.jobs.at(aId);
  job.cancelled = true;
  job.cancelledAt = BootClock::now() + std::chrono::hours(1);
  this->AnyEntry().Call({ "DELETE", kPrefix + aId, { { "Host", kHost } }, {} },
                        kCallTimeout,
                        [this, aId](const HttpResult& aResult) {
                          if (aResult.IsAnswer(kHttpOk) || aResult.IsAnswer(kHttpGone)) {
                            this->promises.jobs.at(aId).cancelledAt = BootClock::now();
                          }
                        });
}

// ---- faults

void Soak::Note(const std::string& aFault)
{
  this->faults.push_back(std::to_string(ToMilliseconds(BootClock::now() - this->start)) +
                         " ms: " + aFault);
}

void Soak::KeepRunning()
{
  const Instant now = BootClock::now();
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    if (this->processes[index]->IsRunning()) {
      this->restarts[index] = {};
    } else if (this->restarts[index] == Instant{}) {
      this->restarts[index] =
        now + this->random.Between(std::chrono::milliseconds(100), std::chrono::milliseconds(1200));
    } else if (now >= this->restarts[index]) {
      this->processes[index]->Start();
    }
  }
  if (this->options.calm && this->options.giveUps) {
    this->promises.CheckCancelledRuns();
  }
  this->After(std::chrono::milliseconds(50), [this] { this->KeepRunning(); });
}

void Soak::InjectSoon()
{
  this->After(this->random.Exponential(std::chrono::milliseconds(500)), [this] {
    if (BootClock::now() < this->faultsEnd) {
      this->Inject();
      this->InjectSoon();
    }
  });
}

void Soak::RefuseSoon()
{
  this->After(this->refusalRandom.Exponential(std::chrono::milliseconds(500)), [this] {
    if (BootClock::now() >= this->faultsEnd) {
      return;
    }
    const std::size_t index = this->refusalRandom.Below(this->workers.size());
    const Duration time =
      this->refusalRandom.Between(std::chrono::milliseconds(400), std::chrono::milliseconds(1500));
    this->Note("worker " + std::to_string(index) + " refuses connections for " +
               std::to_string(ToMilliseconds(time)) + " ms");
    this->workers[index]->SetListening(false);
    this->After(time, [this, index] { this->workers[index]->SetListening(true); });
    this->RefuseSoon();
  });
}

void Soak::StopSoon()
{
  this->After(this->giveUpRandom.Exponential(std::chrono::milliseconds(1500)), [this] {
    if (BootClock::now() >= this->faultsEnd) {
      return;
    }
    const std::size_t index = this->giveUpRandom.Below(this->processes.size());
    this->Note("process " + std::to_string(index) + " is stopped");
    this->processes[index]->Signal(SIGTERM);
    this->StopSoon();
  });
}

void Soak::SlowStoreSoon()
{
  this->After(this->giveUpRandom.Exponential(std::chrono::milliseconds(1500)), [this] {
    if (BootClock::now() >= this->faultsEnd) {
      return;
    }
    const Duration time =
      this->giveUpRandom.Between(std::chrono::milliseconds(500), std::chrono::milliseconds(1500));
    this->Note("the store is slow for " + std::to_string(ToMilliseconds(time)) + " ms");
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      this->store.SetFault(index, { .maxLateness = kMaxStoreLateness });
      this->After(time, [this, index] { this->store.SetFault(index, {}); });
    }
    this->SlowStoreSoon();
  });
}

void Soak::Inject()
{
  switch (this->random.Below(8)) {
    case 0:
    case 1:
    case 2:
      this->InjectIntoProcess(this->random.Below(this->processes.size()));
      break;
    case 3:
    case 4:
      this->InjectIntoStore(this->random.Below(this->processes.size()));
      break;
    case 5:
      this->InjectIntoLink(this->random.Below(this->proxies.size()));
      break;
    case 6:
      this->InjectIntoWorker(this->random.Below(this->workers.size()));
      break;
    default:
      this->Note("configuration changes and history is forgotten");
      this->PutConfig();
      this->store.ForgetHistory();
      break;
  }
}

void Soak::InjectIntoProcess(std::size_t aIndex)
{
  const std::string name = "process " + std::to_string(aIndex);
  switch (this->random.Below(4)) {
    case 0:
      this->Note(name + " is killed");
      this->processes[aIndex]->Signal(SIGKILL);
      break;
    case 1:
      this->Note(name + " is stopped");
      this->processes[aIndex]->Signal(SIGTERM);
      break;
    case 2:
      this->Note("all processes are killed");
      for (const auto& process : this->processes) {
        process->Signal(SIGKILL);
      }
      break;
    default:
      const Duration time =
        this->random.Between(std::chrono::milliseconds(300), std::chrono::milliseconds(4000));
      this->Note(name + " is paused for " + std::to_string(ToMilliseconds(time)) + " ms");
      this->processes[aIndex]->Signal(SIGSTOP);
      this->After(time, [this, aIndex] { this->processes[aIndex]->Signal(SIGCONT); });
      break;
  }
}

void Soak::InjectIntoStore(std::size_t aIndex)
{
  platformwire_testing::StoreFault fault;
  const std::uint64_t kind = this->random.Below(4);
  fault.busy = kind == 0;
  fault.silent = kind == 1;
  fault.lost = kind == 2 ? 0.4 : 0;
  fault.delay = kind == 3 ? std::chrono::milliseconds(250) : Duration{};
  const bool all = this->random.Chance(0.4);
  const Duration time =
    this->random.Between(std::chrono::milliseconds(500), std::chrono::milliseconds(4000));
  this->Note("store fault " + std::to_string(kind) + " for " +
             (all ? std::string("all") : std::to_string(aIndex)) + ", " +
             std::to_string(ToMilliseconds(time)) + " ms");
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    if (all || index == aIndex) {
      this->store.SetFault(index, fault);
      this->After(time, [this, index] { this->store.SetFault(index, {}); });
    }
  }
}

void Soak::InjectIntoLink(std::size_t aIndex)
{
  LinkFault fault;
  const std::uint64_t kind = this->random.Below(4);
  if (kind == 3) {
    this->Note("links of entry " + std::to_string(aIndex) + " are reset");
    this->proxies[aIndex]->ResetAll();
    return;
  }
  fault.cutToServer = kind == 0 || kind == 1;
  fault.cutToClient = kind == 1;
  fault.delay = kind == 2 ? std::chrono::milliseconds(200) : Duration{};
  const Duration time =
    this->random.Between(std::chrono::milliseconds(500), std::chrono::milliseconds(6000));
  this->Note("link fault " + std::to_string(kind) + " at entry " + std::to_string(aIndex) + ", " +
             std::to_string(ToMilliseconds(time)) + " ms");
  this->proxies[aIndex]->SetFault(fault);
  this->After(time, [this, aIndex] { this->proxies[aIndex]->SetFault({}); });
}

void Soak::InjectIntoWorker(std::size_t aIndex)
{
  const std::uint64_t kind = this->random.Below(3);
  if (kind == 0) {
    this->Note("worker " + std::to_string(aIndex) + " restarts");
    this->workers[aIndex]->Restart();
    return;
  }
  if (kind == 1) {
    this->Note("worker " + std::to_string(aIndex) + " leaves orders unanswered");
    this->workers[aIndex]->SetUnansweredCallShare(0.5);
    this->After(std::chrono::milliseconds(3000),
                [this, aIndex] { this->workers[aIndex]->SetUnansweredCallShare(0); });
    return;
  }
  this->Note("worker " + std::to_string(aIndex) + " carries out orders late and refuses others");
  this->workers[aIndex]->SetDelayedCallShare(0.3);
  this->After(std::chrono::milliseconds(700),
              [this, aIndex] { this->workers[aIndex]->SetOverloaded(true); });
  this->After(std::chrono::milliseconds(1400),
              [this, aIndex] { this->workers[aIndex]->SetOverloaded(false); });
  this->After(std::chrono::milliseconds(2000),
              [this, aIndex] { this->workers[aIndex]->SetDelayedCallShare(0); });
}

} // namespace oriolespread::soak
