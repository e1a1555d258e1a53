// Selects which of the jobs that wait for capacity can still end within their objectives.
//
// Answers work that exceeds the capacity for seconds, for example a burst of large jobs beside
// short ones: some jobs then miss their objectives, and those should cost callers least. Each job
// that is begun although it will be late takes capacity from one that could be in time. The
// selection is a heuristic form of the algorithm of Moore and Hodgson (1968), which minimises the
// number of late jobs on one machine: jobs are added by their deadlines, and while the last one
// would be late, the job with the least value for its work is removed. The cluster is taken for one
// machine that does the work of its cores, on which no job ends before its own longest path.
#pragma once

#include "oriolespread/jobs/StepOrder.h"

#include <vector>

namespace oriolespread::jobs {

// A job, or an occurrence of one, with tasks that have not begun. Times are in seconds from now.
struct BacklogItem
{
  // The times left until the objective has passed, and until a result is not useful any more;
  // negative once they have.
  double deadline = 0;
  double usefulUntil = 0;
  // The longest path of steps that are not done.
  double path = 0;
  // The work of the tasks that have not begun.
  double coreSeconds = 0;
  // The value of completing the job.
  double value = 0;
};

struct BacklogPlan
{
  // For each item, in the order of the items.
  std::vector<Lateness> lateness;
  // Time until the work of all items that can be in time is done.
  double onTimeSeconds = 0;
  // Items that would be in time if they were alone.
  std::size_t displaced = 0;
};

// `aCores` is the capacity that items of this priority get, and `aBegunCoreSeconds` the work that
// is left of their tasks at work. With an `aCores` of 0 the capacity is not known, and lateness
// depends on the paths alone. Takes n log n steps.
BacklogPlan PlanBacklog(const std::vector<BacklogItem>& aItems,
                        double aCores,
                        double aBegunCoreSeconds);

} // namespace oriolespread::jobs
