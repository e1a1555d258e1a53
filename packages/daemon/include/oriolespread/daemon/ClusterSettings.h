// Times and limits of the cluster's processes that the platform's settings leave open.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/link/LinkLimits.h"

#include <algorithm>
#include <cstdint>

namespace oriolespread::daemon {

// The longest call to the store that is waited for. A slowed store answers within half of it.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
// Between two tries of a call that the store refused or left unanswered.
inline constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(100);
// A watch is asked anew this often, so that a silent connection costs little more than this.
inline constexpr Duration kWatchLongPollTime = std::chrono::milliseconds(1000);
inline constexpr Duration kWatchTimeout = std::chrono::milliseconds(1700);
// Of the directory of entries, which changes only when machines are replaced.
inline constexpr Duration kDirectoryLongPollTime = std::chrono::milliseconds(5000);
inline constexpr Duration kDirectoryWatchTimeout = std::chrono::milliseconds(6500);

// How often an entry that does not lead looks at the row of the leadership, and how often an idle
// leader renews it. A standby gives up on a leader after three missed renewals.
inline constexpr Duration kElectionPollInterval = std::chrono::milliseconds(450);
inline constexpr Duration kLeadershipRenewInterval = std::chrono::milliseconds(450);
// How often a leader measures its processor, so that a machine that becomes slow gives way.
inline constexpr Duration kSpeedMeasurementInterval = std::chrono::milliseconds(2000);
// Events within this time are decided on, and stored, together.
inline constexpr Duration kSchedulingBatchDelay = std::chrono::milliseconds(8);
// Without events the scheduler looks at the time this often.
inline constexpr Duration kIdleSchedulingInterval = std::chrono::milliseconds(200);
// Rows of one transaction; the store allows 100, of which one is the leadership.
inline constexpr std::size_t kMaxBatchRows = 95;

// How often an agent reports everything on its worker. Three may be missed.
inline constexpr Duration kFullReportInterval = std::chrono::milliseconds(600);
// A start waits while no report sent within this time has been answered; three missed reports, as
// the leader places nothing on such a worker either.
inline constexpr Duration kMaxLeaderResponseAge = std::chrono::milliseconds(2000);
// How long a call to the worker may take; it is on the same machine.
inline constexpr Duration kWorkerCallTimeout = std::chrono::milliseconds(500);
// How long a look at the worker waits for an end.
inline constexpr Duration kWorkerLongPollTime = std::chrono::milliseconds(500);
// The least time between looks while ends are not acknowledged yet.
inline constexpr Duration kMinWorkerPollInterval = std::chrono::milliseconds(25);
// A worker that did not answer for this long gets no longer lease.
inline constexpr Duration kMaxWorkerSilence = std::chrono::milliseconds(1500);
// Between looks at whether the worker has a lease, while a start waits for one.
inline constexpr Duration kLeasePollInterval = std::chrono::milliseconds(30);
// Tries of a start that stays unanswered, before the run is stopped and reported as rejected.
inline constexpr int kMaxStartAttempts = 6;
// Refused connections in a row that show that the worker's process is gone.
inline constexpr int kRefusalsUntilWorkerLost = 2;
inline constexpr Duration kWorkerRetryDelay = std::chrono::milliseconds(150);

// The lease of a worker is at most this, and a little less than the worker's own bound.
inline constexpr Duration kMaxRequestedLease = std::chrono::milliseconds(5000);
inline constexpr double kRequestedLeaseFraction = 0.9;

// From SIGTERM to the end of an entry: the balancer takes two seconds to notice.
inline constexpr Duration kEntryDrainTime = std::chrono::milliseconds(2500);

// A link that was silent for a ping and its time-out is closed. Short, because the leader places
// nothing on a worker whose agent is silent.
inline LinkLimits ClusterLinkLimits()
{
  LinkLimits limits;
  limits.pingInterval = std::chrono::milliseconds(1000);
  limits.pingTimeout = std::chrono::milliseconds(1500);
  return limits;
}

// Returns the lease that agents ask for and the leader reckons with.
inline Duration WorkerLease(Duration aMaxWorkerLease)
{
  return std::min(kMaxRequestedLease,
                  std::chrono::duration_cast<Duration>(aMaxWorkerLease * kRequestedLeaseFraction));
}

} // namespace oriolespread::daemon
