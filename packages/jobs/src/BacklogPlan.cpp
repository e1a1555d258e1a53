#include "oriolespread/jobs/BacklogPlan.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace oriolespread::jobs {

namespace {

constexpr double kMinCoreSeconds = 0.01;
// Factor on expected times when they are compared with a deadline. A job that is given up wrongly
// loses more than one that is tried in vain, and expected durations are rough.
constexpr double kTolerance = 0.85;

// Work that is done already is lost if the job is late, so the value of a begun job counts for the
// work that is left.
double Density(const BacklogItem& aItem)
{
  return aItem.value / std::max(aItem.coreSeconds, kMinCoreSeconds);
}

} // namespace

BacklogPlan PlanBacklog(const std::vector<BacklogItem>& aItems,
                        double aCores,
                        double aBegunCoreSeconds)
{
  BacklogPlan plan;
  plan.lateness.resize(aItems.size(), Lateness::OnTime);
  std::vector<std::size_t> byDeadline(aItems.size());
  std::iota(byDeadline.begin(), byDeadline.end(), 0);
  std::sort(byDeadline.begin(), byDeadline.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aItems[aLeft].deadline < aItems[aRight].deadline;
  });
  const auto hasMoreValue = [&](std::size_t aLeft, std::size_t aRight) {
    return Density(aItems[aLeft]) > Density(aItems[aRight]);
  };
  std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(hasMoreValue)> selected(
    hasMoreValue);
  double coreSeconds = aBegunCoreSeconds;
  const auto markLate = [&](std::size_t aIndex) {
    const BacklogItem& item = aItems[aIndex];
    plan.lateness[aIndex] =
      kTolerance * item.path < item.usefulUntil ? Lateness::Late : Lateness::TooLate;
  };
  for (const std::size_t index : byDeadline) {
    const BacklogItem& item = aItems[index];
    if (kTolerance * item.path >= item.deadline) {
      markLate(index);
      continue;
    }
    selected.push(index);
    coreSeconds += item.coreSeconds;
    while (aCores > 0 && !selected.empty() && kTolerance * coreSeconds > item.deadline * aCores) {
      const std::size_t removed = selected.top();
      selected.pop();
      coreSeconds -= aItems[removed].coreSeconds;
      markLate(removed);
      ++plan.displaced;
    }
  }
  plan.onTimeSeconds = aCores > 0 ? coreSeconds / aCores : 0;
  return plan;
}

} // namespace oriolespread::jobs
