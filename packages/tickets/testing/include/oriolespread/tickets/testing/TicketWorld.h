// Entries, agents and a table service on a virtual clock, with the faults that their links and the
// service can have. Equal seeds give equal runs.
//
//   TicketWorld world(options);
//   const TicketCallId call = world.Submit(0, ticket);
//   world.RunFor(std::chrono::seconds(5));
//   world.Answer(call);
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/platform/MemoryTable.h"
#include "oriolespread/tickets/ConfigView.h"
#include "oriolespread/tickets/TicketBook.h"
#include "oriolespread/tickets/testing/SampleTickets.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace oriolespread::testing {

struct WorldOptions
{
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::size_t agents = 3;
  std::size_t linksPerAgent = 2;
  Duration reportInterval = std::chrono::milliseconds(200);
  Duration storeDelay = std::chrono::milliseconds(4);
  // One-way delay between two processes; entries come first, then agents.
  std::function<Duration(std::size_t, std::size_t)> linkDelay = [](std::size_t, std::size_t) {
    return Duration(std::chrono::microseconds(3'500));
  };
  bool measureBytes = false;
};

// Probabilities, unless said otherwise.
struct WorldFaults
{
  bool storeDown = false;
  double scanFails = 0.0;
  double commitUnavailable = 0.0;
  // The answer is lost and the transaction has no effect, has taken effect, or takes effect later.
  double commitLost = 0.0;
  double commitAnswerLost = 0.0;
  double commitDelayed = 0.0;
  double fateUnknown = 0.0;
  double callSwallowed = 0.0;
  double messageLost = 0.0;
  double messageTwice = 0.0;
  // Up to this much is added to the delay of each message, so that messages overtake one another.
  Duration jitter = Duration::zero();
  // The first update to each agent on each link for each number is lost.
  bool firstPushesLost = false;
  bool notificationsLost = false;
};

class TicketWorld
{
public:
  explicit TicketWorld(WorldOptions aOptions)
    : options(std::move(aOptions))
    , random(this->options.seed)
    , entries(this->options.entries)
    , agents(this->options.agents)
  {
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->StartEntry(entry);
    }
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
      this->ScheduleReport(agent, this->random.Between(Duration(1), this->options.reportInterval));
    }
  }

  WorldFaults faults;
  MemoryTable table;
  Counters counters;
  std::size_t scans = 0;
  std::size_t commits = 0;
  // Bytes of updates delivered to all agents.
  std::size_t updateBytes = 0;
  std::vector<LogAnswer> logAnswers;
  std::vector<StateAnswer> stateAnswers;
  // Called when a process has reached a number: entries come first, then agents.
  std::function<void(std::size_t, TicketNumber)> onReached;

  Instant Now() const { return this->now; }
  TicketBook& Book(std::size_t aEntry) { return *this->entries[aEntry].book; }
  ConfigView& Agent(std::size_t aAgent) { return this->agents[aAgent]; }

  TicketCallId Submit(std::size_t aEntry, ChangeTicket aTicket)
  {
    const TicketCallId call = ++this->lastCall;
    this->Handle(aEntry, SubmitTicket{ call, std::move(aTicket) });
    return call;
  }

  // Returns null while the call is not answered.
  const SubmitAnswer* Answer(TicketCallId aCall) const
  {
    const auto it = this->answers.find(aCall);
    return it == this->answers.end() ? nullptr : &it->second;
  }

  void StopEntry(std::size_t aEntry) { this->entries[aEntry].book.reset(); }

  void StartEntry(std::size_t aEntry)
  {
    Entry& entry = this->entries[aEntry];
    TicketBookOptions bookOptions;
    bookOptions.entry = EntryId{ "e" + std::to_string(aEntry) };
    bookOptions.incarnation = Incarnation{ ++entry.incarnation };
    entry.book = std::make_unique<TicketBook>(bookOptions, this->counters);
    entry.reached = TicketNumber{};
    this->Handle(aEntry, TicketTick{});
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
      if (this->IsLinked(agent, aEntry)) {
        this->Handle(aEntry, TicketAgentConnected{ this->AgentName(agent) });
      }
    }
  }

  void Handle(std::size_t aEntry, const TicketEvent& aEvent)
  {
    Entry& entry = this->entries[aEntry];
    if (entry.book == nullptr) {
      return;
    }
    TicketEffects effects;
    entry.book->Handle(this->now, aEvent, effects);
    this->Reached(aEntry, entry.reached, entry.book->View().Number());
    this->CarryOut(aEntry, std::move(effects));
    const Instant wakeup = std::max(this->now, entry.book->NextWakeup());
    if (wakeup < entry.tick) {
      entry.tick = wakeup;
      this->At(wakeup, [this, aEntry, wakeup] { this->Tick(aEntry, wakeup); });
    }
  }

  void RunFor(Duration aDuration)
  {
    const Instant end = this->now + aDuration;
    while (!this->queue.empty() && this->queue.front().at <= end) {
      std::pop_heap(this->queue.begin(), this->queue.end());
      const Item item = std::move(this->queue.back());
      this->queue.pop_back();
      this->CheckProgress(item.at);
      this->now = item.at;
      item.run();
    }
    this->now = end;
  }

  void At(Instant aAt, std::function<void()> aRun)
  {
    this->queue.push_back({ aAt, ++this->lastItem, std::move(aRun) });
    std::push_heap(this->queue.begin(), this->queue.end());
  }

private:
  struct Item
  {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Item& aOther) const
    {
      return std::tie(aOther.at, aOther.order) < std::tie(this->at, this->order);
    }
  };

  struct Entry
  {
    std::unique_ptr<TicketBook> book;
    std::uint64_t incarnation = 0;
    Instant tick = Instant::max();
    TicketNumber reached;
  };

  AgentId AgentName(std::size_t aAgent) const { return AgentId{ "a" + std::to_string(aAgent) }; }

  // Links go to consecutive entries, so that each entry has the same number of them.
  bool IsLinked(std::size_t aAgent, std::size_t aEntry) const
  {
    const std::size_t count = this->entries.size();
    return (aEntry + count - aAgent % count) % count < this->options.linksPerAgent;
  }

  void CheckProgress(Instant aAt)
  {
    this->sameInstant = aAt == this->now ? this->sameInstant + 1 : 0;
    if (this->sameInstant > 1'000'000) {
      throw std::logic_error("events do not end at one instant");
    }
  }

  void Reached(std::size_t aProcess, TicketNumber& aReached, TicketNumber aNumber)
  {
    if (aNumber < aReached) {
      throw std::logic_error("a number was lowered");
    }
    if (aNumber > aReached) {
      aReached = aNumber;
      if (this->onReached) {
        this->onReached(aProcess, aNumber);
      }
    }
  }

  void Tick(std::size_t aEntry, Instant aAt)
  {
    Entry& entry = this->entries[aEntry];
    if (entry.tick == aAt) {
      entry.tick = Instant::max();
      this->Handle(aEntry, TicketTick{});
    }
  }

  void ScheduleReport(std::size_t aAgent, Duration aAfter)
  {
    this->At(this->now + aAfter, [this, aAgent] {
      const TicketNumber number = this->agents[aAgent].Number();
      for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->IsLinked(aAgent, entry)) {
          this->Send(entry, this->entries.size() + aAgent, [this, aAgent, entry, number] {
            this->Handle(entry, TicketAgentReport{ this->AgentName(aAgent), number });
          });
        }
      }
      this->ScheduleReport(aAgent, this->options.reportInterval);
    });
  }

  void Send(std::size_t aTo, std::size_t aFrom, const std::function<void()>& aDeliver)
  {
    const std::size_t copies = this->random.Chance(this->faults.messageTwice) ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      if (this->random.Chance(this->faults.messageLost)) {
        continue;
      }
      const Duration extra = this->random.Between(Duration::zero(), this->faults.jitter);
      this->At(this->now + this->options.linkDelay(aFrom, aTo) + extra, aDeliver);
    }
  }

  void CarryOut(std::size_t aEntry, TicketEffects aEffects)
  {
    for (const TicketStoreCall& call : aEffects.storeCalls) {
      std::visit([&](const auto& aCall) { this->CallStore(aEntry, aCall); }, call);
    }
    for (SubmitAnswer& answer : aEffects.submitAnswers) {
      if (!this->answers.emplace(answer.call, answer).second) {
        throw std::logic_error("a submission was answered twice");
      }
    }
    std::move(
      aEffects.logAnswers.begin(), aEffects.logAnswers.end(), std::back_inserter(this->logAnswers));
    std::move(aEffects.stateAnswers.begin(),
              aEffects.stateAnswers.end(),
              std::back_inserter(this->stateAnswers));
    this->Push(aEntry, aEffects.agentUpdates);
    if (aEffects.notifyEntries != TicketNumber{} && !this->faults.notificationsLost) {
      this->Notify(aEntry, aEffects.notifyEntries);
    }
  }

  void Notify(std::size_t aEntry, TicketNumber aNumber)
  {
    for (std::size_t other = 0; other < this->entries.size(); ++other) {
      if (other != aEntry) {
        this->Send(other, aEntry, [this, other, aNumber] {
          this->Handle(other, TicketNumberSeen{ aNumber });
        });
      }
    }
  }

  void Push(std::size_t aEntry, const std::vector<AgentUpdate>& aUpdates)
  {
    std::map<const TicketUpdate*, std::size_t> sizes;
    for (const AgentUpdate& push : aUpdates) {
      const std::size_t agent = std::stoul(push.agent.Value().substr(1));
      if (this->faults.firstPushesLost &&
          this->firstPushes.emplace(aEntry, agent, push.update->number).second) {
        continue;
      }
      if (this->options.measureBytes) {
        std::size_t& size = sizes[push.update.get()];
        size = size == 0 ? EncodeMessage(*push.update).size() : size;
        this->updateBytes += size;
      }
      this->Send(this->entries.size() + agent, aEntry, [this, aEntry, agent, update = push.update] {
        this->Deliver(aEntry, agent, *update);
      });
    }
  }

  void Deliver(std::size_t aEntry, std::size_t aAgent, const TicketUpdate& aUpdate)
  {
    ConfigView& view = this->agents[aAgent];
    TicketNumber reached = view.Number();
    const ApplyResult result = view.Apply(aUpdate);
    this->Reached(this->entries.size() + aAgent, reached, view.Number());
    if (result.status == ApplyStatus::StateRequested) {
      this->Send(aEntry, this->entries.size() + aAgent, [=, this, state = view.WholeState()] {
        this->Handle(aEntry, TicketAgentState{ this->AgentName(aAgent), state });
      });
    }
  }

  // Answers only the incarnation that has asked.
  void Reply(std::size_t aEntry, Duration aAfter, TicketEvent aEvent)
  {
    if (this->random.Chance(this->faults.callSwallowed)) {
      return;
    }
    const std::uint64_t incarnation = this->entries[aEntry].incarnation;
    this->At(this->now + aAfter, [this, aEntry, incarnation, event = std::move(aEvent)] {
      if (this->entries[aEntry].incarnation == incarnation) {
        this->Handle(aEntry, event);
      }
    });
  }

  void CallStore(std::size_t aEntry, const TicketScanCall& aCall)
  {
    ++this->scans;
    const bool fails = this->faults.storeDown || this->random.Chance(this->faults.scanFails);
    this->At(this->now + this->options.storeDelay / 2, [=, this] {
      absl::StatusOr<ScanPage> page = absl::UnavailableError("down");
      if (!fails) {
        page = this->table.Scan(aCall.prefix, aCall.after, aCall.limit);
      }
      this->Reply(
        aEntry, this->options.storeDelay / 2, TicketScanResult{ aCall.call, std::move(page) });
    });
  }

  void CallStore(std::size_t aEntry, const TicketFateCall& aCall)
  {
    const bool fails = this->faults.storeDown || this->random.Chance(this->faults.fateUnknown);
    this->At(this->now + this->options.storeDelay / 2, [=, this] {
      const FateOutcome fate = fails ? FateOutcome{} : this->table.ReadFate(aCall.transaction);
      this->Reply(aEntry, this->options.storeDelay / 2, TicketFateResult{ aCall.call, fate });
    });
  }

  void CallStore(std::size_t aEntry, const TicketCommitCall& aCall)
  {
    ++this->commits;
    const auto reply = [this, aEntry, aCall](CommitOutcome aOutcome) {
      this->Reply(aEntry,
                  this->options.storeDelay / 2,
                  TicketCommitResult{ aCall.call, std::move(aOutcome) });
    };
    const bool unavailable =
      this->faults.storeDown || this->random.Chance(this->faults.commitUnavailable);
    const bool lost = this->random.Chance(this->faults.commitLost);
    const bool answerLost = this->random.Chance(this->faults.commitAnswerLost);
    const bool delayed = this->random.Chance(this->faults.commitDelayed);
    const Duration delay = this->random.Between(Duration::zero(), std::chrono::seconds(3));
    this->At(this->now + this->options.storeDelay / 2, [=, this] {
      if (unavailable) {
        reply({ CommitStatus::Unavailable, {}, {} });
      } else if (delayed) {
        this->At(this->now + delay, [this, aCall] { this->table.Commit(aCall.transaction); });
        reply({ CommitStatus::Unknown, {}, {} });
      } else if (lost) {
        reply({ CommitStatus::Unknown, {}, {} });
      } else {
        const CommitOutcome outcome = this->table.Commit(aCall.transaction);
        reply(answerLost ? CommitOutcome{ CommitStatus::Unknown, {}, {} } : outcome);
      }
    });
  }

  WorldOptions options;
  RandomSource random;
  std::vector<Entry> entries;
  std::vector<ConfigView> agents;
  // A heap with the earliest item in front.
  std::vector<Item> queue;
  std::map<TicketCallId, SubmitAnswer> answers;
  std::set<std::tuple<std::size_t, std::size_t, TicketNumber>> firstPushes;
  Instant now = Instant(std::chrono::hours(1));
  std::uint64_t lastItem = 0;
  std::uint64_t sameInstant = 0;
  TicketCallId lastCall = 0;
};

} // namespace oriolespread::testing
