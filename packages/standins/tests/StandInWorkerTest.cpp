#include "oriolespread/standins/StandInWorker.h"

#include "oriolespread/platform/HttpWorker.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

constexpr Duration kLease = std::chrono::seconds(10);
const AttemptId kAttempt{ { JobId{ "j" }, 0 }, { Epoch{ 1 }, 1 } };

WorkerTaskStart Start(const std::string& aArguments, std::int64_t aMilliCores)
{
  return { kAttempt, "sleep", aArguments, "", { aMilliCores, 10, 0 } };
}

Instant At(std::int64_t aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

} // namespace

// Guards against a task that runs on after the lease of its holder has ended.
TEST_CASE("MemoryWorker PausesATaskWhoseLeaseHasEndedAndKeepsItsProgress")
{
  MemoryWorker worker({ 1000, 100, 0 });
  REQUIRE(worker.Start(At(0), Start(R"({"run_ms": 15000})", 500), kLease).ok());
  REQUIRE(worker.List(At(12'000)).front().state == WorkerTaskState::Paused);
  REQUIRE(worker.Resume(At(20'000), kAttempt, kLease).ok());
  CHECK(worker.List(At(24'999)).front().state == WorkerTaskState::Running);
  CHECK(worker.List(At(25'000)).front().state == WorkerTaskState::Completed);
}

TEST_CASE("HttpWorker MapsTheWorkersRefusals")
{
  StandInWorker worker({ 1000, 100, 0 });
  REQUIRE(worker.Start({ "127.0.0.1", 0 }).ok());
  HttpWorker client(worker.Address(), kLease);
  CHECK(absl::IsResourceExhausted(client.Start(Start("", 1001), kLease)));
  REQUIRE(client.Start(Start(R"({"run_ms": 3600000})", 1000), kLease).ok());
  CHECK(absl::IsAlreadyExists(client.Start(Start("", 1), kLease)));
  CHECK(client.Checkpoint(kAttempt).value_or("").starts_with("progress-"));
  REQUIRE(client.Stop(kAttempt).ok());
  const auto tasks = client.List();
  REQUIRE(tasks.ok());
  REQUIRE(tasks->size() == 1);
  CHECK(tasks->front().state == WorkerTaskState::Stopped);
  REQUIRE(client.Forget(kAttempt).ok());
  CHECK(client.List()->empty());
}
