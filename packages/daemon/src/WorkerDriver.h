// Controls the worker on an agent's machine: extends its lease, starts, stops and paces runs, and
// reports their ends until the leader has stored them.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/OpenStarts.h"
#include "oriolespread/cluster/PaceController.h"
#include "oriolespread/cluster/WorkerFence.h"
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

// Used from the event loop's thread only. May be destroyed while the loop runs: no handler of it
// runs after that.
class WorkerDriver
{
public:
  using SendToLeader = std::function<void(const WorkerReport&)>;

  // `aSend` sends a report to the leader if there is a link to it. `aMaxWorkerLease` is the longest
  // lease that the worker accepts.
  static absl::StatusOr<std::unique_ptr<WorkerDriver>> Create(asio::io_context& aContext,
                                                              const std::string& aAddress,
                                                              Duration aMaxWorkerLease,
                                                              Counters& aCounters,
                                                              SendToLeader aSend);

  // Handles a heartbeat of the worker. One from an earlier incarnation, or one that is out of
  // order, is ignored.
  void OnHeartbeat(const platformwire::WorkerHeartbeat& aHeartbeat);
  // Handles the worker's notice that it is about to stop.
  void OnWorkerLeaving(const std::string& aId);

  // Follows the linked leader that has this epoch. Reports are sent to it once the worker has
  // received its fencing token, or is lost.
  void FollowLeader(Epoch aEpoch);
  void OnLeaderLost();

  void OnLeaseExtension(const LeaseExtension& aExtension);
  void OnOrders(const WorkerOrders& aOrders);

  // The time from the order to start a run to the worker's confirmation that it has started.
  const LatencyHistogram& StartLatency() const { return this->startLatency; }

private:
  // A worker's clock may be 2% slow, and calls take some time.
  static constexpr double kMaxWorkerClockRatio = 1.03;
  // How far the clock of a worker may seem to be behind, beyond its deviation, by rounding.
  static constexpr Duration kWorkerClockMargin = std::chrono::milliseconds(50);

  // What the agent knows about a run that the leader has ordered to start or to stop.
  struct TrackedRun
  {
    StartRun start;
    // The worker has not confirmed the start yet; the run may exist.
    bool starting = false;
    // The start was sent for an earlier leader or an earlier link. It is not repeated before the
    // leader orders it again, since the leader may have given the run up meanwhile.
    bool suspended = false;
    // Starts that were sent and that the worker may still carry out, answered or not.
    int openStarts = 0;
    bool stopping = false;
    // The worker has carried out the stop: the run has ended, or can not start any more.
    bool stopConfirmed = false;
    // Set if the run counts as rejected, for this reason, once its stop is confirmed.
    std::optional<std::string> rejection;
    // The run was started by an earlier process of this agent.
    bool startedByEarlierAgent = false;
    int startAttempts = 0;
    int stopAttempts = 0;
    // The reason code for which the start was last delayed; points to a literal.
    std::string_view delayedBy;
    Instant orderedAt{};
    // When the worker last confirmed the start or the stop.
    Instant confirmedAt{};
  };

  WorkerDriver(asio::io_context& aContext,
               Duration aMaxWorkerLease,
               Counters& aCounters,
               SendToLeader aSend,
               std::unique_ptr<platformwire::WorkerClient> aClient);

  // Returns how long the longest lease that the worker accepts can last on the agent's clock.
  static Duration LongestLeaseOnAgentClock(Duration aMaxWorkerLease);
  void BeginIncarnation(const platformwire::WorkerHeartbeat& aHeartbeat);
  // Keeps successful ends that the leader has not acknowledged, so that it learns of them with the
  // new incarnation and does not repeat the work.
  void KeepEndsOfEarlierIncarnation();
  // Raises the token if a start was sent with the present one. Called before a lease is granted
  // after a time without one, in which the leader may have started the runs elsewhere.
  void SupersedeStarts();
  // Requires that the worker accepts the present token before anything is reported or started, and
  // repeats the stops that it has not confirmed. Called whenever the token has changed.
  void OnTokenChanged();
  // Returns whether a stop that the new incarnation was sent in BeginIncarnation is not confirmed
  // yet, for at most `kMaxBarDelay`.
  bool MayRunBarredRuns() const;
  // Switches to the incarnation of `unconfirmedHeartbeat` if the worker's answer shows that it is
  // the current one. Returns whether it does.
  bool ConfirmIncarnation(const platformwire::WorkerAnswer& aAnswer);
  // Returns why another incarnation than the known one may serve the worker's address now, as a
  // reason code, or an empty text. Such an incarnation would carry out calls that are meant for the
  // known one: it would take a deadline on the earlier clock for its longest lease, and forget ends
  // by numbers of the earlier count.
  std::string_view IncarnationUncertainty() const;
  // Returns whether the answer to a call that was sent at `aSentAt` is from another incarnation
  // than the known one.
  bool IsOfOtherIncarnation(const platformwire::WorkerAnswer& aAnswer, Instant aSentAt) const;
  // Handles that another incarnation has answered. Its clock and fencing token are not known, and
  // it may have taken a deadline on the clock of the known one for its longest lease. Supersedes
  // the calls that it has not carried out yet, and polls at once with the new token.
  void OnOtherIncarnation(std::string_view aCall, const platformwire::WorkerAnswer& aAnswer);
  // Returns the answer to a call other than a poll that was sent to the present incarnation. One of
  // another incarnation counts as no answer, since that incarnation has forgotten earlier calls and
  // may carry the call out a second time; the worker is then polled at once.
  platformwire::WorkerAnswer CheckIncarnation(std::string_view aCall,
                                              const platformwire::WorkerAnswer& aAnswer,
                                              Instant aSentAt);

  // The following functions are in WorkerPolling.cpp.

  void SchedulePoll(Duration aDelay);
  void PollWorker();
  // Polls a worker that has sent no heartbeat to this process, to learn whether it exists, and so
  // that it carries out no more calls of earlier processes.
  void ProbeWorker();
  void OnProbeAnswer(const platformwire::WorkerAnswer& aAnswer, FencingToken aToken);
  // Handles that the worker has refused a poll with this token.
  void OnPollFenced(FencingToken aToken);
  void OnPollAnswer(const platformwire::WorkerAnswer& aAnswer,
                    FencingToken aToken,
                    Instant aSentAt);
  // Returns whether the worker's process, whose clock began at zero with it and was read by a call
  // that was sent at `aSentAt`, is younger than this process of the agent.
  bool HasStartedAfterThisProcess(std::int64_t aClockMs, Instant aSentAt) const;
  // Returns a reason code if no leader can know of the incarnation that serves the worker's
  // address, else an empty text. All runs of such an incarnation were begun by calls to an earlier
  // one, as starts wait for an answered report.
  std::string_view UnreportedReason() const;
  // Returns whether a leader may replace the runs of the worker before they have ended if they are
  // stopped later than now. The leader replaces them a lease after the last report that it
  // received, at the earliest, since it does not know of the longer lease of another incarnation.
  bool MayBeReplacedSoon() const;
  // Stops the listed runs if no leader can know of them and one may soon start their tasks
  // elsewhere.
  void StopUnreportedRuns(const std::vector<RunningRun>& aRunning, std::int64_t aBorn);
  // Reports the rejection of runs that the worker has been stopped from starting, and that the poll
  // sent at `aPollSentAt` does not show.
  void ReportRejectedRuns(Instant aPollSentAt);
  // Reports all runs as lost once every lease on the worker has expired.
  // Starts that it may still carry out are stopped, as it may answer again and get a new lease.
  void OnPollFailed(const platformwire::WorkerAnswer& aAnswer);
  // Reports new ends and rejections to the leader, and with a loss all ends that the leader has not
  // acknowledged. A full report also lists all runs; those that were confirmed since `aPollSentAt`
  // count as starting, as the poll may not show them yet.
  void ReportState(bool aFull, Instant aPollSentAt);
  // Returns the open starts that reports name. A start whose answer is not due yet is left out
  // while its run counts as starting.
  std::vector<OpenStart> ListOpenStarts(Instant aNow);
  // Adds the sequence number, the worker's state and the open starts, and sends the report.
  void SendReport(WorkerReport aReport);
  // Applies the pace that `paceController` chooses for each run.
  void PaceRuns(Instant aNow);

  // The following functions are in WorkerDriver.cpp.

  // Moves `lastAcknowledgedEnd` over the acknowledged numbers that follow it. The worker forgets
  // all ends up to a number, so an end counts as acknowledged only if all ends before it are.
  void AdvanceAcknowledgedEnds();
  // Returns whether the worker's last answer lists the run as running.
  bool IsRunning(const RunRef& aRef) const;
  // Returns what a start has to wait for, as a reason code, or an empty text. Grants the worker a
  // lease if it is the last condition.
  std::string_view AwaitedForStart();
  // Sends the start of the run to the worker, or tries again later if it has to wait. Rejects it
  // after the time of a lease, or if it has to wait for a worker that refuses connections. Does
  // nothing if another order has taken the place of the one that came at `aOrderedAt`.
  void TryStart(const RunRef& aRef, Instant aOrderedAt);
  // Rejects the starts of this leader that the worker has not confirmed. Called when the data
  // centre is evacuated.
  void RejectUnconfirmedStarts();
  // Gives up starts that the worker has not confirmed and that were ordered before the time. Called
  // when the lease expired meanwhile: the leader may have started the runs elsewhere.
  void GiveUpStartsOrderedBefore(Instant aTime);
  void OnStartAnswer(const RunRef& aRef,
                     int aAttempt,
                     FencingToken aToken,
                     Instant aSentAt,
                     const platformwire::WorkerAnswer& aAnswer);
  // Orders the worker to stop the run, and repeats the order until the worker has carried it out.
  // The run is reported as present until then. Does nothing if the run is being stopped already.
  void StopRun(const RunRef& aRef);
  void SendStop(const RunRef& aRef);
  void OnStopAnswer(const RunRef& aRef,
                    int aAttempt,
                    FencingToken aToken,
                    Instant aSentAt,
                    const platformwire::WorkerAnswer& aAnswer);
  // Reports the run as rejected. If the worker may still carry out a start of it, stops it first.
  void RejectRun(const RunRef& aRef, const std::string& aReason);
  // Updates `grantedLeaseExpiry` and `allLeasesExpiredAt` before a deadline is sent to the worker.
  // Returns false if there is no valid lease to grant.
  bool GrantLease();
  // Returns whether the leader has answered a recent report. All orders that it sent before that
  // answer have then arrived.
  bool HasRecentLeaderResponse() const;
  // Returns whether the leader may have sent an order before it learned that all runs of the worker
  // were lost. It has then given up the run that it ordered to start.
  bool MayPrecedeLoss() const;
  std::int64_t ToWorkerClockMs(Instant aLocalTime) const;
  // Returns the time until a call that was sent at `aSentAt` is repeated. One without an answer has
  // waited already, unless its connection was reset.
  static Duration RetryDelay(Instant aSentAt);
  // Runs the call after the delay, unless the driver is destroyed before.
  void CallAfter(Duration aDelay, std::function<void()> aCall);

  asio::io_context& context;
  Duration requestedLease;
  Duration maxWorkerLease;
  Counters& counters;
  SendToLeader sendToLeader;
  std::unique_ptr<platformwire::WorkerClient> client;
  asio::steady_timer pollTimer;
  Instant createdAt;

  WorkerState worker;
  std::uint64_t heartbeatSequence = 0;
  // The last heartbeat of another incarnation than the current one: a new one, or a delayed or
  // foreign heartbeat. The worker's answers tell which it is.
  std::optional<platformwire::WorkerHeartbeat> unconfirmedHeartbeat;
  // Whether another incarnation has answered since the known one has. Its heartbeats are late or
  // lost.
  bool otherIncarnationAnswered = false;
  // The last report before the known incarnation, and whether the leader has answered a later one.
  std::uint64_t lastEarlierReport = 0;
  bool incarnationReported = false;
  // Whether the known incarnation has answered this process of the agent, and whether the worker
  // has restarted since this process began: an earlier incarnation has answered it, or a clock
  // shows that the known one is younger. A first heartbeat that was delayed may name one that had
  // ended before.
  bool incarnationAnswered = false;
  bool hasSeenRestart = false;
  // When the last report was sent that a leader has answered, also one on an earlier incarnation.
  // Empty if this process has had no answer: the time of the last one to an earlier process of the
  // agent is not known.
  std::optional<Instant> lastAnsweredReportAt;
  // When the last call was sent that the known incarnation has answered; `Instant{}` once a later
  // call has shown that it may have ended.
  Instant incarnationConfirmedAt{};
  // Incremented with each incarnation of the worker; answers of an earlier one are dropped.
  std::uint64_t incarnation = 0;
  bool pollPending = false;
  // The number of the last poll; answers to earlier polls are dropped.
  std::uint64_t lastPollId = 0;

  Epoch epoch;
  bool leaderLinked = false;
  // The last answer of a leader told that the worker's data centre is evacuated.
  bool evacuated = false;
  cluster::WorkerFence fence;
  // Whether the worker has accepted the present token of `fence`.
  bool fenceConfirmed = false;
  // Whether the known incarnation has accepted any token of `fence`, and so refuses the calls of an
  // earlier agent and those to an earlier incarnation.
  bool tokenAccepted = false;
  // A start was sent with the present token.
  bool startsSent = false;
  std::uint64_t sequence = 0;
  // When the reports of the last lease that the leader has not answered were sent, by sequence
  // number.
  std::map<std::uint64_t, Instant> reportSentTimes;
  std::uint64_t lastOrders = 0;

  // The worker's clock as it last reported it, and when that answer arrived.
  std::optional<std::int64_t> workerClockMs;
  Instant workerClockReadAt{};
  // When the lease that the leader has extended expires, on this machine's clock.
  Instant leaseExpiry{};
  // When the lease that was last granted to the worker expires.
  Instant grantedLeaseExpiry{};
  // When every deadline that the worker may have received, also from an earlier process of the
  // agent, has certainly passed on its clock.
  Instant allLeasesExpiredAt;
  Instant lastAnswerAt{};
  // The last poll found nothing that listens on the worker's address.
  bool refusesConnections = false;
  bool workerLost = false;
  // The sequence number of the last report on this link that all runs are lost; 0 if there is none,
  // or if the leader has answered it or a later report.
  std::uint64_t unansweredLossReport = 0;

  std::map<RunRef, TrackedRun> trackedRuns;
  cluster::OpenStarts openStarts;
  // Runs of the earlier incarnation that the current one may start, and when it began.
  std::set<RunRef> barredRuns;
  Instant barredSince{};
  std::vector<RunningRun> running;
  // Ended runs by number, until the leader has acknowledged them without a gap.
  std::map<std::uint64_t, EndedRun> unacknowledgedEnds;
  std::set<std::uint64_t> reportedEnds;
  // How many ends of earlier incarnations have been kept, for their numbers.
  std::uint64_t keptEnds = 0;
  // Acknowledged numbers that do not follow `lastAcknowledgedEnd` without a gap yet.
  std::set<std::uint64_t> acknowledgedEnds;
  std::uint64_t lastAcknowledgedEnd = 0;
  // Rejections that have not been reported yet.
  std::vector<RejectedRun> rejected;
  // When the last full report was sent, or the last periodic report on a worker that does not
  // answer.
  Instant lastPeriodicReportAt{};
  LatencyHistogram startLatency;
  cluster::PaceController paceController;
  // The headroom that runs of an image take from other runs, as the leader has learned it.
  std::map<std::string, double> disturbanceByImage;
  // Expires with the driver. The destructor of a timer does not cancel a handler that is queued.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

} // namespace oriolespread::daemon
