#include "WorkerDriver.h"

#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

// A driver beside a stand-in worker, with the test in the place of the leader.
struct Beside
{
  asio::io_context context{ 1 };
  Counters counters;
  std::vector<WorkerReport> reports;
  std::vector<std::string> started;
  std::vector<std::pair<std::string, std::string>> ended;
  std::unique_ptr<HttpServer> control;
  std::unique_ptr<platformwire_testing::StandInWorker> worker;
  std::unique_ptr<WorkerDriver> driver;
  bool extends = true;
  std::uint64_t orders = 0;

  explicit Beside(Duration aMaxLease = std::chrono::seconds(6), Duration aRunTime = 100 * kMs)
  {
    this->control = *HttpServer::Create(
      this->context,
      "127.0.0.1",
      0,
      {},
      [this](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
        const auto beat = platformwire::DecodeHeartbeat("w", aRequest.body);
        if (beat.ok() && this->driver != nullptr) {
          this->driver->OnHeartbeat(*beat);
        }
        aReply({ kHttpOk, {}, "{}" });
      },
      this->counters);
    platformwire_testing::StandInWorkerOptions options;
    options.id = "w";
    options.service = "s";
    options.ip = "127.0.0.1";
    options.agentAddress = "127.0.0.1:" + std::to_string(this->control->Port());
    options.heartbeatInterval = 50 * kMs;
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
    this->driver =
      *WorkerDriver::Create(this->context,
                            "127.0.0.1:" + std::to_string(this->worker->Port()),
                            aMaxLease,
                            this->counters,
                            [this](const WorkerReport& aReport) {
                              this->reports.push_back(aReport);
                              if (this->extends) {
                                this->driver->OnExtension({ aReport.epoch, aReport.sequence, {} });
                              }
                            });
  }

  void RunFor(Duration aTime)
  {
    const Instant until = BootClock::now() + aTime;
    while (BootClock::now() < until) {
      this->context.run_one_for(5 * kMs);
    }
  }

  // Runs until the condition holds, for five seconds at most.
  template<typename Condition>
  bool Await(Condition aCondition)
  {
    const Instant until = BootClock::now() + std::chrono::seconds(5);
    while (!aCondition() && BootClock::now() < until) {
      this->context.run_one_for(5 * kMs);
    }
    return aCondition();
  }

  WorkerOrders Orders(Epoch aEpoch)
  {
    WorkerOrders given;
    given.epoch = aEpoch;
    given.sequence = ++this->orders;
    given.born = this->reports.back().worker.born;
    return given;
  }

  void StartTask(const std::string& aTask)
  {
    WorkerOrders given = this->Orders(Epoch{ 1 });
    StartRun start;
    start.ref = { aTask, 1 };
    given.starts.push_back(start);
    this->driver->OnOrders(given);
  }
};

} // namespace

TEST_CASE("WorkerDriver StartsARunAndReportsItsEndUntilItIsAcknowledged")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.StartTask("j.0.0.0");
  REQUIRE(beside.Await(
    [&] { return !beside.reports.back().ended.empty() && beside.reports.back().full; }));
  CHECK(beside.reports.back().ended[0].how == RunEnd::Done);
  WorkerOrders given = beside.Orders(Epoch{ 1 });
  given.acknowledgedEnds.push_back(beside.reports.back().ended[0].number);
  beside.driver->OnOrders(given);
  CHECK(beside.Await(
    [&] { return beside.reports.back().full && beside.reports.back().ended.empty(); }));
}

// Guards against a start whose deadline has passed before it is sent: without an extension for this
// life of the worker there is no lease to give it, and the worker refuses it.
TEST_CASE("WorkerDriver HoldsAStartBackUntilTheWorkerHasALease")
{
  Beside beside;
  beside.extends = false;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.StartTask("j.0.0.0");
  beside.RunFor(300 * kMs);
  for (const WorkerReport& report : beside.reports) {
    CHECK(report.rejected.empty());
  }
  CHECK(beside.started.empty());
  beside.extends = true;
  CHECK(beside.Await([&] { return !beside.started.empty(); }));
}

// Guards against orders of a leader that another one has replaced.
TEST_CASE("WorkerDriver IgnoresOrdersOfAnEarlierEpoch")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.driver->FollowLeader(Epoch{ 2 });
  REQUIRE(beside.Await([&] { return beside.reports.back().epoch == Epoch{ 2 }; }));
  beside.StartTask("j.0.0.0");
  beside.RunFor(300 * kMs);
  CHECK(beside.started.empty());
}

TEST_CASE("WorkerDriver ReportsTheNewLifeWhenTheWorkerRestarts")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  const std::int64_t before = beside.reports.back().worker.born;
  beside.worker->Restart();
  CHECK(beside.Await([&] { return beside.reports.back().worker.born > before; }));
}

// Guards against serving runs that nothing is paced for after their agent was restarted, and
// against a second start of what runs already.
TEST_CASE("WorkerDriver AsksWhatRunsExecuteThatItDidNotStart")
{
  Beside beside(std::chrono::seconds(6), std::chrono::seconds(60));
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.StartTask("j.0.0.0");
  REQUIRE(beside.Await([&] { return !beside.started.empty(); }));
  const std::size_t before = beside.reports.size();
  // Kept, because its calls are still under way; it reports to nobody any more.
  const std::unique_ptr<WorkerDriver> earlier = std::move(beside.driver);
  earlier->LoseLeader();
  beside.driver =
    *WorkerDriver::Create(beside.context,
                          "127.0.0.1:" + std::to_string(beside.worker->Port()),
                          std::chrono::seconds(6),
                          beside.counters,
                          [&](const WorkerReport& aReport) {
                            beside.reports.push_back(aReport);
                            beside.driver->OnExtension({ aReport.epoch, aReport.sequence, {} });
                          });
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await(
    [&] { return beside.reports.size() > before && !beside.reports.back().undescribed.empty(); }));
  CHECK(beside.reports.back().undescribed[0].task == "j.0.0.0");
  // A description is no start, so that a draining worker does not reject it.
  beside.worker->SetDraining(true);
  REQUIRE(beside.Await([&] { return beside.reports.back().worker.draining; }));
  beside.StartTask("j.0.0.0");
  CHECK(beside.Await(
    [&] { return beside.reports.back().full && beside.reports.back().undescribed.empty(); }));
  CHECK(beside.reports.back().running.size() == 1);
  CHECK(beside.started.size() == 1);
  for (const WorkerReport& report : beside.reports) {
    CHECK(report.rejected.empty());
  }
}

// Guards against a worker that is never used again because its clock was set back before it
// restarted, so that it seems to be born before its earlier life.
TEST_CASE("WorkerDriver FollowsALifeThatSeemsToBeBornEarlier")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  const std::int64_t before = beside.reports.back().worker.born;
  beside.worker->Restart(-5000);
  REQUIRE(beside.Await([&] { return beside.reports.back().worker.born < before; }));
  beside.StartTask("j.0.0.0");
  CHECK(beside.Await([&] { return !beside.started.empty(); }));
}

// Guards against a late heartbeat of an earlier life that puts the living one out of use.
TEST_CASE("WorkerDriver KeepsTheLifeThatAnswersWhenAHeartbeatOfAnEarlierOneArrives")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  const WorkerState living = beside.reports.back().worker;
  platformwire::WorkerHeartbeat late;
  late.worker = living;
  late.worker.born = living.born - 5000;
  late.sequence = 1;
  beside.driver->OnHeartbeat(late);
  beside.RunFor(1500 * kMs);
  for (const WorkerReport& report : beside.reports) {
    CHECK(report.worker.born == living.born);
  }
}

// Guards against a worker that is taken for alive, and its runs for running, when nothing listens.
TEST_CASE("WorkerDriver ReportsAllRunsLostWhenNothingListensAtTheWorker")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.worker.reset();
  CHECK(beside.Await([&] { return beside.reports.back().allLost; }));
}

// Guards against a second run of a task that is done: the worker runs it and leaves the start
// unanswered, and the repeated start is refused as one that has ended.
TEST_CASE("WorkerDriver ReportsTheEndOfARunWhoseStartWasNotAnswered")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.worker->SetMute(1.0);
  beside.worker->SetMuteLooks(true);
  // The look that is under way is answered before the run ends.
  beside.RunFor(600 * kMs);
  beside.StartTask("j.0.0.0");
  REQUIRE(beside.Await([&] { return !beside.started.empty(); }));
  beside.worker->SetMute(0);
  beside.RunFor(800 * kMs);
  for (const WorkerReport& report : beside.reports) {
    CHECK(report.rejected.empty());
  }
  beside.worker->SetMuteLooks(false);
  CHECK(beside.Await([&] { return !beside.reports.back().ended.empty(); }));
  CHECK(beside.started.size() == 1);
}

// Guards against two runs of one task: a worker that answers nothing carries out repeated starts,
// whose deadlines extend its lease. It must not be reported as lapsed before they have passed.
TEST_CASE("WorkerDriver ReportsASilentWorkerAsLostOnlyAfterEveryLeaseItWasGiven")
{
  Beside beside(1500 * kMs, std::chrono::seconds(60));
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.StartTask("j.0.0.0");
  REQUIRE(beside.Await([&] { return !beside.started.empty(); }));
  beside.worker->SetMuteLooks(true);
  beside.worker->SetMute(1.0);
  for (int index = 1; index <= 30 && !beside.reports.back().allLost; ++index) {
    beside.StartTask("k.0.0." + std::to_string(index));
    beside.RunFor(200 * kMs);
  }
  REQUIRE(beside.Await([&] { return beside.reports.back().allLost; }));
  CHECK(beside.ended.size() == beside.started.size());
}

// Guards against a task that starts after its job was cancelled (soak seed 949): an agent that
// wakes from a pause finds the order to start and the order to stop waiting, and acts on the first
// one.
TEST_CASE("WorkerDriver StartsNothingThatWasStoppedWhileItWasPaused")
{
  Beside beside;
  beside.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(beside.Await([&] { return !beside.reports.empty(); }));
  beside.RunFor(1000 * kMs);
  std::this_thread::sleep_for(2500 * kMs);
  beside.StartTask("j.0.0.0");
  beside.RunFor(5 * kMs);
  WorkerOrders given = beside.Orders(Epoch{ 1 });
  given.stops.push_back({ "j.0.0.0", 1 });
  beside.driver->OnOrders(given);
  beside.RunFor(800 * kMs);
  CHECK(beside.started.empty());
  // Orders that come after the next extension are carried out.
  beside.StartTask("k.0.0.0");
  CHECK(beside.Await([&] { return !beside.started.empty(); }));
}
