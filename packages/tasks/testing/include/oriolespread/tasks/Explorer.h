// Runs a simulation with random faults from a seed and checks its invariants:
//
//   const ExplorerResult result = Explore(seed, {});
//   CHECK(result.violation == "");
#pragma once

#include "oriolespread/tasks/SimWorld.h"

#include <set>

namespace oriolespread::sim {

// Faults are injected during this period; at its end all of them are repaired.
constexpr Duration kFaultPeriod = seconds(60);
// Every job must finish within this time after the faults are repaired: 30 s plus clock drift
// margins until leases of an earlier owner have expired (horizon 20 s, task lease 10 s), 3 s to
// claim the shard, and at most 50 s for the remaining work on 3 workers.
constexpr Duration kMaxRecoveryTime = seconds(120);

struct ExplorerResult
{
  std::string violation;
  std::uint64_t starts = 0;
  std::size_t completed = 0;
  std::size_t evictions = 0;
};

class Explorer
{
public:
  Explorer(std::uint64_t aSeed, const InjectedDefects& aDefects)
    : world(MakeOptions(aSeed, aDefects))
    , random(aSeed + 1'000'003)
  {
    this->world.evictionProbability = this->random.Chance(0.5) ? 0.01 : 0.0;
    for (AgentProcess& agent : this->world.agents) {
      agent.worker->failureRate = this->random.Chance(0.3) ? 0.05 : 0.0;
    }
  }

  ExplorerResult Run()
  {
    for (std::size_t job = 0; job < 6; ++job) {
      this->world.queue.At(this->RandomTimeUpTo(kFaultPeriod),
                           [this, job] { this->SubmitJob(job); });
    }
    const std::uint64_t faults = 4 + this->random.Below(30);
    for (std::uint64_t fault = 0; fault < faults; ++fault) {
      this->world.queue.At(this->RandomTimeUpTo(kFaultPeriod), [this] { this->InjectFault(); });
    }
    this->world.RunFor(kFaultPeriod);
    this->RepairAll();
    for (Duration waited{}; waited < kMaxRecoveryTime && !this->AllFinished();
         waited += seconds(2)) {
      this->world.RunFor(seconds(2));
    }
    if (!this->AllFinished()) {
      this->world.checks.Fail("a job did not finish: " + this->DescribeUnfinished());
    }
    // Leaves time to stop attempts that the owner does not know: it must open a session with their
    // agent first, and may have to repeat the stop command once.
    this->world.RunFor(seconds(15));
    if (this->world.RunningTasks() > 0) {
      this->world.checks.Fail("a task is still running after all jobs have finished");
    }
    return { this->world.checks.violation,
             this->world.checks.starts,
             this->world.checks.completed,
             this->world.checks.evictions };
  }

  SimWorld world;

private:
  static WorldOptions MakeOptions(std::uint64_t aSeed, const InjectedDefects& aDefects)
  {
    RandomSource random(aSeed);
    WorldOptions options;
    options.seed = aSeed;
    options.entries = 2 + random.Below(2);
    options.agents = 3 + random.Below(3);
    options.horizon = seconds(20);
    options.checkpointPeriod = seconds(3);
    options.defects = aDefects;
    return options;
  }

  Duration RandomTimeUpTo(Duration aTime) { return this->random.Between({}, aTime); }

  void SubmitJob(std::size_t aNumber)
  {
    const std::string name = absl::StrCat("job", aNumber);
    const bool service = this->random.Chance(0.15);
    const auto tasks = static_cast<std::uint32_t>(1 + this->random.Below(service ? 2 : 12));
    const Resources need{ static_cast<std::int64_t>(200 + this->random.Below(1300)), 512, 0 };
    const Duration length =
      service ? seconds(100'000) : this->random.Between(milliseconds(300), seconds(12));
    const TaskClass taskClass = service ? TaskClass::LatencyCritical : TaskClass::Batch;
    if (this->world.Submit(name, tasks, length, need, taskClass)) {
      this->jobs.insert(name);
    }
    if (service) {
      this->services.insert(name);
    } else if (this->random.Chance(0.4)) {
      this->world.queue.After(this->RandomTimeUpTo(seconds(10)),
                              [this, name, tasks] { this->CancelFirstTasks(name, tasks); });
    }
  }

  // Cancels the first tasks of a job, up to a random index. If there are none, the list is empty
  // and the whole job is cancelled.
  void CancelFirstTasks(const std::string& aJob, std::uint32_t aTasks)
  {
    std::vector<std::uint32_t> cancelled;
    for (std::uint32_t index = 0; index < aTasks && this->random.Chance(0.7); ++index) {
      cancelled.push_back(index);
    }
    this->world.Cancel(aJob, cancelled);
  }

  void InjectFault()
  {
    const std::size_t entry = this->random.Below(this->world.entries.size());
    const std::size_t agent = this->random.Below(this->world.agents.size());
    // Some faults last longer than the task lease of 10 s and the horizon of 20 s.
    const Duration length = this->random.Exponential(seconds(this->random.Chance(0.2) ? 20 : 4));
    switch (this->random.Below(14)) {
      case 0:
        // With every third seed, entries shut down gracefully instead of being killed.
        if (this->world.options.seed % 3 == 0) {
          this->world.StopEntry(entry);
        } else {
          this->world.KillEntry(entry);
        }
        this->RunAfter(length, [this, entry] { this->world.StartEntry(entry); });
        break;
      case 1:
        this->world.KillAgent(agent);
        this->RunAfter(length, [this, agent] { this->world.StartAgent(agent); });
        break;
      case 2:
        this->world.KillWorker(agent);
        this->RunAfter(length, [this, agent] { this->world.StartAgent(agent); });
        break;
      case 3:
        this->Pause(this->world.entries[entry], length);
        break;
      case 4:
        this->Pause(this->world.agents[agent], length);
        break;
      case 5:
        this->world.SetLinkCut(entry, agent, true);
        this->RunAfter(length,
                       [this, entry, agent] { this->world.SetLinkCut(entry, agent, false); });
        break;
      case 6:
        this->SetAllLinksCut(agent, true);
        this->RunAfter(length + seconds(6), [this, agent] { this->SetAllLinksCut(agent, false); });
        break;
      case 7:
        this->world.store.down = true;
        this->RunAfter(length, [this] { this->world.store.down = false; });
        break;
      case 8:
        this->world.store.loss = 0.3;
        this->world.store.delay = this->random.Between(milliseconds(5), seconds(2));
        this->RunAfter(length, [this] { this->RestoreStore(); });
        break;
      case 9:
        this->KillAllEntries(length);
        break;
      case 10:
        this->CancelRandomTasks();
        break;
      case 11:
      case 12:
        this->IsolateEntry(entry, agent, length);
        break;
      default:
        this->world.drop = 0.2;
        this->world.duplicate = 0.2;
        this->world.messageDelay = this->random.Between(milliseconds(4), seconds(4));
        this->RunAfter(length, [this] { this->RestoreMessages(); });
        break;
    }
  }

  void Pause(Process& aProcess, Duration aLength)
  {
    // A pause is never shortened: events already scheduled for its end would run after later ones.
    aProcess.pausedUntil =
      std::max(aProcess.pausedUntil, std::min(this->world.queue.Now() + aLength, kFaultPeriod));
  }
  // Kills all entries at once, as in a power failure, and often one or two machines as well.
  void KillAllEntries(Duration aLength)
  {
    for (std::size_t entry = 0; entry < this->world.entries.size(); ++entry) {
      this->world.KillEntry(entry);
      this->RunAfter(this->random.Exponential(aLength),
                     [this, entry] { this->world.StartEntry(entry); });
    }
    for (std::size_t agent = 0; agent < 2 && this->random.Chance(0.7); ++agent) {
      this->world.KillWorker(agent);
      this->RunAfter(aLength, [this, agent] { this->world.StartAgent(agent); });
    }
  }
  // Cuts an entry off from the store, and an agent off from most or all other entries.
  void IsolateEntry(std::size_t aEntry, std::size_t aAgent, Duration aLength)
  {
    this->world.entries[aEntry].storeUnreachable = true;
    this->RunAfter(aLength,
                   [this, aEntry] { this->world.entries[aEntry].storeUnreachable = false; });
    for (std::size_t other = 0; other < this->world.entries.size(); ++other) {
      if (other != aEntry && this->random.Chance(0.8)) {
        this->world.SetLinkCut(other, aAgent, true);
        this->RunAfter(aLength + seconds(20),
                       [this, other, aAgent] { this->world.SetLinkCut(other, aAgent, false); });
      }
    }
  }
  void CancelRandomTasks()
  {
    for (const std::string& job : this->jobs) {
      for (std::uint32_t index = 0; index < 12; ++index) {
        if (this->services.count(job) == 0 && this->random.Chance(0.3)) {
          this->world.Cancel(job, { index });
        }
      }
    }
  }

  void RunAfter(Duration aDelay, std::function<void()> aAction)
  {
    this->world.queue.After(aDelay, std::move(aAction));
  }
  void SetAllLinksCut(std::size_t aAgent, bool aCut)
  {
    for (std::size_t entry = 0; entry < this->world.entries.size(); ++entry) {
      this->world.SetLinkCut(entry, aAgent, aCut);
    }
  }
  void RestoreStore()
  {
    this->world.store.loss = 0.0;
    this->world.store.delay = milliseconds(5);
  }
  void RestoreMessages()
  {
    this->world.drop = 0.0;
    this->world.duplicate = 0.0;
    this->world.messageDelay = milliseconds(4);
  }

  void RepairAll()
  {
    this->RestoreStore();
    this->RestoreMessages();
    this->world.store.down = false;
    this->world.evictionProbability = 0.0;
    for (std::size_t agent = 0; agent < this->world.agents.size(); ++agent) {
      this->SetAllLinksCut(agent, false);
      this->world.StartAgent(agent);
    }
    for (std::size_t entry = 0; entry < this->world.entries.size(); ++entry) {
      this->world.entries[entry].storeUnreachable = false;
      this->world.StartEntry(entry);
    }
    for (const std::string& service : this->services) {
      this->world.Cancel(service, {});
    }
  }

  bool AllFinished() { return this->DescribeUnfinished().empty(); }

  std::string DescribeUnfinished()
  {
    if (!this->world.checks.violation.empty()) {
      return {};
    }
    const EntryProcess* owner = this->world.FindOwner();
    if (owner == nullptr) {
      return "no owner";
    }
    for (const std::string& job : this->jobs) {
      const auto view = owner->owner->FindJob(JobId{ job });
      if (!view.has_value() || !view->job->finished || !view->durable) {
        return Describe(job, view);
      }
    }
    return {};
  }

  static std::string Describe(const std::string& aJob, const std::optional<JobView>& aView)
  {
    std::string text = aJob + (aView.has_value() ? "" : " is unknown");
    for (std::size_t index = 0; aView.has_value() && index < aView->job->tasks.size(); ++index) {
      const TaskRecord& task = aView->job->tasks[index];
      if (!IsFinal(task.state) || task.hasAttempt) {
        absl::StrAppend(&text, " [", index, " ", std::string(ToString(task.state)), " ");
        absl::StrAppend(&text, task.token.epoch.Value(), ".", task.token.counter);
        absl::StrAppend(
          &text, task.hasAttempt ? " on " : " without attempt, last on ", task.worker.Value(), "]");
      }
    }
    return text;
  }

  RandomSource random;
  std::set<std::string> jobs;
  std::set<std::string> services;
};

inline ExplorerResult Explore(std::uint64_t aSeed, const InjectedDefects& aDefects)
{
  return Explorer(aSeed, aDefects).Run();
}

} // namespace oriolespread::sim
