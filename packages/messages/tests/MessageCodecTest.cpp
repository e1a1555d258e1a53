#include "oriolespread/messages/MessageCodec.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

using namespace oriolespread;

namespace {

Heartbeat SampleHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.agent = AgentId{ "a-1" };
  heartbeat.incarnation = Incarnation{ 7 };
  heartbeat.sequence = 12;
  heartbeat.attempts.push_back({ { { JobId{ "j" }, 3 }, { Epoch{ 2 }, 9 } },
                                 AttemptState::Paused,
                                 "ckpt-1",
                                 "",
                                 { 500, 64, 0 } });
  return heartbeat;
}

} // namespace

TEST_CASE("MessageCodec ReturnsWhatWasEncoded")
{
  const auto decoded = DecodeMessage(EncodeMessage(SampleHeartbeat()));
  REQUIRE(decoded.ok());
  const auto* heartbeat = std::get_if<Heartbeat>(&*decoded);
  REQUIRE(heartbeat != nullptr);
  CHECK(heartbeat->sequence == 12);
  REQUIRE(heartbeat->attempts.size() == 1);
  CHECK(heartbeat->attempts[0].state == AttemptState::Paused);
  CHECK(heartbeat->attempts[0].attempt.token.counter == 9);
}

// Guards against a crash or an accepted message when a peer sends damaged bytes.
TEST_CASE("MessageCodec RefusesDamagedBytesWithoutThrowing")
{
  const std::uint64_t seed = 20261204;
  RandomSource random(seed);
  const std::string valid = EncodeMessage(SampleHeartbeat());
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = valid;
    const std::size_t at = random.Below(bytes.size());
    if (random.Chance(0.5)) {
      bytes.resize(at);
    } else {
      bytes[at] = static_cast<char>(random.Next());
    }
    INFO("seed " << seed << " round " << round);
    const auto decoded = DecodeMessage(bytes);
    if (bytes.size() < valid.size()) {
      CHECK_FALSE(decoded.ok());
    }
  }
  CHECK_FALSE(DecodeMessage("").ok());
  CHECK_FALSE(DecodeMessage(std::string(kMaxMessageBytes + 1, 'x')).ok());
}

// Guards against a stack overflow by a message that is nothing but the start of nested arrays.
TEST_CASE("MessageCodec RefusesDeeplyNestedBytes")
{
  std::string bytes("\x82\xa1t\xa5leave\xa1"
                    "b");
  bytes.append(kMaxMessageBytes - bytes.size(), '\x91');
  CHECK_FALSE(DecodeMessage(bytes).ok());
}

// Guards against the library's conversion of a floating-point number to an integer, which is
// undefined if the integer cannot hold it.
TEST_CASE("MessageCodec RefusesFloatingPointNumbersInFieldsOfIntegers")
{
  using nlohmann::json;
  const auto decode = [](const char* aName, json aBody) {
    std::string bytes;
    json::to_msgpack({ { "t", aName }, { "b", std::move(aBody) } }, bytes);
    return DecodeMessage(bytes).status();
  };
  for (const double number : { -1.0, 0.5, 1e300, -1e300, std::nan(""), HUGE_VAL }) {
    INFO(number);
    CHECK_FALSE(decode("leader_claim", { { "epoch", number } }).ok());
    CHECK_FALSE(
      decode("lease_extension",
             { { "epoch", 1 }, { "sequence", number }, { "disturbance", json::object() } })
        .ok());
    CHECK_FALSE(
      decode("entry_directory",
             { { "shardCount", 1 },
               { "entries", json::array() },
               { "owners", { { { "shard", number }, { "epoch", 1 }, { "entry", "e" } } } } })
        .ok());
  }
  const auto status = decode(
    "lease_extension", { { "epoch", 1 }, { "sequence", 2 }, { "disturbance", { { "i", 0.5 } } } });
  INFO(status);
  CHECK(status.ok());
}

// Guards against a change of the configuration that no agent takes over.
TEST_CASE("MessageCodec DecodesUpdatesOfTheConfigurationWithFractionalValues")
{
  TicketUpdate update;
  update.number = TicketNumber{ 1 };
  update.states = { { "organisation/a", TicketNumber{ 1 }, { { "weight", 1.5 } } },
                    { "request_policy", TicketNumber{ 1 }, { { "retry_budget", 0.1 } } } };
  const auto decoded = DecodeMessage(EncodeMessage(update));
  INFO(decoded.status());
  REQUIRE(decoded.ok());
  const auto& states = std::get<TicketUpdate>(*decoded).states;
  REQUIRE(states.size() == 2);
  CHECK(states[0].value == update.states[0].value);
  CHECK(states[1].value == update.states[1].value);
}

// Guards against reports of agents of an earlier version that are refused, so that their workers
// count as silent.
TEST_CASE("MessageCodec DecodesAReportThatDoesNotTellWhenLeasesEnd")
{
  WorkerReport report;
  report.sequence = 7;
  report.leasesEndInMs = 6380;
  nlohmann::json body = report;
  CHECK(body.get<WorkerReport>().leasesEndInMs == 6380);
  body.erase("leasesEndInMs");
  CHECK(body.get<WorkerReport>().leasesEndInMs == 0);
  CHECK_FALSE(body.contains("openStarts"));
  CHECK(body.get<WorkerReport>().openStarts.empty());
  report.openStarts.push_back({ { "j.0.0.0", 2 }, 19'500 });
  const auto openStarts = nlohmann::json(report).get<WorkerReport>().openStarts;
  REQUIRE(openStarts.size() == 1);
  CHECK(openStarts[0].ref == RunRef{ "j.0.0.0", 2 });
  CHECK(openStarts[0].remainingMs == 19'500);
  CHECK(body.get<WorkerReport>().sequence == 7);
  body.erase("running");
  CHECK_THROWS_AS(body.get<WorkerReport>(), nlohmann::json::exception);
}

// Guards against agents that follow no leader while entries of an earlier version lead.
TEST_CASE("MessageCodec TakesAClaimThatDoesNotTellOfRenewalsForARenewedOne")
{
  nlohmann::json body = LeaderClaim{ Epoch{ 7 }, false, true };
  CHECK_FALSE(body.get<LeaderClaim>().renewed);
  CHECK(body.get<LeaderClaim>().repeated);
  body.erase("renewed");
  body.erase("repeated");
  CHECK(body.get<LeaderClaim>().renewed);
  CHECK_FALSE(body.get<LeaderClaim>().repeated);
  CHECK(body.get<LeaderClaim>().epoch == Epoch{ 7 });
  body.erase("epoch");
  CHECK_THROWS_AS(body.get<LeaderClaim>(), nlohmann::json::exception);
}

// Guards against answers of leaders of an earlier version that are refused, so that no lease is
// extended, and against an answer that does not tell of an evacuation.
TEST_CASE("MessageCodec DecodesALeaseExtensionThatDoesNotTellOfEvacuations")
{
  LeaseExtension extension;
  extension.sequence = 7;
  extension.evacuated = true;
  nlohmann::json body = extension;
  CHECK(body.get<LeaseExtension>().evacuated);
  body.erase("evacuated");
  CHECK_FALSE(body.get<LeaseExtension>().evacuated);
  CHECK(body.get<LeaseExtension>().sequence == 7);
  body.erase("sequence");
  CHECK_THROWS_AS(body.get<LeaseExtension>(), nlohmann::json::exception);
}
