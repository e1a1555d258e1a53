// The waiting tasks, grouped by shape. Tasks of one group are interchangeable, so when one of them
// cannot be placed the whole group is set aside. No group blocks another.
//
//   queue.Add(shape, { task, sequence, now });
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
  // Waits until the quota of its team allows the demand.
  NoQuota,
  // The demand fits no worker or exceeds the quota of its team; waits for workers or quotas to
  // change.
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
  // Demand of each task, computed when the group was set aside.
  Resources demand;
  std::deque<QueueEntry> entries;
  Instant setAsideAt;
  std::uint64_t setAsideNumber = 0;
  std::uint32_t liveCount = 0;
  std::uint32_t position = 0;
  // Sort key among the ready groups of the organisation, valid while ready.
  std::uint64_t readyKey = 0;
  GroupState state = GroupState::Empty;
};

// The order in which groups are served: urgent groups first, then by the weighted dominant share of
// the organisation, then latency-critical groups, then by order of submission.
struct GroupRank
{
  bool nonUrgent = true;
  double share = 0.0;
  bool batch = true;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const GroupRank&, const GroupRank&) = default;
};

// Not thread-safe. The entry of a cancelled task is removed when it reaches the head of its group.
// The owner of the task records supplies IsLive, which returns whether the task of an entry still
// waits.
class PendingQueue
{
public:
  using IsLive = std::function<bool(const QueueEntry&)>;

  PendingQueue(const FairShare& aShares, IsLive aIsLive);

  GroupIndex Add(const TaskShape& aShape, const QueueEntry& aEntry);
  // Must be called after the task of an entry of the group was cancelled.
  void Cancel(GroupIndex aGroup);

  // Returns the ready group to serve next.
  std::optional<GroupIndex> NextReady() const;
  // Returns the oldest entry of the group, which must not be empty.
  const QueueEntry& Head(GroupIndex aGroup);
  void PopHead(GroupIndex aGroup);
  void SetAside(Instant aNow, GroupIndex aGroup, GroupState aState, const Resources& aDemand);

  // Returns the first group in GroupRank order among those that wait for capacity, fit the amount
  // and pass the filter. Scans at most kMaxScannedGroups groups.
  std::optional<GroupIndex> BestGroupFor(const Resources& aFree,
                                         const std::function<bool(GroupIndex)>& aEligible);
  // Make the groups ready again that wait for the quota of a team, for changes of workers or
  // quotas, or, if they are urgent, for capacity.
  void WakeTeam(NameIndex aTeam);
  void WakeUnplaceable();
  void WakeUrgent();
  // Returns the group that has waited for capacity longest, if it was set aside at or before
  // `aBefore`.
  std::optional<GroupIndex> OldestSetAside(Instant aBefore);
  void Wake(GroupIndex aGroup);
  // Updates the position of the organisation after its share changed.
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
  // Sort key and group. Within an organisation latency-critical groups come before batch groups,
  // then in order of submission.
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
  // Groups that wait for capacity, by the level of their processor demand.
  std::vector<std::vector<GroupIndex>> byLevel;
  std::vector<std::vector<GroupIndex>> byTeam;
  std::vector<GroupIndex> unplaceable;
  // Urgent groups that wait for capacity.
  std::set<GroupIndex> urgentWithoutCapacity;
  std::deque<std::pair<GroupIndex, std::uint64_t>> setAsideOrder;
  std::uint64_t setAsideCount = 0;
  std::size_t waiting = 0;
  std::size_t scanStart = 0;
};

} // namespace oriolespread::internal
