#include "WorkerDriver.h"

#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <stdexcept>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// A WorkerDriver with a stand-in worker; the test acts as the leader.
struct WorkerDriverFixture
{
  asio::io_context context{ 1 };
  Counters counters;
  std::vector<WorkerReport> reports;
  std::vector<std::string> started;
  std::vector<std::pair<std::string, std::string>> ended;
  std::unique_ptr<HttpServer> control;
  std::unique_ptr<platformwire_testing::StandInWorker> worker;
  std::unique_ptr<WorkerDriver> driver;
  bool extendLeases = true;
  bool failReports = false;
  std::uint64_t ordersSequence = 0;

  explicit WorkerDriverFixture(Duration aMaxWorkerLease = std::chrono::seconds(6),
                               Duration aRunTime = 100 * kMillisecond)
  {
    this->control = *HttpServer::Create(
      this->context,
      "127.0.0.1",
      0,
      {},
      [this](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
        const auto heartbeat = platformwire::DecodeHeartbeat("w", aRequest.body);
        if (heartbeat.ok() && this->driver != nullptr) {
          this->driver->OnHeartbeat(*heartbeat);
        }
        aReply({ kHttpOk, {}, "{}" });
      },
      this->counters);
    platformwire_testing::StandInWorkerOptions options;
    options.id = "w";
    options.service = "s";
    options.ip = "127.0.0.1";
    options.agentAddress = "127.0.0.1:" + std::to_string(this->control->Port());
    options.heartbeatInterval = 50 * kMillisecond;
    options.runTime = aRunTime;
    platformwire_testing::StandInWorkerObserver observer;
    observer.started = [this](const std::string& aTask, std::uint64_t, const std::string&) {
      this->started.push_back(aTask);
    };
    observer.ended = [this](const std::string& aTask, std::uint64_t, const std::string& aHow) {
      this->ended.emplace_back(aTask, aHow);
    };
    observer.acknowledged = [](const std::string&, std::uint64_t, const std::string&) {};
    this->worker = std::make_unique<platformwire_testing::StandInWorker>(
      this->context, options, std::move(observer), 1);
    this->driver = this->MakeDriver(aMaxWorkerLease);
  }

  std::unique_ptr<WorkerDriver> MakeDriver(Duration aMaxWorkerLease)
  {
    return *WorkerDriver::Create(
      this->context,
      "127.0.0.1:" + std::to_string(this->worker->Port()),
      aMaxWorkerLease,
      this->counters,
      [this](const WorkerReport& aReport) {
        if (this->failReports) {
          throw std::runtime_error("report not sent");
        }
        this->reports.push_back(aReport);
        if (this->extendLeases) {
          this->driver->OnLeaseExtension({ aReport.epoch, aReport.sequence, {} });
        }
      });
  }

  void RunFor(Duration aTime)
  {
    const Instant until = BootClock::now() + aTime;
    while (BootClock::now() < until) {
      this->context.run_one_for(5 * kMillisecond);
    }
  }

  // Runs the event loop until the condition holds, for at most five seconds. Returns whether it
  // holds.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    const Instant until = BootClock::now() + std::chrono::seconds(5);
    while (!aCondition() && BootClock::now() < until) {
      this->context.run_one_for(5 * kMillisecond);
    }
    return aCondition();
  }

  WorkerOrders MakeOrders(Epoch aEpoch)
  {
    WorkerOrders orders;
    orders.epoch = aEpoch;
    orders.sequence = ++this->ordersSequence;
    orders.born = this->reports.back().worker.born;
    return orders;
  }

  void StopTask(const std::string& aTask)
  {
    WorkerOrders orders = this->MakeOrders(Epoch{ 1 });
    orders.stops.push_back({ aTask, 1 });
    this->driver->OnOrders(orders);
  }

  // Returns whether the last full report names the run in any way.
  bool IsListed(const std::string& aTask) const
  {
    const auto last = std::find_if(this->reports.rbegin(),
                                   this->reports.rend(),
                                   [](const WorkerReport& aReport) { return aReport.full; });
    if (last == this->reports.rend()) {
      return false;
    }
    const auto names = [&](const auto& aItem) { return aItem.ref.task == aTask; };
    return std::any_of(last->running.begin(), last->running.end(), names) ||
           std::any_of(last->ended.begin(), last->ended.end(), names) ||
           std::any_of(last->starting.begin(), last->starting.end(), [&](const RunRef& aRef) {
             return aRef.task == aTask;
           });
  }

  bool IsRejected(const std::string& aTask) const
  {
    return std::any_of(
      this->reports.begin(), this->reports.end(), [&](const WorkerReport& aReport) {
        return std::any_of(aReport.rejected.begin(),
                           aReport.rejected.end(),
                           [&](const RejectedRun& aRun) { return aRun.ref.task == aTask; });
      });
  }

  // Sends a start as an earlier process of the agent, which the worker carries out 1.5 s later.
  std::unique_ptr<platformwire::WorkerClient> SendDelayedStart(const std::string& aTask)
  {
    auto client = *platformwire::WorkerClient::Create(
      this->context, "127.0.0.1:" + std::to_string(this->worker->Port()), this->counters);
    this->worker->SetDelayedCallShare(1.0);
    StartRun start;
    start.ref = { aTask, 1 };
    client->Start(
      start, Epoch{ 1 }, 5000, 500 * kMillisecond, [](const platformwire::WorkerAnswer&) {});
    this->RunFor(50 * kMillisecond);
    this->worker->SetDelayedCallShare(0);
    return client;
  }

  void StartTask(const std::string& aTask, Epoch aEpoch = Epoch{ 1 })
  {
    WorkerOrders orders = this->MakeOrders(aEpoch);
    StartRun start;
    start.ref = { aTask, 1 };
    orders.starts.push_back(start);
    this->driver->OnOrders(orders);
  }
};

} // namespace

TEST_CASE("WorkerDriver StartsARunAndReportsItsEndUntilItIsAcknowledged")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil(
    [&] { return !fixture.reports.back().ended.empty() && fixture.reports.back().full; }));
  CHECK(fixture.reports.back().ended[0].how == RunEnd::Done);
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.acknowledgedEnds.push_back(fixture.reports.back().ended[0].number);
  fixture.driver->OnOrders(orders);
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
}

// Guards against a start whose deadline has passed before it is sent: until the leader has extended
// the lease of this incarnation of the worker, there is no lease to grant, and the worker rejects
// the start.
// Guards against placement and paces that follow the interference on a worker too late: with a
// report each 600 ms, serving runs missed their targets for a tenth longer.
TEST_CASE("WorkerDriver ReportsItsRunsSeveralTimesASecond")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(10));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().running.empty(); }));
  const std::size_t reportsBefore = fixture.reports.size();
  fixture.RunFor(2000 * kMillisecond);
  const auto reports =
    std::count_if(fixture.reports.begin() + static_cast<std::ptrdiff_t>(reportsBefore),
                  fixture.reports.end(),
                  [](const WorkerReport& aReport) { return aReport.full; });
  CHECK(reports >= 4);
}

TEST_CASE("WorkerDriver DelaysAStartUntilTheWorkerHasALease")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
  CHECK(fixture.started.empty());
  fixture.extendLeases = true;
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against carrying out orders of a leader that has been replaced.
TEST_CASE("WorkerDriver IgnoresOrdersOfAnEarlierEpoch")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().epoch == Epoch{ 2 }; }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  CHECK(fixture.started.empty());
}

TEST_CASE("WorkerDriver ReportsTheNewIncarnationWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->Restart();
  CHECK(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
}

// Guards against two faults after an agent has restarted: no run is paced in favour of the
// latency-critical runs that the agent does not know, and runs that are already running are started
// a second time.
TEST_CASE("WorkerDriver ReportsRunsAsUndescribedWhenItDidNotStartThem")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  const std::size_t before = fixture.reports.size();
  // Kept alive because its calls are still in progress; it no longer sends reports.
  const std::unique_ptr<WorkerDriver> earlierDriver = std::move(fixture.driver);
  earlierDriver->OnLeaderLost();
  fixture.driver = *WorkerDriver::Create(
    fixture.context,
    "127.0.0.1:" + std::to_string(fixture.worker->Port()),
    std::chrono::seconds(6),
    fixture.counters,
    [&](const WorkerReport& aReport) {
      fixture.reports.push_back(aReport);
      fixture.driver->OnLeaseExtension({ aReport.epoch, aReport.sequence, {} });
    });
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] {
    return fixture.reports.size() > before && !fixture.reports.back().undescribed.empty();
  }));
  CHECK(fixture.reports.back().undescribed[0].task == "j.0.0.0");
  // An order that only describes a running run is accepted by a draining worker.
  fixture.worker->SetDraining(true);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.draining; }));
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().undescribed.empty(); }));
  CHECK(fixture.reports.back().running.size() == 1);
  CHECK(fixture.started.size() == 1);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
}

// Guards against a worker that is never used again because its clock was set back before it
// restarted, so that its new incarnation seems to have started before the earlier one.
TEST_CASE("WorkerDriver AcceptsANewIncarnationWhenTheClockWasSetBack")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->Restart(-5000);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born < before; }));
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a delayed heartbeat of an earlier incarnation that replaces the current one.
TEST_CASE("WorkerDriver KeepsTheIncarnationThatAnswersWhenAnEarlierHeartbeatArrives")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const WorkerState currentState = fixture.reports.back().worker;
  platformwire::WorkerHeartbeat delayedHeartbeat;
  delayedHeartbeat.worker = currentState;
  delayedHeartbeat.worker.born = currentState.born - 5000;
  delayedHeartbeat.sequence = 1;
  fixture.driver->OnHeartbeat(delayedHeartbeat);
  fixture.RunFor(1500 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.worker.born == currentState.born);
  }
}

// Guards against losing sight of the worker's runs because of a heartbeat of another writer.
TEST_CASE("WorkerDriver KeepsTheWorkerWhenAHeartbeatNamesOneThatDoesNotExist")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  platformwire::WorkerHeartbeat foreign;
  foreign.worker = fixture.reports.back().worker;
  foreign.worker.born += 1000000;
  foreign.sequence = 1;
  fixture.driver->OnHeartbeat(foreign);
  fixture.RunFor(600 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0"));
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.worker.born < foreign.worker.born);
  }
}

// Guards against treating a worker as alive, and its runs as running, when nothing listens on its
// address.
TEST_CASE("WorkerDriver ReportsAllRunsLostWhenTheWorkerRefusesConnections")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker.reset();
  CHECK(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
}

// Guards against a new leader that waits for the leases of a worker that no longer exists.
TEST_CASE("WorkerDriver ReportsAWorkerThatIsGoneToANewLeader")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker.reset();
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunUntil([&] { return fixture.reports.back().allLost; });
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().epoch == Epoch{ 2 });
}

// Guards against a new leader that waits for leases although all of them have expired.
TEST_CASE("WorkerDriver ReportsASilentWorkerAsLostToANewLeaderWhenAllItsLeasesHaveExpired")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunUntil([&] { return fixture.reports.back().allLost; });
  REQUIRE(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().epoch == Epoch{ 2 });
  CHECK(fixture.ended.size() == 1);
}

// Guards against a leader that waits for the leases of a worker that ended with its agent's
// process.
TEST_CASE("WorkerDriver ReportsThatNoWorkerIsLeftWhenNothingListensAfterARestart")
{
  WorkerDriverFixture fixture;
  fixture.worker.reset();
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().worker.id.empty());
}

// Guards against a second run of a task whose worker executes it before its first heartbeat
// arrives.
TEST_CASE("WorkerDriver ReportsNothingWhileAWorkerThatItDoesNotKnowAnswers")
{
  WorkerDriverFixture fixture;
  fixture.control.reset();
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1000 * kMillisecond);
  fixture.worker->SetPollsUnanswered(true);
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.reports.empty());
}

// Guards against a second run of a task that is done. The worker executes the run without answering
// the start, and then refuses the repeated start because the run has ended.
TEST_CASE("WorkerDriver ReportsTheEndOfARunWhenItsStartWasNotAnswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetUnansweredCallShare(1.0);
  fixture.worker->SetPollsUnanswered(true);
  // Wait until the poll in flight is answered, so that it does not report the end of the run.
  fixture.RunFor(600 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetUnansweredCallShare(0);
  fixture.RunFor(800 * kMillisecond);
  for (const WorkerReport& report : fixture.reports) {
    CHECK(report.rejected.empty());
  }
  fixture.worker->SetPollsUnanswered(false);
  CHECK(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  CHECK(fixture.started.size() == 1);
}

// Guards against two runs of one task. A worker that answers nothing still carries out starts,
// whose deadlines extend its lease, so it must not be reported as lost before all of them have
// passed.
TEST_CASE("WorkerDriver ReportsASilentWorkerAsLostOnlyWhenAllItsLeasesHaveExpired")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.worker->SetUnansweredCallShare(1.0);
  for (int index = 1; index <= 30 && !fixture.reports.back().allLost; ++index) {
    fixture.StartTask("k.0.0." + std::to_string(index));
    fixture.RunFor(200 * kMillisecond);
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  CHECK(fixture.ended.size() == fixture.started.size());
}

// Guards against a task that starts after its job was cancelled (soak seed 949): an agent that
// resumes after a pause finds the order to start and the order to stop both queued, and acts on the
// first one.
TEST_CASE("WorkerDriver DoesNotStartARunWhenItWasStoppedDuringAPause")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  std::this_thread::sleep_for(2500 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(5 * kMillisecond);
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.stops.push_back({ "j.0.0.0", 1 });
  fixture.driver->OnOrders(orders);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.started.empty());
  // Orders that come after the next extension are carried out.
  fixture.StartTask("k.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that exists twice: the leader gives up the runs of a worker whose lease has
// expired, and starts them elsewhere.
TEST_CASE("WorkerDriver DoesNotStartARunWhenTheLeaseExpiredAfterItsOrder")
{
  // Leases last 3.6 s. Starts wait once the last answer of the leader is older than 2 s.
  WorkerDriverFixture fixture(4000 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.extendLeases = false;
  fixture.RunFor(2300 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1700 * kMillisecond);
  CHECK(fixture.started.empty());
  fixture.extendLeases = true;
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(
    std::any_of(fixture.reports.begin(), fixture.reports.end(), [](const WorkerReport& aReport) {
      return !aReport.rejected.empty() && aReport.rejected.front().ref.task == "j.0.0.0";
    }));
  fixture.StartTask("k.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  CHECK(fixture.started.front() == "k.0.0.0");
}

// Guards against a run that exists twice: after the loss of the link, only the leader knows which
// orders still hold.
TEST_CASE("WorkerDriver ForgetsUnsentStartsWhenItFollowsALeaderAgain")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.driver->OnLeaderLost();
  fixture.extendLeases = true;
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.started.empty());
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that starts after the leader has given it up: a refusal of the repeated
// start says nothing about the first one, which the worker has not answered and executes later.
TEST_CASE("WorkerDriver PreventsAnUnansweredStartWhenItsRepetitionIsRefused")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(200 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->SetOverloaded(true);
  fixture.RunFor(600 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.worker->SetOverloaded(false);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRejected("j.0.0.0"); }));
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a second run of a task: an unanswered start took effect, and the run is reported
// as rejected because its repetition was refused.
TEST_CASE("WorkerDriver ReportsTheEndOfARunThatBeganBeforeItsStopArrived")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), 300 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetUnansweredCallShare(1.0);
  fixture.worker->SetPollsUnanswered(true);
  // Wait until the poll in flight is answered, so that it does not show the run.
  fixture.RunFor(600 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.RunFor(700 * kMillisecond);
  fixture.worker->SetUnansweredCallShare(0);
  fixture.worker->SetOverloaded(false);
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetPollsUnanswered(false);
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  CHECK(fixture.reports.back().ended[0].how == RunEnd::Done);
  fixture.RunFor(500 * kMillisecond);
  CHECK_FALSE(fixture.IsRejected("j.0.0.0"));
}

// Guards against a run that goes on after its job was cancelled, because a worker that was
// overloaded for a moment refused the order to stop it.
TEST_CASE("WorkerDriver StopsARunWhenTheWorkerFirstRefusedTheOrder")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetOverloaded(false);
  CHECK(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
}

// Guards against a leader that takes a run for gone, and starts its task elsewhere, while the order
// that prevents a start of an earlier agent process has not been answered.
TEST_CASE("WorkerDriver ListsARunUntilItsStopIsAnswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(1200 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.worker->SetDelayedCallShare(0);
  CHECK(fixture.RunUntil([&] { return !fixture.IsListed("j.0.0.0"); }));
}

// Guards against a run that goes on after its job was cancelled: an order to stop it was not
// answered when a new leader took over, and the new leader does not know the run.
TEST_CASE("WorkerDriver RepeatsAnUnansweredStopWhenItFollowsANewLeader")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetOverloaded(true);
  fixture.StopTask("j.0.0.0");
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunFor(300 * kMillisecond);
  fixture.worker->SetOverloaded(false);
  CHECK(fixture.RunUntil([&] { return !fixture.ended.empty(); }));
}

// Guards against a task that starts seconds after its job was cancelled: a start that was not
// answered is repeated with the token of a new leader, before that leader's order to stop arrives.
TEST_CASE("WorkerDriver RepeatsAStartOfAnEarlierLeaderOnlyWhenTheNewLeaderOrdersIt")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.driver->FollowLeader(Epoch{ 2 });
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.IsListed("j.0.0.0"));
  fixture.StartTask("j.0.0.0", Epoch{ 2 });
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a run that is never reported as running because its start was not answered before
// the link to the leader was lost.
TEST_CASE("WorkerDriver ReportsARunThatAnUnansweredStartOfAnEarlierLinkBegan")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetUnansweredCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.driver->OnLeaderLost();
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().running.size() == 1; }));
  fixture.RunFor(700 * kMillisecond);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().full; }));
  CHECK(fixture.reports.back().starting.empty());
  CHECK(fixture.started.size() == 1);
}

// Guards against a second run of a task: the worker restarts under its id and carries out a start
// that its earlier process had not answered, after the leader has given the run up.
TEST_CASE("WorkerDriver PreventsUnansweredStartsWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(700 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->Restart();
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a second run of a task: the worker was silent until all its leases had expired, so
// that the leader has started the task elsewhere, and then carries out a start with a new lease.
TEST_CASE("WorkerDriver PreventsUnansweredStartsWhenTheWorkerWasLost")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.worker->SetDelayedCallShare(1.0);
  // Sent while the last lease is valid, and executed 1.5 s later, after the loss.
  fixture.RunFor(1500 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  REQUIRE(fixture.started.empty());
  fixture.worker->SetDelayedCallShare(0);
  fixture.worker->SetPollsUnanswered(false);
  fixture.RunFor(2000 * kMillisecond);
  CHECK_FALSE(fixture.reports.back().allLost);
  CHECK(fixture.started.empty());
  CHECK_FALSE(fixture.IsListed("j.0.0.0"));
}

// Guards against a second run of a task: an order to start it was under way when the agent reported
// all runs of the worker as lost, so that the leader starts the task elsewhere.
TEST_CASE("WorkerDriver RejectsStartsThatWereOrderedBeforeTheLeaderLearnedOfTheLoss")
{
  WorkerDriverFixture fixture(500 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.worker->SetPollsUnanswered(true);
  fixture.extendLeases = false;
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  fixture.StartTask("j.0.0.0");
  fixture.worker->SetPollsUnanswered(false);
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().allLost; }));
  fixture.StartTask("j.0.0.1");
  fixture.extendLeases = true;
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.started.empty());
  CHECK(fixture.IsRejected("j.0.0.0"));
  CHECK(fixture.IsRejected("j.0.0.1"));
  fixture.StartTask("j.0.0.2");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against a worker that counts as silent, or whose acknowledged ends stop, because of one
// malformed entry in its lists.
TEST_CASE("WorkerDriver ReportsEndsWhenAnEntryIsMalformed")
{
  WorkerDriverFixture fixture;
  fixture.worker->AddListedEntries(
    nlohmann::json::array(),
    { "odd", { -1, "j.0.0.7", 1, "done", "" }, { 1e300, "j.0.0.8", 1, "done", "" } });
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  for (const char* task : { "j.0.0.0", "j.0.0.1" }) {
    fixture.StartTask(task);
    REQUIRE(fixture.RunUntil(
      [&] { return !fixture.reports.back().ended.empty() && fixture.reports.back().full; }));
    CHECK(fixture.reports.back().ended[0].ref.task == task);
    WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
    orders.acknowledgedEnds.push_back(fixture.reports.back().ended[0].number);
    fixture.driver->OnOrders(orders);
    REQUIRE(fixture.RunUntil(
      [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  }
}

// Guards against a run that is started a second time because the entry that lists it is malformed:
// the leader takes a run that a full report does not list for gone.
TEST_CASE("WorkerDriver SendsNoFullReportWhenARunningEntryIsMalformed")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(30));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().running.empty(); }));
  fixture.worker->AddListedEntries(nlohmann::json::array({ nlohmann::json::array({ 7, 7 }) }),
                                   nlohmann::json::array());
  fixture.RunFor(400 * kMillisecond);
  const std::size_t before = fixture.reports.size();
  fixture.RunFor(1500 * kMillisecond);
  // Reports continue, so that the lease is extended.
  CHECK(fixture.reports.size() >= before + 3);
  for (std::size_t index = before; index < fixture.reports.size(); ++index) {
    CHECK_FALSE(fixture.reports[index].full);
    CHECK_FALSE(fixture.reports[index].allLost);
  }
  fixture.worker->AddListedEntries(nlohmann::json::array(), nlohmann::json::array());
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().full; }));
  CHECK(fixture.reports.back().running.size() == 1);
}

// Guards against an end that keeps all later ends on the worker because its entry is malformed.
TEST_CASE("WorkerDriver AcknowledgesEndsAfterOneThatIsMalformed")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  // The stand-in numbers ends from 1, so the malformed one takes the place of the second.
  fixture.worker->SkipEndNumber();
  fixture.worker->AddListedEntries(nlohmann::json::array(), { { 2, 7, 7, 7, 7 } });
  fixture.StartTask("j.0.0.1");
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.size() == 2; }));
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.acknowledgedEnds = { 1, 3 };
  fixture.driver->OnOrders(orders);
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  CHECK(fixture.worker->AcknowledgedUpTo() == 3);
}

// Guards against a second run of a task (soak seed 6050): an agent that resumes after a pause sends
// starts to a new incarnation of the worker, and the leader starts the runs elsewhere as soon as it
// knows of that incarnation.
TEST_CASE("WorkerDriver ReportsANewIncarnationOnlyWhenItStartsNoEarlierRun")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(100 * kMillisecond);
  fixture.worker->Restart();
  fixture.RunFor(900 * kMillisecond);
  CHECK(fixture.reports.back().worker.born == before);
  fixture.worker->SetDelayedCallShare(0);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  const std::size_t startedBefore = fixture.started.size();
  fixture.RunFor(2000 * kMillisecond);
  CHECK(fixture.started.size() == startedBefore);
}

// Guards against a leader that waits for leases although all of an earlier agent have expired.
TEST_CASE("WorkerDriver ReportsThatNoWorkerIsLeftWhenTheWorkerIsSilentAfterARestart")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.control.reset();
  fixture.worker->SetPollsUnanswered(true);
  const std::unique_ptr<WorkerDriver> earlierDriver = std::move(fixture.driver);
  earlierDriver->OnLeaderLost();
  fixture.driver = fixture.MakeDriver(1500 * kMillisecond);
  fixture.reports.clear();
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
  CHECK(fixture.reports.back().worker.id.empty());
  CHECK(fixture.ended.size() == 1);
}

// Guards against a second run of a task whose worker was silent for a while only.
TEST_CASE("WorkerDriver ReportsNothingWhenAWorkerThatItDoesNotKnowAnswersAgainInTime")
{
  WorkerDriverFixture fixture(1500 * kMillisecond);
  fixture.control.reset();
  fixture.worker->SetPollsUnanswered(true);
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1000 * kMillisecond);
  fixture.worker->SetPollsUnanswered(false);
  fixture.RunFor(1500 * kMillisecond);
  fixture.worker->SetPollsUnanswered(true);
  fixture.RunFor(800 * kMillisecond);
  CHECK(fixture.reports.empty());
}

// Guards against a second run of a task that is done, as the report of its end was not sent.
TEST_CASE("WorkerDriver ReportsUnacknowledgedEndsWhenTheWorkerIsLost")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  fixture.worker.reset();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  CHECK(fixture.reports.back().ended.size() == 1);
}

// Guards against a second run of a task that is done, as its worker restarts before a report.
TEST_CASE("WorkerDriver ReportsUnacknowledgedEndsWhenTheWorkerRestarts")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.driver->OnLeaderLost();
  fixture.RunFor(500 * kMillisecond);
  REQUIRE(fixture.ended.size() == 1);
  fixture.worker->Restart();
  fixture.RunFor(300 * kMillisecond);
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  const auto first =
    std::find_if(fixture.reports.begin(), fixture.reports.end(), [&](const WorkerReport& aReport) {
      return aReport.worker.born > before;
    });
  REQUIRE(first->ended.size() == 1);
  CHECK(first->ended[0].ref == RunRef{ "j.0.0.0", 1 });
  CHECK(first->ended[0].how == RunEnd::Done);
  fixture.StartTask("j.0.0.1", Epoch{ 2 });
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.size() == 2; }));
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 2 });
  for (const EndedRun& end : fixture.reports.back().ended) {
    orders.acknowledgedEnds.push_back(end.number);
  }
  fixture.driver->OnOrders(orders);
  CHECK(fixture.RunUntil(
    [&] { return fixture.reports.back().full && fixture.reports.back().ended.empty(); }));
  CHECK(fixture.worker->AcknowledgedUpTo() == 1);
}

// Guards against a cancelled run that a delayed call of an earlier agent process starts.
TEST_CASE("WorkerDriver RepeatsAStopWhenTheWorkerRestarts")
{
  const bool isConfirmed = GENERATE(true, false);
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const auto earlierAgent = fixture.SendDelayedStart("j.0.0.0");
  fixture.worker->SetOverloaded(!isConfirmed);
  fixture.StopTask("j.0.0.0");
  fixture.RunFor(isConfirmed ? 800 * kMillisecond : 400 * kMillisecond);
  CHECK(fixture.IsListed("j.0.0.0") != isConfirmed);
  fixture.worker->Restart();
  fixture.worker->SetOverloaded(false);
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a cancelled run that begins as its stop was under way during a restart.
TEST_CASE("WorkerDriver CarriesOutAStopThatWasOrderedForTheEarlierIncarnation")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  const auto earlierAgent = fixture.SendDelayedStart("j.0.0.0");
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.stops.push_back({ "j.0.0.0", 1 });
  fixture.worker->Restart();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  fixture.driver->OnOrders(orders);
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against leases that end, or a loss that stays unreported, because a report failed.
TEST_CASE("WorkerDriver PollsTheWorkerAfterAReportHasFailed")
{
  const bool isPresent = GENERATE(true, false);
  WorkerDriverFixture fixture;
  if (!isPresent) {
    fixture.worker.reset();
  }
  fixture.failReports = true;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE_THROWS(fixture.RunFor(2000 * kMillisecond));
  fixture.failReports = false;
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost != isPresent);
}

// Guards against leases that end because the leader answers after many later reports were sent.
TEST_CASE("WorkerDriver AcceptsAnExtensionWhenManyLaterReportsWereSent")
{
  WorkerDriverFixture fixture;
  fixture.extendLeases = false;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::uint64_t first = fixture.reports.back().sequence;
  platformwire::WorkerHeartbeat heartbeat;
  heartbeat.worker = fixture.reports.back().worker;
  heartbeat.sequence = 1000000;
  for (int index = 1; index <= 100; ++index) {
    ++heartbeat.sequence;
    heartbeat.worker.remainingMs = index;
    fixture.driver->OnHeartbeat(heartbeat);
  }
  REQUIRE(fixture.reports.back().sequence >= first + 100);
  fixture.driver->OnLeaseExtension({ Epoch{ 1 }, first, {} });
  fixture.StartTask("j.0.0.0");
  CHECK(fixture.RunUntil([&] { return !fixture.started.empty(); }));
}

// Guards against leases and starts whose deadlines are those of an earlier incarnation's clock.
TEST_CASE("WorkerDriver StartsNothingWhenAnIncarnationWithoutHeartbeatsAnswers")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.control.reset();
  fixture.worker->Restart();
  fixture.RunFor(500 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.started.empty());
}

// Guards against a leader that waits for a worker that restarted and whose heartbeats are lost.
TEST_CASE("WorkerDriver ReportsAllRunsLostWhenAnIncarnationWithoutHeartbeatsAnswers")
{
  WorkerDriverFixture fixture(1500 * kMillisecond, std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.control.reset();
  fixture.worker->Restart();
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  fixture.reports.clear();
  fixture.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  CHECK(fixture.reports.back().allLost);
}
