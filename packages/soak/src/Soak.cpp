#include "Soak.h"

#include "oriolespread/cluster/LeaderElection.h"
#include "oriolespread/jobs/JobRows.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <filesystem>
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
constexpr double kGiveUpShare = 0.6;
constexpr Duration kLatestGiveUp = std::chrono::milliseconds(400);

// The workers and bounds of a mixed load.
constexpr Resources kMixCapacity{ 64000, 256000, 0 };
constexpr Duration kMixHeartbeat = std::chrono::milliseconds(1500);
constexpr Duration kMixStopTime = std::chrono::milliseconds(900);
constexpr Duration kMixCancelTime = std::chrono::seconds(4);
// Jobs a second that one worker carries.
constexpr double kMixRatePerWorker = 13.3 / 74;
constexpr Duration kMixWatchInterval = std::chrono::milliseconds(100);
// From the end of the load until all waits count again, whatever was disturbed.
constexpr Duration kMixSettleTime = std::chrono::seconds(14);
// From the end of the load until lasting jobs are cancelled at the earliest: the time above, and
// the longest time without a run that a lasting task may have.
constexpr Duration kMixFinishTime = kMixSettleTime + std::chrono::seconds(10);
// After the loss of all processes, they are back within the first time, requests are served within
// the second one, and callers go on for the third one from their return.
constexpr Duration kMixReturnTime = std::chrono::seconds(2);
constexpr Duration kMixServeTime = std::chrono::seconds(15);
constexpr Duration kMixGoOnTime = std::chrono::seconds(20);
constexpr double kMinServedShare = 0.25;

// With crashes of workers, the time from the start of the load to the first one.
constexpr Duration kFirstCrash = std::chrono::seconds(3);
// With pairs of faults, the time from the start of the load to the first pair.
constexpr Duration kFirstPair = std::chrono::seconds(2);
// Runs of this share of the jobs are longer than all leases.
constexpr double kLongShare = 0.25;
constexpr Duration kMinLongRun = std::chrono::seconds(6);
constexpr Duration kMaxLongRun = std::chrono::seconds(12);
constexpr Duration kShortRun = std::chrono::milliseconds(300);
// The payload of a long run, before its duration in milliseconds.
constexpr std::string_view kLongPayload = "long ";

Duration RunTimeOf(const std::string& aPayload)
{
  return aPayload.starts_with(kLongPayload)
           ? std::chrono::milliseconds(std::stoi(aPayload.substr(kLongPayload.size())))
           : kShortRun;
}

PromiseBounds BoundsOf(const SoakOptions& aOptions)
{
  PromiseBounds bounds;
  bounds.keepEnded = aOptions.keepEnded;
  if (aOptions.mix) {
    bounds.cancelTime = kMixCancelTime;
    bounds.onlyInTouch = true;
  }
  return bounds;
}

} // namespace

std::optional<SoakEnd> ParseSoakEnd(const std::string& aName)
{
  if (aName == "none") {
    return SoakEnd::None;
  }
  if (aName == "kill") {
    return SoakEnd::Kill;
  }
  return aName == "power" ? std::optional(SoakEnd::Power) : std::nullopt;
}

Soak::Soak(SoakOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , refusalRandom(this->options.seed)
  , giveUpRandom(this->options.seed)
  , crashRandom(this->options.seed)
  , pairRandom(this->options.seed)
  , endRandom(this->options.seed)
  , start(BootClock::now())
  , faultsEnd(this->start + kWarmUp + this->options.length)
  , promises(this->start, BoundsOf(this->options), [this] { return this->InTouchSince(); })
  , store(this->context, this->options.seed)
  , trafficEnd(this->faultsEnd + (this->options.end == SoakEnd::None
                                    ? Duration::zero()
                                    : kMixReturnTime + kMixGoOnTime))
{
  std::filesystem::create_directories(this->options.directory);
  // Agents find entries by their proxies.
  this->store.onRead = [this](const std::string& aTable, const std::string& aValue) {
    if (aTable == jobs::LeaderRow().table) {
      if (const auto record = cluster::DecodeLeaderRecord(aValue); record.has_value()) {
        this->epochs.insert(record->epoch);
        if (record->epoch == *this->epochs.rbegin()) {
          this->leader = record->entry;
        }
      }
    }
    std::string shown = aValue;
    const std::string direct = "127." + std::to_string(this->options.network) + ".1.";
    if (aTable == "members" && shown.starts_with(direct)) {
      shown.replace(direct.size() - 2, 1, "4");
    }
    return shown;
  };
  if (this->options.mix) {
    this->mixTraffic = std::make_unique<MixTraffic>(
      this->context,
      this->clients,
      this->promises,
      [this] { return this->InTouchSince(); },
      MixTrafficOptions{ this->options.seed,
                         kHost,
                         this->options.workers,
                         this->options.rate > 0
                           ? this->options.rate
                           : kMixRatePerWorker * static_cast<double>(this->options.workers),
                         this->trafficEnd,
                         this->options.keepEnded });
    this->waitCheck =
      std::make_unique<WaitCheck>(this->promises, [this] { return this->InTouchSince(); });
  }
  if (this->options.logStore) {
    this->storeLog.open(this->options.directory + "/store.log");
    this->store.onTransaction = [this](std::size_t aServer, const std::string& aBody, int aStatus) {
      this->storeLog << this->promises.TimeText(BootClock::now()) << " process " << aServer
                     << " status " << aStatus << " " << aBody << "\n";
    };
  }
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

std::string Soak::WriteSettings(platformwire::DaemonSettings aSettings, double aQuota)
{
  const std::string storeIp = this->Ip(3, this->processes.size());
  this->store.SetFault(this->store.Serve(storeIp, kStorePort), this->CalmStore());
  aSettings.dataCentre = "z";
  aSettings.internalPort = kLinkPort;
  aSettings.maxWorkerLease = this->options.maxWorkerLease;
  aSettings.stopGrace = std::chrono::seconds(6);
  aSettings.keepEnded = this->options.keepEnded;
  aSettings.drainTime = std::chrono::seconds(2);
  aSettings.storeAddress = ToString(SocketAddress{ storeIp, kStorePort });
  aSettings.cpuShare = aQuota;
  aSettings.cpuCores = aQuota > 0 ? 1 : 0;
  const std::string path = this->options.directory + "/" + aSettings.machine + ".toml";
  std::ofstream(path) << platformwire_testing::EncodeSettings(aSettings);
  return path;
}

double Soak::EntryQuota(std::size_t aIndex) const
{
  const std::vector<double>& shares = this->options.entryQuotas;
  return shares.empty() ? 0 : shares[aIndex % shares.size()];
}

void Soak::AddEntry(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = kEntryName + std::to_string(aIndex + 1);
  settings.ip = this->Ip(1, aIndex);
  settings.front = { settings.ip, kFrontPort };
  settings.ready = { settings.ip, kReadyPort };
  const double share = this->EntryQuota(aIndex);
  const std::string path = this->WriteSettings(settings, share);
  this->proxies.push_back(
    std::make_unique<LinkProxy>(this->context, this->Ip(4, aIndex), settings.ip, kLinkPort));
  this->proxies.back()->SetFault({ .delay = this->options.linkDelay });
  this->processes.push_back(std::make_unique<Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread", "serve-cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  if (share > 0) {
    this->quota.Add(*this->processes.back(), share);
  }
  this->restarts.push_back({});
  SocketAddress front = settings.front;
  if (this->options.end == SoakEnd::Power) {
    front.ip = this->Ip(5, aIndex);
    this->frontProxies.push_back(
      std::make_unique<LinkProxy>(this->context, front.ip, settings.ip, kFrontPort));
  }
  this->clients.push_back(*HttpClient::Create(this->context, ToString(front), {}, this->counters));
}

void Soak::AddWorker(std::size_t aIndex)
{
  platformwire::DaemonSettings settings;
  settings.machine = kAgentName + std::to_string(aIndex + 1);
  settings.ip = this->Ip(2, aIndex);
  settings.control = { settings.ip, kControlPort };
  settings.workerAddress = ToString(SocketAddress{ settings.ip, kWorkerPort });
  settings.workerService = kService;
  const std::string path = this->WriteSettings(settings, this->options.agentQuota);
  this->processes.push_back(std::make_unique<Process>(
    std::vector<std::string>{ this->options.programs + "/oriolespread-agent", "--cluster" },
    path,
    this->options.directory + "/" + settings.machine + ".log"));
  if (this->options.agentQuota > 0) {
    this->quota.Add(*this->processes.back(), this->options.agentQuota);
  }
  this->restarts.push_back({});
  platformwire_testing::StandInWorkerOptions options;
  options.id = "w-" + std::to_string(aIndex + 1);
  options.service = kService;
  options.ip = settings.ip;
  options.port = kWorkerPort;
  options.agentAddress = ToString(settings.control);
  options.maxLease = this->options.maxWorkerLease;
  if (this->options.workerCrashes || this->options.pairs) {
    options.runTimeOf = &RunTimeOf;
  }
  if (this->options.refusals) {
    options.runTime = kRunTimeWithRefusals;
  }
  if (this->options.giveUps) {
    options.runTime = kRunTimeWithGiveUps;
  }
  if (this->options.mix) {
    options.heartbeatInterval = kMixHeartbeat;
    options.capacity = kMixCapacity;
    options.maxStopTime = kMixStopTime;
    options.profile = [this](const std::string& aTask, std::uint64_t aRun) {
      return this->mixTraffic->Profile(aTask, aRun);
    };
  }
  platformwire_testing::StandInWorkerObserver observer;
  observer.started = [this, id = options.id](
                       const std::string& aTask, std::uint64_t aRun, const std::string& aPayload) {
    this->promises.OnStarted(id, aTask, aRun, aPayload);
  };
  observer.ended =
    [this, id = options.id](const std::string& aTask, std::uint64_t aRun, const std::string& aHow) {
      this->promises.OnEnded(id, aTask, aRun, aHow);
    };
  observer.resumed = [this, id = options.id](const std::string& aTask,
                                             std::uint64_t aRun,
                                             const std::string& aCheckpoint) {
    this->promises.OnResumed(id, aTask, aRun, aCheckpoint);
  };
  observer.saved =
    [this](const std::string& aTask, std::uint64_t aRun, const std::string& aCheckpoint) {
      this->promises.OnSaved(aTask, aRun, aCheckpoint);
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
  if (this->options.mix) {
    config.services[kService].checksAdmission = true;
    config.queues = MixTraffic::Queues(kHost, kService);
  } else {
    cluster::QueueConfig& queue = config.queues.emplace_back();
    queue.host = kHost;
    queue.pathPrefix = kPrefix;
    queue.timeoutMs = 3000;
    queue.policy.queue = "q";
    queue.policy.service = kService;
    queue.policy.maxAttempts = 3;
    queue.policy.stretch = 2.0;
    queue.policy.targetLatencyMs = 500;
  }
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  platformwire_testing::EncodeConfig(config));
}

std::vector<std::string> Soak::Run()
{
  for (const auto& process : this->processes) {
    process->Start();
  }
  this->quota.Start();
  this->RunFor(kWarmUp);
  this->KeepRunning();
  if (this->options.mix) {
    this->mixTraffic->Start();
    this->WatchMixSoon();
  } else {
    this->SubmitSoon();
  }
  if (!this->options.calm || this->options.lostAnswers > 0) {
    this->InjectSoon();
  }
  if (this->options.refusals) {
    this->RefuseSoon();
  }
  if (this->options.giveUps) {
    this->StopSoon();
    this->SlowStoreSoon();
  }
  if (this->options.workerCrashes) {
    this->CrashWorkersSoon(kFirstCrash);
  }
  if (this->options.pairs) {
    this->After(kFirstPair, [this] { this->InjectPair(); });
  }
  if (this->options.killLeader) {
    this->After(this->options.length / 3, [this] { this->KillLeader(); });
  }
  this->RunUntil(this->faultsEnd);
  if (this->options.mix) {
    this->RecoverMix();
  } else {
    this->Recover();
  }
  this->promises.CheckEnd();
  return this->promises.Broken();
}

void Soak::Recover()
{
  const Instant latest = BootClock::now() + kRecovery;
  while (BootClock::now() < latest && this->promises.OpenJobs() > 0) {
    for (const auto& [id, job] : this->promises.jobs) {
      if (job.accepted && !job.ended) {
        this->Ask(id);
      }
    }
    this->RunFor(std::chrono::milliseconds(500));
  }
}

void Soak::RecoverMix()
{
  this->waitCheck->SetSettledFrom(this->faultsEnd + kMixSettleTime);
  if (this->options.end != SoakEnd::None) {
    this->LoseAll();
  }
  this->RunUntil(std::max(this->trafficEnd, this->faultsEnd + kMixFinishTime));
  const Instant latest = BootClock::now() + kRecovery;
  while (BootClock::now() < latest && this->promises.OpenJobs() > 0) {
    this->mixTraffic->CancelLasting();
    this->RunFor(std::chrono::milliseconds(500));
  }
  if (this->options.end != SoakEnd::None) {
    this->CheckReturn();
  }
}

void Soak::CheckReturn()
{
  const ServedCount before = this->mixTraffic->CountServed(this->start + kWarmUp, this->faultsEnd);
  const Instant from = this->faultsEnd + kMixReturnTime + kMixServeTime;
  const ServedCount after = this->mixTraffic->CountServed(from, this->trafficEnd);
  const auto isServed = [](const ServedCount& aCount) {
    return static_cast<double>(aCount.served) >= kMinServedShare * static_cast<double>(aCount.sent);
  };
  this->returned = std::to_string(before.served) + " of " + std::to_string(before.sent) +
                   " requests served before the loss of all, " + std::to_string(after.served) +
                   " of " + std::to_string(after.sent) + " later than 15 s after it";
  if (isServed(before) && !isServed(after)) {
    this->promises.Break("service does not return: " + this->returned);
  }
}

void Soak::WatchMixSoon()
{
  const Instant due = BootClock::now() + kMixWatchInterval;
  this->After(kMixWatchInterval, [this, due] {
    this->latestTurn = std::max(this->latestTurn, BootClock::now() - due);
    this->promises.CheckCancelled();
    this->waitCheck->Check(this->Rooms());
    this->WatchMixSoon();
  });
}

std::vector<WorkerRoom> Soak::Rooms() const
{
  std::vector<WorkerRoom> rooms;
  for (const auto& worker : this->workers) {
    if (worker->IsSound()) {
      rooms.push_back({ worker->Id(), worker->Capacity(), worker->Reserved() });
    }
  }
  return rooms;
}

std::string Soak::MixSummary() const
{
  const MixTrafficCounts& counts = this->mixTraffic->Counts();
  return std::to_string(counts.accepted) + " accepted, " + std::to_string(counts.repeated) +
         " twice, " + std::to_string(counts.cancellations) + " cancelled, " +
         std::to_string(counts.unanswered) + " calls unanswered, slowest answer " +
         std::to_string(ToMilliseconds(counts.slowestAnswer)) + " ms, " +
         std::to_string(this->promises.Resumed()) + " resumed, " +
         std::to_string(this->waitCheck->WaitsOnFullWorkers()) +
         " waits on full workers, latest turn " + std::to_string(ToMilliseconds(this->latestTurn)) +
         " ms, latest look at quotas " + std::to_string(ToMilliseconds(this->quota.LongestGap())) +
         " ms, " + std::to_string(this->epochs.size()) + " leaders, longest time without a start " +
         std::to_string(ToMilliseconds(this->waitCheck->LongestStandstill())) +
         " ms, processor ms of entries " + this->EntryTimes() +
         (this->returned.empty() ? "" : ", " + this->returned);
}

std::string Soak::EntryTimes() const
{
  std::string text;
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    text += (index == 0 ? "" : " ") +
            std::to_string(ToMilliseconds(this->processes[index]->ProcessorTime()));
  }
  return text;
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
  jobs::JobSpec spec;
  spec.payload = "payload of " + id.str();
  for (std::uint32_t index = 0; index <= this->random.Below(3); ++index) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count = 1 + static_cast<std::uint32_t>(this->random.Below(6));
    step.demand = { 1000, 100, 0 };
    step.estimateMs = 300;
    if (index > 0) {
      step.after = { index - 1 };
    }
  }
  if ((this->options.workerCrashes || this->options.pairs) &&
      this->crashRandom.Chance(kLongShare)) {
    const Duration runTime = this->crashRandom.Between(kMinLongRun, kMaxLongRun);
    spec.steps.resize(1);
    spec.steps[0].estimateMs = static_cast<std::uint32_t>(ToMilliseconds(runTime));
    spec.payload =
      std::string(kLongPayload) + std::to_string(ToMilliseconds(runTime)) + " " + id.str();
  }
  job.SetSpec(std::move(spec));
  this->Post(id.str(), kPostTries);
  if (this->options.giveUps && this->giveUpRandom.Chance(kGiveUpShare)) {
    this->After(this->giveUpRandom.Between({}, kLatestGiveUp),
                [this, jobId = id.str()] { this->CancelJob(jobId); });
  }
}

void Soak::Post(const std::string& aId, int aTries)
{
  HttpRequest request{ "POST",
                       kPrefix + aId,
                       { { "Host", kHost } },
                       platformwire_testing::EncodeJob(this->promises.jobs.at(aId).spec) };
  this->AnyEntry().Call(
    std::move(request), kCallTimeout, [this, aId, aTries](const HttpResult& aResult) {
      SoakJob& known = this->promises.jobs.at(aId);
      if (aResult.IsAnswer(kHttpOk)) {
        known.accepted = true;
        known.acceptedAt = BootClock::now();
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
  job.cancelSentAt = BootClock::now();
  job.cancelledAt = job.cancelSentAt + std::chrono::hours(1);
  this->AnyEntry().Call({ "DELETE", kPrefix + aId, { { "Host", kHost } }, {} },
                        kCallTimeout,
                        [this, aId](const HttpResult& aResult) {
                          if (aResult.IsAnswer(kHttpOk) || aResult.IsAnswer(kHttpGone)) {
                            this->promises.jobs.at(aId).cancelledAt = BootClock::now();
                          }
                        });
}

} // namespace oriolespread::soak
