#include "oriolespread/cluster/ExpectedWaits.h"

#include <algorithm>
#include <tuple>

namespace oriolespread::cluster {

namespace {

constexpr std::int64_t kRoundingMs = 100;

std::int64_t RoundedMs(Duration aWait)
{
  // Limited first, so that the addition does not overflow.
  const std::int64_t waitMs =
    std::clamp<std::int64_t>(ToMilliseconds(aWait), 0, kMaxExpectedWaitMs);
  return (waitMs + kRoundingMs / 2) / kRoundingMs * kRoundingMs;
}

} // namespace

std::vector<ExpectedWait> MakeExpectedWaits(
  const std::map<std::pair<std::string, int>, Duration>& aWaits)
{
  std::vector<ExpectedWait> published;
  for (const auto& [key, wait] : aWaits) {
    const auto& [service, priority] = key;
    const std::int64_t waitMs = RoundedMs(wait);
    if (waitMs > 0 && !service.empty() && service.size() <= kMaxWaitServiceBytes) {
      published.push_back({ service, priority, waitMs });
    }
  }
  if (published.size() > kMaxExpectedWaits) {
    std::stable_sort(published.begin(), published.end(), [](const auto& aFirst, const auto& aNext) {
      return aFirst.waitMs > aNext.waitMs;
    });
    published.resize(kMaxExpectedWaits);
    std::sort(published.begin(), published.end(), [](const auto& aFirst, const auto& aNext) {
      return std::tie(aFirst.service, aFirst.priority) < std::tie(aNext.service, aNext.priority);
    });
  }
  return published;
}

std::optional<std::int64_t> FindWaitMs(const std::vector<ExpectedWait>& aWaits,
                                       std::string_view aService,
                                       int aPriority)
{
  const auto found = std::find_if(aWaits.begin(), aWaits.end(), [&](const ExpectedWait& aWait) {
    return aWait.service == aService && aWait.priority == aPriority;
  });
  return found == aWaits.end() ? std::nullopt : std::optional(found->waitMs);
}

} // namespace oriolespread::cluster
