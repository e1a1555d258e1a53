// Starts around the evacuation of a data centre.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// A fixture with workers in the data centres "d1" and "d2".
struct DataCentresFixture : SchedulerFixture
{
  using SchedulerFixture::SchedulerFixture;

  void AddAgentIn(const std::string& aDataCentre,
                  const std::string& aName,
                  std::int64_t aMilliCores = 8000,
                  std::vector<std::string> aLabels = {})
  {
    WorkerState& worker = this->agents[aName].worker;
    worker.dataCentre = aDataCentre;
    worker.labels = std::move(aLabels);
    this->AddAgent(aName, aMilliCores);
  }

  void Evacuate(std::set<std::string> aDataCentres)
  {
    this->scheduler.SetEvacuatedDataCentres(std::move(aDataCentres));
  }

  // Orders the start of the only task of a new job on the only worker, "a" in "d1".
  RunRef OrderOneStart(const std::string& aJob = "j")
  {
    this->Submit(MakeJob(aJob, { MakeStep(1) }));
    this->RunUntilIdle();
    REQUIRE_FALSE(this->starts.empty());
    CHECK(this->starts.back().first == "a");
    return std::exchange(this->starts, {}).back().second.ref;
  }

  // The worker no longer lists the run, and the agent reports that.
  void ForgetRun(const std::string& aAgent, const RunRef& aRef)
  {
    std::erase_if(this->agents[aAgent].running,
                  [&](const RunningRun& aRun) { return aRun.ref == aRef; });
    this->Report(aAgent);
    this->Advance(100 * kMs);
  }

  std::size_t CountStartsOn(const std::string& aAgent) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->starts.begin(), this->starts.end(), [&](const auto& aStart) {
        return aStart.first == aAgent;
      }));
  }
};

} // namespace

// Guards against a start in an evacuated data centre, and against a step that is refused there and
// does not use the room of other data centres.
TEST_CASE("JobScheduler PlacesTasksOutsideEvacuatedDataCentresOnly")
{
  for (const bool longRunning : { false, true }) {
    for (const bool bestEffort : { false, true }) {
      INFO("long-running " << longRunning << ", best-effort " << bestEffort);
      DataCentresFixture fixture;
      fixture.AddAgentIn("d1", "a");
      fixture.AddAgentIn("d2", "b");
      fixture.Evacuate({ "d1" });
      // A report does not make the worker usable again.
      fixture.Report("a");
      StepSpec step = MakeStep(6);
      step.longRunning = longRunning;
      step.fillsUnused = bestEffort;
      fixture.Submit(MakeJob("j", { step }));
      fixture.RunUntilIdle();
      CHECK(fixture.CountStartsOn("a") == 0);
      CHECK(fixture.CountStartsOn("b") == 6);
    }
  }
}

// Guards against the order of a start that was decided before the request and stored after it.
TEST_CASE("JobScheduler WithdrawsAStartThatIsBeingStoredWhenItsDataCentreIsEvacuated")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.scheduler.Decide(fixture.now);
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  REQUIRE(batch.orders.size() == 1);
  fixture.Evacuate({ "d1" });
  fixture.Apply(batch);
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  fixture.TakeOrders();
  CHECK(fixture.starts.empty());
  CHECK(fixture.counters.Get("starts_withdrawn_total", "committing") == 1);
  fixture.AddAgentIn("d2", "b");
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 1);
}

// Guards against a message with a start that is formed before the request and sent after it.
TEST_CASE("JobScheduler SendsNoQueuedStartWhenItsDataCentreIsEvacuated")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.scheduler.Decide(fixture.now);
  StoreBatch batch = fixture.scheduler.TakeBatch(50);
  fixture.scheduler.OnStored(std::move(batch), fixture.now);
  fixture.Evacuate({ "d1" });
  fixture.TakeOrders();
  CHECK(fixture.starts.empty());
  CHECK(fixture.stops == std::vector<RunRef>{ { "j.0.0.0", 1 } });
}

// Guards against a start that was ordered before the request and takes effect long after it, and
// against a task that waits for the end of the evacuation although another worker has room.
TEST_CASE("JobScheduler StopsAnUnconfirmedStartInAnEvacuatedDataCentreAndPlacesItElsewhere")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  const RunRef ref = fixture.OrderOneStart();
  fixture.AddAgentIn("d2", "b");
  fixture.Evacuate({ "d1" });
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ ref });
  CHECK(fixture.counters.Get("starts_withdrawn_total", "ordered") == 1);
  fixture.RunUntilIdle();
  // The first run may still start until the worker has carried out the stop.
  CHECK(fixture.starts.empty());
  fixture.ForgetRun("a", ref);
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 1);
}

// Guards against work that an evacuation throws away.
TEST_CASE("JobScheduler LeavesRunsAtWorkInAnEvacuatedDataCentre")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  const RunRef ref = fixture.OrderOneStart();
  fixture.Report("a");
  fixture.Evacuate({ "d1" });
  fixture.RunUntilIdle();
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.stops.empty());
  fixture.End("a", ref, RunEnd::Done);
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf("j") == JobState::Completed);
}

// Guards against the repetition of a start over a new link, which is how an order that was lost
// before the request would take effect after it.
TEST_CASE("JobScheduler RepeatsNoStartInAnEvacuatedDataCentreWhenTheAgentReconnects")
{
  for (const bool listsStarting : { false, true }) {
    INFO("lists the run as starting: " << listsStarting);
    DataCentresFixture fixture;
    fixture.AddAgentIn("d1", "a");
    const RunRef running = fixture.OrderOneStart("j");
    fixture.Report("a");
    const RunRef ordered = fixture.OrderOneStart("k");
    WorkerReport& agent = fixture.agents["a"];
    std::erase_if(agent.running, [&](const RunningRun& aRun) { return aRun.ref == ordered; });
    if (listsStarting) {
      agent.starting = { ordered };
    }
    fixture.scheduler.OnAgentDown("a", fixture.now);
    fixture.Evacuate({ "d1" });
    agent.lastOrders = 0;
    fixture.scheduler.OnAgentUp("a", fixture.now);
    fixture.Report("a");
    fixture.RunUntilIdle();
    CHECK(fixture.starts.empty());
    CHECK(std::count(fixture.stops.begin(), fixture.stops.end(), ordered) >= 1);
    CHECK(std::count(fixture.stops.begin(), fixture.stops.end(), running) == 0);
  }
}

// Guards against a new leader that repeats the starts of the one before it, and against one that
// stops runs at work because it has not heard of them yet.
TEST_CASE("JobScheduler RepeatsNoStartInAnEvacuatedDataCentreAfterALeaderChange")
{
  DataCentresFixture before;
  before.AddAgentIn("d1", "a");
  const RunRef running = before.OrderOneStart("j");
  const RunRef ordered = before.OrderOneStart("k");
  DataCentresFixture fixture(before.rows);
  fixture.Evacuate({ "d1" });
  WorkerReport& agent = fixture.agents["a"];
  agent.running.push_back({ running, "", 0, 0 });
  // The first report after a link comes up need not be a full one.
  agent.worker = before.agents["a"].worker;
  fixture.scheduler.OnAgentUp("a", fixture.now);
  agent.full = false;
  agent.running.clear();
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops.empty());
  agent.full = true;
  agent.running.push_back({ running, "", 0, 0 });
  fixture.Report("a");
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  CHECK(fixture.stops == std::vector<RunRef>{ ordered });
}

// Guards against a run that a worker starts late, when its start is no longer known: it would count
// as a run of its task again.
TEST_CASE("JobScheduler StopsALateStartInAnEvacuatedDataCentre")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  const RunRef ref = fixture.OrderOneStart();
  fixture.Evacuate({ "d1" });
  fixture.TakeOrders();
  fixture.ForgetRun("a", ref);
  REQUIRE_FALSE(fixture.scheduler.Jobs().at("j").HasActiveRuns());
  fixture.stops.clear();
  fixture.agents["a"].running.push_back({ ref, "", 0, 0 });
  fixture.Report("a");
  fixture.TakeOrders();
  CHECK(fixture.stops == std::vector<RunRef>{ ref });
  CHECK_FALSE(fixture.scheduler.Jobs().at("j").HasActiveRuns());
}

// Guards against starts while no data centre is left, a wait without a reason in the log, and a
// removal that takes effect late.
TEST_CASE("JobScheduler StartsNothingWhileAllDataCentresAreEvacuated")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  fixture.AddAgentIn("d2", "b");
  fixture.Evacuate({ "d1", "d2" });
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  for (int round = 0; round < 30; ++round) {
    fixture.RunUntilIdle();
    fixture.Advance(300 * kMs);
    fixture.Report("a");
    fixture.Report("b");
  }
  CHECK(fixture.starts.empty());
  CHECK(fixture.StateOf("j") == JobState::Queued);
  CHECK(fixture.scheduler.WaitingTasks() == 2);
  CHECK(fixture.LastLogged("step_waiting")["workers"]["evacuated"] == 2);
  fixture.Evacuate({ "d1" });
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 2);
}

// Guards against a gang of which some members are placed and wait for those in an evacuated data
// centre.
TEST_CASE("JobScheduler PlacesAGangOutsideEvacuatedDataCentresAsAWhole")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a", 2000);
  fixture.AddAgentIn("d2", "b", 2000);
  fixture.Evacuate({ "d1" });
  StepSpec step = MakeStep(3);
  step.gang = true;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.empty());
  fixture.AddAgentIn("d2", "c", 2000);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 3);
  CHECK(fixture.CountStartsOn("a") == 0);
}

// Guards against a gang that stands with the members that had started when the others were
// withdrawn.
TEST_CASE("JobScheduler PlacesAGangAgainWhenStartsOfMembersAreWithdrawn")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  fixture.AddAgentIn("d2", "b");
  StepSpec step = MakeStep(2);
  step.gang = true;
  step.maxPerWorker = 1;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.CountStartsOn("a") == 1);
  REQUIRE(fixture.CountStartsOn("b") == 1);
  const bool aIsFirst = fixture.starts[0].first == "a";
  const RunRef onA = fixture.starts[aIsFirst ? 0 : 1].second.ref;
  const RunRef onB = fixture.starts[aIsFirst ? 1 : 0].second.ref;
  fixture.starts.clear();
  fixture.Report("b");
  fixture.Evacuate({ "d1" });
  fixture.AddAgentIn("d2", "c");
  fixture.RunUntilIdle();
  fixture.ForgetRun("a", onA);
  fixture.RunUntilIdle();
  CHECK(fixture.stops == std::vector<RunRef>{ onA, onB });
  fixture.End("b", onB, RunEnd::Stopped);
  fixture.Advance(100 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 1);
  CHECK(fixture.CountStartsOn("c") == 1);
}

// Guards against a preference for a rack, or a required label, that outweighs the evacuation.
TEST_CASE("JobScheduler FollowsNoAffinityIntoAnEvacuatedDataCentre")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a", 8000, { "r1" });
  fixture.AddAgentIn("d2", "b", 8000, { "r2" });
  fixture.Evacuate({ "d1" });
  StepSpec preferred = MakeStep(2);
  preferred.preferredRack = "r1";
  fixture.Submit(MakeJob("j", { preferred }));
  StepSpec required = MakeStep(1);
  required.requiredLabel = "r1";
  fixture.Submit(MakeJob("k", { required }));
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 2);
  CHECK(fixture.StateOf("k") == JobState::Queued);
  fixture.Evacuate({});
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 1);
}

// Guards against tasks of a step that share a worker because the others are evacuated.
TEST_CASE("JobScheduler KeepsTasksOfAStepApartWhenADataCentreIsEvacuated")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  fixture.AddAgentIn("d2", "b");
  fixture.Evacuate({ "d1" });
  StepSpec step = MakeStep(2);
  step.maxPerWorker = 1;
  fixture.Submit(MakeJob("j", { step }));
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.CountStartsOn("b") == 1);
}

// Guards against a worker that is avoided for a while after the removal because its agent has
// rejected starts during the evacuation.
TEST_CASE("JobScheduler UsesAWorkerAtOnceWhenItsDataCentreIsNoLongerEvacuated")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d1", "a");
  const RunRef ref = fixture.OrderOneStart();
  WorkerReport& agent = fixture.agents["a"];
  agent.running.clear();
  agent.rejected = { { ref, kEvacuatedReason } };
  fixture.Report("a");
  agent.rejected.clear();
  CHECK(fixture.counters.Get("starts_rejected_total", "evacuated") == 1);
  fixture.Advance(60 * kMs);
  fixture.RunUntilIdle();
  CHECK(fixture.CountStartsOn("a") == 1);
}

// Guards against a task on its last attempt that waits for a sound worker which is evacuated, while
// it could run elsewhere.
TEST_CASE("JobScheduler DoesNotWaitForASoundWorkerInAnEvacuatedDataCentre")
{
  DataCentresFixture fixture;
  fixture.AddAgentIn("d2", "b");
  // Runs of three jobs fail on "b", so that it is avoided for failures.
  for (const std::string job : { "j1", "j2", "j3" }) {
    JobRecord record = MakeJob(job, { MakeStep(1) });
    record.policy.maxAttempts = 1;
    fixture.Submit(record);
    fixture.RunUntilIdle();
    REQUIRE(fixture.starts.size() == 1);
    fixture.End("b", fixture.starts[0].second.ref, RunEnd::Failed);
    fixture.starts.clear();
    fixture.RunUntilIdle();
  }
  fixture.AddAgentIn("d1", "a");
  fixture.Evacuate({ "d1" });
  JobRecord record = MakeJob("k", { MakeStep(1) });
  record.policy.maxAttempts = 1;
  fixture.Submit(record);
  for (int round = 0; round < 8; ++round) {
    fixture.RunUntilIdle();
    fixture.Advance(300 * kMs);
    fixture.Report("a");
    fixture.Report("b");
  }
  CHECK(fixture.CountStartsOn("a") == 0);
  CHECK(fixture.CountStartsOn("b") == 1);
}
