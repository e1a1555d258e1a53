#include "oriolespread/jobs/RowQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolespread::jobs {

namespace {

constexpr Duration kMinWithheldTime = std::chrono::seconds(1);
constexpr Duration kMaxWithheldTime = std::chrono::seconds(30);
// The store may take a row again at any time, and a job must have a run within 3 s of that. With
// one attempt a second, 2 s are left for the other rows that kReleaseInterval bounds.
constexpr Duration kMaxExpeditedTime = std::chrono::seconds(1);
// A row is taken alone for this long after it was refused, longer than it may be withheld.
constexpr Duration kMemoryOfRefusals = std::chrono::seconds(60);
// The least time between two attempts at withheld rows that were refused again. Each attempt costs
// two of the calls to the store that all processes share.
constexpr Duration kReleaseInterval = std::chrono::milliseconds(200);

} // namespace

void RowQueue::Add(RowKey aRow)
{
  if (this->IsWithheld(aRow) || this->waiting.contains(aRow)) {
    return;
  }
  if (this->refusals.contains(aRow)) {
    this->AddGroup({ std::move(aRow) });
    return;
  }
  this->waiting.insert(aRow);
  this->rows.push_back(std::move(aRow));
}

void RowQueue::AddGroup(std::vector<RowKey> aRows)
{
  this->waiting.insert(aRows.begin(), aRows.end());
  this->groups.push_back(std::move(aRows));
}

std::vector<RowKey> RowQueue::Take(const std::function<bool(const RowKey&)>& aFits)
{
  std::vector<RowKey> taken;
  this->groupTakenLast = !this->groups.empty() && (this->rows.empty() || !this->groupTakenLast);
  if (this->groupTakenLast) {
    std::vector<RowKey>& group = this->groups.front();
    const auto end = std::find_if_not(group.begin(), group.end(), aFits);
    taken.assign(std::make_move_iterator(group.begin()), std::make_move_iterator(end));
    group.erase(group.begin(), end);
    if (group.empty()) {
      this->groups.pop_front();
    }
  } else {
    while (!this->rows.empty() && aFits(this->rows.front())) {
      taken.push_back(std::move(this->rows.front()));
      this->rows.pop_front();
    }
  }
  for (const RowKey& row : taken) {
    this->waiting.erase(row);
  }
  return taken;
}

void RowQueue::OnApplied(const std::vector<RowKey>& aRows)
{
  const bool wasRefused = std::any_of(
    aRows.begin(), aRows.end(), [&](const RowKey& aRow) { return this->refusals.contains(aRow); });
  if (wasRefused) {
    // What the rows were refused for may be over for the others as well.
    this->nextRelease = {};
  }
  // Rows that are taken now are taken together with others again.
  for (const RowKey& row : aRows) {
    this->refusals.erase(row);
  }
}

std::optional<Duration> RowQueue::OnRefused(const std::vector<RowKey>& aRows, Instant aNow)
{
  // Rows that have changed again meanwhile wait with the other refused ones, not with new rows.
  const std::set<RowKey> refused(aRows.begin(), aRows.end());
  std::erase_if(this->rows, [&](const RowKey& aRow) { return refused.contains(aRow); });
  for (std::vector<RowKey>& group : this->groups) {
    std::erase_if(group, [&](const RowKey& aRow) { return refused.contains(aRow); });
  }
  std::erase_if(this->groups, [](const std::vector<RowKey>& aGroup) { return aGroup.empty(); });
  for (const RowKey& row : aRows) {
    this->waiting.erase(row);
  }
  if (aRows.size() == 1) {
    this->withheld.insert(aRows.front());
    Refusal& refusal = this->refusals[aRows.front()];
    refusal = { aNow, std::clamp(2 * refusal.delay, kMinWithheldTime, kMaxWithheldTime), false };
    this->nextRelease = aNow + kReleaseInterval;
    return refusal.delay;
  }
  const auto middle = aRows.begin() + static_cast<std::ptrdiff_t>(aRows.size() / 2);
  this->AddGroup({ aRows.begin(), middle });
  this->AddGroup({ middle, aRows.end() });
  return std::nullopt;
}

void RowQueue::PutBack(std::vector<RowKey> aRows)
{
  std::erase_if(aRows, [&](const RowKey& aRow) { return this->waiting.contains(aRow); });
  if (!aRows.empty()) {
    this->AddGroup(std::move(aRows));
  }
}

void RowQueue::Expedite(const RowKey& aRow)
{
  if (this->IsWithheld(aRow)) {
    this->refusals.at(aRow).expedited = true;
  }
}

Instant RowQueue::Refusal::End() const
{
  return this->refusedAt +
         (this->expedited ? std::min(this->delay, kMaxExpeditedTime) : this->delay);
}

void RowQueue::Release(Instant aNow)
{
  if (this->refusals.empty() || aNow < this->nextRelease) {
    return;
  }
  this->nextRelease = aNow + kReleaseInterval;
  std::erase_if(this->refusals, [&](const auto& aItem) {
    return !this->IsWithheld(aItem.first) && aNow - aItem.second.refusedAt >= kMemoryOfRefusals;
  });
  const auto endOf = [&](const RowKey& aRow) { return this->refusals.at(aRow).End(); };
  const auto first = std::min_element(
    this->withheld.begin(), this->withheld.end(), [&](const RowKey& aLeft, const RowKey& aRight) {
      return endOf(aLeft) < endOf(aRight);
    });
  if (first != this->withheld.end() && endOf(*first) <= aNow) {
    this->AddGroup({ *first });
    this->withheld.erase(first);
  }
}

} // namespace oriolespread::jobs
