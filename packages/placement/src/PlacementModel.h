// Indexes and records shared by the classes behind ScoredPlacer.
#pragma once

#include "oriolespread/placement/PlacementTypes.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace oriolespread::internal {

using WorkerIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using GroupIndex = std::uint32_t;
// Index of an interned name, see NameTable.
using NameIndex = std::uint32_t;

// Value of an index that refers to nothing.
constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

enum class TaskPhase : std::uint8_t
{
  Unused,
  Queued,
  // Waits until its reservation on one worker holds enough capacity.
  Reserved,
  Placed,
  // Asked to stop; its grant stays allocated until the task is released.
  Evicting,
};

// The attributes of a task that matter for placement. Tasks with equal shapes are interchangeable.
struct TaskShape
{
  NameIndex organisation = kNone;
  NameIndex team = kNone;
  // Interned from the organisation and the kind, so that the tasks of one organisation never affect
  // the estimates of another.
  NameIndex kind = kNone;
  NameIndex service = kNone;
  TaskClass taskClass = TaskClass::Batch;
  bool urgent = false;
  Resources declared;
  // Minimum demand learned from an earlier attempt of the same task; zero if there is none.
  Resources minDemand;
  // 0 for a task without recorded failures. A task with failures must not run again on the same
  // workers, so it gets a unique value, which makes its shape differ from that of any other task.
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
  // Number of the submission; distinguishes a queue entry from a later one with the same index.
  std::uint64_t sequence = 0;
  WorkerIndex worker = kNone;
  // Position in WorkerRecord::tasks.
  std::uint32_t position = 0;
  GroupIndex group = kNone;
  std::uint16_t evictions = 0;
  TaskPhase phase = TaskPhase::Unused;
  // Whether ReportUnplaceable was returned for the task.
  bool reportedUnplaceable = false;
  // Whether the current attempt failed.
  bool failed = false;
  // Whether the grant is limited to mitigate interference.
  bool throttled = false;
};

constexpr bool OccupiesWorker(TaskPhase aPhase)
{
  return aPhase == TaskPhase::Placed || aPhase == TaskPhase::Evicting;
}

// Returns the minimum of each amount.
inline Resources ElementwiseMin(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.milliCores, aRight.milliCores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

// Returns the maximum of each amount.
inline Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.milliCores, aRight.milliCores),
           std::max(aLeft.memoryMiB, aRight.memoryMiB),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

// Returns the largest fraction that an amount has of the same resource in `aWhole`. A resource of
// which the whole has none counts as 0.
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
