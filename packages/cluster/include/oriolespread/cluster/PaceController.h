// Slows tasks that use unused capacity on a worker while a task that serves users there misses its
// latency target, and lets them speed up again. Each run's pace is lowered by as much as the
// missing headroom (target / tail latency) asks for, that of the run which disturbs most first.
// Works on reports that lag by half a second, so each change waits until the last one shows.
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
  Duration settleTime = std::chrono::milliseconds(700);
  // Headroom below which paces are lowered, and the one that is aimed at then.
  double lowerBelowHeadroom = 1.1;
  double lowerTargetHeadroom = 1.25;
  // Headroom that has to be left when paces are raised; loads rise further within seconds.
  double raiseTargetHeadroom = 1.4;
  // Time between raises.
  Duration raiseInterval = std::chrono::milliseconds(1000);
  // A slower run gains nothing over a paused one; smaller raises are not worth a call.
  int minPacePercent = 15;
  // A step down where the disturbance of no run explains the missing headroom.
  int fallbackPacePercent = 50;
  // A run is known to disturb from this headroom on.
  double minHeadroomCost = 0.1;
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
  // An earlier process may have paced the run.
  bool inherited = false;
  // Tail latency in milliseconds for a run that serves.
  std::int64_t tailLatencyMs = 0;
  // The headroom that the run takes at full pace.
  double headroomCost = 0;
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
    int targetPercent = 100;
    // Negative while it is not known what the run was told.
    int sentPercent = 100;
    double headroomCost = 0;
  };

  // By headroom: what is missing, and what may be given away.
  void LowerPaces(double aMissingHeadroom);
  bool RaisePaces(double aSpareHeadroom);
  Pace* MostInterfering();

  PaceSettings settings;
  Instant lastChange{};
  // Since when a target has been missed; nothing while all are met.
  Instant targetMissedSince{};
  std::map<RunRef, Pace> paces;
};

} // namespace oriolespread::cluster
