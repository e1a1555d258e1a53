// The waiting tasks, grouped by shape. Tasks of one group are interchangeable, so that one failed
// try sets the whole group aside and no task blocks another group.
//
//   queue.Add(now, shape, {task, sequence});
//   if (auto group = queue.NextReady()) { ... queue.PopHead(*group) or queue.SetAside(...) }
#pragma once

#include "FairShare.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace oriolespread::internal {

enum class GroupState : std::uint8_t
{
  Empty,
  Ready,
  // Waits for free capacity.
  NoCapacity,
  // Waits for its team to fall below its quota.
  NoQuota,
  // No worker could ever hold it; waits for workers or quotas to change.
  Unplaceable,
};

struct QueueEntry
{
  TaskIndex task = kNone;
  std::uint64_t sequence = 0;
  Instant queuedAt;
};

struct TaskGroup
{
  TaskShape shape;
  // What the tasks were found to need when the group was set aside.
  Resources demand;
  std::deque<QueueEntry> entries;
  Instant setAsideAt;
  std::uint64_t setAsideNumber = 0;
  std::uint32_t liveCount = 0;
  std::uint32_t position = 0;
  // Place among the ready groups of the organisation, valid while ready.
  std::uint64_t readyKey = 0;
  GroupState state = GroupState::Empty;
};

// Order in which waiting groups are served: urgent ones first, then by dominant share of the
// organisation, then latency-critical ones, then by submission.
struct GroupRank
{
  bool nonUrgent = true;
  double share = 0.0;
  bool batch = true;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const GroupRank&, const GroupRank&) = default;
};

// Not thread-safe. An entry whose task was cancelled is dropped when it comes to the head; the
// owner of the records tells by `IsLive` whether an entry still stands.
class PendingQueue
{
public:
  using IsLive = std::function<bool(const QueueEntry&)>;

  PendingQueue(const FairShare& aShares, IsLive aIsLive);

  GroupIndex Add(const TaskShape& aShape, const QueueEntry& aEntry);
  // Tells that an entry of the group no longer stands.
  void Cancel(GroupIndex aGroup);

  // Returns the ready group to serve next.
  std::optional<GroupIndex> NextReady() const;
  // Returns the oldest entry of the group, which must not be empty.
  const QueueEntry& Head(GroupIndex aGroup);
  void PopHead(GroupIndex aGroup);
  void SetAside(Instant aNow, GroupIndex aGroup, GroupState aState, const Resources& aDemand);

  // Returns the group set aside for capacity that is first in order among those that fit the
  // amount and pass the filter; examines at most kMaxScannedGroups groups.
  std::optional<GroupIndex> BestGroupFor(const Resources& aFree,
                                         const std::function<bool(GroupIndex)>& aEligible);
  // Makes groups ready again.
  void WakeTeam(NameIndex aTeam);
  void WakeUnplaceable();
  void WakeUrgent();
  // Returns the group that has been set aside for capacity longest, if that was at or before
  // `aBefore`.
  std::optional<GroupIndex> OldestSetAside(Instant aBefore);
  void Wake(GroupIndex aGroup);
  // Re-sorts the organisation after its share changed.
  void OnShareChanged(NameIndex aOrganisation);

  GroupRank RankOf(GroupIndex aGroup) const;
  const TaskGroup& At(GroupIndex aGroup) const { return this->groups[aGroup]; }
  // Returns the number of waiting tasks.
  std::size_t size() const { return this->waiting; }
  template<typename Visit>
  void ForEachLive(GroupIndex aGroup, Visit aVisit) const
  {
    for (const QueueEntry& entry : this->groups[aGroup].entries) {
      if (this->isLive(entry)) {
        aVisit(entry);
      }
    }
  }

  static constexpr std::size_t kMaxScannedGroups = 2048;

private:
  // Within one organisation: latency-critical before batch, then by submission.
  using ReadyEntry = std::pair<std::uint64_t, GroupIndex>;
  struct ReadyQueue
  {
    std::set<std::pair<double, NameIndex>> organisations;
    std::vector<std::set<ReadyEntry>> ready;
    std::vector<double> shares;
  };

  ReadyQueue& ReadyQueueOf(const TaskGroup& aGroup)
  {
    return this->readyQueues[aGroup.shape.urgent ? 0 : 1];
  }
  void RemoveCancelledHead(TaskGroup& aGroup);
  void Attach(GroupIndex aGroup, GroupState aState);
  void Detach(GroupIndex aGroup);
  void AttachReady(GroupIndex aGroup);
  void DetachReady(GroupIndex aGroup);
  std::vector<GroupIndex>& ListOf(const TaskGroup& aGroup);
  void RemoveGroup(GroupIndex aGroup);

  const FairShare& shares;
  IsLive isLive;
  std::vector<TaskGroup> groups;
  std::vector<GroupIndex> unused;
  absl::flat_hash_map<TaskShape, GroupIndex> byShape;
  std::array<ReadyQueue, 2> readyQueues;
  // Groups set aside for capacity, by the level of processors they need.
  std::vector<std::vector<GroupIndex>> byLevel;
  std::vector<std::vector<GroupIndex>> byTeam;
  std::vector<GroupIndex> unplaceable;
  // Urgent groups among those set aside for capacity.
  std::set<GroupIndex> urgentAside;
  std::deque<std::pair<GroupIndex, std::uint64_t>> setAsideOrder;
  std::uint64_t setAsideCount = 0;
  std::size_t waiting = 0;
  std::size_t scanStart = 0;
};

} // namespace oriolespread::internal
