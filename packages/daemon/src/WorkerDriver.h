// Drives the worker beside an agent: keeps its lease, starts and stops runs there, and keeps ends
// until the leader has stored them.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/PaceController.h"
#include "oriolespread/messages/WorkerMessages.h"
#include "oriolespread/platformwire/WorkerClient.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oriolespread::daemon {

class WorkerDriver
{
public:
  using SendToLeader = std::function<void(const WorkerReport&)>;

  // `aSend` passes a report to the leader, if there is a link to it.
  static absl::StatusOr<std::unique_ptr<WorkerDriver>> Create(asio::io_context& aContext,
                                                              const std::string& aAddress,
                                                              Duration aMaxWorkerLease,
                                                              Counters& aCounters,
                                                              SendToLeader aSend);

  // A heartbeat of the worker; one of an earlier life, or an older one, is ignored.
  void OnHeartbeat(const platformwire::WorkerHeartbeat& aHeartbeat);
  // The worker said that it leaves.
  void OnWorkerLeaving(const std::string& aId);

  // A leader with this epoch is linked. Reports go to it once the worker knows its fencing token.
  void FollowLeader(Epoch aEpoch);
  void OnLeaderLost();

  void OnLeaseExtension(const LeaseExtension& aExtension);
  void OnOrders(const WorkerOrders& aOrders);

  // From the order of a run to the worker's confirmation that it has started.
  const LatencyHistogram& StartLatency() const { return this->startLatency; }

private:
  struct TrackedRun
  {
    StartRun start;
    // The start was not answered yet; the run may exist.
    bool starting = false;
    bool stopping = false;
    // An earlier process of the agent started it.
    bool startedByEarlierAgent = false;
    int startAttempts = 0;
    Instant orderedAt{};
    // When the worker confirmed the start.
    Instant confirmedAt{};
  };

  WorkerDriver(asio::io_context& aContext,
               Duration aMaxWorkerLease,
               Counters& aCounters,
               SendToLeader aSend,
               std::unique_ptr<platformwire::WorkerClient> aClient);

  void BeginIncarnation(const platformwire::WorkerHeartbeat& aHeartbeat);
  // Begins the life of `unconfirmed` if the worker's answer shows that it is the living one.
  // Returns whether it does.
  bool ConfirmIncarnation(const platformwire::WorkerAnswer& aAnswer);
  // WorkerPolling.cpp
  void SchedulePoll(Duration aDelay);
  void PollWorker();
  void OnPollAnswer(const platformwire::WorkerAnswer& aAnswer,
                    Epoch aFencingEpoch,
                    Instant aSentAt);
  void OnPollFailed(const platformwire::WorkerAnswer& aAnswer);
  void ReportState(bool aFull, Instant aPollSentAt);
  void SendReport(WorkerReport aReport);
  void PaceRuns(Instant aNow);

  // WorkerDriver.cpp
  // Returns whether the worker's last answer lists the run.
  bool IsRunning(const RunRef& aRef) const;
  void TryStart(const RunRef& aRef);
  void OnStartAnswer(const RunRef& aRef, const platformwire::WorkerAnswer& aAnswer);
  void StopRun(const RunRef& aRef);
  void RejectRun(const RunRef& aRef, const std::string& aReason);
  // Brings `grantedUntil` and `lapsesAt` up to date before a deadline is passed on. Returns false
  // when there is no lease to pass on.
  bool GrantLease();
  // Returns whether the leader has answered a report that was sent lately, after which all its
  // earlier orders have arrived.
  bool HasRecentLeaderResponse() const;
  std::int64_t ToWorkerClockMs(Instant aLocalTime) const;
  void CallAfter(Duration aDelay, std::function<void()> aCall);

  asio::io_context& context;
  Duration requestedLease;
  Duration maxWorkerLease;
  Counters& counters;
  SendToLeader sendToLeader;
  std::unique_ptr<platformwire::WorkerClient> client;
  asio::steady_timer pollTimer;

  WorkerState worker;
  std::uint64_t heartbeatSequence = 0;
  // The last heartbeat of another life that seems to be born earlier: one that was delayed, or a
  // new life on a machine whose clock was set back. The worker's own answers tell which.
  std::optional<platformwire::WorkerHeartbeat> unconfirmedHeartbeat;
  // Changes with each life, so that answers of an earlier one are dropped.
  std::uint64_t incarnation = 0;
  bool pollPending = false;
  // Answers to earlier looks are dropped.
  std::uint64_t lastPollId = 0;

  Epoch epoch;
  bool leaderLinked = false;
  // The worker has seen the fencing token of `epoch`.
  bool fenceConfirmed = false;
  std::uint64_t reportSequence = 0;
  std::map<std::uint64_t, Instant> reportSentTimes;
  std::uint64_t lastOrdersSequence = 0;

  // The worker's clock as last told, and when the answer arrived.
  std::optional<std::int64_t> workerClockMs;
  Instant workerClockReadAt{};
  // Until when the leader lets the worker run, on this machine's clock.
  Instant leaseExpiry{};
  // The end of the lease that was last passed on to the worker.
  Instant grantedLeaseExpiry{};
  // When every deadline that the worker may have been given has certainly passed on its clock.
  Instant allLeasesExpiredAt{};
  Instant lastAnswerAt{};
  int consecutiveRefusals = 0;
  bool workerLost = false;

  std::map<RunRef, TrackedRun> trackedRuns;
  std::vector<RunningRun> runningRuns;
  std::map<std::uint64_t, EndedRun> unacknowledgedEnds;
  std::set<std::uint64_t> reportedEnds;
  std::set<std::uint64_t> acknowledgedEnds;
  std::uint64_t lastAcknowledgedEnd = 0;
  std::vector<RejectedRun> rejectedRuns;
  Instant lastFullReportAt{};
  LatencyHistogram startLatency;
  cluster::PaceController paceController;
  // By image, as the leader has learned.
  std::map<std::string, double> disturbanceByImage;
};

} // namespace oriolespread::daemon
