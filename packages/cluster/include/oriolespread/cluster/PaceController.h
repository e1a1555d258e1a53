// Slows tasks that use unused capacity on a worker while a task that serves users there misses its
// latency target, and lets them speed up again step by step. Works on reports that lag by half a
// second, so each step waits until the last one shows.
//
//   for (const PaceOrder& order : controller.Update(runs, now)) { pace(order.ref, order.percent); }
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <map>
#include <vector>

namespace oriolespread::cluster {

struct PaceSettings
{
  // From a step until its effect shows in the figures: the delay of pacing and the half second
  // that a figure covers.
  Duration settle = std::chrono::milliseconds(700);
  // Shares of the target at which the pace is lowered and may be raised.
  double lowerAbove = 0.9;
  // The share that is expected after a step up, by the disturbance of the run, has to be below
  // this.
  double raiseBelow = 0.8;
  // Above this share a run is paused in one step.
  double pauseAbove = 1.2;
  // Time between steps up.
  Duration raiseInterval = std::chrono::milliseconds(1000);
  // The first step down of a run; the second one pauses it.
  int firstStep = 40;
  // A target missed for this long pauses everything that may disturb.
  Duration pauseAllAfter = std::chrono::milliseconds(1800);
};

// A run on the worker as the controller sees it.
struct PacedRun
{
  RunRef ref;
  // Above 0 for a run that serves users.
  std::int64_t latencyTargetMs = 0;
  bool fillsUnused = false;
  // Tail latency in milliseconds for a run that serves.
  std::int64_t figure = 0;
  // By how much the run at full pace raises ln(tail latency / target).
  double disturbance = 0;
};

struct PaceOrder
{
  RunRef ref;
  int percent = 0;
};

class PaceController
{
public:
  explicit PaceController(PaceSettings aSettings);

  // Takes what runs now and returns the runs whose pace has to be set.
  std::vector<PaceOrder> Update(const std::vector<PacedRun>& aRuns, Instant aNow);

  // The order for this run did not reach the worker; it is given again at the next update.
  void OnFailed(const RunRef& aRef);

private:
  struct Pace
  {
    int wanted = 100;
    int told = 100;
    double disturbance = 0;
  };

  void Lower(double aWorst, bool aAll);
  bool Raise(double aWorst);

  PaceSettings settings;
  Instant changed{};
  // Since when a target has been missed; nothing while all are met.
  Instant missedSince{};
  std::map<RunRef, Pace> paces;
};

} // namespace oriolespread::cluster
