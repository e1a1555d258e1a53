#include "PendingQueue.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oriolespread;
using namespace oriolespread::internal;

namespace {

struct Fixture
{
  FairShare shares;
  std::set<TaskIndex> cancelled;
  PendingQueue queue{ shares, [this](const QueueEntry& aEntry) {
                       return !this->cancelled.contains(aEntry.task);
                     } };
  std::uint64_t sequence = 0;

  Fixture() { this->shares.SetTotal({ 100'000, 100'000, 0 }); }

  GroupIndex Add(NameIndex aOrganisation,
                 TaskIndex aTask,
                 std::int64_t aMilliCores,
                 bool aUrgent = false)
  {
    TaskShape shape;
    shape.organisation = aOrganisation;
    shape.urgent = aUrgent;
    shape.declared = { aMilliCores, 100, 0 };
    return this->queue.Add(shape, { aTask, ++this->sequence, Instant{} });
  }
};

} // namespace

// Guards against serving organisations in order of arrival instead of by share.
TEST_CASE("PendingQueue ServesTheOrganisationWithTheLowestWeightedShare")
{
  Fixture fixture;
  const GroupIndex first = fixture.Add(0, 1, 1000);
  const GroupIndex second = fixture.Add(1, 2, 1000);
  CHECK(fixture.queue.NextReady() == first);
  fixture.shares.Charge(0, kNone, { 10'000, 0, 0 });
  fixture.queue.OnShareChanged(0);
  CHECK(fixture.queue.NextReady() == second);
  fixture.shares.Charge(1, kNone, { 0, 20'000, 0 });
  fixture.queue.OnShareChanged(1);
  CHECK(fixture.queue.NextReady() == first);
  fixture.shares.SetWeight(1, 4.0);
  fixture.queue.OnShareChanged(1);
  CHECK(fixture.queue.NextReady() == second);
  const GroupIndex urgent = fixture.Add(0, 3, 1000, true);
  CHECK(fixture.queue.NextReady() == urgent);
}

// Guards against a group that blocks others, and against offering capacity to a group that does not
// fit.
TEST_CASE("PendingQueue OffersFreedCapacityToGroupsThatFit")
{
  Fixture fixture;
  const GroupIndex large = fixture.Add(0, 1, 8000);
  const GroupIndex small = fixture.Add(0, 2, 1000);
  fixture.queue.SetAside(Instant{}, large, GroupState::NoCapacity, { 8000, 100, 0 });
  CHECK(fixture.queue.NextReady() == small);
  fixture.queue.SetAside(Instant{}, small, GroupState::NoCapacity, { 1000, 100, 0 });
  CHECK_FALSE(fixture.queue.NextReady().has_value());
  const auto any = [](GroupIndex) { return true; };
  CHECK(fixture.queue.BestGroupFor({ 4000, 1000, 0 }, any) == small);
  CHECK(fixture.queue.BestGroupFor({ 8000, 1000, 0 }, any) == large);
  CHECK_FALSE(fixture.queue.BestGroupFor({ 8000, 50, 0 }, any).has_value());
  CHECK(fixture.queue.OldestSetAside(Instant{}) == large);
  fixture.queue.Wake(large);
  CHECK(fixture.queue.OldestSetAside(Instant{}) == small);
}

// Guards against serving cancelled tasks and against losing the tasks behind them.
TEST_CASE("PendingQueue SkipsCancelledEntries")
{
  Fixture fixture;
  const GroupIndex group = fixture.Add(0, 1, 1000);
  CHECK(fixture.Add(0, 2, 1000) == group);
  CHECK(fixture.Add(0, 3, 1000) == group);
  for (const TaskIndex task : { 2U, 1U }) {
    fixture.cancelled.insert(task);
    fixture.queue.Cancel(group);
  }
  CHECK(fixture.queue.size() == 1);
  CHECK(fixture.queue.Head(group).task == 3);
  fixture.queue.PopHead(group);
  CHECK(fixture.queue.size() == 0);
  CHECK_FALSE(fixture.queue.NextReady().has_value());
}

// Guards against exceeding a quota and against limiting teams without a quota.
TEST_CASE("FairShare AllowsUpToTheQuota")
{
  FairShare shares;
  shares.SetQuota(2, Resources{ 1000, 1000, 0 });
  CHECK(shares.QuotaAllows(2, { 1000, 1000, 0 }));
  shares.Charge(0, 2, { 600, 10, 0 });
  CHECK_FALSE(shares.QuotaAllows(2, { 500, 10, 0 }));
  CHECK(shares.QuotaAllows(3, { 500'000, 10, 0 }));
  shares.Refund(0, 2, { 600, 10, 0 });
  CHECK(shares.QuotaAllows(2, { 500, 10, 0 }));
  shares.SetQuota(2, std::nullopt);
  CHECK(shares.QuotaAllows(2, { 500'000, 10, 0 }));
}
