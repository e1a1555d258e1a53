#include "oriolespread/tickets/testing/TicketWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace oriolespread;
using namespace oriolespread::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeeds = 500;
// An accepted ticket is in force everywhere within this time (P9).
constexpr Duration kInForceBound = seconds(10);

struct Submission
{
  TicketCallId call = 0;
  ChangeTicket ticket;
  std::size_t entry = 0;
  // The entry has died since, so that there may be no answer.
  bool entryDied = false;
};

// One run: submissions and faults at random for 20 s, then quiet for the bound.
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : random(aSeed)
    , world({ .seed = aSeed * 2 + 1, .entries = 3 + aSeed % 2, .agents = 4 })
    , entries(3 + aSeed % 2)
  {
  }

  void Run()
  {
    for (int step = 0; step < 100; ++step) {
      this->Disturb();
      if (this->random.Chance(0.4)) {
        this->Submit();
      }
      this->world.RunFor(this->random.Between(Duration(1), milliseconds(400)));
    }
    this->world.faults = {};
    this->world.RunFor(kInForceBound);
  }

  void Check()
  {
    this->ReadLog();
    this->CheckAnswers();
    this->CheckOrder();
    this->CheckInForce();
  }

private:
  void Disturb()
  {
    WorldFaults& faults = this->world.faults;
    if (this->random.Chance(0.1)) {
      faults.storeDown = this->random.Chance(0.4);
    }
    const auto level = [this] { return this->random.Chance(0.5) ? 0.0 : this->random.Unit() / 2; };
    if (this->random.Chance(0.2)) {
      faults.scanFails = level();
      faults.commitUnavailable = level();
      faults.commitLost = level();
      faults.commitAnswerLost = level();
      faults.commitDelayed = level();
      faults.fateUnknown = level();
      faults.callSwallowed = level() / 4;
      faults.messageLost = level();
      faults.messageTwice = level();
      faults.jitter = this->random.Between(Duration::zero(), seconds(1));
    }
    if (this->random.Chance(0.05)) {
      const std::size_t entry = this->random.Below(this->entries);
      for (Submission& submission : this->submissions) {
        submission.entryDied = submission.entryDied || submission.entry == entry;
      }
      this->world.StopEntry(entry);
      this->world.StartEntry(entry);
    }
  }

  void Submit()
  {
    const std::size_t entry = this->random.Below(this->entries);
    if (!this->submissions.empty() && this->random.Chance(0.3)) {
      const ChangeTicket again =
        this->submissions[this->random.Below(this->submissions.size())].ticket;
      this->submissions.push_back({ this->world.Submit(entry, again), again, entry });
      return;
    }
    const std::uint64_t number = this->world.Book(entry).View().Number().Value();
    const std::uint64_t basedOn = number - std::min(number, this->random.Below(3));
    std::vector<std::string> organisations;
    for (std::uint64_t count = 1 + this->random.Below(2); count > 0; --count) {
      organisations.push_back("o" + std::to_string(this->random.Below(5)));
    }
    const ChangeTicket ticket = MakeTicket("t" + std::to_string(this->submissions.size()),
                                           basedOn,
                                           organisations,
                                           1.0 + static_cast<double>(this->random.Below(100)));
    this->submissions.push_back({ this->world.Submit(entry, ticket), ticket, entry });
  }

  void ReadLog()
  {
    const Row* head = this->world.table.Find("ticket/head");
    const std::size_t expected = head == nullptr ? 0 : head->value["number"].get<std::size_t>();
    for (const Row& row : this->world.table.Scan("ticket/log/", "", 10'000).rows) {
      Findings findings;
      const auto ticket = ChangeTicket::FromJson(row.value, findings);
      REQUIRE(ticket.has_value());
      this->log.push_back(*ticket);
      REQUIRE(this->numbers.emplace(ticket->id, this->log.size()).second);
    }
    REQUIRE(this->log.size() == expected);
  }

  void CheckAnswers()
  {
    std::map<TicketId, int> times;
    for (const Submission& submission : this->submissions) {
      ++times[submission.ticket.id];
    }
    for (const Submission& submission : this->submissions) {
      const SubmitAnswer* answer = this->world.Answer(submission.call);
      const TicketId& id = submission.ticket.id;
      INFO("ticket " << id << " call " << submission.call);
      if (answer == nullptr) {
        REQUIRE(submission.entryDied);
        continue;
      }
      INFO("outcome " << ToString(answer->outcome));
      const auto number = this->numbers.find(id);
      const bool accepted = number != this->numbers.end();
      switch (answer->outcome) {
        case SubmitOutcome::Accepted:
          REQUIRE(accepted);
          REQUIRE(answer->number.Value() == number->second);
          REQUIRE(this->log[number->second - 1] == submission.ticket);
          break;
        case SubmitOutcome::Conflict:
          REQUIRE_FALSE(accepted);
          break;
        case SubmitOutcome::StoreUnavailable:
        case SubmitOutcome::Busy:
          REQUIRE((!accepted || times[id] > 1));
          break;
        case SubmitOutcome::Unknown:
          break;
        default:
          FAIL("unexpected outcome");
      }
    }
  }

  // No ticket may overwrite what its author did not know of.
  void CheckOrder()
  {
    std::map<std::string, std::uint64_t> latest;
    for (std::size_t i = 0; i < this->log.size(); ++i) {
      for (const auto& [key, value] : this->log[i].changes) {
        REQUIRE(latest[key] <= this->log[i].basedOn.Value());
        latest[key] = i + 1;
        this->state[key] = value;
      }
    }
  }

  void CheckInForce()
  {
    for (std::size_t entry = 0; entry < this->entries; ++entry) {
      INFO("entry " << entry);
      this->CheckView(this->world.Book(entry).View());
    }
    for (std::size_t agent = 0; agent < 4; ++agent) {
      INFO("agent " << agent);
      this->CheckView(this->world.Agent(agent));
    }
  }

  void CheckView(const ConfigView& aView)
  {
    REQUIRE(aView.Number().Value() == this->log.size());
    const TicketUpdate whole = aView.WholeState();
    REQUIRE(whole.states.size() == this->state.size());
    for (const ConfigState& value : whole.states) {
      REQUIRE(value.value == this->state.at(value.key));
    }
  }

  RandomSource random;
  TicketWorld world;
  std::size_t entries;
  std::vector<Submission> submissions;
  std::vector<ChangeTicket> log;
  std::map<TicketId, std::size_t> numbers;
  std::map<std::string, nlohmann::json> state;
};

} // namespace

// Guards P9 under faults that come together: tickets out of one total order, an accepted ticket
// that is lost, a number that falls (checked by the world after each event), and a process that is
// not at the newest number once the bound has passed since the last fault.
TEST_CASE("TicketBook KeepsOneOrderUnderRandomFaults")
{
  // ORIOLESPREAD_SEED runs one seed only.
  const char* text = std::getenv("ORIOLESPREAD_SEED");
  const std::uint64_t first = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  const std::uint64_t last = text == nullptr ? kSeeds : first;
  std::cout << "tickets random seeds " << first << " to " << last << "\n";
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    INFO("ORIOLESPREAD_SEED=" << seed);
    RandomRun run(seed);
    REQUIRE_NOTHROW(run.Run());
    run.Check();
  }
}
