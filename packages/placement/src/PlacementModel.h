// Dense indexes and records shared by the parts of the scored placer.
#pragma once

#include "oriolespread/placement/PlacementTypes.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace oriolespread::internal {

using WorkerIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using GroupIndex = std::uint32_t;
// Position of an interned name, see NameTable.
using NameIndex = std::uint32_t;

constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

enum class TaskPhase : std::uint8_t
{
  Unused,
  Queued,
  // Waits for capacity that is being gathered for it on one worker.
  Reserved,
  Placed,
  // Told to stop; its grant is kept until its release.
  Evicting,
};

// What tells waiting tasks apart for placement: tasks with equal shapes are interchangeable.
struct TaskShape
{
  NameIndex organisation = kNone;
  NameIndex team = kNone;
  // Names the kind within its organisation, so that one organisation's tasks never train the
  // estimates of another.
  NameIndex kind = kNone;
  NameIndex service = kNone;
  TaskClass taskClass = TaskClass::Batch;
  bool urgent = false;
  Resources declared;
  // Least amounts learned from an earlier attempt of this very task; zero when there is none.
  Resources minDemand;
  // Not 0 for a task that must be kept off some workers and so stands for itself.
  std::uint64_t exclusionId = 0;

  friend bool operator==(const TaskShape&, const TaskShape&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const TaskShape& aShape)
  {
    const auto hashAmounts = [](H aInner, const Resources& aAmount) {
      return H::combine(
        std::move(aInner), aAmount.milliCores, aAmount.memoryMiB, aAmount.accelerators);
    };
    aState = H::combine(std::move(aState),
                        aShape.organisation,
                        aShape.team,
                        aShape.kind,
                        aShape.service,
                        aShape.taskClass,
                        aShape.urgent,
                        aShape.exclusionId);
    return hashAmounts(hashAmounts(std::move(aState), aShape.declared), aShape.minDemand);
  }
};

struct TaskRecord
{
  TaskId id;
  TaskShape shape;
  Resources grant;
  Instant placedAt;
  Instant checkpointedAt;
  Instant lastEvicted;
  Instant lastThrottled;
  // Counts every submission; tells a queue entry from a later one of the same index.
  std::uint64_t sequence = 0;
  WorkerIndex worker = kNone;
  // Position within the task list of the worker.
  std::uint32_t position = 0;
  GroupIndex group = kNone;
  std::uint16_t evictions = 0;
  TaskPhase phase = TaskPhase::Unused;
  bool reported = false;
  bool failed = false;
  // Whether an interference step holds the grant down.
  bool throttled = false;
};

constexpr bool OccupiesWorker(TaskPhase aPhase)
{
  return aPhase == TaskPhase::Placed || aPhase == TaskPhase::Evicting;
}

// Returns the smaller of each amount.
inline Resources ElementwiseMin(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.milliCores, aRight.milliCores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

// Returns the greater of each amount.
inline Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.milliCores, aRight.milliCores),
           std::max(aLeft.memoryMiB, aRight.memoryMiB),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

// Returns the greatest ratio of an amount to the whole; amounts of which there are none count 0.
inline double DominantShare(const Resources& aAmount, const Resources& aWhole)
{
  const auto ratio = [](std::int64_t aPart, std::int64_t aTotal) {
    return aTotal > 0 ? static_cast<double>(aPart) / static_cast<double>(aTotal) : 0.0;
  };
  return std::max({ ratio(aAmount.milliCores, aWhole.milliCores),
                    ratio(aAmount.memoryMiB, aWhole.memoryMiB),
                    ratio(aAmount.accelerators, aWhole.accelerators) });
}

} // namespace oriolespread::internal
