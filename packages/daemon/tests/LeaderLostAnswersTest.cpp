// Leaders and claims at a store that loses answers.
#include "LeaderDriverFixture.h"

#include "oriolespread/daemon/ClusterSettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

// Entries that reach the store at an address each, and an agent that follows the leader.
struct TestCluster
{
  struct Member
  {
    std::size_t server = 0;
    std::unique_ptr<platformwire::StoreClient> client;
    std::unique_ptr<TestEntry> entry;
    // Claims that the agent has answered with a full report.
    std::size_t answeredClaims = 0;
  };

  StoreFixture fixture;
  std::vector<Member> members;
  Instant nextReportAt{};

  explicit TestCluster(std::size_t aSize)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      Member& member = this->members.emplace_back();
      member.server = this->fixture.store.Serve("127.0.0.1", 0);
      member.client = *platformwire::StoreClient::Create(
        this->fixture.context,
        "127.0.0.1:" + std::to_string(this->fixture.store.PortOf(member.server)),
        this->fixture.counters);
      member.entry = std::make_unique<TestEntry>(this->fixture,
                                                 std::string(1, static_cast<char>('a' + index)),
                                                 std::chrono::seconds(5),
                                                 std::chrono::seconds(5),
                                                 member.client.get());
      member.entry->driver->Start();
    }
  }

  // Returns whether a member leads, or takes itself for the leader.
  bool HasLeader(const Member* aExcept = nullptr) const
  {
    return std::any_of(this->members.begin(), this->members.end(), [&](const Member& aMember) {
      return &aMember != aExcept && aMember.entry->IsLeading();
    });
  }

  std::uint64_t LeadershipCount() const
  {
    return this->fixture.counters.Get("leadership_total", "claimed");
  }

  void SetFault(const platformwire_testing::StoreFault& aFault)
  {
    for (const Member& member : this->members) {
      this->fixture.store.SetFault(member.server, aFault);
    }
  }

  void SendReports()
  {
    if (BootClock::now() < this->nextReportAt) {
      return;
    }
    this->nextReportAt = BootClock::now() + 100 * kMillisecond;
    for (Member& member : this->members) {
      if (member.entry->IsLeading()) {
        const std::size_t claims = member.entry->claims.size();
        member.entry->SendReport("w", "agent", claims != member.answeredClaims);
        member.answeredClaims = claims;
      }
    }
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Duration aTime)
  {
    return this->fixture.RunUntil(
      [&] {
        this->SendReports();
        return aCondition();
      },
      aTime);
  }

  // Returns the longest time from the submission of a job until its task was ordered, of jobs that
  // are submitted one after another.
  Duration LongestStart(Duration aTime)
  {
    Duration longest{};
    const Instant until = BootClock::now() + aTime;
    for (int number = 0; BootClock::now() < until; ++number) {
      const std::string job = "job" + std::to_string(number);
      SubmitJob(this->fixture, job);
      const Instant submittedAt = BootClock::now();
      this->RunUntil(
        [&] {
          return std::any_of(
            this->members.begin(), this->members.end(), [&](const Member& aMember) {
              return aMember.entry->CountStarts(job) > 0;
            });
        },
        std::chrono::seconds(10));
      longest = std::max(longest, BootClock::now() - submittedAt);
      this->RunUntil([] { return false; }, 20 * kMillisecond);
    }
    return longest;
  }
};

} // namespace

// Guards against a leader that reaches the store and is superseded, and decisions that wait for a
// second, because answers of the store are lost.
TEST_CASE("LeaderDriver GoesOnPlacingWhenAnswersOfTheStoreAreLost")
{
  const double lost = GENERATE(0.35, 0.6, 1.0);
  TestCluster cluster(5);
  REQUIRE(cluster.RunUntil([&] { return cluster.HasLeader(); }, std::chrono::seconds(5)));
  REQUIRE(cluster.LongestStart(1000 * kMillisecond) < 1000 * kMillisecond);
  const std::uint64_t leaders = cluster.LeadershipCount();
  cluster.SetFault({ .lost = lost });
  const Duration longest = cluster.LongestStart(6000 * kMillisecond);
  INFO("lost " << lost << ", longest start " << ToMilliseconds(longest)
               << " ms, changes of the leader " << cluster.LeadershipCount() - leaders);
  CHECK(longest < 1000 * kMillisecond);
  CHECK(cluster.LeadershipCount() == leaders);
}

// Guards against seconds without a leader after the end of one, because the answers to the claims
// of the others are lost.
TEST_CASE("LeaderDriver ReplacesAnEndedLeaderInTimeWhenAnswersToClaimsAreLost")
{
  const double lost = GENERATE(0.35, 0.6, 1.0);
  for (int round = 0; round < 3; ++round) {
    TestCluster cluster(5);
    REQUIRE(cluster.RunUntil([&] { return cluster.HasLeader(); }, std::chrono::seconds(5)));
    cluster.SetFault({ .lost = lost });
    cluster.RunUntil([] { return false; }, 1000 * kMillisecond);
    const auto leader =
      std::find_if(cluster.members.begin(), cluster.members.end(), [](const auto& aMember) {
        return aMember.entry->IsLeading();
      });
    REQUIRE(leader != cluster.members.end());
    cluster.fixture.store.SetFault(leader->server, { .silent = true });
    const Instant endedAt = BootClock::now();
    const std::uint64_t leaders = cluster.LeadershipCount();
    // A silent leader is claimed within 1.5 s.
    const bool isReplaced = cluster.RunUntil(
      [&] { return cluster.LeadershipCount() > leaders && cluster.HasLeader(&*leader); },
      std::chrono::seconds(20));
    const Duration time = BootClock::now() - endedAt;
    INFO("lost " << lost << ", round " << round << ", replaced after " << ToMilliseconds(time)
                 << " ms");
    CHECK(isReplaced);
    CHECK(time < 2000 * kMillisecond);
  }
}

// Guards against a new leader that places nothing for a whole time-out because an answer is lost.
TEST_CASE("LeaderDriver LoadsWithinATimeoutWhenAReadIsLost")
{
  StoreFixture fixture;
  TestEntry entry(fixture, "a");
  entry.driver->Start();
  REQUIRE(fixture.RunUntil([&] { return entry.claims.size() == 1; }));
  const Instant claimedAt = BootClock::now();
  fixture.store.SetFault(fixture.server, { .lostReads = 1.0 });
  fixture.RunFor(100 * kMillisecond);
  fixture.store.SetFault(fixture.server, {});
  REQUIRE(fixture.RunUntil([&] { return entry.claims.size() >= 2; }));
  const Duration time = BootClock::now() - claimedAt;
  INFO("loaded after " << ToMilliseconds(time) << " ms");
  CHECK(time < kStoreTimeout);
}

// Guards against an ended leader that stays in place because a read of its row is not answered.
TEST_CASE("LeaderDriver ReplacesAnEndedLeaderInTimeWhenAReadIsLost")
{
  StoreFixture fixture;
  cluster::LeaderRecord ended;
  ended.entry = "z";
  ended.process = "p";
  ended.epoch = 3;
  PutLeaderRow(fixture, ended);
  TestEntry entry(fixture, "a");
  entry.driver->Start();
  const Instant startedAt = BootClock::now();
  fixture.RunFor(800 * kMillisecond);
  fixture.store.SetFault(fixture.server, { .lostReads = 1.0 });
  fixture.RunFor(300 * kMillisecond);
  fixture.store.SetFault(fixture.server, {});
  REQUIRE(fixture.RunUntil([&] { return !entry.claims.empty(); }));
  const Duration time = BootClock::now() - startedAt;
  INFO("replaced after " << ToMilliseconds(time) << " ms");
  CHECK(time < 2000 * kMillisecond);
}

// Guards against an ended leader that is not replaced until reads have caught up, and a leader that
// is superseded because its renewals do not show in reads.
TEST_CASE("LeaderDriver ReplacesOnlyAnEndedLeaderWhenReadsAreBehind")
{
  TestCluster cluster(3);
  REQUIRE(cluster.RunUntil([&] { return cluster.HasLeader(); }, std::chrono::seconds(5)));
  cluster.RunUntil([] { return false; }, 1000 * kMillisecond);
  const std::uint64_t leaders = cluster.LeadershipCount();
  cluster.fixture.store.FreezeReads();
  cluster.RunUntil([] { return false; }, 4000 * kMillisecond);
  CHECK(cluster.LeadershipCount() == leaders);
  for (const TestCluster::Member& member : cluster.members) {
    if (member.entry->IsLeading()) {
      cluster.fixture.store.SetFault(member.server, { .silent = true });
    }
  }
  const Instant endedAt = BootClock::now();
  const bool isReplaced =
    cluster.RunUntil([&] { return cluster.LeadershipCount() > leaders; }, std::chrono::seconds(8));
  const Duration time = BootClock::now() - endedAt;
  INFO("replaced after " << ToMilliseconds(time) << " ms");
  CHECK(isReplaced);
  // Twice the time in which a silent leader is claimed: a conflict shows its last renewal.
  CHECK(time < 3000 * kMillisecond);
}
