#include "UrgentHeadroom.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::seconds;

// Guards against holding capacity when urgent tasks do not need it, for too long or without a
// limit.
TEST_CASE("UrgentHeadroom HoldsFreedCapacityBrieflyAndOnlyAfterPreemptions")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex worker =
    capacity.SetWorker({ WorkerId("w"), DataCentreId("d"), RackId("r"), { 1000, 1000, 0 } }).first;
  UrgentHeadroom headroom(capacity, counters);
  const Instant now = Instant{} + seconds(500);
  headroom.Hold(now, worker, { 10, 10, 0 });
  CHECK(headroom.size() == 0);
  headroom.RecordPreemption(now);
  headroom.Hold(now, worker, { 10, 10, 0 });
  headroom.Hold(now, worker, { 100, 100, 0 });
  CHECK(headroom.size() == 1);
  CHECK(counters.Get("placement_headroom_refused_total", "share_of_capacity") == 1);
  CHECK(capacity.At(worker).Free() == Resources{ 990, 990, 0 });
  CHECK(headroom.Release({ 1001, 1, 0 }) == kNone);
  CHECK(headroom.Release({ 995, 1, 0 }) == worker);
  headroom.Hold(now, worker, { 10, 10, 0 });
  CHECK(headroom.Expire(now + seconds(2)).empty());
  CHECK(headroom.Expire(now + seconds(3)) == std::vector<WorkerIndex>{ worker });
  headroom.Hold(now, worker, { 10, 10, 0 });
  headroom.ReleaseAll(worker);
  CHECK(capacity.At(worker).Free() == Resources{ 1000, 1000, 0 });
}
