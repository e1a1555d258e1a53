#include "LeaderWrite.h"

#include "StoreFixture.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// A write of the leadership row, sent to a store that has answered fast before.
struct TestWrite
{
  StoreFixture& fixture;
  cluster::TimeoutEstimator timeout{ cluster::TimeoutLimits{} };
  std::vector<cluster::CommitResult> fates;
  std::optional<Instant> fateSentAt;
  std::uint64_t retries = 0;
  std::shared_ptr<LeaderWrite> write;

  explicit TestWrite(StoreFixture& aFixture)
    : fixture(aFixture)
  {
    for (int answer = 0; answer < 20; ++answer) {
      this->timeout.OnAnswer(kMillisecond);
    }
  }

  void Send(const std::string& aValue = "v")
  {
    cluster::StoreTransaction transaction;
    transaction.conditions.push_back({ jobs::LeaderRow(), 0 });
    transaction.changes.push_back({ jobs::LeaderRow(), aValue, false });
    this->write = LeaderWrite::Send(
      this->fixture.context,
      *this->fixture.client,
      this->timeout,
      std::move(transaction),
      [this](const std::string& /*aReason*/) { ++this->retries; },
      [this](const cluster::CommitResult& aResult, Instant aSentAt) {
        this->fates.push_back(aResult);
        this->fateSentAt = aSentAt;
      });
  }
};

} // namespace

// Guards against an outcome that is counted for each attempt, or a renewal that counts from a later
// attempt than the one that was applied.
TEST_CASE("LeaderWrite EndsOnceWhenSeveralAttemptsAreAnsweredLate")
{
  StoreFixture fixture;
  TestWrite write(fixture);
  fixture.store.SetFault(fixture.server, { .delay = 400 * kMillisecond });
  write.Send();
  fixture.RunFor(1500 * kMillisecond);
  REQUIRE(write.fates.size() == 1);
  CHECK(write.fates.front().end == cluster::CommitEnd::Applied);
  CHECK(*write.fateSentAt - write.write->StartedAt() < 100 * kMillisecond);
  CHECK(write.write->Attempts() > 1);
  CHECK(write.write->Attempts() == write.retries + 1);
}

// Guards against calls that use up the store's writes while it answers none.
TEST_CASE("LeaderWrite SendsFewCallsWhenTheStoreIsSilent")
{
  StoreFixture fixture;
  TestWrite write(fixture);
  fixture.store.SetFault(fixture.server, { .silent = true });
  write.Send();
  fixture.RunFor(4500 * kMillisecond);
  CHECK(write.fates.empty());
  // Four at most in each time-out of 0.9 s.
  CHECK(write.write->Attempts() <= 20);
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.RunUntil([&] { return write.fates.size() == 1; }, 1000 * kMillisecond));
}

// Guards against a write that is taken for lost, or for applied, because of a read from before it.
TEST_CASE("LeaderWrite IgnoresAReadThatIsBehind")
{
  StoreFixture fixture;
  TestWrite write(fixture);
  fixture.store.FreezeReads();
  fixture.store.SetFault(fixture.server, { .lost = 1.0 });
  write.Send();
  fixture.RunFor(600 * kMillisecond);
  CHECK(write.fates.empty());
  fixture.store.ThawReads();
  REQUIRE(fixture.RunUntil([&] { return write.fates.size() == 1; }, 1000 * kMillisecond));
  CHECK(write.fates.front().end == cluster::CommitEnd::Conflict);
  REQUIRE(write.fates.front().current.size() == 1);
  CHECK(write.fates.front().current.front().value == "v");
}

// Guards against an earlier term's outcome that reaches a later one.
TEST_CASE("LeaderWrite CallsNothingBackWhenItIsCancelled")
{
  StoreFixture fixture;
  TestWrite write(fixture);
  fixture.store.SetFault(fixture.server, { .delay = 300 * kMillisecond });
  write.Send();
  fixture.RunFor(200 * kMillisecond);
  const std::uint64_t attempts = write.write->Attempts();
  const std::uint64_t retries = write.retries;
  write.write->Cancel();
  fixture.RunFor(600 * kMillisecond);
  CHECK(write.fates.empty());
  CHECK(write.write->Attempts() == attempts);
  CHECK(write.retries == retries);
}
