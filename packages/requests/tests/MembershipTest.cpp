#include "Membership.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::milliseconds;

namespace {

const PoolKey kPool{ OrganisationId{ "acme" }, ServiceName{ "shop" } };
const LinkId kOldLink{ 1 };
const LinkId kNewLink{ 2 };
const UpstreamId kUpstream{ "u" };

struct Fixture
{
  Counters counters;
  Membership membership{ counters };
  Instant now = Instant(std::chrono::seconds(1000));

  Fixture()
  {
    this->membership.LinkUp(kOldLink, milliseconds(1));
    this->membership.LinkUp(kNewLink, milliseconds(1));
  }

  void SendAnnounce(LinkId aLink, std::uint64_t aAgent, std::uint64_t aUpstream)
  {
    Announce announce{ AgentId{ "a" }, Incarnation{ aAgent }, WorkerId{ "w" }, {}, {}, {}, {} };
    announce.upstreams.push_back(
      { kUpstream, Incarnation{ aUpstream }, kPool.provider, kPool.service, 8, 64 });
    this->membership.Apply(this->now, aLink, announce);
  }

  std::size_t Size() const { return this->membership.PoolOf(kPool).size(); }
};

} // namespace

// Guards against routing to an old incarnation of an agent or upstream.
TEST_CASE("Membership AcceptsOnlyTheHighestIncarnation")
{
  Fixture f;
  f.SendAnnounce(kNewLink, 2, 5);
  f.SendAnnounce(kOldLink, 1, 9);
  REQUIRE(f.Size() == 1);
  CHECK(f.membership.PoolOf(kPool)[0]->link == kNewLink);
  f.SendAnnounce(kNewLink, 2, 4);
  CHECK(f.membership.PoolOf(kPool)[0]->incarnation == Incarnation{ 5 });
  CHECK(f.counters.Total("link_messages_dropped_total") == 2);
  f.SendAnnounce(kNewLink, 3, 1);
  CHECK(f.membership.PoolOf(kPool)[0]->incarnation == Incarnation{ 1 });
}

// Guards against removing an upstream that was announced on a new link when its old link closes.
TEST_CASE("Membership KeepsAnUpstreamOnANewLinkWhenItsOldLinkCloses")
{
  Fixture f;
  f.SendAnnounce(kOldLink, 1, 1);
  f.SendAnnounce(kNewLink, 1, 1);
  f.membership.LinkDown(kOldLink);
  REQUIRE(f.Size() == 1);
  CHECK(f.membership.PoolOf(kPool)[0]->link == kNewLink);
  f.membership.LinkDown(kNewLink);
  CHECK(f.Size() == 0);
}

// Guards against a delayed or repeated grant that raises the credit again, and against an Announce
// in flight that undoes a Leave.
TEST_CASE("Membership DropsStaleGrantsReportsAndAnnouncements")
{
  Fixture f;
  f.SendAnnounce(kOldLink, 1, 1);
  f.membership.Apply(kOldLink, CreditGrant{ kUpstream, Incarnation{ 1 }, 2, 1, 8 });
  f.membership.Apply(kOldLink, CreditGrant{ kUpstream, Incarnation{ 1 }, 1, 8, 64 });
  CHECK(f.membership.PoolOf(kPool)[0]->slots == 1);
  f.membership.Apply(kOldLink, Leave{ kUpstream, Incarnation{ 1 } });
  f.SendAnnounce(kOldLink, 1, 1);
  CHECK(f.membership.PoolOf(kPool)[0]->leaving);
  LoadReport report{ AgentId{ "a" }, Incarnation{ 1 }, 2, { { kUpstream, 5 } }, {} };
  f.membership.Apply(f.now, kOldLink, report);
  report.sequence = 1;
  report.upstreams[0].inFlight = 50;
  f.membership.Apply(f.now, kOldLink, report);
  CHECK(f.membership.PoolOf(kPool)[0]->othersInFlight == 5);
}

// Guards against accepting messages for an agent on a link that another agent has announced.
TEST_CASE("Membership BindsALinkToItsAgent")
{
  Fixture f;
  f.SendAnnounce(kOldLink, 1, 1);
  f.membership.Apply(
    f.now, kOldLink, Announce{ AgentId{ "b" }, Incarnation{ 9 }, {}, {}, {}, {}, {} });
  f.membership.Apply(kNewLink, Leave{ kUpstream, Incarnation{ 1 } });
  REQUIRE(f.Size() == 1);
  CHECK_FALSE(f.membership.PoolOf(kPool)[0]->leaving);
}
