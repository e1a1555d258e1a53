// Timeouts, intervals and limits of the cluster's processes that the platform's settings do not
// define.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/link/LinkLimits.h"

#include <algorithm>
#include <cstdint>

namespace oriolespread::daemon {

// The longest time to wait for a call to the store. A slowed store answers within half of it.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
// The delay before a call is retried that the store refused or did not answer.
inline constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(100);
// The delay before a call is retried that the store refused as invalid. The reason is a fault that
// does not pass by itself.
inline constexpr Duration kInvalidRetryDelay = std::chrono::milliseconds(1000);
// How long the store may hold a watch request open. Bounds the delay that a silent connection
// causes.
inline constexpr Duration kWatchLongPollTime = std::chrono::milliseconds(1000);
inline constexpr Duration kWatchTimeout = std::chrono::milliseconds(1700);
// Long-poll time and timeout of watches on the directory of entries, which changes only when
// machines are replaced.
inline constexpr Duration kDirectoryLongPollTime = std::chrono::milliseconds(5000);
inline constexpr Duration kDirectoryWatchTimeout = std::chrono::milliseconds(6500);

// How often a standby entry reads the leadership row, and how often an idle leader renews it.
inline constexpr Duration kElectionPollInterval = std::chrono::milliseconds(300);
inline constexpr Duration kLeadershipRenewInterval = std::chrono::milliseconds(200);
// How often a leader measures its processor speed, so that a faster entry can take over from a
// machine that has become slow.
inline constexpr Duration kSpeedMeasurementInterval = std::chrono::milliseconds(2000);
// Events within this time share one scheduling pass and one transaction.
inline constexpr Duration kSchedulingBatchDelay = std::chrono::milliseconds(8);
// The interval of scheduling passes when no events arrive, for decisions that depend on time alone.
inline constexpr Duration kIdleSchedulingInterval = std::chrono::milliseconds(200);
// Rows of one batch. The store allows 100 rows in a transaction, one of which is the leadership
// row.
inline constexpr std::size_t kMaxBatchRows = 95;

// How often an agent sends a full report on its worker. Interference changes within seconds, and
// the leader knows of it from these reports only.
inline constexpr Duration kFullReportInterval = std::chrono::milliseconds(300);
// Starts are delayed unless the leader has answered a report that was sent within this time, in
// which several reports may be missed.
inline constexpr Duration kMaxLeaderResponseAge = std::chrono::milliseconds(2000);
// The timeout of a call to the worker, which is on the same machine.
inline constexpr Duration kWorkerCallTimeout = std::chrono::milliseconds(500);
// How long the worker may hold a poll open until a run ends. Paces are chosen at each poll, so it
// bounds the time for which a missed latency target goes unnoticed.
inline constexpr Duration kWorkerLongPollTime = std::chrono::milliseconds(150);
// The least time between two polls while ended runs are not acknowledged, as the worker answers
// these polls at once.
inline constexpr Duration kMinWorkerPollInterval = std::chrono::milliseconds(25);
// Calls that hold for one incarnation of the worker only are sent no later than this after the last
// call that this incarnation has answered was sent. That call is the poll before the pending one,
// and an agent with a share of a core may be stopped for up to 100 ms in each of two handlers.
inline constexpr Duration kMaxIncarnationConfirmationAge =
  2 * kWorkerLongPollTime + std::chrono::milliseconds(200);
// How long a worker that the agent does not know may be silent before it counts as absent.
inline constexpr Duration kMaxWorkerSilence = std::chrono::milliseconds(1500);
// How often a start that waits for a lease checks whether the worker has one.
inline constexpr Duration kLeasePollInterval = std::chrono::milliseconds(30);
// Attempts at an unanswered start before the agent orders the run stopped.
inline constexpr int kMaxStartAttempts = 6;
// How long a worker may delay a call that it does not answer. Delays of up to 12 s were seen.
inline constexpr Duration kMaxCallDelay = std::chrono::seconds(20);
// How long a new incarnation of a worker is not reported while it has not confirmed that it starts
// no run of the earlier one. Bounds the time without the worker's capacity if it refuses all
// orders.
inline constexpr Duration kMaxBarDelay = std::chrono::milliseconds(2000);
inline constexpr Duration kWorkerRetryDelay = std::chrono::milliseconds(150);
// The longest time that the platform allows a worker for a stop.
inline constexpr Duration kMaxRunStopTime = std::chrono::milliseconds(900);
// The time that the stop of a run takes which a poll lists: until the poll is answered, until the
// stop arrives, and until the worker has carried it out.
inline constexpr Duration kListedRunStopTime =
  kWorkerLongPollTime + kWorkerCallTimeout + kMaxRunStopTime;

// A requested lease is at most this, and at most this fraction of the longest lease that the worker
// accepts.
inline constexpr Duration kMaxRequestedLease = std::chrono::milliseconds(5000);
inline constexpr double kRequestedLeaseFraction = 0.9;

// How long an entry keeps serving after SIGTERM. The load balancer takes two seconds to notice that
// the entry is not ready.
inline constexpr Duration kEntryDrainTime = std::chrono::milliseconds(2500);

// Returns the limits of links between entries and agents. A link is closed when a ping is not
// answered; the times are short because the leader places nothing on a worker whose agent is
// silent.
inline LinkLimits ClusterLinkLimits()
{
  LinkLimits limits;
  limits.pingInterval = std::chrono::milliseconds(1000);
  limits.pingTimeout = std::chrono::milliseconds(1500);
  return limits;
}

// Returns the lease that agents request and on which the leader bases its decisions.
inline Duration WorkerLease(Duration aMaxWorkerLease)
{
  return std::min(kMaxRequestedLease,
                  std::chrono::duration_cast<Duration>(aMaxWorkerLease * kRequestedLeaseFraction));
}

} // namespace oriolespread::daemon
