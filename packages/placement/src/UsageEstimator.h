// Estimates, from usage reports, the resources that a running attempt needs and the resources that
// later tasks of the same kind will need.
#pragma once

#include "PlacementModel.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace oriolespread::internal {

// The last `N` measurements of processor and memory usage.
template<std::size_t N>
class UsageWindow
{
public:
  void Add(const Resources& aUsed);
  std::size_t size() const { return this->count; }
  // Returns the 95th percentile (nearest rank) of each amount; the window must not be empty.
  Resources Percentile95() const;

private:
  using Series = std::array<std::uint32_t, N>;
  static std::uint32_t Percentile95Of(Series aSeries, std::size_t aCount);

  Series milliCores{};
  Series memoryMiB{};
  std::uint16_t count = 0;
  std::uint16_t next = 0;
};

// Not thread-safe. Accelerators are not estimated: a task gets the number that it declared.
class UsageEstimator
{
public:
  void Record(TaskIndex aTask, NameIndex aKind, const Resources& aUsed);
  void RemoveTask(TaskIndex aTask);

  // Returns the 95th percentile of the attempt's window plus a margin, or nullopt before
  // kMinSamples reports.
  std::optional<Resources> GrantTarget(TaskIndex aTask) const;
  // Returns the number of reports in the attempt's window.
  std::size_t SampleCount(TaskIndex aTask) const;
  // Returns the expected demand of the next task of the kind, or nullopt before kMinKindSamples
  // samples.
  std::optional<Resources> InitialEstimate(NameIndex aKind) const;
  // Returns the amounts plus a margin of 15%, at least kMinMilliCores and kMinMemoryMiB.
  static Resources WithMargin(const Resources& aUsed);

  static constexpr std::size_t kWindowSamples = 20;
  static constexpr std::size_t kKindWindowSamples = 64;
  static constexpr std::size_t kMinSamples = 3;
  static constexpr std::size_t kMinKindSamples = 5;

private:
  // The 95th percentile of an attempt is added to the window of its kind once per this number of
  // reports, so that a long attempt does not displace the samples of other attempts.
  static constexpr std::size_t kReportsPerKindSample = 4;

  struct Attempt
  {
    UsageWindow<kWindowSamples> window;
    std::uint32_t reports = 0;
  };
  struct Kind
  {
    UsageWindow<kKindWindowSamples> window;
    Resources estimate;
  };

  std::vector<std::unique_ptr<Attempt>> attempts;
  std::vector<std::unique_ptr<Kind>> kinds;
};

} // namespace oriolespread::internal
