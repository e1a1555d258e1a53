#include "oriolespread/requests/UpstreamRegistry.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const OrganisationId kOrganisation{ "acme" };
const ServiceName kService{ "shop" };
const UpstreamId kUpstream{ "u" };
const LinkId kLink{ 1 };

struct Fixture
{
  Counters counters;
  UpstreamRegistry registry{ { AgentId{ "a" }, Incarnation{ 1 }, WorkerId{ "w" }, {}, {}, {} },
                             counters };
  Instant now = Instant(seconds(1000));
  std::vector<OutgoingLinkMessage> messages;

  Fixture()
  {
    this->registry.AddLink(this->now, kLink);
    this->registry.AddUpstream(this->now,
                               { kUpstream, Incarnation{ 2 }, kOrganisation, kService, 8, 64 });
    this->registry.Poll(this->now, this->messages);
  }

  void AdvanceTime(Duration aTime)
  {
    const Instant end = this->now + aTime;
    while (this->registry.NextWakeup() <= end) {
      this->now = std::max(this->now, this->registry.NextWakeup());
      this->registry.Poll(this->now, this->messages);
    }
    this->now = end;
  }

  template<typename T>
  std::vector<T> All() const
  {
    std::vector<T> found;
    for (const OutgoingLinkMessage& message : this->messages) {
      if (const T* detail = std::get_if<T>(&message.message)) {
        found.push_back(*detail);
      }
    }
    return found;
  }

  void RunLatencyWindow(Duration aLatency)
  {
    for (int i = 0; i < 20; ++i) {
      this->registry.BeginCall(kUpstream);
      this->registry.EndCall(this->now, kUpstream, aLatency, false);
    }
    this->AdvanceTime(seconds(1));
  }
};

} // namespace

// Guards against entries that are not informed of an upstream, or that receive its load too late.
TEST_CASE("UpstreamRegistry AnnouncesOnConnectAndReportsEvery200Ms")
{
  Fixture f;
  REQUIRE(f.All<Announce>().size() == 1);
  CHECK(f.All<Announce>()[0].upstreams.at(0).upstream == kUpstream);
  f.registry.BeginCall(kUpstream);
  f.registry.BeginCall(kUpstream);
  f.registry.EndCall(f.now, kUpstream, milliseconds(7), false);
  f.AdvanceTime(seconds(1));
  const auto reports = f.All<LoadReport>();
  REQUIRE(reports.size() == 5);
  CHECK(reports[0].upstreams.at(0).inFlight == 1);
  CHECK(reports[0].upstreams.at(0).answered == 1);
  CHECK(reports[0].upstreams.at(0).meanLatencyUs == 7'000);
  CHECK(reports[1].upstreams.at(0).answered == 0);
  CHECK(reports[1].sequence > reports[0].sequence);
}

// Guards against an agent that remains suspect forever after a pause: entries trust it again only
// after an announcement.
TEST_CASE("UpstreamRegistry AnnouncesAgainAfterItsOwnPause")
{
  Fixture f;
  f.AdvanceTime(milliseconds(400));
  f.now += seconds(3);
  f.registry.Poll(f.now, f.messages);
  CHECK(f.All<Announce>().size() == 2);
  CHECK(f.counters.Get("announcements_total", "after_pause") == 1);
}

// Guards against an upstream being replaced by an older incarnation whose announcement was delayed.
TEST_CASE("UpstreamRegistry RefusesALowerIncarnation")
{
  Fixture f;
  CHECK_FALSE(
    f.registry.AddUpstream(f.now, { kUpstream, Incarnation{ 1 }, kOrganisation, kService, 8, 64 }));
  CHECK(f.registry.Find(kUpstream)->incarnation == Incarnation{ 2 });
}

// Guards against new calls to a leaving upstream, and against a drain that ends with calls in
// flight.
TEST_CASE("UpstreamRegistry LeavesImmediatelyAndIsDrainedWhenItsCallsHaveEnded")
{
  Fixture f;
  f.registry.BeginCall(kUpstream);
  f.registry.Drain(f.now);
  CHECK_FALSE(f.registry.AcceptsCalls(kUpstream));
  f.registry.Poll(f.now, f.messages);
  CHECK(f.All<Leave>().size() == 1);
  CHECK_FALSE(f.registry.IsDrained());
  f.registry.EndCall(f.now, kUpstream, milliseconds(1), false);
  CHECK(f.registry.IsDrained());
}

// Guards against reports after a single slow window, and against flapping when the latency is close
// to the objective.
TEST_CASE("UpstreamRegistry ReportsAfterTwoWindowsAboveTheObjectiveAndClearsBelow80Percent")
{
  Fixture f;
  f.registry.SetObjective(kOrganisation, kService, milliseconds(100));
  f.RunLatencyWindow(milliseconds(150));
  f.RunLatencyWindow(milliseconds(50));
  f.RunLatencyWindow(milliseconds(150));
  CHECK(f.All<ServiceLatencyReport>().empty());
  f.RunLatencyWindow(milliseconds(150));
  REQUIRE_FALSE(f.All<ServiceLatencyReport>().empty());
  CHECK(f.All<ServiceLatencyReport>().back().suffering);
  f.RunLatencyWindow(milliseconds(90));
  CHECK(f.All<ServiceLatencyReport>().back().suffering);
  f.RunLatencyWindow(milliseconds(79));
  CHECK_FALSE(f.All<ServiceLatencyReport>().back().suffering);
}
