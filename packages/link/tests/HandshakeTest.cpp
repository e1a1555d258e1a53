#include "ControlChannel.h"
#include "LinkPair.h"

#include "oriolespread/link_testing/Relay.h"

#include <asio/write.hpp>

using namespace oriolespread;
using internal::ControlChannel;
using internal::Hello;
using internal::Role;

namespace {

// One side of a handshake without a socket.
struct Side
{
  explicit Side(Role aRole, const std::string& aId, const std::string& aKey = kTestKey)
    : channel({ aRole, aId, "dc", {} }, aKey, "", LinkLimits{})
  {
    this->channel.onUp = [] {};
    this->channel.onMessage = [this](const LinkMessage&) { ++this->messages; };
    REQUIRE(this->channel.Begin());
  }
  std::string Take()
  {
    std::string bytes(this->channel.PendingBytes(), '\0');
    this->channel.TakeOutput(reinterpret_cast<std::uint8_t*>(bytes.data()), bytes.size());
    return bytes;
  }
  std::string Receive(const std::string& aBytes)
  {
    return std::string(this->channel.Receive(aBytes));
  }

  ControlChannel channel;
  int messages = 0;
};

std::string ReadAll(asio::ip::tcp::socket& aSocket)
{
  std::string bytes(4096, '\0');
  asio::error_code error;
  aSocket.non_blocking(true, error);
  bytes.resize(aSocket.read_some(asio::buffer(bytes), error));
  return error == asio::error::eof ? "eof" : bytes;
}

} // namespace

TEST_CASE("ControlChannel ComesUpOnBothSidesAlsoByteByByte")
{
  Side entry(Role::Entry, "e");
  Side agent(Role::Agent, "a");
  for (int round = 0; round < 2; ++round) {
    for (const char byte : entry.Take()) {
      REQUIRE(agent.Receive(std::string(1, byte)).empty());
    }
    for (const char byte : agent.Take()) {
      REQUIRE(entry.Receive(std::string(1, byte)).empty());
    }
  }
  CHECK(entry.channel.IsUp());
  CHECK(agent.channel.IsUp());
  CHECK(entry.channel.Peer().id == "a");
}

TEST_CASE("ControlChannel RefusesAnotherKeyOnEitherSide")
{
  Side entry(Role::Entry, "e");
  Side agent(Role::Agent, "a", "another key of enough bytes");
  REQUIRE(agent.Receive(entry.Take()).empty());
  CHECK(entry.Receive(agent.Take()) == "bad_proof");
  // An impostor entry that ignores the agent's proof cannot make its own.
  Side impostor(Role::Entry, "e", "another key of enough bytes");
  Side victim(Role::Agent, "a");
  REQUIRE(victim.Receive(impostor.Take()).empty());
  CHECK(victim.Receive(std::string("\0\0\0\x21\x02", 5) + std::string(32, 'p')) == "bad_proof");
  CHECK_FALSE(victim.channel.IsUp());
}

// Guards against a proof recorded from an earlier connection.
TEST_CASE("ControlChannel RefusesAReplayedProof")
{
  Side entry(Role::Entry, "e");
  Side agent(Role::Agent, "a");
  REQUIRE(agent.Receive(entry.Take()).empty());
  const std::string recorded = agent.Take();
  REQUIRE(entry.Receive(recorded).empty());
  Side later(Role::Entry, "e");
  CHECK(later.Receive(recorded) == "bad_proof");
}

// Guards against a peer without the key that sends a side's own bytes back, or has another process
// make the proof.
TEST_CASE("ControlChannel RefusesReflectedAndBorrowedProofs")
{
  Side entry(Role::Entry, "e");
  CHECK(entry.Receive(entry.Take()) == "wrong_role");
  const Hello a{ Role::Agent, "a", "dc", std::string(32, '1') };
  const Hello e{ Role::Entry, "e", "dc", std::string(32, '2') };
  const std::string proof = internal::MakeProof(kTestKey, a, e);
  CHECK(internal::IsProof(proof, kTestKey, a, e));
  CHECK_FALSE(internal::IsProof(proof, kTestKey, e, a));
  for (const Hello& changed : { Hello{ Role::Entry, "a", "dc", a.nonce },
                                Hello{ Role::Agent, "b", "dc", a.nonce },
                                Hello{ Role::Agent, "a", "d", a.nonce },
                                Hello{ Role::Agent, "a", "dc", e.nonce } }) {
    CHECK_FALSE(internal::IsProof(proof, kTestKey, changed, e));
  }
  CHECK_FALSE(internal::IsProof("", kTestKey, a, e));
}

TEST_CASE("ControlChannel RefusesAnythingBeforeTheProof")
{
  Side recorder(Role::Agent, "a");
  recorder.channel.QueueMessage(EncodeMessage(Leave{}));
  const std::string message = recorder.Take();
  Side entry(Role::Entry, "e");
  CHECK(entry.Receive(message) == "message_before_proof");
  CHECK(entry.messages == 0);
  Side proofFirst(Role::Agent, "a");
  CHECK(proofFirst.Receive(std::string("\0\0\0\x21\x02", 5) + std::string(32, 'p')) ==
        "unexpected_proof");
  // Guards against an unproven peer that makes this side buffer megabytes.
  Side large(Role::Agent, "a");
  CHECK(large.Receive(std::string("\0\x40\0\0", 4)) == "handshake_record_too_large");
}

TEST_CASE("ControlChannel AnswersRandomBytesWithAnError")
{
  const std::uint64_t seed = 20261204;
  RandomSource random(seed);
  for (int round = 0; round < 20'000; ++round) {
    INFO("seed " << seed << " round " << round);
    Side side(random.Chance(0.5) ? Role::Entry : Role::Agent, "x");
    Side other(Role::Entry, "e");
    std::string bytes = other.Take();
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    bytes.resize(random.Below(bytes.size()));
    side.Receive(bytes);
    CHECK_FALSE(side.channel.IsUp());
  }
}

// Guards against a peer with a wrong key that stays connected or stays uncounted.
TEST_CASE("Link RefusesAnAgentWithAnotherKeyAndCountsIt")
{
  LinkPair pair(TestListenerOptions(), [](LinkDialerOptions& aOptions) {
    aOptions.sharedKey = "a wrong key of 16 bytes";
  });
  REQUIRE(pair.Run(
    [&] { return pair.entryCounters.Get("link_handshake_failed_total", "bad_proof") >= 2; }));
  CHECK(pair.entry.ups.empty());
  CHECK(pair.agent.ups.empty());
}

TEST_CASE("Link RefusesAnEntryThatIsNotTheExpectedOne")
{
  LinkPair pair(TestListenerOptions(),
                [](LinkDialerOptions& aOptions) { aOptions.expectedEntry = EntryId{ "entry-2" }; });
  REQUIRE(pair.Run(
    [&] { return pair.agentCounters.Get("link_handshake_failed_total", "wrong_peer") >= 1; }));
  CHECK(pair.agent.ups.empty());
}

TEST_CASE("Link ClosesAStalledHandshakeOnBothSides")
{
  LinkListenerOptions options = TestListenerOptions();
  options.limits.handshakeTimeout = std::chrono::milliseconds(20);
  LinkPair pair(options);
  pair.dialer.reset();
  asio::ip::tcp::socket silent(pair.context);
  silent.connect(Loopback(pair.listener->Port()));
  REQUIRE(pair.Run([&] {
    return pair.entryCounters.Get("link_handshake_failed_total", "handshake_timeout") == 1;
  }));
  asio::ip::tcp::acceptor acceptor(pair.context, Loopback(0));
  LinkDialerOptions dialer = TestDialerOptions(acceptor.local_endpoint().port());
  dialer.limits = options.limits;
  pair.StartDialer(dialer);
  REQUIRE(pair.Run([&] {
    return pair.agentCounters.Get("link_handshake_failed_total", "handshake_timeout") >= 2;
  }));
}

TEST_CASE("LinkListener RefusesLinksAboveItsLimit")
{
  LinkListenerOptions options = TestListenerOptions();
  options.maxLinks = 1;
  LinkPair pair(options);
  REQUIRE(pair.RunUntilUp());
  asio::ip::tcp::socket further(pair.context);
  further.connect(Loopback(pair.listener->Port()));
  REQUIRE(
    pair.Run([&] { return pair.entryCounters.Get("link_refused_total", "too_many_links") == 1; }));
  REQUIRE(pair.Run([&] { return ReadAll(further) == "eof"; }));
}

// Guards against a crash, a hang or an uncounted refusal when something else connects.
TEST_CASE("Link RefusesGarbageOnBothPortsAndKeepsServing")
{
  const std::uint64_t seed = 4711;
  CAPTURE(seed);
  RandomSource random(seed);
  LinkListenerOptions options = TestListenerOptions();
  options.limits.handshakeTimeout = std::chrono::milliseconds(50);
  LinkPair pair(options);
  REQUIRE(pair.RunUntilUp());
  asio::ip::tcp::acceptor acceptor(pair.context, Loopback(0));
  LinkDialerOptions dialerOptions = TestDialerOptions(acceptor.local_endpoint().port());
  dialerOptions.limits = options.limits;
  Counters counters;
  auto dialer = LinkDialer::Create(pair.context, dialerOptions, {}, counters);
  REQUIRE(dialer.ok());
  // A valid preface and SETTINGS frame get the rest of the bytes further into the protocol.
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const std::string settings("\0\0\0\x04\0\0\0\0\0", 9);
  for (std::uint64_t round = 1; round <= 100; ++round) {
    std::string garbage(1 + random.Below(3'000), '\0');
    for (char& byte : garbage) {
      byte = static_cast<char>(random.Next());
    }
    const bool deeper = random.Chance(0.7);
    if (deeper) {
      // A plausible frame header: small length, known type.
      garbage.replace(0, std::min<std::size_t>(4, garbage.size()), std::string("\0\0\x20", 3));
      garbage.insert(3, 1, static_cast<char>(random.Below(10)));
    }
    asio::ip::tcp::socket toEntry(pair.context);
    toEntry.connect(Loopback(pair.listener->Port()));
    asio::error_code ignored;
    asio::write(toEntry, asio::buffer((deeper ? settings : "") + garbage), ignored);
    asio::ip::tcp::socket toAgent(pair.context);
    bool accepted = false;
    acceptor.async_accept(toAgent, [&](asio::error_code aError) { accepted = !aError; });
    REQUIRE(pair.Run([&] { return accepted; }));
    asio::write(toAgent, asio::buffer((deeper ? preface + settings : "") + garbage), ignored);
    REQUIRE(pair.Run([&] {
      return pair.entryCounters.Total("link_handshake_failed_total") == round &&
             counters.Total("link_handshake_failed_total") == round;
    }));
  }
  CHECK(pair.Call(TestRequest(1)).end == CallEnd::Answered);
}
