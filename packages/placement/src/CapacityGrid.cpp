#include "CapacityGrid.h"

#include <algorithm>
#include <bit>

namespace oriolespread::internal {

namespace {

constexpr std::int64_t kMilliCoresPerUnit = 50;
constexpr std::int64_t kMiBPerUnit = 64;
constexpr std::uint32_t kLevelsPerDoubling = 8;
constexpr std::uint32_t kCellsPerPlane = kGridLevels * kGridLevels;

// Returns the first set bit at or after `aFrom` in search order (ascending for BestFit, descending
// for WorstFit), or kNone.
template<typename Bits>
std::uint32_t FindNextBit(const Bits& aBits,
                          std::int64_t aFrom,
                          std::int64_t aMinBit,
                          FitOrder aOrder)
{
  const std::int64_t step = aOrder == FitOrder::BestFit ? 1 : -1;
  std::int64_t bit = aFrom;
  while (bit >= aMinBit && bit < kGridLevels) {
    const std::uint64_t word = aBits[static_cast<std::size_t>(bit) / 64];
    const std::int64_t shift = bit % 64;
    const std::uint64_t remaining = step > 0 ? word >> shift : word << (63 - shift);
    if (remaining != 0) {
      bit += step * (step > 0 ? std::countr_zero(remaining) : std::countl_zero(remaining));
      return bit >= aMinBit ? static_cast<std::uint32_t>(bit) : kNone;
    }
    bit += step * (step > 0 ? 64 - shift : shift + 1);
  }
  return kNone;
}

} // namespace

std::uint32_t GridLevel(std::int64_t aAmount, std::int64_t aUnit)
{
  const auto units = static_cast<std::uint64_t>(std::max<std::int64_t>(aAmount, 0) / aUnit);
  if (units < kLevelsPerDoubling) {
    return static_cast<std::uint32_t>(units);
  }
  // Chosen so that `units >> doublings` is at least 8 and at most 15.
  const auto doublings = static_cast<std::uint32_t>(std::bit_width(units)) - 4;
  const auto level =
    doublings * kLevelsPerDoubling + static_cast<std::uint32_t>(units >> doublings);
  return std::min(level, kGridLevels - 1);
}

std::uint32_t CoreLevel(const Resources& aAmount)
{
  return GridLevel(aAmount.milliCores, kMilliCoresPerUnit);
}

struct CapacityGrid::Search
{
  const Resources& demand;
  std::size_t limit;
  FitOrder order;
  std::vector<WorkerIndex>& found;
  std::size_t start;
  std::size_t rejected = 0;

  bool Done() const { return this->found.size() >= this->limit || this->rejected >= kMaxRejected; }
};

std::size_t CapacityGrid::PlaneOf(std::int64_t aAccelerators)
{
  const auto count = static_cast<std::uint64_t>(std::max<std::int64_t>(aAccelerators, 0));
  return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(count)), kPlanes - 1);
}

std::uint32_t CapacityGrid::CellOf(const Resources& aAmount)
{
  return static_cast<std::uint32_t>(PlaneOf(aAmount.accelerators)) * kCellsPerPlane +
         CoreLevel(aAmount) * kGridLevels + GridLevel(aAmount.memoryMiB, kMiBPerUnit);
}

void CapacityGrid::SetOccupied(std::uint32_t aCell, bool aOccupied)
{
  Plane& plane = this->planes[aCell / kCellsPerPlane];
  const std::uint32_t row = aCell % kCellsPerPlane / kGridLevels;
  const std::uint32_t column = aCell % kGridLevels;
  Bits& bits = plane.rows[row];
  const std::uint64_t mask = std::uint64_t{ 1 } << (column % 64);
  if (aOccupied) {
    bits[column / 64] |= mask;
  } else {
    bits[column / 64] &= ~mask;
  }
  const bool any = std::any_of(bits.begin(), bits.end(), [](auto aWord) { return aWord != 0; });
  const std::uint64_t rowMask = std::uint64_t{ 1 } << (row % 64);
  if (any) {
    plane.occupiedRows[row / 64] |= rowMask;
  } else {
    plane.occupiedRows[row / 64] &= ~rowMask;
  }
}

void CapacityGrid::Put(WorkerIndex aWorker, const Resources& aAmount)
{
  if (aWorker >= this->entries.size()) {
    this->entries.resize(aWorker + 1);
  }
  const std::uint32_t cell = CellOf(aAmount);
  if (this->entries[aWorker].cell != cell) {
    this->Remove(aWorker);
    std::vector<WorkerIndex>& members = this->cells[cell];
    this->entries[aWorker].cell = cell;
    this->entries[aWorker].position = static_cast<std::uint32_t>(members.size());
    members.push_back(aWorker);
    if (members.size() == 1) {
      this->SetOccupied(cell, true);
    }
  }
  this->entries[aWorker].amount = aAmount;
}

void CapacityGrid::Remove(WorkerIndex aWorker)
{
  if (aWorker >= this->entries.size() || this->entries[aWorker].cell == kNone) {
    return;
  }
  Entry& entry = this->entries[aWorker];
  std::vector<WorkerIndex>& members = this->cells[entry.cell];
  members[entry.position] = members.back();
  this->entries[members.back()].position = entry.position;
  members.pop_back();
  if (members.empty()) {
    this->SetOccupied(entry.cell, false);
  }
  entry.cell = kNone;
}

void CapacityGrid::Collect(const Resources& aDemand,
                           std::size_t aLimit,
                           FitOrder aOrder,
                           std::vector<WorkerIndex>& aFound)
{
  Search search{ aDemand, aFound.size() + aLimit, aOrder, aFound, this->nextStart++ };
  for (std::size_t plane = PlaneOf(aDemand.accelerators); plane < kPlanes; ++plane) {
    this->CollectPlane(plane, search);
  }
}

void CapacityGrid::CollectPlane(std::size_t aPlane, Search& aSearch)
{
  const std::int64_t minLevel = CoreLevel(aSearch.demand);
  const bool ascending = aSearch.order == FitOrder::BestFit;
  std::int64_t from = ascending ? minLevel : kGridLevels - 1;
  while (!aSearch.Done()) {
    const std::uint32_t row =
      FindNextBit(this->planes[aPlane].occupiedRows, from, minLevel, aSearch.order);
    if (row == kNone) {
      return;
    }
    this->CollectRow(aPlane, row, aSearch);
    from = static_cast<std::int64_t>(row) + (ascending ? 1 : -1);
  }
}

void CapacityGrid::CollectRow(std::size_t aPlane, std::uint32_t aRow, Search& aSearch)
{
  const std::int64_t minLevel = GridLevel(aSearch.demand.memoryMiB, kMiBPerUnit);
  const bool ascending = aSearch.order == FitOrder::BestFit;
  std::int64_t from = ascending ? minLevel : kGridLevels - 1;
  while (!aSearch.Done()) {
    const std::uint32_t column =
      FindNextBit(this->planes[aPlane].rows[aRow], from, minLevel, aSearch.order);
    if (column == kNone) {
      return;
    }
    const auto cell = static_cast<std::uint32_t>(aPlane) * kCellsPerPlane + aRow * kGridLevels;
    this->CollectCell(cell + column, aSearch);
    from = static_cast<std::int64_t>(column) + (ascending ? 1 : -1);
  }
}

void CapacityGrid::CollectCell(std::uint32_t aCell, Search& aSearch)
{
  const std::vector<WorkerIndex>& members = this->cells[aCell];
  for (std::size_t i = 0; i < members.size() && !aSearch.Done(); ++i) {
    const WorkerIndex worker = members[(aSearch.start + i) % members.size()];
    if (aSearch.demand.FitsIn(this->entries[worker].amount)) {
      aSearch.found.push_back(worker);
    } else {
      ++aSearch.rejected;
    }
  }
}

} // namespace oriolespread::internal
