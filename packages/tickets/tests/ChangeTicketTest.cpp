#include "oriolespread/tickets/ChangeTicket.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/tickets/ConfigView.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace oriolespread;

namespace {

constexpr const char* kTicket =
  R"({"id": "t-1", "based_on": 3, "author": "ann@example", "changes": {
  "organisation/acme": {"weight": 2.5, "enabled": true, "requests_per_second": 500},
  "service/acme/search": {"class": "latency_critical", "objective_ms": 50,
                          "default_deadline_ms": 1000, "max_deadline_ms": 5000, "queue_length": 9},
  "quota/team": {"resources": {"cores": 400.5, "memory_mib": 1600000, "accelerators": 2},
                 "organisations": ["acme"]},
  "worker/w-1": {"mode": "drain", "capacity": {"cores": 0.29, "memory_mib": 10}},
  "policy/requests": {"retry_budget": 0.2},
  "policy/tasks": {"evictions_per_hour": 1, "preemption_checkpoint_ms": 250},
  "worker/w-2": null}})";

std::vector<std::string> FindingsOf(const std::string& aText)
{
  Findings findings;
  const bool accepted = ChangeTicket::Parse(aText, findings).has_value();
  CHECK(accepted == findings.empty());
  std::vector<std::string> lines;
  for (const Finding& finding : findings.All()) {
    CHECK_FALSE(finding.expected.empty());
    lines.push_back(finding.place.path + " " + finding.problem);
  }
  return lines;
}

std::vector<std::string> FindingsOfChange(const std::string& aKey, const std::string& aValue)
{
  return FindingsOf(R"({"id": "t", "based_on": 0, "author": "a", "changes": {")" + aKey +
                    "\": " + aValue + "}}");
}

TicketUpdate UpdateOf(std::uint64_t aFrom, std::uint64_t aNumber, std::vector<ConfigState> aStates)
{
  return { TicketNumber{ aFrom }, TicketNumber{ aNumber }, std::move(aStates) };
}

ConfigState Weight(const std::string& aName, std::uint64_t aNumber, double aWeight)
{
  return { "organisation/" + aName, TicketNumber{ aNumber }, { { "weight", aWeight } } };
}

} // namespace

TEST_CASE("ChangeTicket ReadsEveryKindOfKey")
{
  Findings findings;
  const auto ticket = ChangeTicket::Parse(kTicket, findings);
  INFO(findings.Report());
  REQUIRE(ticket.has_value());
  CHECK(ticket->basedOn == TicketNumber{ 3 });
  CHECK(ChangeTicket::FromJson(ticket->ToJson(), findings) == ticket);
  TicketUpdate update = UpdateOf(0, 4, {});
  for (const auto& [key, value] : ticket->changes) {
    update.states.push_back({ key, TicketNumber{ 4 }, value });
  }
  ConfigView view;
  REQUIRE(view.Apply(update).status == ApplyStatus::Applied);
  const OrganisationId acme{ "acme" };
  CHECK(view.FindOrganisation(acme)->requestsPerSecond == 500U);
  CHECK(view.FindService(acme, ServiceName{ "search" })->objective ==
        std::chrono::milliseconds(50));
  CHECK(view.FindQuota(TeamId{ "team" })->resources == Resources{ 400'500, 1'600'000, 2 });
  CHECK(view.FindWorker(WorkerId{ "w-1" })->mode == WorkerMode::Drain);
  CHECK(view.FindWorker(WorkerId{ "w-1" })->capacity == Resources{ 290, 10, 0 });
  CHECK(view.FindWorker(WorkerId{ "w-2" }) == nullptr);
  CHECK(view.FindRequestPolicy()->retryBudget == 0.2);
  CHECK(view.FindTaskPolicy()->evictionsPerHour == 1);
}

// Guards against reporting one finding at a time, or one without its place.
TEST_CASE("ChangeTicket ReportsAllFindingsWithTheirPaths")
{
  const std::vector<std::string> expected = {
    "$.id is a text of 3 bytes",
    "$.based_on is -1",
    "$.author is missing",
    "$.changes has the unknown key \"organisation/a/b\"",
    "$.changes['quota/t'].resources.memory_mib is missing",
    "$.changes['quota/t'].resources.gpus is not a known member",
    "$.changes['quota/t'].organisations[1] is \"a\" again",
    "$.changes['service/a/s'].class is a text of 4 bytes",
    "$.changes['service/a/s'].default_deadline_ms is above max_deadline_ms",
    "$.colour is not a known member",
  };
  CHECK(FindingsOf(R"({"id": "a b", "based_on": -1, "colour": 1, "changes": {
    "organisation/a/b": {},
    "quota/t": {"resources": {"cores": 1, "gpus": 2}, "organisations": ["a", "a"]},
    "service/a/s": {"class": "fast", "default_deadline_ms": 9, "max_deadline_ms": 8}}})") ==
        expected);
}

// Guards against values that are accepted by accident of their JSON type or range.
TEST_CASE("ChangeTicket RefusesWrongValues")
{
  CHECK(FindingsOfChange("organisation/a", "{}").empty());
  CHECK(FindingsOfChange("organisation/a", R"({"weight": 0})").size() == 1);
  CHECK(FindingsOfChange("organisation/a", R"({"weight": "1"})").size() == 1);
  CHECK(FindingsOfChange("organisation/a", R"({"requests_per_second": 1.5})").size() == 1);
  CHECK(
    FindingsOfChange("organisation/a", R"({"requests_in_flight": 18446744073709551615})").size() ==
    1);
  CHECK(FindingsOfChange("organisation/a", "7").size() == 1);
  CHECK(FindingsOfChange("worker/w", R"({"mode": true})").size() == 1);
  CHECK(FindingsOfChange("policy/other", "{}").size() == 1);
  CHECK(FindingsOf("{").size() == 1);
  CHECK(FindingsOf("[]").size() == 1);
  CHECK(FindingsOf(std::string(ChangeTicket::kMaxBytes + 1, ' ')).size() == 1);
  CHECK(FindingsOf(std::string(100'000, '[')).size() >= 1);
  // The parser itself would keep the last of two equal names.
  const auto twice = FindingsOfChange("organisation/a", R"({"weight": 1, "weight": 2})");
  REQUIRE(twice.size() == 1);
  CHECK(twice[0] == "$ has the name 'weight' twice");
}

// Guards against an agent that goes back to a lower number or skips tickets (P9).
TEST_CASE("ConfigView AppliesUpdatesInOrderOnly")
{
  ConfigView view;
  CHECK(view.Apply(UpdateOf(1, 2, { Weight("a", 2, 9) })).status == ApplyStatus::Gap);
  CHECK(view.Apply(UpdateOf(0, 3, { Weight("a", 2, 2), Weight("b", 3, 3) })).status ==
        ApplyStatus::Applied);
  CHECK(view.Apply(UpdateOf(0, 2, { Weight("a", 2, 9) })).status == ApplyStatus::AlreadyKnown);
  CHECK(view.Apply(UpdateOf(4, 5, { Weight("a", 5, 9) })).status == ApplyStatus::Gap);
  const auto overlapping = view.Apply(UpdateOf(1, 4, { Weight("a", 2, 9), Weight("b", 4, 4) }));
  CHECK(overlapping.status == ApplyStatus::Applied);
  CHECK(overlapping.changedKeys == std::vector<std::string>{ "organisation/b" });
  CHECK(view.FindOrganisation(OrganisationId{ "a" })->weight == 2);
  CHECK(view.FindOrganisation(OrganisationId{ "b" })->weight == 4);
  CHECK(view.UpdateFrom(TicketNumber{ 3 }).states.size() == 1);
  CHECK(view.Apply(MakeStateRequest()).status == ApplyStatus::StateRequested);
  CHECK(view.Apply(UpdateOf(0, 5, { Weight("b", 5, 5) })).status == ApplyStatus::Applied);
  CHECK(view.FindOrganisation(OrganisationId{ "a" }) == nullptr);
}

// Guards against a contradictory update, and against losing a value that a later version has set in
// a form that this one cannot read.
TEST_CASE("ConfigView RefusesContradictionsAndPassesUnknownValuesOn")
{
  ConfigView view;
  CHECK(view.Apply(UpdateOf(3, 2, {})).status == ApplyStatus::Invalid);
  CHECK(view.Apply(UpdateOf(0, 2, { Weight("a", 3, 1) })).status == ApplyStatus::Invalid);
  CHECK(view.Apply(UpdateOf(0, 2, { Weight("a", 1, 1), Weight("a", 2, 1) })).status ==
        ApplyStatus::Invalid);
  view.Apply(UpdateOf(0, 1, { Weight("a", 1, 1) }));
  const auto result = view.Apply(UpdateOf(
    1, 2, { { "organisation/a", TicketNumber{ 2 }, 7 }, { "new/x", TicketNumber{ 2 }, 1 } }));
  CHECK(result.status == ApplyStatus::Applied);
  CHECK(result.findings.size() == 2);
  CHECK(view.FindOrganisation(OrganisationId{ "a" })->weight == 1);
  CHECK(view.UpdateFrom(TicketNumber{ 1 }).states.size() == 2);
}

// Guards against a crash, an exception or a refusal without a reason on damaged tickets and
// updates.
TEST_CASE("ChangeTicket AndConfigView TakeDamagedBytesWithoutThrowing")
{
  const char* text = std::getenv("ORIOLESPREAD_SEED");
  const std::uint64_t seed = text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
  std::cout << "tickets fuzz seed " << seed << "\n";
  RandomSource random(seed);
  const std::string ticket = kTicket;
  const std::string update =
    EncodeMessage(UpdateOf(1, 3, { Weight("a", 2, 1), Weight("b", 3, 1) }));
  const auto damaged = [&random](std::string aBytes) {
    for (std::uint64_t change = 1 + random.Below(4); change > 0; --change) {
      const std::size_t at = random.Below(aBytes.size());
      if (random.Chance(0.6)) {
        aBytes[at] =
          random.Chance(0.5) ? "{}[]\",:0-e"[random.Below(10)] : static_cast<char>(random.Next());
      } else if (random.Chance(0.5)) {
        aBytes.insert(at, aBytes.substr(random.Below(aBytes.size()), random.Below(40)));
      } else {
        aBytes.erase(at, 1 + random.Below(20));
        aBytes += ' ';
      }
    }
    return aBytes;
  };
  std::size_t applied = 0;
  for (int round = 0; round < 20'000; ++round) {
    INFO("seed " << seed << " round " << round);
    Findings findings;
    std::optional<ChangeTicket> parsed;
    REQUIRE_NOTHROW(parsed = ChangeTicket::Parse(damaged(ticket), findings));
    REQUIRE(parsed.has_value() == findings.empty());
    const auto message = DecodeMessage(damaged(update));
    if (message.ok() && std::holds_alternative<TicketUpdate>(*message)) {
      ConfigView view;
      view.Apply(UpdateOf(0, 1, { Weight("a", 1, 1) }));
      REQUIRE_NOTHROW(view.Apply(std::get<TicketUpdate>(*message)));
      REQUIRE(view.Number() >= TicketNumber{ 1 });
      applied += view.Number() > TicketNumber{ 1 } ? 1 : 0;
    }
  }
  CHECK(applied > 0);
}
