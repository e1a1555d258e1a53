// Starts on a worker that is about to stop.
#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::daemon;

// Guards against a start on a worker that drains: the first one got no answer, and was sent again
// although the worker had begun to drain meanwhile.
TEST_CASE("WorkerDriver SendsNoStartAgainWhenTheWorkerHasBegunToDrain")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->SetDraining(true);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.draining; }));
  CHECK(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  // Longer than the start is delayed.
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.counters.Get("starts_void_total", "draining") == 1);
}
