// Learns from usage reports what an attempt needs and what tasks of its kind will need.
#pragma once

#include "PlacementModel.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace oriolespread::internal {

// The last `N` measurements of processors and memory.
template<std::size_t N>
class UsageWindow
{
public:
  void Add(const Resources& aUsed);
  std::size_t size() const { return this->count; }
  // Returns the 95th percentile of each amount by nearest rank; the window must not be empty.
  Resources Percentile95() const;

private:
  using Series = std::array<std::uint32_t, N>;
  static std::uint32_t Percentile95Of(Series aSeries, std::size_t aCount);

  Series milliCores{};
  Series memoryMiB{};
  std::uint16_t count = 0;
  std::uint16_t next = 0;
};

// Not thread-safe. Accelerators are not estimated: a task holds what it declared.
class UsageEstimator
{
public:
  void Record(TaskIndex aTask, NameIndex aKind, const Resources& aUsed);
  void RemoveTask(TaskIndex aTask);

  // Returns p95 of the attempt's window plus the margin; none before kMinSamples reports.
  std::optional<Resources> GrantTarget(TaskIndex aTask) const;
  // Returns how many reports the attempt's window holds.
  std::size_t SampleCount(TaskIndex aTask) const;
  // Returns what the next task of the kind is expected to need; none before kMinKindSamples.
  std::optional<Resources> InitialEstimate(NameIndex aKind) const;
  // Returns the amount plus the margin of 15%, at least kLeastGrant of what is not zero.
  static Resources WithMargin(const Resources& aUsed);

  static constexpr std::size_t kWindowSamples = 20;
  static constexpr std::size_t kKindWindowSamples = 64;
  static constexpr std::size_t kMinSamples = 3;
  static constexpr std::size_t kMinKindSamples = 5;

private:
  // A kind learns each attempt's p95 once per so many reports, so that a long attempt does not
  // crowd out the others.
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
