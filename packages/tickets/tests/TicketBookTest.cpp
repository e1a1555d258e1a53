#include "oriolespread/tickets/testing/TicketWorld.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SubmitOutcome OutcomeOf(const TicketWorld& aWorld, TicketCallId aCall)
{
  REQUIRE(aWorld.Answer(aCall) != nullptr);
  INFO(aWorld.Answer(aCall)->findings.Report());
  return aWorld.Answer(aCall)->outcome;
}

double WeightAt(const ConfigView& aView, const std::string& aOrganisation)
{
  const auto* config = aView.FindOrganisation(OrganisationId{ aOrganisation });
  return config == nullptr ? 0.0 : config->weight;
}

void CheckAllAt(TicketWorld& aWorld, std::uint64_t aNumber)
{
  for (std::size_t i = 0; i < 3; ++i) {
    INFO("process " << i);
    CHECK(aWorld.Book(i).View().Number() == TicketNumber{ aNumber });
    CHECK(aWorld.Agent(i).Number() == TicketNumber{ aNumber });
  }
}

} // namespace

TEST_CASE("TicketBook BringsAnAcceptedTicketIntoForceEverywhere")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  REQUIRE(world.Book(0).Ready());
  const TicketCallId call = world.Submit(0, MakeTicket("t1", 0, { "a", "b" }, 2.0));
  world.RunFor(seconds(1));
  CHECK(OutcomeOf(world, call) == SubmitOutcome::Accepted);
  CHECK(world.Answer(call)->number == TicketNumber{ 1 });
  CheckAllAt(world, 1);
  CHECK(WeightAt(world.Agent(2), "b") == 2.0);
}

// Guards against a refusal of the second operator when the two touch different keys (F10).
TEST_CASE("TicketBook AcceptsBothOfTwoRacingTicketsOnDifferentKeys")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  const TicketCallId first = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  const TicketCallId second = world.Submit(1, MakeTicket("t2", 0, { "b" }));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, first) == SubmitOutcome::Accepted);
  CHECK(OutcomeOf(world, second) == SubmitOutcome::Accepted);
  CheckAllAt(world, 2);
}

// Guards against one operator silently overwriting another's change (F10).
TEST_CASE("TicketBook RefusesTheLaterOfTwoRacingTicketsOnOneKey")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  const TicketCallId first = world.Submit(0, MakeTicket("t1", 0, { "a", "x" }, 1.0));
  const TicketCallId second = world.Submit(1, MakeTicket("t2", 0, { "a", "b" }, 2.0));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, first) == SubmitOutcome::Accepted);
  REQUIRE(OutcomeOf(world, second) == SubmitOutcome::Conflict);
  const std::vector<TicketConflict> expected = { { "organisation/a", TicketNumber{ 1 } } };
  CHECK(world.Answer(second)->conflicts == expected);
  CHECK(WeightAt(world.Agent(0), "b") == 0.0);
  const TicketCallId third = world.Submit(1, MakeTicket("t3", 1, { "a", "b" }, 2.0));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, third) == SubmitOutcome::Accepted);
  CheckAllAt(world, 2);
}

// Guards against a lost answer that loses the ticket or accepts it twice (F8).
TEST_CASE("TicketBook AcceptsOnceWhenTheAnswerOfTheCommitIsLost")
{
  const bool takesEffect = GENERATE(true, false);
  INFO("the commit took effect: " << takesEffect);
  TicketWorld world({});
  world.RunFor(seconds(1));
  (takesEffect ? world.faults.commitAnswerLost : world.faults.commitLost) = 1.0;
  const TicketCallId call = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(milliseconds(3));
  world.faults = {};
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, call) == SubmitOutcome::Accepted);
  CHECK(world.Answer(call)->number == TicketNumber{ 1 });
  CheckAllAt(world, 1);
}

// Guards against telling the operator a refusal while the ticket may still take effect.
TEST_CASE("TicketBook AnswersUnknownWhileTheFateCannotBeRead")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.faults.commitAnswerLost = 1.0;
  world.faults.fateUnknown = 1.0;
  const TicketCallId call = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(6));
  CHECK(OutcomeOf(world, call) == SubmitOutcome::Unknown);
  world.faults = {};
  world.RunFor(seconds(2));
  const TicketCallId again = world.Submit(1, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, again) == SubmitOutcome::Accepted);
  CHECK(world.Answer(again)->number == TicketNumber{ 1 });
  CheckAllAt(world, 1);
}

// Guards against a second acceptance through another entry, and against a reused id.
TEST_CASE("TicketBook AcceptsATicketThatIsSentThroughTwoEntriesOnce")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  const TicketCallId first = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  const TicketCallId second = world.Submit(1, MakeTicket("t1", 0, { "a" }));
  const TicketCallId third = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(2));
  const TicketCallId late = world.Submit(2, MakeTicket("t1", 0, { "a" }));
  const TicketCallId reused = world.Submit(2, MakeTicket("t1", 0, { "b" }));
  world.RunFor(seconds(2));
  for (const TicketCallId call : { first, second, third, late }) {
    CHECK(OutcomeOf(world, call) == SubmitOutcome::Accepted);
    CHECK(world.Answer(call)->number == TicketNumber{ 1 });
  }
  CHECK(OutcomeOf(world, reused) == SubmitOutcome::IdReused);
  CheckAllAt(world, 1);
}

// Guards against a second acceptance after the accepting entry has died before it could answer.
TEST_CASE("TicketBook AcceptsOnceWhenTheAcceptingEntryDies")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(milliseconds(3));
  world.StopEntry(0);
  world.StartEntry(0);
  const TicketCallId again = world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, again) == SubmitOutcome::Accepted);
  CheckAllAt(world, 1);
}

// Guards against waiting without end, and against losing the state, while the store is down (F7).
TEST_CASE("TicketBook RefusesTicketsWhileTheStoreIsDownAndKeepsTheState")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(1));
  world.faults.storeDown = true;
  const TicketCallId refused = world.Submit(0, MakeTicket("t2", 1, { "a" }));
  world.RunFor(std::chrono::minutes(10));
  CHECK(OutcomeOf(world, refused) == SubmitOutcome::StoreUnavailable);
  CHECK_FALSE(world.Book(0).StoreReachable());
  CheckAllAt(world, 1);
  world.faults = {};
  world.RunFor(seconds(2));
  const TicketCallId accepted = world.Submit(0, MakeTicket("t2", 1, { "a" }));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, accepted) == SubmitOutcome::Accepted);
  CheckAllAt(world, 2);
}

// Guards against an entry that serves without any state, or with an older one, in an outage.
TEST_CASE("TicketBook TakesTheStateOfAgentsWhenItStartsInAnOutage")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.Submit(0, MakeTicket("t1", 0, { "a" }, 3.0));
  world.RunFor(seconds(1));
  world.faults.storeDown = true;
  world.StopEntry(1);
  world.StartEntry(1);
  CHECK_FALSE(world.Book(1).Ready());
  world.RunFor(seconds(3));
  CHECK(world.Book(1).Ready());
  CHECK(WeightAt(world.Book(1).View(), "a") == 3.0);
  world.faults = {};
  world.RunFor(seconds(2));
  const TicketCallId call = world.Submit(1, MakeTicket("t2", 1, { "a" }, 4.0));
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, call) == SubmitOutcome::Accepted);
  CheckAllAt(world, 2);
}

// Guards against readiness without a state when there is no agent to ask either.
TEST_CASE("TicketBook IsNotReadyWithoutAState")
{
  TicketWorld world({ .agents = 0 });
  world.faults.storeDown = true;
  world.StopEntry(0);
  world.StartEntry(0);
  world.RunFor(seconds(60));
  CHECK_FALSE(world.Book(0).Ready());
}

// Guards against following a table service that has lost rows back to a lower number.
TEST_CASE("TicketBook KeepsItsNumberWhenTheStoreIsBehind")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(1));
  world.table = MemoryTable{};
  const TicketCallId call = world.Submit(0, MakeTicket("t2", 1, { "a" }));
  world.RunFor(seconds(10));
  CheckAllAt(world, 1);
  CHECK(OutcomeOf(world, call) == SubmitOutcome::StoreUnavailable);
  CHECK(world.counters.Get("ticket_polls_failed_total", "store_behind") > 0);
}

// Guards against a state that mixes two numbers because tickets were accepted while it was read.
TEST_CASE("TicketBook ReadsAConsistentStateWhileTicketsAreAccepted")
{
  const std::int64_t after = GENERATE(range(0, 500, 20));
  INFO("restarted after " << after << " ms");
  TicketWorld world({ .storeDelay = milliseconds(200) });
  world.RunFor(seconds(2));
  std::uint64_t number = 0;
  for (int i = 0; i < 6; ++i) {
    world.Submit(0, MakeTicket("t" + std::to_string(i), number, { "a", "b" }, 1.0 + i));
    if (i == 3) {
      world.RunFor(milliseconds(after));
      world.StopEntry(1);
      world.StartEntry(1);
    }
    world.RunFor(milliseconds(500));
    number = world.Book(0).View().Number().Value();
    const ConfigView& view = world.Book(1).View();
    CHECK(WeightAt(view, "a") == WeightAt(view, "b"));
    CHECK(WeightAt(view, "a") == static_cast<double>(view.Number().Value()));
  }
  world.RunFor(seconds(5));
  CheckAllAt(world, 6);
}

// Guards against a ticket that names a number which no ticket has, and against a flood of tickets.
TEST_CASE("TicketBook RefusesInvalidAndSurplusTickets")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  const TicketCallId ahead = world.Submit(0, MakeTicket("t1", 7, { "a" }));
  ChangeTicket unknown = MakeTicket("t2", 0, { "a" });
  unknown.changes["colour/blue"] = 1;
  unknown.changes["organisation/a"]["weight"] = "heavy";
  const TicketCallId invalid = world.Submit(0, unknown);
  world.RunFor(seconds(2));
  CHECK(OutcomeOf(world, ahead) == SubmitOutcome::Invalid);
  CHECK(OutcomeOf(world, invalid) == SubmitOutcome::Invalid);
  CHECK(world.Answer(invalid)->findings.size() == 2);
  TicketCallId last = 0;
  for (int i = 0; i < 70; ++i) {
    last = world.Submit(0, MakeTicket("s" + std::to_string(i), 0, { "a" + std::to_string(i) }));
  }
  CHECK(OutcomeOf(world, last) == SubmitOutcome::Busy);
  world.RunFor(seconds(2));
  CheckAllAt(world, 64);
}

// Guards against rows that another program has damaged: they must neither stop the entry nor make
// it accept a ticket on a wrong state.
TEST_CASE("TicketBook SurvivesDamagedRows")
{
  const std::string key =
    GENERATE("ticket/head", "ticket/log/00000000000000000002", "config/organisation/a");
  const nlohmann::json value =
    GENERATE(nlohmann::json(), nlohmann::json(7), nlohmann::json{ { "number", -1 } });
  INFO(key << " = " << value);
  TicketWorld world({});
  world.RunFor(seconds(1));
  world.Submit(0, MakeTicket("t1", 0, { "a" }));
  world.RunFor(seconds(1));
  world.table.Commit({ TransactionId{ "damage" }, {}, { { key, value } } });
  const TicketCallId call = world.Submit(1, MakeTicket("t2", 1, { "a" }));
  world.RunFor(seconds(8));
  REQUIRE(world.Answer(call) != nullptr);
  CHECK(world.Book(0).View().Number() >= TicketNumber{ 1 });
  CHECK(world.Agent(0).FindState("organisation/a") != nullptr);
}

TEST_CASE("TicketBook ReplaysTheStateAtAnyNumber")
{
  TicketWorld world({});
  world.RunFor(seconds(1));
  for (std::uint64_t i = 0; i < 250; ++i) {
    world.Submit(0, MakeTicket("t" + std::to_string(i), i, { "a" }, 1.0 + static_cast<double>(i)));
    world.RunFor(milliseconds(20));
  }
  world.Handle(1, ReplayTickets{ 1, TicketNumber{ 220 } });
  world.Handle(1, ReplayTickets{ 2, TicketNumber{ 251 } });
  world.Handle(1, ReadTicketLog{ 3, TicketNumber{ 248 }, 10 });
  world.RunFor(seconds(1));
  REQUIRE(world.stateAnswers.size() == 2);
  REQUIRE(world.stateAnswers[0].states.ok());
  REQUIRE(world.stateAnswers[0].states->size() == 1);
  CHECK(world.stateAnswers[0].states->front().number == TicketNumber{ 220 });
  CHECK(world.stateAnswers[0].states->front().value["weight"] == 220.0);
  CHECK(world.stateAnswers[1].states.status().code() == absl::StatusCode::kOutOfRange);
  REQUIRE(world.logAnswers.size() == 1);
  REQUIRE(world.logAnswers[0].tickets.ok());
  CHECK(world.logAnswers[0].tickets->size() == 2);
  CheckAllAt(world, 250);
}
