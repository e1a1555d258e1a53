#include "oriolespread/jobs/RowQueue.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

// A queue in front of a store that refuses some rows.
struct QueueFixture
{
  RowQueue queue;
  Instant now = Instant{} + std::chrono::hours(1);
  std::set<std::string> refused;
  std::vector<std::string> applied;
  int transactions = 0;

  void Add(const std::string& aPrefix, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      this->queue.Add(ProgressRow(aPrefix + std::to_string(index), 0, 0));
    }
  }

  // Sends the next transaction of at most 95 rows. Returns how many rows it has.
  std::size_t Send()
  {
    std::size_t count = 0;
    const auto rows = this->queue.Take([&](const RowKey&) { return ++count <= 95; });
    const auto isRefused = [&](const RowKey& aRow) { return this->refused.contains(aRow.key); };
    ++this->transactions;
    if (std::any_of(rows.begin(), rows.end(), isRefused)) {
      this->queue.OnRefused(rows, this->now);
    } else {
      this->queue.OnApplied(rows);
      for (const RowKey& row : rows) {
        this->applied.push_back(row.key);
      }
    }
    return rows.size();
  }

  void SendAll()
  {
    while (!this->queue.IsEmpty()) {
      this->Send();
    }
  }

  bool IsApplied(const std::string& aKey) const
  {
    return std::find(this->applied.begin(), this->applied.end(), aKey) != this->applied.end();
  }
};

} // namespace

TEST_CASE("RowQueue TakesAddedRowsOnceAndInOrder")
{
  QueueFixture fixture;
  fixture.Add("a", 3);
  fixture.Add("a", 3);
  fixture.SendAll();
  CHECK(fixture.applied == std::vector<std::string>{ "a0.0.0", "a1.0.0", "a2.0.0" });
}

// Guards against one row that keeps all rows beside it from being stored.
TEST_CASE("RowQueue WithholdsTheRefusedRowOnly")
{
  for (const int odd : { 0, 1, 47, 48, 94 }) {
    QueueFixture fixture;
    const std::string key = "a" + std::to_string(odd) + ".0.0";
    fixture.refused = { key };
    fixture.Add("a", 95);
    fixture.SendAll();
    INFO("row " << odd << ", transactions " << fixture.transactions);
    CHECK(fixture.applied.size() == 94);
    CHECK(fixture.queue.WithheldCount() == 1);
    CHECK(fixture.queue.IsWithheld(ProgressRow("a" + std::to_string(odd), 0, 0)));
    CHECK(fixture.transactions <= 15);
  }
}

// Guards against rows that wait until all refused rows are found.
TEST_CASE("RowQueue TakesOtherRowsBetweenRefusedOnes")
{
  QueueFixture fixture;
  for (int index = 0; index < 95; ++index) {
    fixture.refused.insert("a" + std::to_string(index) + ".0.0");
  }
  fixture.Add("a", 95);
  fixture.Send();
  fixture.Add("b", 1);
  fixture.Send();
  fixture.Send();
  CHECK(fixture.IsApplied("b0.0.0"));
  fixture.SendAll();
  CHECK(fixture.queue.WithheldCount() == 95);
}

// Guards against a row that is never found because it changes during each attempt.
TEST_CASE("RowQueue WithholdsARowThatChangesMeanwhile")
{
  QueueFixture fixture;
  fixture.Add("a", 8);
  const RowKey odd = ProgressRow("a5", 0, 0);
  for (int attempt = 0; attempt < 20 && !fixture.queue.IsEmpty(); ++attempt) {
    const auto rows = fixture.queue.Take([](const RowKey&) { return true; });
    fixture.queue.Add(odd);
    if (std::find(rows.begin(), rows.end(), odd) != rows.end()) {
      fixture.queue.OnRefused(rows, fixture.now);
    } else {
      fixture.queue.OnApplied(rows);
    }
  }
  CHECK(fixture.queue.IsEmpty());
  CHECK(fixture.queue.IsWithheld(odd));
}

TEST_CASE("RowQueue RetriesAWithheldRowAloneWithAGrowingDelay")
{
  QueueFixture fixture;
  fixture.refused = { "a0.0.0" };
  fixture.Add("a", 1);
  fixture.SendAll();
  std::vector<std::int64_t> delays;
  Instant refusedAt = fixture.now;
  while (delays.size() < 7) {
    fixture.now += std::chrono::milliseconds(100);
    fixture.queue.Release(fixture.now);
    fixture.Add("a", 1);
    if (!fixture.queue.IsEmpty()) {
      fixture.Add("b", 3);
      const std::size_t rowsSent = fixture.Send();
      CHECK(rowsSent == 1);
      CHECK(fixture.queue.IsWithheld(ProgressRow("a0", 0, 0)));
      fixture.SendAll();
      delays.push_back((fixture.now - refusedAt) / kSecond);
      refusedAt = fixture.now;
    }
  }
  CHECK(delays == std::vector<std::int64_t>{ 1, 2, 4, 8, 16, 30, 30 });
  fixture.refused.clear();
  fixture.now += 30 * kSecond;
  fixture.queue.Release(fixture.now);
  fixture.SendAll();
  CHECK(fixture.IsApplied("a0.0.0"));
  CHECK(fixture.queue.WithheldCount() == 0);
}

// Guards against a share of the store's calls that grows with the number of refused rows, and
// against rows that stay withheld for long although the store takes them again.
TEST_CASE("RowQueue RetriesRefusedRowsSlowlyUntilOneIsApplied")
{
  QueueFixture fixture;
  for (int index = 0; index < 50; ++index) {
    fixture.refused.insert("a" + std::to_string(index) + ".0.0");
  }
  fixture.Add("a", 50);
  fixture.SendAll();
  fixture.now += kSecond;
  fixture.transactions = 0;
  for (int pass = 0; pass < 100; ++pass) {
    fixture.now += std::chrono::milliseconds(10);
    fixture.queue.Release(fixture.now);
    fixture.SendAll();
  }
  CHECK(fixture.transactions <= 6);
  fixture.refused.clear();
  fixture.now += 30 * kSecond;
  for (int pass = 0; pass < 100; ++pass) {
    fixture.now += std::chrono::milliseconds(10);
    fixture.queue.Release(fixture.now);
    fixture.SendAll();
  }
  CHECK(fixture.applied.size() == 50);
}

// Guards against a row that work waits for and that is withheld for long although the store takes
// it again.
TEST_CASE("RowQueue RetriesAnExpeditedRowEachSecond")
{
  QueueFixture fixture;
  const RowKey odd = ProgressRow("a0", 0, 0);
  fixture.refused = { "a0.0.0" };
  fixture.Add("a", 1);
  fixture.SendAll();
  fixture.transactions = 0;
  for (int pass = 0; pass < 100; ++pass) {
    fixture.now += std::chrono::milliseconds(100);
    fixture.queue.Expedite(odd);
    fixture.queue.Release(fixture.now);
    fixture.SendAll();
  }
  CHECK(fixture.transactions == 10);
  // It is not expedited any more from its last refusal on.
  for (int pass = 0; pass < 100; ++pass) {
    fixture.now += std::chrono::milliseconds(100);
    fixture.queue.Release(fixture.now);
    fixture.SendAll();
  }
  CHECK(fixture.transactions == 10);
}

// Guards against a share of the store's calls that grows with the number of expedited rows, and
// against a row that is not tried again because others are expedited.
TEST_CASE("RowQueue RetriesManyExpeditedRowsAtABoundedRate")
{
  QueueFixture fixture;
  for (int index = 0; index < 50; ++index) {
    fixture.refused.insert("a" + std::to_string(index) + ".0.0");
  }
  fixture.Add("a", 50);
  fixture.SendAll();
  fixture.refused.erase("a49.0.0");
  fixture.transactions = 0;
  for (int pass = 0; pass < 1200; ++pass) {
    for (int index = 0; index < 49; ++index) {
      fixture.queue.Expedite(ProgressRow("a" + std::to_string(index), 0, 0));
    }
    fixture.now += std::chrono::milliseconds(10);
    fixture.queue.Release(fixture.now);
    fixture.SendAll();
  }
  CHECK(fixture.transactions >= 50);
  CHECK(fixture.transactions <= 62);
  CHECK(fixture.IsApplied("a49.0.0"));
}

TEST_CASE("RowQueue TakesRowsThatWerePutBackAgain")
{
  QueueFixture fixture;
  fixture.Add("a", 2);
  auto rows = fixture.queue.Take([](const RowKey&) { return true; });
  CHECK(fixture.queue.IsEmpty());
  fixture.queue.PutBack(std::move(rows));
  fixture.SendAll();
  CHECK(fixture.applied.size() == 2);
}
