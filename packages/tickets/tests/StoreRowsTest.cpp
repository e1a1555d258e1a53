#include "StoreRows.h"

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/tickets/ConfigKey.h"
#include "oriolespread/tickets/testing/TicketWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace oriolespread;
using namespace oriolespread::internal;

namespace {

std::uint64_t Seed()
{
  const char* text = std::getenv("ORIOLESPREAD_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

// Returns a row as this package writes it, or one with damaged key and value.
Row RandomRow(RandomSource& aRandom)
{
  const TicketNumber number{ aRandom.Below(4) };
  const ChangeTicket ticket = oriolespread::testing::MakeTicket("t", 0, { "a" });
  Row row{ kHeadKey, RowVersion{ aRandom.Below(9) }, NumberValue(number) };
  if (aRandom.Chance(0.4)) {
    row = { LogKey(number), row.version, ticket.ToJson() };
  } else if (aRandom.Chance(0.5)) {
    row = { ConfigRowKey("organisation/a"),
            row.version,
            ConfigValueOf(number, { { "weight", 2 } }) };
  }
  if (aRandom.Chance(0.5)) {
    std::string text = row.value.dump();
    text[aRandom.Below(text.size())] = "{}[]\",:0-e"[aRandom.Below(10)];
    row.value = nlohmann::json::parse(text, nullptr, false);
  }
  if (aRandom.Chance(0.2)) {
    row.key[aRandom.Below(row.key.size())] = static_cast<char>(aRandom.Next());
  }
  return row;
}

} // namespace

// Guards against a crash or an exception on rows that another program has damaged.
TEST_CASE("StoreRows TakeDamagedRowsWithoutThrowing")
{
  std::cout << "ticket rows fuzz seed " << Seed() << "\n";
  RandomSource random(Seed());
  std::size_t readable = 0;
  for (int round = 0; round < 20'000; ++round) {
    INFO("seed " << Seed() << " round " << round);
    const Row row = RandomRow(random);
    REQUIRE_NOTHROW(readable += NumberOfRow(row).has_value() ? 1 : 0);
    REQUIRE_NOTHROW(readable += TicketOfRow(row).has_value() ? 1 : 0);
    REQUIRE_NOTHROW(readable += ConfigStateOfRow(row).has_value() ? 1 : 0);
  }
  CHECK(readable > 1'000);
}

// Guards against an entry that damaged pages or impossible answers stop, or take to a lower number.
TEST_CASE("TicketBook TakesAnyAnswerOfTheStore")
{
  RandomSource random(Seed());
  for (int run = 0; run < 200; ++run) {
    INFO("seed " << Seed() << " run " << run);
    Counters counters;
    TicketBook book({ EntryId{ "e" }, Incarnation{ 1 } }, counters);
    Instant now;
    TicketNumber number;
    std::vector<TicketStoreCall> calls;
    for (int step = 0; step < 200; ++step) {
      now += random.Between(Duration::zero(), std::chrono::milliseconds(500));
      TicketEvent event = TicketTick{};
      if (random.Chance(0.2)) {
        event = SubmitTicket{ 1, oriolespread::testing::MakeTicket("t", random.Below(3), { "a" }) };
      } else if (!calls.empty()) {
        const TicketStoreCall call = calls[random.Below(calls.size())];
        const TicketCallId id = std::visit([](const auto& aCall) { return aCall.call; }, call);
        ScanPage page;
        for (std::uint64_t rows = random.Below(4); rows > 0; --rows) {
          page.rows.push_back(RandomRow(random));
        }
        page.more = random.Chance(0.2);
        if (std::holds_alternative<TicketScanCall>(call)) {
          event = TicketScanResult{ id, page };
        } else if (std::holds_alternative<TicketCommitCall>(call)) {
          const auto status = static_cast<CommitStatus>(random.Below(4));
          event =
            TicketCommitResult{ id, { status, RowVersion{ random.Below(9) }, "ticket/id/t" } };
        } else {
          const auto fate = static_cast<TransactionFate>(random.Below(3));
          event = TicketFateResult{ id, { fate, RowVersion{ random.Below(9) } } };
        }
      }
      TicketEffects effects;
      REQUIRE_NOTHROW(book.Handle(now, event, effects));
      REQUIRE(book.View().Number() >= number);
      number = book.View().Number();
      calls.insert(calls.end(), effects.storeCalls.begin(), effects.storeCalls.end());
      calls.erase(calls.begin(),
                  calls.begin() + static_cast<std::ptrdiff_t>(
                                    calls.size() - std::min<std::size_t>(calls.size(), 6)));
    }
  }
}

// Guards against two texts for one key, which would have two states.
TEST_CASE("ConfigKey AcceptsOneTextForEachKey")
{
  RandomSource random(Seed());
  const std::vector<std::string> valid = { "organisation/a", "service/a/b",  "quota/t",
                                           "worker/w-1",     "policy/tasks", "policy/requests" };
  for (const std::string& key : valid) {
    CHECK(ConfigKey::Parse(key).has_value());
    for (int round = 0; round < 1'000; ++round) {
      std::string damaged = key;
      damaged[random.Below(damaged.size())] = static_cast<char>(random.Next());
      const auto parsed = ConfigKey::Parse(damaged);
      INFO("seed " << Seed() << " key " << damaged);
      CHECK((!parsed.has_value() || ToString(*parsed) == damaged));
    }
  }
  for (const char* key : { "", "organisation/", "service/a", "service/a/b/c", "policy/", "x/y" }) {
    CHECK_FALSE(ConfigKey::Parse(key).has_value());
  }
}
