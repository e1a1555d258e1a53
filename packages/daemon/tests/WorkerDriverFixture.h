// A WorkerDriver with a stand-in worker, for tests that act as the leader.
#pragma once

#include "WorkerDriver.h"

#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread::daemon {

inline constexpr Duration kMillisecond = std::chrono::milliseconds(1);

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
  // Whether the answers to reports tell that the data centre is evacuated.
  bool evacuated = false;
  bool failReports = false;
  // When the last report was sent that was answered.
  Instant lastAnsweredAt{};
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
          this->lastAnsweredAt = BootClock::now();
          this->driver->OnLeaseExtension({ aReport.epoch, aReport.sequence, {}, this->evacuated });
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

  // Leaves polls unanswered from the one after the poll in flight on. Returns whether that poll has
  // arrived. The last answer is then so recent that starts are sent.
  bool LosePolls()
  {
    this->worker->SetPollsUnanswered(true);
    const std::size_t before = this->worker->PollCount();
    return this->RunUntil([&] { return this->worker->PollCount() > before; });
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

  // Returns the token of a process of the agent whose clock differs by the time.
  static FencingToken TokenOfAgent(Duration aClockDifference)
  {
    const std::int64_t unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count() +
                                ToMilliseconds(aClockDifference);
    return cluster::WorkerFence(unixMs).Token();
  }

  // Sends a start as an earlier process of the agent, which the worker carries out 1.5 s later.
  std::unique_ptr<platformwire::WorkerClient> SendDelayedStart(const std::string& aTask)
  {
    auto client = *platformwire::WorkerClient::Create(
      this->context, "127.0.0.1:" + std::to_string(this->worker->Port()), this->counters);
    this->worker->SetDelayedCallShare(1.0);
    StartRun start;
    start.ref = { aTask, 1 };
    client->Start(start,
                  TokenOfAgent(-std::chrono::seconds(10)),
                  5000,
                  500 * kMillisecond,
                  [](const platformwire::WorkerAnswer&) {});
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

} // namespace oriolespread::daemon
