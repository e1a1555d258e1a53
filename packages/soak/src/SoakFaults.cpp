// The faults that the soak injects, and when machines count as disturbed by them.
#include "Soak.h"

#include <csignal>

namespace oriolespread::soak {

namespace {

// After a disturbance of a machine, it counts as in touch again after this time.
constexpr Duration kContactTime = std::chrono::seconds(4);
// Faults of a mixed load come in phases. The gaps leave time for the bounds that hold only while
// all machines are in touch.
constexpr Duration kMinFaultPhase = std::chrono::seconds(1);
constexpr Duration kMaxFaultPhase = std::chrono::seconds(4);
constexpr Duration kMinFaultGap = std::chrono::seconds(9);
constexpr Duration kMaxFaultGap = std::chrono::seconds(14);
// From the start of the load to the first phase.
constexpr Duration kMinFirstFault = std::chrono::seconds(2);
constexpr Duration kMaxFirstFault = std::chrono::seconds(5);
// How long a process that was started again, or that was told to stop, counts as disturbed.
constexpr Duration kProcessStartTime = std::chrono::milliseconds(500);
constexpr Duration kProcessStopTime = std::chrono::seconds(4);
// Below the time after which a leader that cannot renew its row is replaced.
constexpr Duration kMaxStoreLateness = std::chrono::milliseconds(600);
// After the loss of all processes, each starts again at a time of its own within the spread.
constexpr Duration kLossTime = std::chrono::seconds(1);
constexpr Duration kLossSpread = std::chrono::seconds(1);

// From one crash of workers to the next, and its parts from the crash on.
constexpr Duration kCrashInterval = std::chrono::seconds(14);
constexpr Duration kCrashDownTime = std::chrono::milliseconds(600);
constexpr Duration kMaxAnswerDelay = std::chrono::milliseconds(1500);
constexpr Duration kMinAgentCut = std::chrono::milliseconds(2000);
constexpr Duration kMaxAgentCut = std::chrono::milliseconds(2600);
constexpr Duration kAgentCutTime = std::chrono::seconds(9);

} // namespace

Instant Soak::InTouchSince() const
{
  return this->options.calm && !this->options.refusals && !this->options.giveUps &&
             this->options.lostAnswers == 0 && !this->options.killLeader &&
             !this->options.workerCrashes && !this->options.pairs &&
             this->options.end == SoakEnd::None
           ? this->start
           : this->disturbedUntil + kContactTime;
}

void Soak::Disturb(Duration aTime)
{
  this->disturbedUntil = std::max(this->disturbedUntil, BootClock::now() + aTime);
}

void Soak::Note(const std::string& aFault, Duration aTime)
{
  this->Disturb(aTime);
  this->faults.push_back(std::to_string(ToMilliseconds(BootClock::now() - this->start)) +
                         " ms: " + aFault);
}

void Soak::KeepRunning()
{
  const Instant now = BootClock::now();
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    if (this->processes[index]->IsRunning()) {
      this->restarts[index] = {};
      continue;
    }
    this->Disturb(kProcessStartTime);
    if (now < this->downUntil) {
      this->restarts[index] = this->downUntil + this->endRandom.Between({}, kLossSpread);
    } else if (this->restarts[index] == Instant{}) {
      this->restarts[index] = this->options.crashKillsLeader
                                ? now
                                : now + this->random.Between(std::chrono::milliseconds(100),
                                                             std::chrono::milliseconds(1200));
    } else if (now >= this->restarts[index]) {
      this->processes[index]->Start();
    }
  }
  if (this->options.calm && this->options.giveUps) {
    this->promises.CheckCancelled();
  }
  this->After(std::chrono::milliseconds(50), [this] { this->KeepRunning(); });
}

void Soak::InjectSoon()
{
  if (this->options.mix && BootClock::now() >= this->faultPhaseEnd) {
    const Duration gap = this->faultPhaseEnd == Instant{}
                           ? this->random.Between(kMinFirstFault, kMaxFirstFault)
                           : this->random.Between(kMinFaultGap, kMaxFaultGap);
    this->faultPhaseStart = BootClock::now() + gap;
    this->faultPhaseEnd =
      this->faultPhaseStart + this->random.Between(kMinFaultPhase, kMaxFaultPhase);
    this->After(gap, [this] {
      if (this->options.lostAnswers > 0 && BootClock::now() < this->faultsEnd) {
        this->LoseAnswers();
      }
      this->InjectSoon();
    });
    return;
  }
  this->After(this->random.Exponential(std::chrono::milliseconds(500)), [this] {
    if (BootClock::now() < this->faultsEnd) {
      if (!this->options.calm) {
        this->Inject();
      }
      this->InjectSoon();
    }
  });
}

void Soak::LoseAnswers()
{
  const Instant end = std::min(this->faultPhaseEnd, this->faultsEnd);
  const Duration time = end - BootClock::now();
  this->Note("answers of the store are lost for " + std::to_string(ToMilliseconds(time)) + " ms",
             time);
  this->losesAnswers = true;
  const auto setAll = [this] {
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      this->store.SetFault(index, this->CalmStore());
    }
  };
  setAll();
  this->After(time, [this, setAll] {
    this->losesAnswers = false;
    setAll();
  });
}

platformwire_testing::StoreFault Soak::CalmStore() const
{
  platformwire_testing::StoreFault fault;
  fault.delay = this->options.storeDelay;
  fault.lost = this->losesAnswers ? this->options.lostAnswers : 0;
  return fault;
}

std::optional<std::size_t> Soak::Leader() const
{
  for (std::size_t index = 0; index < this->options.entries; ++index) {
    if (this->leader == kEntryName + std::to_string(index + 1)) {
      return index;
    }
  }
  return std::nullopt;
}

void Soak::KillLeader()
{
  if (const auto index = this->Leader(); index.has_value()) {
    this->Note("process " + std::to_string(*index) + ", the leader, is killed");
    this->processes[*index]->Signal(SIGKILL);
  }
}

void Soak::LoseAll()
{
  const bool power = this->options.end == SoakEnd::Power;
  this->Note(power ? "all machines lose power" : "all processes are killed at the end",
             kLossTime + kLossSpread);
  this->downUntil = BootClock::now() + kLossTime;
  if (power) {
    for (const auto* group : { &this->proxies, &this->frontProxies }) {
      for (const auto& proxy : *group) {
        proxy->Abandon();
      }
    }
  }
  for (const auto& process : this->processes) {
    process->Signal(SIGKILL);
  }
  if (power) {
    for (const auto& worker : this->workers) {
      worker->Restart();
    }
  }
}

void Soak::RefuseSoon()
{
  this->After(this->refusalRandom.Exponential(std::chrono::milliseconds(500)), [this] {
    if (BootClock::now() >= this->faultsEnd) {
      return;
    }
    if (this->options.mix && !this->options.calm && BootClock::now() < this->faultPhaseStart) {
      this->RefuseSoon();
      return;
    }
    const std::size_t index = this->refusalRandom.Below(this->workers.size());
    const Duration time =
      this->refusalRandom.Between(std::chrono::milliseconds(400), std::chrono::milliseconds(1500));
    this->Note("worker " + std::to_string(index) + " refuses connections for " +
                 std::to_string(ToMilliseconds(time)) + " ms",
               time);
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
    this->Note("process " + std::to_string(index) + " is stopped", kProcessStopTime);
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
    this->Note("the store is slow for " + std::to_string(ToMilliseconds(time)) + " ms", time);
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      platformwire_testing::StoreFault fault = this->CalmStore();
      fault.maxLateness = kMaxStoreLateness;
      this->store.SetFault(index, fault);
      this->After(time, [this, index] { this->store.SetFault(index, this->CalmStore()); });
    }
    this->SlowStoreSoon();
  });
}

void Soak::CrashWorkersSoon(Duration aTime)
{
  this->After(aTime, [this] {
    if (BootClock::now() + kMaxAgentCut + kAgentCutTime < this->faultsEnd) {
      this->CrashWorkers();
      this->CrashWorkersSoon(kCrashInterval);
    }
  });
}

void Soak::CrashWorkers()
{
  const std::size_t count = this->workers.size();
  const std::size_t first = this->crashRandom.Below(count);
  for (std::size_t offset = 0; offset < count / 2; ++offset) {
    const std::size_t index = (first + offset) % count;
    const Duration answerDelay = this->crashRandom.Between({}, kMaxAnswerDelay);
    const Duration cutAfter = this->crashRandom.Between(kMinAgentCut, kMaxAgentCut);
    this->Note("worker " + std::to_string(index) + " crashes and answers again after " +
                 std::to_string(ToMilliseconds(kCrashDownTime + answerDelay)) +
                 " ms, its agent is cut off after " + std::to_string(ToMilliseconds(cutAfter)) +
                 " ms",
               cutAfter + kAgentCutTime);
    this->workers[index]->Crash(kCrashDownTime, answerDelay);
    this->After(cutAfter, [this, index] { this->SetAgentCut(index, true); });
    this->After(cutAfter + kAgentCutTime, [this, index] { this->SetAgentCut(index, false); });
  }
  if (this->options.crashKillsLeader) {
    this->After(kMinAgentCut, [this] { this->KillLeader(); });
  }
}

void Soak::SetAgentCut(std::size_t aWorker, bool aCut)
{
  for (const auto& proxy : this->proxies) {
    proxy->SetAgentCut(kAgentName + std::to_string(aWorker + 1), aCut);
  }
  platformwire_testing::StoreFault fault = this->CalmStore();
  fault.silent = aCut;
  this->store.SetFault(this->options.entries + aWorker, fault);
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
      this->Note(name + " is stopped", kProcessStopTime);
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
      this->Note(name + " is paused for " + std::to_string(ToMilliseconds(time)) + " ms", time);
      this->processes[aIndex]->SetPaused(true);
      this->After(time, [this, aIndex] { this->processes[aIndex]->SetPaused(false); });
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
               std::to_string(ToMilliseconds(time)) + " ms",
             time);
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    if (all || index == aIndex) {
      this->store.SetFault(index, fault);
      this->After(time, [this, index] { this->store.SetFault(index, this->CalmStore()); });
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
               std::to_string(ToMilliseconds(time)) + " ms",
             time);
  this->proxies[aIndex]->SetFault(fault);
  this->After(time, [this, aIndex] {
    this->proxies[aIndex]->SetFault({ .delay = this->options.linkDelay });
  });
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
    this->Note("worker " + std::to_string(aIndex) + " leaves orders unanswered",
               std::chrono::seconds(3));
    this->workers[aIndex]->SetUnansweredCallShare(0.5);
    this->After(std::chrono::milliseconds(3000),
                [this, aIndex] { this->workers[aIndex]->SetUnansweredCallShare(0); });
    return;
  }
  this->Note("worker " + std::to_string(aIndex) + " carries out orders late and refuses others",
             std::chrono::milliseconds(3500));
  this->workers[aIndex]->SetDelayedCallShare(0.3);
  this->After(std::chrono::milliseconds(700),
              [this, aIndex] { this->workers[aIndex]->SetOverloaded(true); });
  this->After(std::chrono::milliseconds(1400),
              [this, aIndex] { this->workers[aIndex]->SetOverloaded(false); });
  this->After(std::chrono::milliseconds(2000),
              [this, aIndex] { this->workers[aIndex]->SetDelayedCallShare(0); });
}

} // namespace oriolespread::soak
