// A simulation of entries, agents, workers, their links and the platform on one clock.
#pragma once

#include "oriolespread/tasks/JobInbox.h"
#include "oriolespread/tasks/SimProcesses.h"

#include <ctime>
#include <memory>

namespace oriolespread::sim {

class SimWorld
{
public:
  explicit SimWorld(const WorldOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , store(this->queue, this->random, aOptions.defects)
  {
    this->store.onApplied = [this](const Transaction& aTransaction) {
      this->checks.OnApplied(aTransaction);
    };
    this->links.resize(aOptions.entries, std::vector<Link>(aOptions.agents));
    this->entries.resize(aOptions.entries);
    this->agents.resize(aOptions.agents);
    for (std::size_t index = 0; index < aOptions.agents; ++index) {
      AgentProcess& agent = this->agents[index];
      agent.clock = this->MakeRandomClock();
      agent.worker = std::make_unique<SimWorker>(
        this->queue, this->random, this->checks, agent.clock, aOptions.capacity);
      this->StartAgent(index);
    }
    for (std::size_t index = 0; index < aOptions.entries; ++index) {
      this->entries[index].clock = this->MakeRandomClock();
      this->StartEntry(index);
    }
  }

  // Probabilities that a message is dropped or duplicated, and the longest delay, on all links.
  double drop = 0.0;
  double duplicate = 0.0;
  Duration messageDelay = milliseconds(4);
  // Probability of an eviction or change of grant in each placement round. Applies to placers
  // created after it is set.
  double evictionProbability = 0.0;

  EventQueue queue;
  WorldOptions options;
  RandomSource random;
  SimChecks checks;
  SimStore store;
  std::vector<EntryProcess> entries;
  std::vector<AgentProcess> agents;
  std::vector<std::vector<Link>> links;
  // Whether to count the bytes that agents send and the processor time that owners use.
  bool measureUsage = false;
  std::uint64_t agentBytes = 0;
  std::clock_t ownerProcessorTime = 0;

  void RunFor(Duration aTime)
  {
    this->queue.RunUntil(this->queue.Now() + aTime,
                         [this] { return !this->checks.violation.empty(); });
  }

  void StartEntry(std::size_t aIndex)
  {
    EntryProcess& entry = this->entries[aIndex];
    if (entry.alive) {
      return;
    }
    entry.alive = true;
    ++entry.incarnation;
    entry.pausedUntil = {};
    entry.heldEpoch = Epoch{};
    const OwnerOptions owner = MakeOwnerOptions(this->options, aIndex, entry.incarnation);
    entry.counters = std::make_unique<Counters>();
    entry.owner = std::make_unique<Owner>(
      owner,
      [this] {
        return std::make_unique<RandomEvictionPlacer>(this->random.Next(),
                                                      this->evictionProbability);
      },
      *entry.counters);
    this->TickEntry(aIndex, entry.incarnation);
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
      this->Connect(aIndex, agent);
    }
  }

  void StartAgent(std::size_t aIndex)
  {
    AgentProcess& agent = this->agents[aIndex];
    if (agent.alive) {
      return;
    }
    agent.alive = true;
    ++agent.incarnation;
    agent.pausedUntil = {};
    const RunnerOptions runner = MakeRunnerOptions(this->options, aIndex, agent.incarnation);
    agent.counters = std::make_unique<Counters>();
    agent.runner =
      std::make_unique<TaskRunner>(runner, agent.clock.At(this->queue.Now()), *agent.counters);
    this->TickAgent(aIndex, agent.incarnation);
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->Connect(entry, aIndex);
    }
  }

  void KillEntry(std::size_t aIndex)
  {
    this->entries[aIndex].Kill();
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
      this->Disconnect(aIndex, agent);
    }
  }

  // Shuts an entry down gracefully: it releases its shard if it can, and exits.
  void StopEntry(std::size_t aIndex)
  {
    const EntryProcess& entry = this->entries[aIndex];
    if (entry.alive && this->queue.Now() >= entry.pausedUntil) {
      this->TryRelease(aIndex);
    }
    this->KillEntry(aIndex);
  }

  // Returns whether the entry has released its shard; see ShardOwner::Release.
  bool TryRelease(std::size_t aIndex)
  {
    EntryProcess& entry = this->entries[aIndex];
    OwnerEffects effects;
    const bool released = entry.owner->Release(entry.clock.At(this->queue.Now()), effects);
    entry.heldEpoch = released ? Epoch{} : entry.heldEpoch;
    for (const OwnerEffect& effect : effects) {
      this->store.Execute(std::get<CommitCall>(effect), [](const OwnerEvent&) {});
    }
    return released;
  }

  void KillAgent(std::size_t aIndex)
  {
    this->agents[aIndex].Kill();
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->Disconnect(entry, aIndex);
    }
  }

  // Crashes the machine of an agent: the agent, the worker and all attempts on it are lost.
  void KillWorker(std::size_t aIndex)
  {
    this->KillAgent(aIndex);
    this->agents[aIndex].worker->Crash();
  }

  // Cuts or restores the link between an entry and an agent.
  void SetLinkCut(std::size_t aEntry, std::size_t aAgent, bool aCut)
  {
    this->links[aEntry][aAgent].cut = aCut;
    if (aCut) {
      this->Disconnect(aEntry, aAgent);
    } else {
      this->Connect(aEntry, aAgent);
    }
  }

  // Submits a job directly, without delays or lost requests. Returns false if the store is down.
  bool Submit(const std::string& aJob,
              std::uint32_t aTasks,
              Duration aLength,
              const Resources& aNeed,
              TaskClass aClass = TaskClass::Batch)
  {
    JobSpec spec;
    spec.job = JobId{ aJob };
    spec.organisation = OrganisationId{ "org" };
    spec.program = absl::StrCat(ToMilliseconds(aLength));
    spec.kind = "kind";
    spec.taskClass = aClass;
    spec.tasks = aTasks;
    spec.resources = aNeed;
    return this->Commit(MakeSubmitTransaction(this->NextId(), ShardId{ 0 }, spec));
  }

  // Cancels the listed tasks, or all tasks if none is listed, as directly as Submit.
  bool Cancel(const std::string& aJob, std::vector<std::uint32_t> aTasks)
  {
    const TransactionId id = this->NextId();
    const CancelRequest request{ id.Value(), JobId{ aJob }, std::move(aTasks) };
    return this->Commit(MakeCancelTransaction(id, ShardId{ 0 }, request));
  }

  // Returns the entry in the role Owning, or null if there is none.
  EntryProcess* FindOwner()
  {
    for (EntryProcess& entry : this->entries) {
      if (entry.alive && entry.owner->Role() == OwnerRole::Owning) {
        return &entry;
      }
    }
    return nullptr;
  }

  std::size_t RunningTasks() const
  {
    std::size_t running = 0;
    for (const AgentProcess& agent : this->agents) {
      running += agent.worker->Running();
    }
    return running;
  }

private:
  LocalClock MakeRandomClock()
  {
    // Half of the clocks have the largest drift allowed, which is the critical case for leases.
    const double edge = this->random.Chance(0.5) ? 1.0 : -1.0;
    const double share = this->random.Chance(0.5) ? edge : 2.0 * this->random.Unit() - 1.0;
    return { this->options.drift ? 1.0 + 0.02 * share : 1.0,
             this->random.Between(seconds(100), seconds(5000)) };
  }
  TransactionId NextId() { return TransactionId{ absl::StrCat("caller.", ++this->lastId) }; }
  bool Commit(const Transaction& aTransaction)
  {
    return !this->store.down && this->store.Apply(aTransaction).status == CommitStatus::Committed;
  }

  // Calls `aFunction` as soon as the process is not paused, unless it has been killed since.
  void RunInProcess(Process& aProcess, std::uint64_t aIncarnation, std::function<void()> aFunction)
  {
    if (!aProcess.alive || aProcess.incarnation != aIncarnation) {
      return;
    }
    if (this->queue.Now() < aProcess.pausedUntil) {
      this->queue.At(aProcess.pausedUntil,
                     [this, &aProcess, aIncarnation, run = std::move(aFunction)] {
                       this->RunInProcess(aProcess, aIncarnation, run);
                     });
      return;
    }
    aFunction();
  }

  void TickEntry(std::size_t aIndex, std::uint64_t aIncarnation)
  {
    EntryProcess& entry = this->entries[aIndex];
    this->RunInProcess(entry, aIncarnation, [this, aIndex, aIncarnation, &entry] {
      this->DispatchToOwner(aIndex, OwnerTick{});
      this->queue.At(entry.clock.QueueTimeAt(entry.owner->NextWakeup()),
                     [this, aIndex, aIncarnation] { this->TickEntry(aIndex, aIncarnation); });
    });
  }

  void TickAgent(std::size_t aIndex, std::uint64_t aIncarnation)
  {
    AgentProcess& agent = this->agents[aIndex];
    this->RunInProcess(agent, aIncarnation, [this, aIndex, aIncarnation, &agent] {
      this->DispatchToRunner(aIndex, RunnerTick{});
      const Duration next = agent.clock.QueueTimeAt(agent.runner->NextWakeup());
      this->queue.At(std::min(next, this->queue.Now() + milliseconds(200)),
                     [this, aIndex, aIncarnation] { this->TickAgent(aIndex, aIncarnation); });
    });
  }

  void DispatchToOwner(std::size_t aIndex, const OwnerEvent& aEvent)
  {
    EntryProcess& entry = this->entries[aIndex];
    OwnerEffects effects;
    const std::clock_t before = this->measureUsage ? std::clock() : 0;
    entry.owner->Handle(entry.clock.At(this->queue.Now()), aEvent, effects);
    this->ownerProcessorTime += this->measureUsage ? std::clock() - before : 0;
    this->CheckOwnershipLoss(entry);
    const std::uint64_t incarnation = entry.incarnation;
    const SimStore::Reply reply = [this, aIndex, incarnation](const OwnerEvent& aReply) {
      this->RunInProcess(this->entries[aIndex], incarnation, [this, aIndex, aReply] {
        this->DispatchToOwner(aIndex, aReply);
      });
    };
    for (const OwnerEffect& effect : effects) {
      if (const auto* send = std::get_if<SendToAgent>(&effect)) {
        this->SendFromEntry(aIndex, *send);
        continue;
      }
      if (entry.storeUnreachable) {
        this->queue.After(milliseconds(50),
                          [reply, effect] { reply(MakeUnreachableResult(effect)); });
        continue;
      }
      std::visit(
        [&](const auto& aCall) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(aCall)>, SendToAgent>) {
            this->store.Execute(aCall, reply);
          }
        },
        effect);
    }
  }

  // An owner may only step down when a later epoch exists; otherwise it was displaced by its own
  // write.
  void CheckOwnershipLoss(EntryProcess& aEntry)
  {
    const OwnerRole role = aEntry.owner->Role();
    const bool holds = role != OwnerRole::Observing && role != OwnerRole::Claiming;
    if (!holds && aEntry.heldEpoch.Value() != 0) {
      const Row* row = this->store.table.Find(OwnerKey(ShardId{ 0 }));
      const auto owner = row == nullptr ? std::nullopt : ParseOwnerRow(row->value);
      if (!owner.has_value() || owner->epoch <= aEntry.heldEpoch) {
        this->checks.Fail("owner stepped down although no later epoch exists");
      }
    }
    aEntry.heldEpoch = holds ? aEntry.owner->CurrentEpoch() : Epoch{};
  }

  void DispatchToRunner(std::size_t aIndex, const RunnerEvent& aEvent)
  {
    AgentProcess& agent = this->agents[aIndex];
    RunnerEffects effects;
    agent.runner->Handle(agent.clock.At(this->queue.Now()), aEvent, effects);
    for (const RunnerEffect& effect : effects) {
      if (const auto* send = std::get_if<SendToEntry>(&effect)) {
        this->SendFromAgent(aIndex, *send);
      } else {
        this->DispatchToWorker(aIndex, std::get<WorkerCall>(effect));
      }
    }
  }

  // Calls reach the worker in order and within maxWorkerCallTime, even if the agent is killed
  // meanwhile.
  void DispatchToWorker(std::size_t aIndex, const WorkerCall& aCall)
  {
    AgentProcess& agent = this->agents[aIndex];
    const std::uint64_t incarnation = agent.incarnation;
    const Instant now = agent.clock.At(this->queue.Now());
    this->queue.After(milliseconds(10), [this, aIndex, incarnation, aCall, now] {
      RunnerEvent result = ExecuteWorkerCall(*this->agents[aIndex].worker, aCall, now);
      this->queue.After(milliseconds(10), [this, aIndex, incarnation, result] {
        this->RunInProcess(this->agents[aIndex], incarnation, [this, aIndex, result] {
          this->DispatchToRunner(aIndex, result);
        });
      });
    });
  }

  // Links.

  void Connect(std::size_t aEntry, std::size_t aAgent)
  {
    Link& link = this->links[aEntry][aAgent];
    if (link.up || link.cut || !this->entries[aEntry].alive || !this->agents[aAgent].alive) {
      return;
    }
    link.up = true;
    ++link.connection;
    const Announce announce = MakeAnnounce(this->options, aAgent, this->agents[aAgent].incarnation);
    this->Deliver(aEntry, aAgent, true, [this, aEntry, announce] {
      this->DispatchToOwner(aEntry, AgentConnected{ announce });
    });
    this->Deliver(aEntry, aAgent, false, [this, aEntry, aAgent] {
      this->DispatchToRunner(aAgent, EntryConnected{ EntryId{ absl::StrCat("entry", aEntry) } });
    });
  }

  void Disconnect(std::size_t aEntry, std::size_t aAgent)
  {
    Link& link = this->links[aEntry][aAgent];
    if (!link.up) {
      return;
    }
    link.up = false;
    ++link.connection;
    const AgentId agent{ absl::StrCat("agent", aAgent) };
    const EntryId entry{ absl::StrCat("entry", aEntry) };
    this->RunInProcess(
      this->entries[aEntry], this->entries[aEntry].incarnation, [this, aEntry, agent] {
        this->DispatchToOwner(aEntry, AgentDisconnected{ agent });
      });
    this->RunInProcess(
      this->agents[aAgent], this->agents[aAgent].incarnation, [this, aAgent, entry] {
        this->DispatchToRunner(aAgent, EntryDisconnected{ entry });
      });
  }

  // Delivers after a delay, unless the connection is lost until then.
  void Deliver(std::size_t aEntry,
               std::size_t aAgent,
               bool aToEntry,
               const std::function<void()>& aFunction)
  {
    const std::uint64_t connection = this->links[aEntry][aAgent].connection;
    const Duration delay = this->random.Between(this->messageDelay / 8, this->messageDelay);
    this->queue.After(delay, [this, aEntry, aAgent, aToEntry, connection, aFunction] {
      if (this->links[aEntry][aAgent].connection != connection) {
        return;
      }
      Process& process =
        aToEntry ? static_cast<Process&>(this->entries[aEntry]) : this->agents[aAgent];
      this->RunInProcess(process, process.incarnation, aFunction);
    });
  }

  void Transmit(std::size_t aEntry,
                std::size_t aAgent,
                bool aToEntry,
                const std::function<void()>& aFunction)
  {
    if (!this->links[aEntry][aAgent].up || this->random.Chance(this->drop)) {
      return;
    }
    this->Deliver(aEntry, aAgent, aToEntry, aFunction);
    if (this->random.Chance(this->duplicate)) {
      this->Deliver(aEntry, aAgent, aToEntry, aFunction);
    }
  }

  void SendFromEntry(std::size_t aEntry, const SendToAgent& aSend)
  {
    const std::size_t agent = std::stoul(aSend.agent.Value().substr(5));
    this->Transmit(aEntry, agent, false, [this, aEntry, agent, message = aSend.message] {
      this->DispatchToRunner(agent,
                             EntryMessage{ EntryId{ absl::StrCat("entry", aEntry) }, message });
    });
  }

  void SendFromAgent(std::size_t aAgent, const SendToEntry& aSend)
  {
    const std::size_t entry = std::stoul(aSend.entry.Value().substr(5));
    if (this->measureUsage) {
      this->agentBytes += EncodeMessage(aSend.message).size();
    }
    this->Transmit(entry, aAgent, true, [this, entry, aAgent, message = aSend.message] {
      this->DispatchToOwner(entry,
                            AgentMessage{ AgentId{ absl::StrCat("agent", aAgent) }, message });
    });
  }

  std::uint64_t lastId = 0;
};

} // namespace oriolespread::sim
