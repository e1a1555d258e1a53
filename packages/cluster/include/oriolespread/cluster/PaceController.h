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
  // The figures must be this far below the target, as a share of it, before the pace rises.
  double riseBelow = 0.7;
  // Time between steps up.
  Duration riseInterval = std::chrono::milliseconds(1500);
  int riseStep = 25;
  // The first step down; a second one in a row stops the tasks until the target is met again.
  int firstStep = 40;
};

// A run on the worker as the controller sees it.
struct PacedRun
{
  RunRef ref;
  // Above 0 for a run that serves users.
  std::int64_t latencyTargetMs = 0;
  bool fillsUnused = false;
  int percent = 0;
  std::int64_t figure = 0;
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

  int Percent() const { return this->percent; }

private:
  PaceSettings settings;
  int percent = 100;
  Instant changed{};
  // What each run was last told; runs start at 100.
  std::map<RunRef, int> told;
};

} // namespace oriolespread::cluster
