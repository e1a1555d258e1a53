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
  using Send = std::function<void(const WorkerReport&)>;

  // `aSend` passes a report to the leader, if there is a link to it.
  static absl::StatusOr<std::unique_ptr<WorkerDriver>> Create(asio::io_context& aContext,
                                                              const std::string& aAddress,
                                                              Duration aMaxLease,
                                                              Counters& aCounters,
                                                              Send aSend);

  // A heartbeat of the worker; one of an earlier life, or an older one, is ignored.
  void OnHeartbeat(const platformwire::WorkerHeartbeat& aBeat);
  // The worker said that it leaves.
  void OnLeave(const std::string& aId);

  // A leader with this epoch is linked. Reports go to it once the worker knows its fencing token.
  void FollowLeader(Epoch aEpoch);
  void LoseLeader();

  void OnExtension(const LeaseExtension& aExtension);
  void OnOrders(const WorkerOrders& aOrders);

  // From the order of a run to the worker's confirmation that it has started.
  const LatencyHistogram& StartLatency() const { return this->startLatency; }

private:
  struct Known
  {
    StartRun start;
    // The start was not answered yet; the run may exist.
    bool starting = false;
    bool stopping = false;
    // An earlier process of the agent started it.
    bool inherited = false;
    int tries = 0;
    Instant ordered{};
    // When the worker confirmed the start.
    Instant confirmed{};
  };

  WorkerDriver(asio::io_context& aContext,
               Duration aMaxLease,
               Counters& aCounters,
               Send aSend,
               std::unique_ptr<platformwire::WorkerClient> aClient);

  void BeginLife(const platformwire::WorkerHeartbeat& aBeat);
  // Begins the life of `unconfirmed` if the worker's answer shows that it is the living one.
  // Returns whether it does.
  bool ConfirmLife(const platformwire::WorkerAnswer& aAnswer);
  // WorkerLooks.cpp
  void LookLater(Duration aDelay);
  void Look();
  void OnLook(const platformwire::WorkerAnswer& aAnswer, Epoch aFence, Instant aSent);
  void OnSilence(const platformwire::WorkerAnswer& aAnswer);
  void ReportNow(bool aFull, Instant aLookSent);
  void SendReport(WorkerReport aReport);
  void Pace(Instant aNow);

  // WorkerDriver.cpp
  // Returns whether the worker's last answer lists the run.
  bool IsRunning(const RunRef& aRef) const;
  void Start(const RunRef& aRef);
  void OnStarted(const RunRef& aRef, const platformwire::WorkerAnswer& aAnswer);
  void Stop(const RunRef& aRef);
  void Reject(const RunRef& aRef, const std::string& aReason);
  // Brings `grantedUntil` and `lapsesAt` up to date before a deadline is passed on. Returns false
  // when there is no lease to pass on.
  bool GrantLease();
  // Returns whether the leader has answered a report that was sent lately, after which all its
  // earlier orders have arrived.
  bool HeardLately() const;
  std::int64_t WorkerDeadline(Instant aLocal) const;
  void After(Duration aDelay, std::function<void()> aCall);

  asio::io_context& context;
  Duration lease;
  Duration maxLease;
  Counters& counters;
  Send send;
  std::unique_ptr<platformwire::WorkerClient> client;
  asio::steady_timer lookTimer;

  WorkerState worker;
  std::uint64_t heartbeat = 0;
  // The last heartbeat of another life that seems to be born earlier: one that was delayed, or a
  // new life on a machine whose clock was set back. The worker's own answers tell which.
  std::optional<platformwire::WorkerHeartbeat> unconfirmed;
  // Changes with each life, so that answers of an earlier one are dropped.
  std::uint64_t life = 0;
  bool looking = false;
  // Answers to earlier looks are dropped.
  std::uint64_t lastLook = 0;

  Epoch epoch;
  bool linked = false;
  // The worker has seen the fencing token of `epoch`.
  bool fenced = false;
  std::uint64_t sequence = 0;
  std::map<std::uint64_t, Instant> reportsSent;
  std::uint64_t lastOrders = 0;

  // The worker's clock as last told, and when the answer arrived.
  std::optional<std::int64_t> clockMs;
  Instant clockRead{};
  // Until when the leader lets the worker run, on this machine's clock.
  Instant leaseUntil{};
  // The end of the lease that was last passed on to the worker.
  Instant grantedUntil{};
  // When every deadline that the worker may have been given has certainly passed on its clock.
  Instant lapsesAt{};
  Instant lastAnswer{};
  int refusals = 0;
  bool allLost = false;

  std::map<RunRef, Known> known;
  std::vector<RunningRun> running;
  std::map<std::uint64_t, EndedRun> ended;
  std::set<std::uint64_t> reportedEnds;
  std::set<std::uint64_t> acknowledged;
  std::uint64_t lastSeen = 0;
  std::vector<RejectedRun> rejected;
  Instant lastFull{};
  LatencyHistogram startLatency;
  cluster::PaceController pace;
  // By image, as the leader has learned.
  std::map<std::string, double> disturbance;
};

} // namespace oriolespread::daemon
