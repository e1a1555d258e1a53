#include "oriolespread/service/EntrySelector.h"

#include "oriolespread/tasks/ShardRows.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oriolespread {

namespace {

std::uint64_t Weight(const AgentId& aAgent, const EntryId& aEntry)
{
  const std::string text = aAgent.Value() + "\n" + aEntry.Value();
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

EntrySelector::EntrySelector(AgentId aAgent,
                             WorkerId aWorker,
                             DataCentreId aDataCentre,
                             std::uint32_t aLinks)
  : agent(std::move(aAgent))
  , worker(std::move(aWorker))
  , dataCentre(std::move(aDataCentre))
  , links(aLinks)
{
}

void EntrySelector::SetDirectory(const EntryDirectory& aDirectory)
{
  this->directory = aDirectory;
  if (aDirectory.shardCount == 0) {
    return;
  }
  const ShardId shard = ShardOfWorker(this->worker, aDirectory.shardCount);
  for (const ShardOwnerInfo& info : aDirectory.owners) {
    const bool sameShard = info.shard == shard;
    if (sameShard && (!this->owner.has_value() || this->owner->shard != shard ||
                      info.epoch >= this->owner->epoch)) {
      this->owner = info;
    }
  }
}

std::vector<EntryInfo> EntrySelector::Wanted() const
{
  std::vector<EntryInfo> entries = this->directory.entries;
  std::sort(
    entries.begin(), entries.end(), [this](const EntryInfo& aLeft, const EntryInfo& aRight) {
      const std::uint64_t left = Weight(this->agent, aLeft.entry);
      const std::uint64_t right = Weight(this->agent, aRight.entry);
      return std::tie(left, aLeft.entry) > std::tie(right, aRight.entry);
    });
  const std::optional<EntryId> ownerId = this->Owner();
  std::stable_partition(entries.begin(), entries.end(), [&](const EntryInfo& aEntry) {
    return ownerId.has_value() && aEntry.entry == *ownerId;
  });
  if (entries.size() <= this->links) {
    return entries;
  }
  const auto end = entries.begin() + this->links;
  const auto isNear = [this](const EntryInfo& aEntry) {
    return aEntry.dataCentre == this->dataCentre;
  };
  if (std::none_of(entries.begin(), end, isNear)) {
    const auto near = std::find_if(end, entries.end(), isNear);
    if (near != entries.end() && this->links > 1) {
      std::iter_swap(end - 1, near);
    }
  }
  entries.resize(this->links);
  return entries;
}

std::optional<EntryId> EntrySelector::Owner() const
{
  if (!this->owner.has_value()) {
    return std::nullopt;
  }
  return this->owner->entry;
}

} // namespace oriolespread
