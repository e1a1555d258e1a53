#include "StopSoak.h"

#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <csignal>
#include <map>
#include <stdexcept>
#include <thread>

namespace oriolespread::soak {

namespace {

// From the first request to the first signal.
constexpr Duration kBeforeFirstStop = std::chrono::milliseconds(1500);
constexpr Duration kReadyTime = std::chrono::seconds(10);
// The time in which an agent sets its signal handlers; entries were seen to take up to 30 ms.
constexpr Duration kAgentStartTime = std::chrono::milliseconds(300);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
// The platform kills a process that runs for this long after SIGTERM.
constexpr Duration kKillTime = std::chrono::milliseconds(6000);
// The time until the load balancer notices that an entry is not ready.
constexpr Duration kBalancerTime = std::chrono::milliseconds(2000);
// For how long callers go on after the last round.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
// For how long runs of a cancelled job are watched.
constexpr Duration kWatchCancelled = std::chrono::milliseconds(5000);
// By when all accepted jobs have to have ended.
constexpr Duration kJobTime = std::chrono::seconds(30);
constexpr Duration kAskTimeout = std::chrono::seconds(4);
constexpr Duration kLongTimeout = std::chrono::seconds(10);
constexpr std::int64_t kNormalTimeoutMs = 3000;
// A calm store answers within these times.
constexpr Duration kStoreDelay = std::chrono::milliseconds(10);
constexpr Duration kStoreDelaySpread = std::chrono::milliseconds(20);
constexpr Duration kSlowStoreDelay = std::chrono::milliseconds(200);
constexpr Duration kSlowStoreSpread = std::chrono::milliseconds(2800);

} // namespace

std::optional<StopPlan> ParseStopPlan(const std::string& aName)
{
  static const std::map<std::string, StopPlan> kPlans{
    { "used", StopPlan::Used },     { "entries", StopPlan::Entries },
    { "groups", StopPlan::Groups }, { "leader", StopPlan::Leader },
    { "agents", StopPlan::Agents }, { "none", StopPlan::None },
    { "mixed", StopPlan::Mixed }
  };
  const auto plan = kPlans.find(aName);
  return plan == kPlans.end() ? std::nullopt : std::optional(plan->second);
}

std::optional<SlowStore> ParseSlowStore(const std::string& aName)
{
  static const std::map<std::string, SlowStore> kKinds{ { "none", SlowStore::None },
                                                        { "stopping", SlowStore::Stopping },
                                                        { "entries", SlowStore::Entries } };
  const auto kind = kKinds.find(aName);
  return kind == kKinds.end() ? std::nullopt : std::optional(kind->second);
}

StopSoak::StopSoak(StopSoakOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , start(BootClock::now())
  , checks(this->start)
  , cluster(this->context, this->ClusterOptions())
{
  if (this->options.entries == 0 || this->options.entries > kMaxSoakEntries) {
    throw std::runtime_error("the number of entries is out of range");
  }
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    this->fronts.push_back(*HttpClient::Create(
      this->context, ToString(this->cluster.FrontOf(index)), {}, this->counters));
    this->readies.push_back(*HttpClient::Create(
      this->context, ToString(this->cluster.ReadyOf(index)), {}, this->counters));
  }
  for (std::size_t index = 0; index < this->options.callers; ++index) {
    this->AddCaller(index);
  }
}

SoakClusterOptions StopSoak::ClusterOptions()
{
  SoakClusterOptions made;
  made.programs = this->options.programs;
  made.directory = this->options.directory;
  made.seed = this->options.seed;
  made.entries = this->options.entries;
  made.groups = this->options.groups;
  made.workers = this->options.workers;
  made.network = this->options.network;
  made.queueTimeoutMs =
    this->options.longTimeouts ? ToMilliseconds(kLongTimeout) : kNormalTimeoutMs;
  made.stopGrace = kKillTime;
  made.calmStore.delay = kStoreDelay;
  made.calmStore.delaySpread = kStoreDelaySpread;
  made.runTimeOf = JobCaller::RunTimeOf;
  made.observerOf = [this](const std::string& aWorker) {
    platformwire_testing::StandInWorkerObserver observer;
    observer.started = [this, aWorker](const std::string& aTask,
                                       std::uint64_t /*aRun*/,
                                       const std::string& /*aPayload*/) {
      this->checks.runs.push_back(
        { aTask.substr(0, aTask.find('.')), aTask, aWorker, BootClock::now(), std::nullopt });
    };
    observer.ended = [this, aWorker](const std::string& aTask,
                                     std::uint64_t /*aRun*/,
                                     const std::string& /*aHow*/) {
      for (auto run = this->checks.runs.rbegin(); run != this->checks.runs.rend(); ++run) {
        if (run->task == aTask && run->worker == aWorker && !run->endedAt.has_value()) {
          run->endedAt = BootClock::now();
          return;
        }
      }
    };
    observer.acknowledged = [](const std::string&, std::uint64_t, const std::string&) {};
    return observer;
  };
  return made;
}

void StopSoak::AddCaller(std::size_t aIndex)
{
  constexpr std::uint64_t kSeedStep = 1000;
  JobCallerOptions made;
  made.index = aIndex;
  made.seed = this->options.seed * kSeedStep + aIndex;
  for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
    const SocketAddress address = this->cluster.FrontOf(entry);
    made.entries.emplace_back(asio::ip::make_address(address.ip), address.port);
  }
  const bool together = this->options.plan == StopPlan::Used;
  made.home = together ? 0 : aIndex % this->options.entries;
  made.nextInTurn = together;
  made.longTimeout = this->options.longTimeouts ? kLongTimeout : Duration::zero();
  made.repeatCancels = this->options.repeatCancels;
  this->callers.push_back(
    std::make_unique<JobCaller>(this->callerContext, std::move(made), this->directives));
}

std::vector<std::string> StopSoak::Run()
{
  this->cluster.Start();
  for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
    if (!this->WaitUntilReady(entry)) {
      throw std::runtime_error("an entry is not ready after its start");
    }
  }
  this->MeasureLag(this->context, this->worstLagMs);
  this->MeasureLag(this->callerContext, this->worstCallerLagMs);
  for (const auto& caller : this->callers) {
    caller->Start();
  }
  std::thread thread([this] {
    this->callerContext.run();
    this->callersEnded = true;
  });
  this->RunFor(kBeforeFirstStop);
  this->PlayRounds();
  this->FinishCallers(thread);
  this->FollowJobs();
  this->checks.Check(this->callers);
  return this->checks.Broken();
}

void StopSoak::RunFor(Duration aTime)
{
  const Instant end = BootClock::now() + aTime;
  for (Instant now = BootClock::now(); now < end; now = BootClock::now()) {
    this->context.run_one_for(std::min<Duration>(kPollInterval, end - now));
  }
}

void StopSoak::After(Duration aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aTime);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

void StopSoak::MeasureLag(asio::io_context& aContext, std::atomic<std::int64_t>& aWorst)
{
  const Instant due = BootClock::now() + kPollInterval;
  auto timer = std::make_shared<asio::steady_timer>(aContext, kPollInterval);
  timer->async_wait([this, timer, due, &aContext, &aWorst](asio::error_code aError) {
    if (aError || this->directives.finish) {
      return;
    }
    aWorst = std::max(aWorst.load(), ToMilliseconds(BootClock::now() - due));
    this->MeasureLag(aContext, aWorst);
  });
}

void StopSoak::Note(const std::string& aEvent)
{
  this->events.push_back(this->checks.At(BootClock::now()) + ": " + aEvent);
}

std::string StopSoak::Figures() const
{
  return this->checks.Figures() + "; loops up to " + std::to_string(this->worstLagMs) +
         " ms late, callers' " + std::to_string(this->worstCallerLagMs) + " ms";
}

bool StopSoak::IsReady(std::size_t aEntry)
{
  auto result = std::make_shared<std::optional<bool>>();
  this->readies[aEntry]->Call(
    { "GET", platformwire::kReadyPath, {}, {} },
    std::chrono::milliseconds(500),
    [result](const HttpResult& aResult) { *result = aResult.IsAnswer(kHttpOk); });
  while (!result->has_value()) {
    this->RunFor(kPollInterval);
  }
  return **result;
}

bool StopSoak::WaitUntilReady(std::size_t aEntry)
{
  const Instant latest = BootClock::now() + kReadyTime;
  while (!this->IsReady(aEntry)) {
    if (BootClock::now() >= latest) {
      return false;
    }
    this->RunFor(kPollInterval);
  }
  return true;
}

// ---- planned work

void StopSoak::PlayRounds()
{
  this->roundsEnd = BootClock::now() + this->options.length;
  this->playing = true;
  this->ReloadSoon();
  this->PutConfigSoon();
  for (std::size_t round = 0; BootClock::now() < this->roundsEnd; ++round) {
    const std::vector<std::size_t> targets = this->ChooseTargets(this->options.plan, round);
    if (!targets.empty()) {
      this->StopAndStart(targets);
    }
    this->RunFor(
      this->random.Between(std::chrono::milliseconds(300), std::chrono::milliseconds(800)));
    this->CheckOthersRun();
  }
  this->playing = false;
}

std::vector<std::size_t> StopSoak::ChooseTargets(StopPlan aPlan, std::size_t aRound)
{
  const std::size_t entries = this->options.entries;
  switch (aPlan) {
    case StopPlan::Used:
    case StopPlan::Entries:
      return { aRound % entries };
    case StopPlan::Groups:
      return this->cluster.EntriesOfGroup(aRound % this->options.groups);
    case StopPlan::Leader:
      return { this->cluster.Leader().value_or(0) };
    case StopPlan::Agents:
      return { entries + aRound % this->options.workers };
    case StopPlan::None:
      return {};
    case StopPlan::Mixed:
      break;
  }
  const std::uint64_t number = this->random.Next();
  switch (this->random.Below(5)) {
    case 0:
      return this->ChooseTargets(StopPlan::Entries, number);
    case 1:
      return this->ChooseTargets(StopPlan::Groups, number);
    case 2:
      return this->ChooseTargets(StopPlan::Leader, number);
    case 3:
      return this->ChooseTargets(StopPlan::Agents, number);
    default: {
      std::vector<std::size_t> both = this->ChooseTargets(StopPlan::Leader, number);
      both.push_back(entries + number % this->options.workers);
      return both;
    }
  }
}

void StopSoak::SetSlowStore(const std::vector<std::size_t>& aTargets, bool aSlow)
{
  if (this->options.slowStore == SlowStore::None) {
    return;
  }
  std::set<std::size_t> processes(aTargets.begin(), aTargets.end());
  if (this->options.slowStore == SlowStore::Entries) {
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
      processes.insert(entry);
    }
  }
  this->Note(aSlow ? "the store becomes slow" : "the store is calm again");
  for (const std::size_t process : processes) {
    if (aSlow) {
      this->cluster.SlowStore(process, kSlowStoreDelay, kSlowStoreSpread);
    } else {
      this->cluster.CalmStore(process);
    }
  }
}

void StopSoak::StopAndStart(const std::vector<std::size_t>& aTargets)
{
  this->SetSlowStore(aTargets, true);
  if (this->options.slowStore != SlowStore::None) {
    this->RunFor(this->random.Between(Duration::zero(), std::chrono::milliseconds(1000)));
  }
  std::vector<std::size_t> present;
  for (const std::size_t target : aTargets) {
    present.push_back(this->checks.stops.size());
    this->stopped.insert(target);
    this->checks.stops.push_back(
      { target, this->cluster.NameOf(target), BootClock::now(), std::nullopt, 0, std::nullopt });
    this->cluster.ProcessAt(target).Signal(SIGTERM);
    this->Note(this->cluster.NameOf(target) + " gets SIGTERM");
    if (this->options.secondSignal) {
      this->SendSecondSignal(present.back());
    }
    if (this->options.balanced && target < this->options.entries) {
      this->After(kBalancerTime, [this, target] {
        this->directives.avoided[target] = this->stopped.contains(target);
      });
    }
  }
  this->WaitForExit(present);
  this->directives.settle = BootClock::now() >= this->roundsEnd;
  this->SetSlowStore(aTargets, false);
  this->RunFor(
    this->random.Between(std::chrono::milliseconds(100), std::chrono::milliseconds(500)));
  for (const std::size_t target : aTargets) {
    this->cluster.ProcessAt(target).Start();
  }
  for (const std::size_t index : present) {
    PlannedStop& stop = this->checks.stops[index];
    const bool isEntry = stop.process < this->options.entries;
    if (!isEntry) {
      this->RunFor(kAgentStartTime);
    }
    if (!isEntry || this->WaitUntilReady(stop.process)) {
      stop.readyAt = BootClock::now();
    }
    // A signal to a process that has not set its handlers yet ends it.
    this->stopped.erase(stop.process);
    if (isEntry) {
      this->directives.avoided[stop.process] = false;
    }
  }
}

void StopSoak::SendSecondSignal(std::size_t aStop)
{
  const Duration time =
    this->random.Between(std::chrono::milliseconds(50), std::chrono::milliseconds(4500));
  this->After(time, [this, aStop] {
    const PlannedStop& stop = this->checks.stops[aStop];
    if (!stop.exitedAt.has_value() && this->stopped.contains(stop.process)) {
      this->cluster.ProcessAt(stop.process).Signal(SIGTERM);
      this->Note(stop.name + " gets a second SIGTERM");
    }
  });
}

void StopSoak::WaitForExit(const std::vector<std::size_t>& aStops)
{
  std::set<std::size_t> open(aStops.begin(), aStops.end());
  while (!open.empty()) {
    this->RunFor(kPollInterval);
    std::erase_if(open, [this](std::size_t aIndex) {
      PlannedStop& stop = this->checks.stops[aIndex];
      Process& process = this->cluster.ProcessAt(stop.process);
      if (!process.IsRunning()) {
        stop.exitedAt = BootClock::now();
        stop.exitStatus = process.ExitStatus();
        this->Note(stop.name + " has exited");
        return true;
      }
      if (BootClock::now() - stop.signalAt <= kKillTime) {
        return false;
      }
      this->Note(stop.name + " is killed");
      process.Signal(SIGKILL);
      while (process.IsRunning()) {
        this->RunFor(kPollInterval);
      }
      return true;
    });
  }
}

void StopSoak::ReloadSoon()
{
  this->After(this->random.Exponential(std::chrono::milliseconds(700)), [this] {
    if (!this->playing) {
      return;
    }
    const std::size_t process = this->random.Below(this->cluster.Processes());
    if (!this->stopped.contains(process)) {
      this->cluster.ProcessAt(process).Signal(SIGHUP);
    }
    this->ReloadSoon();
  });
}

void StopSoak::PutConfigSoon()
{
  this->After(this->random.Exponential(std::chrono::milliseconds(1000)), [this] {
    if (this->playing) {
      this->cluster.PutConfig();
      this->PutConfigSoon();
    }
  });
}

void StopSoak::CheckOthersRun()
{
  for (std::size_t process = 0; process < this->cluster.Processes(); ++process) {
    if (!this->cluster.ProcessAt(process).IsRunning()) {
      this->checks.unplannedEnds.push_back(
        this->cluster.NameOf(process) + " before " + this->checks.At(BootClock::now()) +
        ", wait status " + std::to_string(this->cluster.ProcessAt(process).ExitStatus()));
      this->cluster.ProcessAt(process).Start();
    }
  }
}

// ---- the end of a run

void StopSoak::FinishCallers(std::thread& aThread)
{
  this->directives.settle = true;
  this->RunFor(kSettleTime);
  this->directives.finish = true;
  while (!this->callersEnded) {
    this->RunFor(kPollInterval);
  }
  aThread.join();
}

void StopSoak::FollowJobs()
{
  Instant watchUntil = BootClock::now();
  for (const auto& caller : this->callers) {
    for (const auto& [id, job] : caller->Jobs()) {
      if (job.accepted && !job.ended) {
        this->openJobs.insert(id);
      }
      if (job.cancelAnswered) {
        watchUntil = std::max(watchUntil, job.cancelAnsweredAt + kWatchCancelled);
      }
    }
  }
  const Instant latest = BootClock::now() + kJobTime;
  while (BootClock::now() < watchUntil || (BootClock::now() < latest && !this->openJobs.empty())) {
    const std::set<std::string> asked = this->openJobs;
    for (const std::string& id : asked) {
      this->Ask(id);
    }
    this->RunFor(std::chrono::milliseconds(500));
  }
  this->checks.openJobs.assign(this->openJobs.begin(), this->openJobs.end());
}

void StopSoak::Ask(const std::string& aJob)
{
  HttpClient& entry = *this->fronts[this->random.Below(this->fronts.size())];
  entry.Call({ "GET", SoakCluster::kPrefix + aJob, { { "Host", SoakCluster::kHost } }, {} },
             kAskTimeout,
             [this, aJob](const HttpResult& aResult) {
               if (aResult.IsAnswer(kHttpGone) && this->openJobs.erase(aJob) > 0) {
                 this->checks.unknownJobs.push_back(aJob);
               } else if (aResult.IsAnswer(kHttpOk)) {
                 const std::string state = platformwire_testing::DecodeState(aResult.response.body);
                 if (!state.empty() && state != "queued" && state != "running") {
                   this->openJobs.erase(aJob);
                 }
               }
             });
}

} // namespace oriolespread::soak
