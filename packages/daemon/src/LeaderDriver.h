// Competes for the leadership of the cluster and, while it leads, runs the scheduler: loads what is
// stored, follows new jobs, stores decisions and sends orders to agents.
#pragma once

#include "MultiRangeReader.h"

#include "oriolespread/cluster/LeaderElection.h"
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace oriolespread::daemon {

struct LeaderDriverOptions
{
  std::string entry;
  // New with each start of the process.
  std::string process;
  Duration workerLease{};
  Duration endedJobRetention{};
};

class LeaderDriver
{
public:
  using SendToAgent = std::function<void(const std::string& aAgent, const LinkMessage& aMessage)>;

  LeaderDriver(asio::io_context& aContext,
               platformwire::StoreClient& aStore,
               LeaderDriverOptions aOptions,
               Counters& aCounters,
               SendToAgent aSend);

  void Start();

  void OnAgentUp(const std::string& aAgent);
  void OnAgentDown(const std::string& aAgent);
  void OnReport(const std::string& aAgent, const WorkerReport& aReport);

  // Gives the leadership up, or stops competing for it, and calls `aDone` when that is stored or
  // cannot be.
  void Release(std::function<void()> aDone);

  std::map<std::string, double> Gauges() const;
  // From the first try of a transaction of the leader until it is known to be applied.
  const LatencyHistogram& CommitLatency() const { return this->commitLatency; }
  // From the first read of a job to the placement of its first task.
  const LatencyHistogram& JobStartLatency() const { return this->jobStartLatency; }

private:
  enum class Phase
  {
    Standby,
    Claiming,
    Loading,
    Leading,
    Stopped,
  };

  void PollLeaderRow();
  void SchedulePoll(Duration aDelay);
  // Measures the processor's speed again, and returns it.
  double MeasureSpeed();
  void ClaimLeadership();
  void BeginLeadership(const cluster::LeadRow& aRow, std::uint64_t aVersion, Instant aSentAt);
  void StepDown(std::string_view aReason);

  // LeaderLoading.cpp
  void Load();
  void OnLoaded(const MultiRangeResult& aResult);
  void WatchJobs();
  void ReloadJobs();
  void ApplyJobRows(const std::vector<cluster::StoredRow>& aRows);
  // Asks for failed pages again while this leadership lasts.
  MultiRangeReader::RetryPolicy RetryDuringTerm(std::string aCounter);

  // LeaderDriver.cpp
  void RunSchedulingPass();
  void RequestSchedulingPass();
  void ScheduleTick();
  void CommitBatch(jobs::StoreBatch aBatch);
  void SendTransaction(const std::shared_ptr<jobs::StoreBatch>& aBatch,
                       const cluster::StoreTransaction& aTransaction);
  void OnCommitted(const std::shared_ptr<jobs::StoreBatch>& aBatch,
                   const cluster::StoreTransaction& aTransaction,
                   const cluster::CommitResult& aResult,
                   Instant aSentAt);
  void SendOrders();
  void RemoveRows();
  void FinishRelease();

  // Runs `aCall` after the delay unless the leadership changed meanwhile.
  void CallAfter(Duration aDelay, std::function<void()> aCall);
  jobs::Now CurrentTime() const;

  asio::io_context& context;
  platformwire::StoreClient& store;
  LeaderDriverOptions options;
  Counters& counters;
  SendToAgent sendToAgent;
  cluster::LeaderElection election;
  asio::steady_timer pollTimer;
  asio::steady_timer tickTimer;
  Phase phase = Phase::Standby;
  // Rises with each change of phase, so that callbacks of an earlier one are dropped.
  std::uint64_t term = 0;

  cluster::LeadRow leaderRow;
  std::uint64_t leaderRowVersion = 0;
  Instant speedMeasuredAt{};
  // When the last renewal that was applied had been sent.
  Instant renewedAt{};
  bool commitInFlight = false;
  Instant commitStartedAt{};
  // A transaction that removes rows outside the leader's part is on its way.
  bool removalInFlight = false;
  bool schedulingPassPending = false;
  std::uint64_t jobsVersion = 0;
  std::unique_ptr<jobs::JobScheduler> scheduler;
  jobs::SchedulerSettings schedulerSettings;
  std::set<std::string> agents;
  std::function<void()> onReleased;
  LatencyHistogram commitLatency;
  LatencyHistogram jobStartLatency;
};

} // namespace oriolespread::daemon
