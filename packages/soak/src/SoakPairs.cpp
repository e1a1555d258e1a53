// Pairs of faults: the second one falls into the recovery from the first one.
#include "Soak.h"

#include <csignal>

namespace oriolespread::soak {

namespace {

// From the first fault to the second one.
constexpr Duration kMinGap = std::chrono::milliseconds(200);
constexpr Duration kMaxGap = std::chrono::milliseconds(4000);
constexpr Duration kMinTime = std::chrono::milliseconds(1000);
constexpr Duration kMaxTime = std::chrono::milliseconds(4000);
// Longer than the leader waits for an ordinary lease (5.55 s), so that it starts tasks elsewhere.
constexpr Duration kMinMachineCut = std::chrono::milliseconds(6500);
constexpr Duration kMaxMachineCut = std::chrono::milliseconds(9000);
// From the end of one pair to the next. A crashed worker has to answer again before its next crash,
// because the stand-in ends both crashes when the first one ends.
constexpr Duration kMinPause = std::chrono::milliseconds(1000);
constexpr Duration kMaxPause = std::chrono::milliseconds(2500);
constexpr Duration kDownTime = std::chrono::milliseconds(600);
constexpr Duration kMaxAnswerDelay = std::chrono::milliseconds(1500);
constexpr double kLostAnswers = 0.4;

} // namespace

// The first fault of a pair is of one of the first four kinds, the second of one of the last five.
enum class Soak::PairFault : std::uint8_t
{
  WorkersCrash,
  EntryCutOff,
  AgentsKilled,
  LeaderLost,
  MachinesCutOff,
  AnswersLost,
  ConnectionsRefused,
};

void Soak::InjectPair()
{
  const auto first = static_cast<PairFault>(this->pairRandom.Below(4));
  PairFault second = first;
  while (second == first) {
    second = static_cast<PairFault>(2 + this->pairRandom.Below(5));
  }
  const Duration gap = this->pairRandom.Between(kMinGap, kMaxGap);
  const Duration firstTime = this->pairRandom.Between(gap / 2, gap + kMinTime);
  const bool isCut = second == PairFault::MachinesCutOff;
  const Duration secondTime =
    this->pairRandom.Between(isCut ? kMinMachineCut : kMinTime, isCut ? kMaxMachineCut : kMaxTime);
  if (BootClock::now() + gap + secondTime > this->faultsEnd) {
    return;
  }
  std::vector<std::size_t> machines{ this->pairRandom.Below(this->workers.size()) };
  while (first != PairFault::AgentsKilled && machines.size() < this->workers.size() / 2) {
    machines.push_back((machines.back() + 1) % this->workers.size());
  }
  const std::string name = "pair " + std::to_string(++this->lastPair);
  this->Note(name + ", first fault", gap + secondTime);
  this->InjectPairFault(first, machines, firstTime);
  this->After(gap, [this, name, second, machines, secondTime] {
    this->Note(name + ", second fault");
    this->InjectPairFault(second, machines, secondTime);
  });
  this->After(gap + secondTime + this->pairRandom.Between(kMinPause, kMaxPause),
              [this] { this->InjectPair(); });
}

void Soak::InjectPairFault(PairFault aKind,
                           const std::vector<std::size_t>& aMachines,
                           Duration aTime)
{
  const std::string duration = " for " + std::to_string(ToMilliseconds(aTime)) + " ms";
  const auto setStoreFault = [this, aTime](std::size_t aProcess,
                                           const platformwire_testing::StoreFault& aFault) {
    this->store.SetFault(aProcess, aFault);
    this->After(aTime, [this, aProcess] { this->store.SetFault(aProcess, this->CalmStore()); });
  };
  if (aKind == PairFault::LeaderLost) {
    const bool isKilled = this->pairRandom.Chance(0.5);
    const auto index = this->Leader();
    if (isKilled || !index.has_value()) {
      this->KillLeader();
      return;
    }
    this->Note("process " + std::to_string(*index) + ", the leader, is paused" + duration, aTime);
    this->processes[*index]->SetPaused(true);
    this->After(aTime, [this, index] { this->processes[*index]->SetPaused(false); });
  } else if (aKind == PairFault::EntryCutOff) {
    const std::size_t index = this->pairRandom.Below(this->options.entries);
    this->Note("entry " + std::to_string(index) + " is cut off from the store" + duration, aTime);
    this->cutEntry = index;
    setStoreFault(index, { .silent = true });
    this->After(aTime, [this] { this->cutEntry.reset(); });
  } else if (aKind == PairFault::AnswersLost) {
    this->Note("answers of the store are lost" + duration, aTime);
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      if (this->cutEntry != index) {
        setStoreFault(index, { .lost = kLostAnswers });
      }
    }
  } else {
    for (const std::size_t index : aMachines) {
      this->InjectPairFaultIntoMachine(aKind, index, aTime);
    }
  }
}

void Soak::InjectPairFaultIntoMachine(PairFault aKind, std::size_t aIndex, Duration aTime)
{
  const std::string worker = "worker " + std::to_string(aIndex);
  const std::string duration = std::to_string(ToMilliseconds(aTime)) + " ms";
  if (aKind == PairFault::WorkersCrash) {
    const Duration answerDelay = this->pairRandom.Between({}, kMaxAnswerDelay);
    this->Note(worker + " crashes and answers again after " +
                 std::to_string(ToMilliseconds(kDownTime + answerDelay)) + " ms",
               kDownTime + answerDelay);
    this->workers[aIndex]->Crash(kDownTime, answerDelay);
  } else if (aKind == PairFault::AgentsKilled) {
    this->Note("the agent of " + worker + " is killed");
    this->processes[this->options.entries + aIndex]->Signal(SIGKILL);
  } else if (aKind == PairFault::MachinesCutOff) {
    this->Note(worker + " and its agent are cut off for " + duration, aTime);
    this->SetAgentCut(aIndex, true);
    this->After(aTime, [this, aIndex] { this->SetAgentCut(aIndex, false); });
  } else {
    this->Note(worker + " refuses connections for " + duration, aTime);
    this->workers[aIndex]->SetListening(false);
    this->After(aTime, [this, aIndex] { this->workers[aIndex]->SetListening(true); });
  }
}

} // namespace oriolespread::soak
