#include "PendingQueue.h"

#include "CapacityGrid.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

constexpr std::uint64_t kBatchBit = std::uint64_t{ 1 } << 63;

} // namespace

PendingQueue::PendingQueue(const FairShare& aShares, IsLive aIsLive)
  : shares(aShares)
  , isLive(std::move(aIsLive))
  , byLevel(kGridLevels)
{
}

GroupIndex PendingQueue::Add(const TaskShape& aShape, const QueueEntry& aEntry)
{
  const auto [it, added] = this->byShape.try_emplace(aShape, kNone);
  if (added) {
    if (this->unused.empty()) {
      it->second = static_cast<GroupIndex>(this->groups.size());
      this->groups.emplace_back();
    } else {
      it->second = this->unused.back();
      this->unused.pop_back();
    }
    this->groups[it->second].shape = aShape;
  }
  const GroupIndex index = it->second;
  TaskGroup& group = this->groups[index];
  group.entries.push_back(aEntry);
  ++group.liveCount;
  ++this->waiting;
  if (group.state == GroupState::Empty) {
    this->Attach(index, GroupState::Ready);
  }
  return index;
}

void PendingQueue::Cancel(GroupIndex aGroup)
{
  TaskGroup& group = this->groups[aGroup];
  --group.liveCount;
  --this->waiting;
  if (group.liveCount == 0) {
    this->Detach(aGroup);
    this->RemoveGroup(aGroup);
    return;
  }
  if (!this->isLive(group.entries.front())) {
    const bool ready = group.state == GroupState::Ready;
    if (ready) {
      this->DetachReady(aGroup);
    }
    this->RemoveCancelledHead(group);
    if (ready) {
      this->AttachReady(aGroup);
    }
  }
}

std::optional<GroupIndex> PendingQueue::NextReady() const
{
  for (const ReadyQueue& readyQueue : this->readyQueues) {
    if (!readyQueue.organisations.empty()) {
      return readyQueue.ready[readyQueue.organisations.begin()->second].begin()->second;
    }
  }
  return std::nullopt;
}

const QueueEntry& PendingQueue::Head(GroupIndex aGroup)
{
  return this->groups[aGroup].entries.front();
}

void PendingQueue::PopHead(GroupIndex aGroup)
{
  TaskGroup& group = this->groups[aGroup];
  const GroupState state = group.state;
  this->Detach(aGroup);
  group.entries.pop_front();
  --group.liveCount;
  --this->waiting;
  if (group.liveCount == 0) {
    this->RemoveGroup(aGroup);
    return;
  }
  this->RemoveCancelledHead(group);
  this->Attach(aGroup, state);
}

void PendingQueue::SetAside(Instant aNow,
                            GroupIndex aGroup,
                            GroupState aState,
                            const Resources& aDemand)
{
  this->Detach(aGroup);
  TaskGroup& group = this->groups[aGroup];
  group.demand = aDemand;
  group.setAsideAt = aNow;
  group.setAsideNumber = ++this->setAsideCount;
  this->Attach(aGroup, aState);
  if (aState == GroupState::NoCapacity) {
    this->setAsideOrder.emplace_back(aGroup, group.setAsideNumber);
  }
}

std::optional<GroupIndex> PendingQueue::BestGroupFor(
  const Resources& aFree,
  const std::function<bool(GroupIndex)>& aEligible)
{
  std::optional<GroupIndex> best;
  GroupRank bestRank;
  std::size_t scanned = 0;
  ++this->scanStart;
  for (std::int64_t level = CoreLevel(aFree); level >= 0 && scanned < kMaxScannedGroups; --level) {
    const std::vector<GroupIndex>& list = this->byLevel[static_cast<std::size_t>(level)];
    for (std::size_t i = 0; i < list.size() && scanned < kMaxScannedGroups; ++i, ++scanned) {
      const GroupIndex group = list[(this->scanStart + i) % list.size()];
      if (!this->groups[group].demand.FitsIn(aFree)) {
        continue;
      }
      const GroupRank rank = this->RankOf(group);
      if ((!best.has_value() || rank < bestRank) && aEligible(group)) {
        best = group;
        bestRank = rank;
      }
    }
  }
  return best;
}

void PendingQueue::WakeTeam(NameIndex aTeam)
{
  if (aTeam < this->byTeam.size()) {
    const std::vector<GroupIndex> list = this->byTeam[aTeam];
    std::for_each(list.begin(), list.end(), [this](GroupIndex aGroup) { this->Wake(aGroup); });
  }
}

void PendingQueue::WakeUnplaceable()
{
  const std::vector<GroupIndex> list = this->unplaceable;
  std::for_each(list.begin(), list.end(), [this](GroupIndex aGroup) { this->Wake(aGroup); });
}

void PendingQueue::WakeUrgent()
{
  const std::set<GroupIndex> urgent = this->urgentWithoutCapacity;
  std::for_each(urgent.begin(), urgent.end(), [this](GroupIndex aGroup) { this->Wake(aGroup); });
}

std::optional<GroupIndex> PendingQueue::OldestSetAside(Instant aBefore)
{
  while (!this->setAsideOrder.empty()) {
    const auto [group, number] = this->setAsideOrder.front();
    const TaskGroup& record = this->groups[group];
    if (record.state == GroupState::NoCapacity && record.setAsideNumber == number) {
      return record.setAsideAt <= aBefore ? std::optional(group) : std::nullopt;
    }
    this->setAsideOrder.pop_front();
  }
  return std::nullopt;
}

void PendingQueue::Wake(GroupIndex aGroup)
{
  this->Detach(aGroup);
  this->Attach(aGroup, GroupState::Ready);
}

void PendingQueue::OnShareChanged(NameIndex aOrganisation)
{
  const double share = this->shares.WeightedShare(aOrganisation);
  for (ReadyQueue& readyQueue : this->readyQueues) {
    if (aOrganisation < readyQueue.ready.size() && !readyQueue.ready[aOrganisation].empty()) {
      readyQueue.organisations.erase({ readyQueue.shares[aOrganisation], aOrganisation });
      readyQueue.shares[aOrganisation] = share;
      readyQueue.organisations.emplace(share, aOrganisation);
    }
  }
}

GroupRank PendingQueue::RankOf(GroupIndex aGroup) const
{
  const TaskGroup& group = this->groups[aGroup];
  return { !group.shape.urgent,
           this->shares.WeightedShare(group.shape.organisation),
           group.shape.taskClass == TaskClass::Batch,
           group.entries.front().sequence };
}

void PendingQueue::RemoveCancelledHead(TaskGroup& aGroup)
{
  while (!aGroup.entries.empty() && !this->isLive(aGroup.entries.front())) {
    aGroup.entries.pop_front();
  }
}

void PendingQueue::Attach(GroupIndex aGroup, GroupState aState)
{
  TaskGroup& group = this->groups[aGroup];
  group.state = aState;
  if (aState == GroupState::Ready) {
    this->AttachReady(aGroup);
    return;
  }
  if (aState == GroupState::NoCapacity && group.shape.urgent) {
    this->urgentWithoutCapacity.insert(aGroup);
  }
  std::vector<GroupIndex>& list = this->ListOf(group);
  group.position = static_cast<std::uint32_t>(list.size());
  list.push_back(aGroup);
}

void PendingQueue::Detach(GroupIndex aGroup)
{
  TaskGroup& group = this->groups[aGroup];
  if (group.state == GroupState::Empty) {
    return;
  }
  if (group.state == GroupState::Ready) {
    this->DetachReady(aGroup);
  } else {
    std::vector<GroupIndex>& list = this->ListOf(group);
    list[group.position] = list.back();
    this->groups[list.back()].position = group.position;
    list.pop_back();
    this->urgentWithoutCapacity.erase(aGroup);
  }
  group.state = GroupState::Empty;
}

void PendingQueue::AttachReady(GroupIndex aGroup)
{
  TaskGroup& group = this->groups[aGroup];
  const NameIndex organisation = group.shape.organisation;
  ReadyQueue& readyQueue = this->ReadyQueueOf(group);
  if (organisation >= readyQueue.ready.size()) {
    readyQueue.ready.resize(organisation + 1);
    readyQueue.shares.resize(organisation + 1);
  }
  if (readyQueue.ready[organisation].empty()) {
    readyQueue.shares[organisation] = this->shares.WeightedShare(organisation);
    readyQueue.organisations.emplace(readyQueue.shares[organisation], organisation);
  }
  const bool batch = group.shape.taskClass == TaskClass::Batch;
  group.readyKey = group.entries.front().sequence | (batch ? kBatchBit : 0);
  readyQueue.ready[organisation].emplace(group.readyKey, aGroup);
}

void PendingQueue::DetachReady(GroupIndex aGroup)
{
  const TaskGroup& group = this->groups[aGroup];
  const NameIndex organisation = group.shape.organisation;
  ReadyQueue& readyQueue = this->ReadyQueueOf(group);
  readyQueue.ready[organisation].erase({ group.readyKey, aGroup });
  if (readyQueue.ready[organisation].empty()) {
    readyQueue.organisations.erase({ readyQueue.shares[organisation], organisation });
  }
}

std::vector<GroupIndex>& PendingQueue::ListOf(const TaskGroup& aGroup)
{
  if (aGroup.state == GroupState::NoCapacity) {
    return this->byLevel[CoreLevel(aGroup.demand)];
  }
  if (aGroup.state == GroupState::Unplaceable) {
    return this->unplaceable;
  }
  if (aGroup.shape.team >= this->byTeam.size()) {
    this->byTeam.resize(aGroup.shape.team + 1);
  }
  return this->byTeam[aGroup.shape.team];
}

void PendingQueue::RemoveGroup(GroupIndex aGroup)
{
  this->byShape.erase(this->groups[aGroup].shape);
  this->groups[aGroup] = TaskGroup{};
  this->unused.push_back(aGroup);
}

} // namespace oriolespread::internal
