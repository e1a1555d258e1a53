// Time-outs and limits of the scheduler.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>

namespace oriolespread::jobs {

// In which order the steps of one priority that wait for capacity are placed.
enum class WaitingOrder
{
  // First come, first served; for comparisons.
  Arrival,
  // By the value of the job per core-second that it still needs, by declared durations.
  DeclaredValue,
  // The same by expected durations, and jobs that can be in time together come first.
  BacklogPlan,
};

struct SchedulerSettings
{
  WaitingOrder waitingOrder = WaitingOrder::DeclaredValue;

  // How long a worker keeps its runs after the report that last extended its lease.
  Duration workerLease = std::chrono::seconds(5);
  // How long a leader that cannot reach the store keeps extending leases. Runs survive an outage of
  // this time and a lease. If a worker's machine and the leader's are lost together, the tasks
  // there start again after the same time: no one can tell that the leader does not extend their
  // leases.
  Duration storeOutageTolerance = std::chrono::milliseconds(5000);
  // Factor on lease durations. A worker's clock may run 2% slow; the rest covers the agent's clock.
  double clockDriftFactor = 1.05;
  // Added to every lease expiry for the latency of a call to the worker.
  Duration leaseMargin = std::chrono::milliseconds(300);
  // The time of several missed reports. When its agent reconnects, a worker's last report counts as
  // at most this old.
  Duration reportTimeout = std::chrono::milliseconds(2200);
  // A run without progress for this long, several reports, is stopped.
  Duration stallTimeout = std::chrono::milliseconds(1500);
  // A run of a long task is stopped only after this share of its estimated duration, because
  // progress is reported in whole percent and a run may work at a low pace.
  double stallEstimateShare = 0.2;
  // Replaces stallTimeout for a run that may be paused for serving runs and cannot resume from a
  // checkpoint.
  Duration pausedStallTimeout = std::chrono::milliseconds(6000);
  // The time over which the speed of a run is measured, two reports, and at least this share of its
  // estimated duration, because progress is reported in whole percent.
  Duration speedWindow = std::chrono::milliseconds(600);
  double speedEstimateShare = 0.1;
  // A run is slow below this share of the speed that its estimated duration implies. Estimates are
  // wrong by up to a factor of two.
  double slowRunSpeed = 0.35;
  // A slow run is stopped only if its task would end this much earlier on another worker, which
  // covers the time of the stop and the start.
  Duration minMoveGain = std::chrono::milliseconds(500);
  // A worker is avoided for a while once runs of this many jobs were slow on it. The estimates of
  // one job may be wrong altogether.
  std::size_t slowJobLimit = 2;
  Duration slowWorkerBackoff = std::chrono::milliseconds(2000);
  // How long slow runs may keep a worker avoided without a pause. After that, they count for
  // nothing until other jobs are slow there too: the estimate of a long run may be wrong.
  Duration maxSlowAvoidance = std::chrono::milliseconds(6000);
  // If runs are slow on most of at least this many workers that were measured within the last
  // while, estimates or machines are slow altogether, and no worker is avoided for it.
  std::size_t minComparedWorkers = 3;
  Duration workerSpeedMemory = std::chrono::seconds(5);
  // No worker is avoided for slow or stalled runs while this share of its service's usable workers
  // is avoided, but one always may be. What holds for more than half of them is no fault of single
  // workers. Failing workers are always avoided: with a share for them, more jobs failed for good.
  double maxAvoidedShare = 0.5;
  // A job of which no run was reported at work for this long may place a task on an avoided worker.
  // Together with the 0.6 s in which ends are reported and two transactions it stays well below 3
  // s.
  Duration allowAvoidedAfter = std::chrono::milliseconds(1000);
  // A worker that is avoided for failures is given at most one run in this time, so that it cannot
  // fail all jobs that wait.
  Duration failingWorkerRunInterval = std::chrono::milliseconds(500);
  // A job of which no run was reported at work for this long is placed wherever it fits, regardless
  // of interference. It bounds the wait of a job that disturbs every worker; a backlog of a few
  // seconds should not make serving runs miss their targets.
  Duration allowInterferenceAfter = std::chrono::seconds(8);
  // Replaces allowInterferenceAfter while at most this share of the cores of a service's workers is
  // reserved. With free cores, a job must not be without runs for 3 s, of which ends need 0.6 s to
  // be reported.
  double lowReservedShare = 0.55;
  Duration allowInterferenceAfterWithFreeCores = std::chrono::milliseconds(1500);
  // A job of which no run was reported at work for this long may place a best-effort task, or all
  // tasks of a gang, on workers with too few unused cores, while at most `lowReservedShare` of the
  // cores is reserved.
  Duration allowOvercommitAfter = std::chrono::milliseconds(1500);
  // A long-running best-effort task of which no run was reported at work for this long may be
  // placed beside serving runs and on workers with too few unused cores as well, also while other
  // tasks of its job run. It must have a run 6 s after its last one; the other half of that time is
  // for the report of the end and for overcommitInterval, which several such tasks share.
  Duration allowLongRunningTaskAfter = std::chrono::milliseconds(3000);
  // A worker is given at most one such task or gang in this time, so that a backlog does not slow
  // down all best-effort runs at once.
  Duration overcommitInterval = std::chrono::milliseconds(500);
  // A worker is avoided once this many jobs failed on it without a successful run in between. On a
  // healthy worker, jobs that fail everywhere are too rare to reach the limit.
  std::size_t failingJobLimit = 3;
  Duration failingWorkerBackoff = std::chrono::seconds(5);
  // How long a worker that rejected a start gets no new runs, until the agent's next full reports.
  Duration rejectionBackoff = std::chrono::milliseconds(300);
  // Delay before a rejected or lost run, or a failed one of a long-running task, is placed again.
  Duration retryDelay = std::chrono::milliseconds(50);
  // The delay doubles up to this time while a long-running task fails again soon, within
  // failingWorkerBackoff.
  Duration maxRestartDelay = std::chrono::seconds(1);
  // How long the state of an ended job is kept, twice the time guaranteed to callers.
  Duration keepEnded = std::chrono::seconds(240);
  // How often the progress of a step is stored when only checkpoints of its runs have changed. A
  // loss of power costs at most this much work of a run beside what the worker had not saved.
  Duration checkpointStoreInterval = std::chrono::milliseconds(1000);
  // The longest value of a row, which has the 65,536 bytes that the store takes when it is in
  // Base64.
  std::size_t maxRowBytes = 49'152;
  // The values of all rows of a batch. The store takes transactions of 1 MB, in which values are a
  // third longer; the rest is for keys.
  std::size_t maxBatchBytes = 600'000;
  // Orders to an agent above this size are sent in several messages. A link does not send messages
  // above 4 MiB.
  std::size_t maxOrderBytes = std::size_t{ 1 } << 20U;
  // How often the interference weights are stored. They converge within about ten seconds, and
  // their row has a few kilobytes.
  Duration weightsStoreInterval = std::chrono::seconds(3);
  // Added to due times, because the clocks of different machines differ.
  Duration dueMargin = std::chrono::milliseconds(20);

  // How often the backlog is planned while tasks wait. Shorter than any task, and long enough that
  // a leader with a tenth of a core plans hundreds of jobs.
  Duration backlogPlanInterval = std::chrono::milliseconds(100);
  // The capacity of a class of jobs is the highest that it has used; it is forgotten with this time
  // constant, so that the loss of workers shows.
  Duration capacityMemory = std::chrono::seconds(5);

  // A job without a run at work for longer than this goes first once in an overdueInterval. Longer
  // than a late result of a job of some seconds is useful, so that it takes little from jobs in
  // time.
  Duration maxStandingTime = std::chrono::seconds(20);
  Duration overdueInterval = std::chrono::seconds(1);

  // Added to the time that an agent gives until all leases have expired, as its clock and the
  // leader's drift apart.
  Duration reportedLeaseMargin = std::chrono::milliseconds(100);
  // Longer than any lease that a worker accepts; a report that gives a longer time is limited to
  // it.
  Duration maxReportedLease = std::chrono::minutes(10);

  // Longer than any time for which a worker delays a call that it does not answer; a report or a
  // row that gives a longer one is limited to it.
  Duration maxStartDelay = std::chrono::seconds(30);
  // An agent that has not reported for this long may have no process, so that it may not prevent
  // starts that its worker has not answered. Several reports, and less than a worker needs to
  // restart and to take a late call.
  Duration maxPreventionSilence = std::chrono::milliseconds(1000);

  // Returns the longest time from the extension of a worker's lease until it has certainly expired,
  // unless the worker holds a longer one from calls to an earlier process of it.
  Duration LeaseBound() const
  {
    return std::chrono::duration_cast<Duration>(this->workerLease * this->clockDriftFactor) +
           this->leaseMargin;
  }
};

} // namespace oriolespread::jobs
