// Entries with ticket books and agents with configuration views on a virtual clock.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/platform/MemoryTable.h"
#include "oriolespread/tasks/SimClock.h"
#include "oriolespread/tickets/ConfigView.h"
#include "oriolespread/tickets/TicketBook.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::scenarios {

// Every agent is linked with every entry. Messages take a few milliseconds and may be lost.
class TicketSite
{
public:
  TicketSite(std::size_t aEntries, std::size_t aAgents, std::uint64_t aSeed);

  void RunUntil(Duration aTime);
  void KillEntry(std::size_t aEntry);
  void StartEntry(std::size_t aEntry);
  void Submit(const std::string& aName,
              std::size_t aEntry,
              TicketNumber aBasedOn,
              const std::string& aKey,
              const nlohmann::json& aValue);

  // Returns the answer to a submission, or null while there is none.
  const SubmitAnswer* AnswerOf(const std::string& aName) const;
  // Returns the lowest number in force at any live process, and the highest.
  TicketNumber Lowest() const;
  TicketNumber Highest() const;
  // Empty unless a process has gone back to a lower number.
  const std::string& Violation() const { return this->violation; }

  bool storeDown = false;
  Duration storeDelay = std::chrono::milliseconds(5);
  double storeLoss = 0.0;
  double drop = 0.0;

private:
  struct Entry
  {
    std::unique_ptr<TicketBook> book;
    std::uint64_t life = 0;
    TicketNumber seen;
  };
  struct Agent
  {
    ConfigView view;
    TicketNumber seen;
  };

  void Handle(std::size_t aEntry, const TicketEvent& aEvent);
  void Tick(std::size_t aEntry, std::uint64_t aLife);
  void CallStore(std::size_t aEntry, const TicketStoreCall& aCall);
  TicketEvent Execute(const TicketStoreCall& aCall);
  void Send(std::size_t aEntry, const AgentUpdate& aUpdate);
  void Report(std::size_t aAgent);
  void Check(const std::string& aWho, TicketNumber aNow, TicketNumber& aSeen);
  Instant Now() const { return Instant(this->queue.Now() + std::chrono::seconds(1000)); }
  Duration MessageDelay();
  static AgentId IdOf(std::size_t aAgent) { return AgentId{ std::to_string(aAgent) }; }

  sim::EventQueue queue;
  RandomSource random;
  Counters counters;
  MemoryTable table;
  std::vector<Entry> entries;
  std::vector<Agent> agents;
  std::map<std::string, TicketCallId> calls;
  std::map<TicketCallId, SubmitAnswer> answers;
  std::uint64_t lastCall = 1'000'000;
  std::string violation;
};

} // namespace oriolespread::scenarios
