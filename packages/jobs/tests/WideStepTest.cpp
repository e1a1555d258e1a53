#include "SchedulerFixture.h"

#include "oriolespread/messages/MessageCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::uint32_t kWideCount = 2000;
// The longest value that the store takes, 65,536 bytes in Base64.
constexpr std::size_t kMaxValueBytes = 49'152;

StepSpec MakeWideStep(std::uint32_t aCount = kWideCount)
{
  StepSpec step = MakeStep(aCount);
  step.demand = { 10, 1, 0 };
  return step;
}

std::size_t LongestValue(const std::map<RowKey, std::string>& aRows)
{
  std::size_t longest = 0;
  for (const auto& [row, value] : aRows) {
    longest = std::max(longest, value.size());
  }
  return longest;
}

std::size_t CountProgressRows(const std::map<RowKey, std::string>& aRows)
{
  return static_cast<std::size_t>(std::count_if(aRows.begin(), aRows.end(), [](const auto& aItem) {
    return aItem.first.table == kProgressTable;
  }));
}

// Ends the runs of all tasks that the fixture has started since the last call.
void EndAll(SchedulerFixture& aFixture)
{
  for (const auto& [agent, start] : std::exchange(aFixture.starts, {})) {
    aFixture.End(agent, start.ref, RunEnd::Done);
  }
  aFixture.RunUntilIdle();
}

} // namespace

// Guards against a row that the store refuses, which stops all scheduling.
TEST_CASE("JobScheduler KeepsTheRowsOfAWideStepWithinTheLimitOfTheStore")
{
  // The largest step of a job, which is above the limit also with short names of workers.
  constexpr std::uint32_t kLargestCount = 10'000;
  SchedulerFixture fixture;
  fixture.AddAgent("a", 200'000);
  fixture.Submit(MakeJob("j", { MakeWideStep(kLargestCount) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == kLargestCount);
  CHECK(LongestValue(fixture.rows) <= kMaxValueBytes);
  fixture.starts.clear();
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
}

// Guards against checkpoints, which have up to 1,024 bytes, that make a row too long.
TEST_CASE("JobScheduler KeepsTheRowsOfTasksWithLongCheckpointsWithinTheLimitOfTheStore")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 40'000);
  StepSpec step = MakeWideStep(100);
  step.checkpointing = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 100);
  for (RunningRun& run : fixture.agents["a"].running) {
    run.checkpoint = std::string(1024, 'c');
  }
  fixture.Advance(2000 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(LongestValue(fixture.rows) <= kMaxValueBytes);
  // Each row has the checkpoints of its tasks, not only the one that was reported first.
  CHECK(std::all_of(fixture.rows.begin(), fixture.rows.end(), [](const auto& aItem) {
    return aItem.first.table != kProgressTable || aItem.second.find("cccc") != std::string::npos;
  }));
}

// Guards against a transaction that the store refuses for its length, which stops all scheduling.
TEST_CASE("JobScheduler KeepsATransactionWithinTheLimitOfTheStore")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 40'000);
  fixture.Submit(MakeJob("j", { MakeWideStep() }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == kWideCount);
  // Stores the state of the job.
  fixture.Report("a");
  fixture.RunUntilIdle();
  for (RunningRun& run : fixture.agents["a"].running) {
    run.checkpoint = std::string(1024, 'c');
  }
  fixture.Advance(2000 * kMs);
  fixture.Report("a");
  std::size_t stored = 0;
  std::size_t longest = 0;
  while (fixture.scheduler.HasChanges()) {
    StoreBatch batch = fixture.scheduler.TakeBatch(95);
    REQUIRE_FALSE(batch.empty());
    std::size_t bytes = 0;
    for (const RowChange& change : batch.changes) {
      bytes += change.value.size();
    }
    longest = std::max(longest, bytes);
    stored += batch.changes.size();
    fixture.scheduler.OnStored(std::move(batch), fixture.now);
  }
  CHECK(longest <= 600'000);
  CHECK(stored == kWideCount / kTasksPerProgressRow);
}

// Guards against rows that the store refuses, as names of workers may be long as well.
TEST_CASE("JobScheduler OmitsTheCheckpointsOfARowThatIsTooLongWithThem")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 1000);
  WorkerReport& report = fixture.agents["a"];
  report.worker.id = std::string(300, 'w');
  fixture.Report("a");
  fixture.Submit(MakeJob("j", { MakeWideStep(40) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 40);
  for (RunningRun& run : report.running) {
    run.checkpoint = std::string(1024, 'c');
  }
  fixture.Advance(2000 * kMs);
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(LongestValue(fixture.rows) <= kMaxValueBytes);
  CHECK(fixture.counters.Get("checkpoints_omitted_total", "row_too_long") > 0);
}

// Guards against tasks that run again, or never, as a new leader knows only some of a step's rows.
TEST_CASE("JobScheduler RemembersAllTasksOfAWideStepWhenItTakesOver")
{
  SchedulerFixture first;
  first.AddAgent("a", 10'000);
  first.Submit(MakeJob("j", { MakeWideStep() }));
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 1000);
  for (std::size_t index = 0; index < 500; ++index) {
    first.End("a", first.starts[index].second.ref, RunEnd::Done);
  }
  for (int pass = 0; pass < 3; ++pass) {
    first.scheduler.TakeOrders();
    StoreBatch batch = first.scheduler.TakeBatch(95);
    first.Apply(batch);
    first.scheduler.OnStored(std::move(batch), first.now);
  }
  first.TakeOrders();
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  second.scheduler.OnAgentUp("a", second.now);
  second.Report("a");
  second.RunUntilIdle();
  std::set<std::string> started;
  for (const auto& [agent, start] : second.starts) {
    CHECK(start.ref.run == 1);
    started.insert(start.ref.task);
  }
  CHECK(started.size() == second.starts.size());
  CHECK(started.size() == 500);
  // The runs that the first leader started go on.
  for (const RunningRun& run : std::vector<RunningRun>(second.agents["a"].running)) {
    second.End("a", run.ref, RunEnd::Done);
  }
  second.starts.clear();
  second.RunUntilIdle();
  EndAll(second);
  CHECK(second.StateOf("j") == JobState::Completed);
  CHECK(CountProgressRows(second.rows) == 0);
}

// Guards against tasks that run again after an update, as an earlier version stored a step in one
// row of any length.
TEST_CASE("JobScheduler LoadsAWideStepThatIsStoredInOneRow")
{
  SchedulerFixture first;
  first.AddAgent("a", 1000);
  first.Submit(MakeJob("j", { MakeWideStep(100) }));
  nlohmann::json tasks = nlohmann::json::array();
  for (std::uint32_t index = 0; index < 100; ++index) {
    tasks.push_back({ index < 90, 2, 0, "", nlohmann::json::array() });
  }
  std::string whole;
  nlohmann::json::to_msgpack(tasks, whole);
  first.rows[ProgressRow("j", 0, 0)] = whole;
  SchedulerFixture second(first.rows);
  second.AddAgent("a", 1000);
  second.RunUntilIdle();
  CHECK(second.starts.size() == 10);
  // The next leader finds the row of the earlier version and the rows that were stored since.
  SchedulerFixture third(second.rows);
  third.agents = second.agents;
  third.scheduler.OnAgentUp("a", third.now);
  third.Report("a");
  third.RunUntilIdle();
  CHECK(third.starts.empty());
  third.starts = second.starts;
  EndAll(third);
  CHECK(third.StateOf("j") == JobState::Completed);
  CHECK(CountProgressRows(third.rows) == 0);
}

// Guards against a gang that runs again, of which only one row was stored as done.
TEST_CASE("JobScheduler CompletesAWideGangOfWhichOneRowIsStoredAsDone")
{
  SchedulerFixture first;
  first.AddAgent("a", 1000);
  StepSpec step = MakeWideStep(100);
  step.gang = true;
  first.Submit(MakeJob("j", { step }));
  first.RunUntilIdle();
  REQUIRE(first.starts.size() == 100);
  first.End("a", first.starts[50].second.ref, RunEnd::Done);
  const StoreBatch batch = first.scheduler.TakeBatch(1);
  REQUIRE(batch.changes.size() == 1);
  first.Apply(batch);
  SchedulerFixture second(first.rows);
  second.AddAgent("a", 1000);
  second.RunUntilIdle();
  CHECK(second.starts.empty());
  CHECK(second.StateOf("j") == JobState::Completed);
}

// Guards against a row of another writer that a leader takes for tasks that the step does not have.
TEST_CASE("JobScheduler IgnoresRowsOfAStepThatAreMalformed")
{
  SchedulerFixture first;
  first.AddAgent("a", 1000);
  first.Submit(MakeJob("j", { MakeWideStep(100), MakeStep(1, { 0 }) }));
  first.RunUntilIdle();
  const std::string whole = first.rows.at(ProgressRow("j", 0, 0, 0));
  auto rows = first.rows;
  rows[ProgressRow("j", 0, 0, 3)] = whole;
  rows[ProgressRow("j", 0, 0, 4'000'000'000)] = whole;
  rows[ProgressRow("j", 0, 1, 0)] = whole;
  rows[{ std::string(kProgressTable), "j.0.0+" }] = whole;
  rows[{ std::string(kProgressTable), "j.0.0+x" }] = whole;
  SchedulerFixture second(rows);
  CHECK(second.counters.Get("rows_unreadable_total", "progress") == 5);
}

// Guards against starts that are never sent, as a link refuses messages above its limit.
TEST_CASE("JobScheduler KeepsOrdersWithinTheLimitOfALink")
{
  constexpr std::uint32_t kCount = 1300;
  SchedulerFixture fixture;
  fixture.AddAgent("a", 40'000);
  JobRecord record = MakeJob("j", { MakeWideStep(kCount) });
  record.spec.payload = std::string(4000, 'p');
  fixture.Submit(record);
  fixture.scheduler.Decide(fixture.now);
  fixture.scheduler.OnStored(fixture.scheduler.TakeBatch(95), fixture.now);
  std::set<std::string> started;
  std::uint64_t lastSequence = 0;
  for (const auto& [agent, orders] : fixture.scheduler.TakeOrders()) {
    CHECK(EncodeMessage(orders).size() <= kMaxMessageBytes);
    CHECK(orders.sequence > lastSequence);
    lastSequence = orders.sequence;
    for (const StartRun& start : orders.starts) {
      started.insert(start.ref.task);
    }
  }
  CHECK(started.size() == kCount);
}

// Guards against starts for an earlier process of a worker, and against stops that are lost with
// them, when the orders for it have several messages.
TEST_CASE("JobScheduler SendsOnlyTheStopsOfAllMessagesWhenTheWorkerHasRestarted")
{
  SchedulerFixture fixture;
  fixture.AddAgent("a", 40'000);
  JobRecord record = MakeJob("j", { MakeWideStep(600) });
  record.spec.payload = std::string(4000, 'p');
  fixture.Submit(record);
  fixture.Submit(MakeJob("k", { MakeStep(1) }));
  fixture.scheduler.Decide(fixture.now);
  fixture.scheduler.OnStored(fixture.scheduler.TakeBatch(95), fixture.now);
  fixture.scheduler.OnJobRow("k.cancel", "", fixture.now);
  WorkerReport& report = fixture.agents["a"];
  report.worker.born = 2;
  fixture.Report("a");
  fixture.End("a", { "unknown.0.0.0", 1 }, RunEnd::Done);
  std::size_t starts = 0;
  std::vector<RunRef> stops;
  for (const auto& [agent, orders] : fixture.scheduler.TakeOrders()) {
    CHECK(orders.born == 2);
    starts += orders.starts.size();
    stops.insert(stops.end(), orders.stops.begin(), orders.stops.end());
  }
  CHECK(starts == 0);
  CHECK(stops == std::vector<RunRef>{ { "k.0.0.0", 1 } });
}
