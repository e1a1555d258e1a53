// Times and limits of the scheduler.
#pragma once

#include "oriolespread/base/Time.h"

namespace oriolespread::jobs {

struct SchedulerSettings
{
  // How long a worker keeps its runs after the report for which its lease was last extended.
  Duration workerLease = std::chrono::seconds(5);
  // How long a leader that cannot reach the store goes on extending leases.
  Duration storeOutageTolerance = std::chrono::seconds(8);
  // A worker's clock may be 2% slow; the rest covers the agent's own clock.
  double clockDriftFactor = 1.05;
  // Added to every lease bound for the way of a call to the worker.
  Duration leaseMargin = std::chrono::milliseconds(300);
  // A worker without a report for this long, three missed reports, gets no new runs.
  Duration reportTimeout = std::chrono::milliseconds(2200);
  // A run whose progress has stood still for this long, several reports, is stopped.
  Duration stallTimeout = std::chrono::milliseconds(2500);
  // As stallTimeout, for a run that is paused for others and would lose all its work.
  Duration pausedStallTimeout = std::chrono::milliseconds(6000);
  // A job of which nothing runs for this long is placed where it fits, whomever it disturbs.
  Duration allowInterferenceAfter = std::chrono::milliseconds(2500);
  // Jobs that must fail on a worker in a row before it is avoided; jobs that fail everywhere are
  // rarer than that on a sound worker.
  std::size_t failingJobLimit = 3;
  Duration failingWorkerBackoff = std::chrono::seconds(5);
  // After a start rejected for want of room, until the agent's next full reports have arrived.
  Duration rejectionBackoff = std::chrono::milliseconds(300);
  // Before a task that was rejected is placed again.
  Duration retryDelay = std::chrono::milliseconds(50);
  // How long the state of an ended job can be asked for; twice what callers are promised.
  Duration keepEnded = std::chrono::seconds(240);
  // How often what was learned of images is stored. Weights settle within some ten seconds, and a
  // row has some kilobytes.
  Duration weightsStoreInterval = std::chrono::seconds(3);
  // Added to due times, because clocks of different machines differ.
  Duration dueMargin = std::chrono::milliseconds(20);
};

} // namespace oriolespread::jobs
