// Reports of starts that the worker has not answered.
#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

bool NamesOpenStart(const WorkerReport& aReport, const std::string& aTask)
{
  return std::any_of(
    aReport.openStarts.begin(), aReport.openStarts.end(), [&](const OpenStart& aStart) {
      return aStart.ref.task == aTask && aStart.remainingMs > 19'000 &&
             aStart.remainingMs <= 20'500;
    });
}

} // namespace

// Guards against a leader that starts the next run elsewhere and does not know that a late start
// may still be carried out.
TEST_CASE("WorkerDriver ReportsAnOpenStartWithTheEndOfItsRun")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  const auto tellsEnd = [](const WorkerReport& aReport) { return !aReport.ended.empty(); };
  REQUIRE(fixture.RunUntil(
    [&] { return std::any_of(fixture.reports.begin(), fixture.reports.end(), tellsEnd); }));
  const auto first = std::find_if(fixture.reports.begin(), fixture.reports.end(), tellsEnd);
  CHECK(NamesOpenStart(*first, "j.0.0.0"));
}

// Guards against an agent that ends with the only knowledge of the start.
TEST_CASE("WorkerDriver ReportsAnOpenStartAsSoonAsItsAnswerIsMissing")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  const Instant orderedAt = BootClock::now();
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return NamesOpenStart(fixture.reports.back(), "j.0.0.0"); }));
  INFO("ms to the report: " << ToMilliseconds(BootClock::now() - orderedAt));
  CHECK(BootClock::now() - orderedAt < 650 * kMillisecond);
}

// Guards against longer reports of the usual runs.
TEST_CASE("WorkerDriver ReportsNoOpenStartWhenEachStartIsAnswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.StartTask("j.0.0.1");
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.ended.size() == 2);
  CHECK(std::all_of(fixture.reports.begin(),
                    fixture.reports.end(),
                    [](const WorkerReport& aReport) { return aReport.openStarts.empty(); }));
}
