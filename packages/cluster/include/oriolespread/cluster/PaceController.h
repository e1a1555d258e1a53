// Throttles the best-effort runs on a worker while a serving run there misses its latency target,
// and speeds them up again afterwards. The pace of a run is its speed in percent of full speed; 0
// pauses it. Paces are lowered by as much as the missing headroom (latency target / tail latency)
// requires, beginning with the run that causes the most interference. Reports lag by half a second,
// so the controller waits until a change has taken effect before the next one.
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
  // Time until a change shows in the reports: the delay of pacing and the half second that a
  // latency figure covers.
  Duration settleTime = std::chrono::milliseconds(700);
  // Headroom below which paces are lowered, and the headroom that lowering aims at. A target that
  // is still met is no reason to lower paces: placement leaves room for the load to rise, and runs
  // that are paced for it delay the jobs that wait for them.
  double lowerBelowHeadroom = 1.0;
  double lowerTargetHeadroom = 1.05;
  // Headroom that must remain when paces are raised, because the load may rise further within
  // seconds.
  double raiseTargetHeadroom = 1.15;
  // Minimum time between raises.
  Duration raiseInterval = std::chrono::milliseconds(1000);
  // Minimum of a pace above 0 and of a raise. A run at a lower pace makes no more progress than a
  // paused one, and smaller raises do not justify a call.
  int minPacePercent = 15;
  // Pace of the first reduction if the known interference of no run explains the missing headroom;
  // the second one pauses the run.
  int fallbackPacePercent = 50;
  // A run is known to cause interference from this headroom cost on.
  double minHeadroomCost = 0.1;
  // All best-effort runs are paused once a target has been missed for this long.
  Duration pauseAllAfter = std::chrono::milliseconds(1800);
  // How long the worker may delay an order that it does not answer (12 s were seen), and how often
  // the pace is repeated for that time.
  Duration maxOrderDelay = std::chrono::seconds(20);
  Duration repeatInterval = std::chrono::milliseconds(500);
};

// A run on the worker, as input of the controller.
struct PacedRun
{
  RunRef ref;
  // Latency target of a serving run; 0 for other runs.
  std::int64_t latencyTargetMs = 0;
  bool fillsUnused = false;
  // The run was started by an earlier process of the agent, which may have paced it.
  bool inherited = false;
  // Tail latency of a serving run; 0 if unknown.
  std::int64_t tailLatencyMs = 0;
  // The headroom that the run costs at a pace of 100%.
  double headroomCost = 0;
};

struct PaceOrder
{
  RunRef ref;
  // The pace to set.
  int percent = 0;
};

class PaceController
{
public:
  explicit PaceController(PaceSettings aSettings);

  // Takes all runs on the worker and returns the paces that have to be set.
  std::vector<PaceOrder> Update(const std::vector<PacedRun>& aRuns, Instant aNow);

  // Reports that an order did not reach the worker; it is repeated at the next update.
  void OnFailed(const RunRef& aRef);
  // Reports that an order was not answered. The worker may carry it out after later ones, so the
  // pace is repeated until that can not happen any more.
  void OnUnanswered(const RunRef& aRef, Instant aNow);

private:
  struct Pace
  {
    int targetPercent = 100;
    // The last pace that was sent; negative if unknown.
    int sentPercent = 100;
    double headroomCost = 0;
    Instant sentAt{};
    // Until when an unanswered order may replace the pace.
    Instant repeatUntil{};
  };

  // Lower and raise paces by the given amount of headroom. RaisePaces returns whether a pace
  // changed.
  void LowerPaces(double aMissingHeadroom);
  bool RaisePaces(double aSpareHeadroom);
  Pace* MostInterfering();

  PaceSettings settings;
  Instant lastChange{};
  // Since when a target has been missed; zero while all targets are met.
  Instant targetMissedSince{};
  std::map<RunRef, Pace> paces;
};

} // namespace oriolespread::cluster
