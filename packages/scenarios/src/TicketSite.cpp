#include "TicketSite.h"

#include <utility>

namespace oriolespread::scenarios {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(200);

} // namespace

TicketSite::TicketSite(std::size_t aEntries, std::size_t aAgents, std::uint64_t aSeed)
  : random(aSeed)
  , entries(aEntries)
  , agents(aAgents)
{
  for (std::size_t index = 0; index < aEntries; ++index) {
    this->StartEntry(index);
  }
  for (std::size_t index = 0; index < aAgents; ++index) {
    this->Report(index);
  }
}

void TicketSite::RunUntil(Duration aTime)
{
  this->queue.RunUntil(aTime, [this] { return !this->violation.empty(); });
}

void TicketSite::KillEntry(std::size_t aEntry)
{
  this->entries.at(aEntry).book.reset();
  ++this->entries[aEntry].life;
}

void TicketSite::StartEntry(std::size_t aEntry)
{
  Entry& entry = this->entries.at(aEntry);
  if (entry.book != nullptr) {
    return;
  }
  ++entry.life;
  entry.seen = TicketNumber{};
  TicketBookOptions options;
  options.entry = EntryId{ "e" + std::to_string(aEntry) };
  options.incarnation = Incarnation{ entry.life };
  entry.book = std::make_unique<TicketBook>(options, this->counters);
  for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
    this->Handle(aEntry, TicketAgentConnected{ IdOf(agent) });
  }
  this->Tick(aEntry, entry.life);
}

void TicketSite::Submit(const std::string& aName,
                        std::size_t aEntry,
                        TicketNumber aBasedOn,
                        const std::string& aKey,
                        const nlohmann::json& aValue)
{
  const TicketCallId call = ++this->lastCall;
  this->calls[aName] = call;
  if (this->entries.at(aEntry).book == nullptr) {
    return;
  }
  ChangeTicket ticket;
  ticket.id = TicketId{ aName };
  ticket.basedOn = aBasedOn;
  ticket.author = "scenario";
  ticket.changes[aKey] = aValue;
  this->Handle(aEntry, SubmitTicket{ call, ticket });
}

const SubmitAnswer* TicketSite::AnswerOf(const std::string& aName) const
{
  const auto call = this->calls.find(aName);
  if (call == this->calls.end()) {
    return nullptr;
  }
  const auto answer = this->answers.find(call->second);
  return answer == this->answers.end() ? nullptr : &answer->second;
}

TicketNumber TicketSite::Lowest() const
{
  TicketNumber lowest = this->Highest();
  for (const Entry& entry : this->entries) {
    if (entry.book != nullptr) {
      lowest = std::min(lowest, entry.book->View().Number());
    }
  }
  for (const Agent& agent : this->agents) {
    lowest = std::min(lowest, agent.view.Number());
  }
  return lowest;
}

TicketNumber TicketSite::Highest() const
{
  TicketNumber highest;
  for (const Entry& entry : this->entries) {
    if (entry.book != nullptr) {
      highest = std::max(highest, entry.book->View().Number());
    }
  }
  for (const Agent& agent : this->agents) {
    highest = std::max(highest, agent.view.Number());
  }
  return highest;
}

void TicketSite::Handle(std::size_t aEntry, const TicketEvent& aEvent)
{
  Entry& entry = this->entries[aEntry];
  TicketEffects effects;
  entry.book->Handle(this->Now(), aEvent, effects);
  this->Check("entry " + std::to_string(aEntry), entry.book->View().Number(), entry.seen);
  for (const SubmitAnswer& answer : effects.submitAnswers) {
    this->answers[answer.call] = answer;
  }
  for (const TicketStoreCall& call : effects.storeCalls) {
    this->CallStore(aEntry, call);
  }
  for (const AgentUpdate& update : effects.agentUpdates) {
    this->Send(aEntry, update);
  }
}

void TicketSite::Tick(std::size_t aEntry, std::uint64_t aLife)
{
  Entry& entry = this->entries[aEntry];
  if (entry.life != aLife || entry.book == nullptr) {
    return;
  }
  this->Handle(aEntry, TicketTick{});
  const Duration wait =
    std::max<Duration>(entry.book->NextWakeup() - this->Now(), std::chrono::milliseconds(1));
  this->queue.After(std::min<Duration>(wait, std::chrono::milliseconds(100)),
                    [this, aEntry, aLife] { this->Tick(aEntry, aLife); });
}

void TicketSite::CallStore(std::size_t aEntry, const TicketStoreCall& aCall)
{
  const std::uint64_t life = this->entries[aEntry].life;
  this->queue.After(this->storeDelay / 2, [this, aEntry, life, aCall] {
    const TicketEvent result = this->Execute(aCall);
    this->queue.After(this->storeDelay / 2, [this, aEntry, life, result] {
      if (this->entries[aEntry].life == life && this->entries[aEntry].book != nullptr) {
        this->Handle(aEntry, result);
      }
    });
  });
}

TicketEvent TicketSite::Execute(const TicketStoreCall& aCall)
{
  if (const auto* commit = std::get_if<TicketCommitCall>(&aCall)) {
    if (this->storeDown) {
      return TicketCommitResult{ commit->call, { CommitStatus::Unavailable, {}, {} } };
    }
    const bool requestLost = this->random.Chance(this->storeLoss);
    const bool answerLost = this->random.Chance(this->storeLoss);
    CommitOutcome outcome;
    if (!requestLost) {
      outcome = this->table.Commit(commit->transaction);
    }
    return TicketCommitResult{ commit->call, answerLost ? CommitOutcome{} : outcome };
  }
  if (const auto* fate = std::get_if<TicketFateCall>(&aCall)) {
    const FateOutcome outcome =
      this->storeDown ? FateOutcome{} : this->table.ReadFate(fate->transaction);
    return TicketFateResult{ fate->call, outcome };
  }
  const auto& scan = std::get<TicketScanCall>(aCall);
  if (this->storeDown) {
    return TicketScanResult{ scan.call, absl::UnavailableError("store is down") };
  }
  return TicketScanResult{ scan.call, this->table.Scan(scan.prefix, scan.after, scan.limit) };
}

void TicketSite::Send(std::size_t aEntry, const AgentUpdate& aUpdate)
{
  if (this->random.Chance(this->drop)) {
    return;
  }
  const std::size_t index = std::stoul(aUpdate.agent.Value());
  this->queue.After(this->MessageDelay(), [this, aEntry, index, update = aUpdate.update] {
    Agent& agent = this->agents[index];
    const ApplyResult result = agent.view.Apply(*update);
    this->Check("agent " + std::to_string(index), agent.view.Number(), agent.seen);
    if (result.status == ApplyStatus::StateRequested && this->entries[aEntry].book != nullptr) {
      this->Handle(aEntry, TicketAgentState{ IdOf(index), agent.view.WholeState() });
    }
  });
}

void TicketSite::Report(std::size_t aAgent)
{
  for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
    const std::uint64_t life = this->entries[entry].life;
    const TicketNumber number = this->agents[aAgent].view.Number();
    if (this->random.Chance(this->drop)) {
      continue;
    }
    this->queue.After(this->MessageDelay(), [this, entry, life, aAgent, number] {
      if (this->entries[entry].life == life && this->entries[entry].book != nullptr) {
        this->Handle(entry, TicketAgentReport{ IdOf(aAgent), number });
      }
    });
  }
  this->queue.After(kReportInterval, [this, aAgent] { this->Report(aAgent); });
}

void TicketSite::Check(const std::string& aWho, TicketNumber aNow, TicketNumber& aSeen)
{
  if (aNow < aSeen && this->violation.empty()) {
    this->violation = aWho + " went back from ticket " + std::to_string(aSeen.Value()) + " to " +
                      std::to_string(aNow.Value());
  }
  aSeen = std::max(aSeen, aNow);
}

Duration TicketSite::MessageDelay()
{
  return this->random.Between(std::chrono::milliseconds(1), std::chrono::milliseconds(4));
}

} // namespace oriolespread::scenarios
