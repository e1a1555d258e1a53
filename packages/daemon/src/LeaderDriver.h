// Takes part in the leader election and, while this entry leads, runs the scheduler: loads the
// stored state, watches for new jobs, stores decisions and sends orders to agents.
#pragma once

#include "LeaderWrite.h"
#include "MultiRangeReader.h"

#include "oriolespread/cluster/LeaderElection.h"
#include "oriolespread/cluster/TimeoutEstimator.h"
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oriolespread::daemon {

struct LeaderDriverOptions
{
  // The machine on which the entry runs.
  std::string entry;
  // Identifies the process; differs after each restart.
  std::string process;
  // The lease that agents request, on which the leader bases its decisions.
  Duration workerLease{};
  // See SchedulerSettings.
  Duration storeOutageTolerance = jobs::SchedulerSettings().storeOutageTolerance;
  // How long callers are promised that the state of an ended job can be read.
  Duration endedJobRetention{};
  // The share of a core that the event loop may use; 0 if unknown.
  double coreShare = 0;
  // See SchedulerSettings.
  jobs::WaitingOrder waitingOrder = jobs::SchedulerSettings().waitingOrder;
  // See ElectionSettings.
  Duration steadyTime = cluster::ElectionSettings().steadyTime;
};

class LeaderDriver
{
public:
  // Returns false if the message was not sent.
  using SendToAgent = std::function<bool(const std::string& aAgent, const LinkMessage& aMessage)>;

  LeaderDriver(asio::io_context& aContext,
               platformwire::StoreClient& aStore,
               LeaderDriverOptions aOptions,
               Counters& aCounters,
               SendToAgent aSend);

  void Start();

  void OnAgentUp(const std::string& aAgent);
  void OnAgentDown(const std::string& aAgent);
  void OnReport(const std::string& aAgent, const WorkerReport& aReport);

  // Passes on the data centres in which nothing is started. A leader takes no decision before the
  // first call.
  void SetEvacuatedDataCentres(const std::set<std::string>& aDataCentres);

  // Releases the leadership, or stops taking part in the election. Calls `aDone` when the release
  // is stored, or when there is no leadership to release.
  void Release(std::function<void()> aDone);

  // Returns the wait that the present leader, this entry or another one, has published for new work
  // of the service and priority; empty if there is none or no leader.
  std::optional<cluster::PublishedWait> FindPublishedWait(const std::string& aService,
                                                          int aPriority) const;

  std::map<std::string, double> Gauges() const;
  // The time from the first attempt at a leader's transaction until it is known to be applied.
  const LatencyHistogram& CommitLatency() const { return this->commitLatency; }
  // The time from the first read of a job to the placement of its first task.
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

  // A transaction of the leader. It renews the leadership as well.
  struct Commit
  {
    jobs::StoreBatch batch;
    cluster::StoreTransaction transaction;
    // The transaction releases the leadership.
    bool releases = false;
    // When the first attempt was sent.
    Instant startedAt{};

    const std::string& LeaderRowValue() const { return this->transaction.changes.front().value; }
  };
  using CommitPtr = std::shared_ptr<Commit>;

  struct AgentLink
  {
    Instant upSince{};
    // The agent was told that the leadership has been renewed since, or follows this leader
    // already.
    bool knowsRenewal = false;
  };

  void PollLeaderRow();
  void SchedulePoll(Duration aDelay);
  // Measures the processor speed, passes it to the election and returns it.
  double MeasureSpeed();
  void ClaimLeadership();
  // Counts that an attempt at the claim has failed.
  void OnClaimRetry();
  void OnClaimed(const cluster::LeaderRecord& aClaim,
                 const cluster::CommitResult& aResult,
                 Instant aSentAt);
  // Returns whether the value of the leader's row is the one of this process's last claim.
  bool IsLastClaim(const std::string& aRowValue) const;
  void BeginLeadership(const cluster::LeaderRecord& aRow,
                       std::uint64_t aVersion,
                       Instant aRenewedAt);
  void StepDown(std::string_view aReason);
  void SendClaim(const std::string& aAgent, bool aRepeated = false);
  // Repeats the claims to agents whose links were up when the last renewal was sent, if they do not
  // know of a renewal yet.
  void RepeatRenewedClaims();

  // The following functions are in LeaderLoading.cpp.

  void Load();
  // Waits for the first call of SetEvacuatedDataCentres if necessary.
  void OnLoaded(MultiRangeResult aResult);
  void LoadRow(const cluster::StoredRow& aRow, jobs::Now aNow);
  // Applies the row. An exception is counted and logged, so that the other rows are still applied.
  void GuardRow(const cluster::StoredRow& aRow, const std::function<void()>& aApply);
  void WatchJobs();
  void ReloadJobs();
  void ApplyJobRows(const std::vector<cluster::StoredRow>& aRows);
  // Returns a policy that retries failed pages, and counts them, until the term changes.
  MultiRangeReader::RetryPolicy RetryDuringTerm(std::string aCounter);

  // The following functions are in LeaderDriver.cpp.

  // Decides, sends the orders that result, and commits changes or renews the leadership if no
  // commit is in flight.
  void RunSchedulingPass();
  // Runs a scheduling pass after kSchedulingBatchDelay, unless one is already pending.
  void RequestSchedulingPass();
  // Runs a scheduling pass and removes old rows every kIdleSchedulingInterval.
  void ScheduleTick();
  void CommitBatch(jobs::StoreBatch aBatch);
  void SendCommit(const CommitPtr& aCommit);
  void OnCommitted(const CommitPtr& aCommit, const cluster::CommitResult& aResult, Instant aSentAt);
  // Handles that the leadership row has another version than expected: the transaction or the
  // refused one before it was applied by an unanswered attempt, or another entry leads.
  void OnConflict(const CommitPtr& aCommit, const cluster::CommitResult& aResult);
  // `aVersion` is the new one of the leadership row, `aRenewedAt` see `renewedAt`.
  void OnApplied(const CommitPtr& aCommit, std::uint64_t aVersion, Instant aRenewedAt);
  // Counts the refused transaction, and logs it unless one was logged within the last second.
  void ReportInvalid(const cluster::StoreTransaction& aTransaction,
                     const cluster::CommitResult& aResult);
  // Sends the transaction and logs each second from then on for as long as its fate is not known.
  void SendWrite(cluster::StoreTransaction aTransaction,
                 LeaderWrite::RetryCallback aOnRetry,
                 LeaderWrite::Callback aOnFate);
  // Forgets the write, whose fate does not matter any more.
  void CancelWrite();
  void ScheduleWaitingLog(Duration aDelay);
  void SendOrders();
  void RemoveRows();
  void FinishRelease();

  // Calls `aCall` after the delay unless the term has changed by then.
  void CallAfter(Duration aDelay, std::function<void()> aCall);
  jobs::Now CurrentTime() const;

  asio::io_context& context;
  platformwire::StoreClient& store;
  LeaderDriverOptions options;
  Counters& counters;
  SendToAgent sendToAgent;
  jobs::SchedulerSettings schedulerSettings;
  cluster::LeaderElection election;
  asio::steady_timer pollTimer;
  asio::steady_timer tickTimer;
  asio::steady_timer waitingLogTimer;
  Phase phase = Phase::Standby;
  // Incremented when the leadership begins, is lost or is released; callbacks of an earlier term
  // are dropped.
  std::uint64_t term = 0;

  // The last claim until the leadership begins.
  std::optional<cluster::LeaderRecord> lastClaim;
  cluster::LeaderRecord leaderRow;
  std::uint64_t leaderRowVersion = 0;
  // When all leases that earlier leaders have extended have certainly expired.
  Instant earlierLeasesExpiry{};
  Instant speedMeasuredAt{};
  // The earliest time at which the store can have carried out the last applied renewal.
  Instant renewedAt{};
  bool commitInFlight = false;
  // The transaction or claim in flight.
  std::shared_ptr<LeaderWrite> pendingWrite;
  bool waitingLogScheduled = false;
  // The transaction before the one in flight, if it was refused as invalid. Only the end of the one
  // in flight tells that no unanswered attempt at it was applied.
  CommitPtr refusedCommit;
  // When the last transaction, or the claim, was known to be applied.
  Instant lastCommitAt{};
  // Since when no transaction has taken as long as others wait before they claim.
  Instant steadySince{};
  // When the next line about a refused transaction may be logged, and those refused since the last.
  Instant nextInvalidLog{};
  std::uint64_t unloggedInvalid = 0;
  cluster::TimeoutEstimator commitTimeout{ cluster::TimeoutLimits{} };
  // Whether a transaction is in flight that removes rows outside the leader's part of the store.
  bool removalInFlight = false;
  bool schedulingPassPending = false;
  std::uint64_t jobsVersion = 0;
  std::unique_ptr<jobs::JobScheduler> scheduler;
  // Empty before the first call of SetEvacuatedDataCentres.
  std::optional<std::set<std::string>> evacuatedDataCentres;
  // The loaded rows while `evacuatedDataCentres` is empty.
  std::optional<MultiRangeResult> heldRows;
  std::map<std::string, AgentLink> agents;
  std::function<void()> onReleased;
  LatencyHistogram commitLatency;
  LatencyHistogram jobStartLatency;
};

} // namespace oriolespread::daemon
