// Finds workers by amounts of resources. The index is a grid of cells over logarithmic levels of
// processors and memory, with one plane for each level of accelerators. Bitmaps of occupied cells
// let a search skip empty cells.
#pragma once

#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <array>
#include <vector>

namespace oriolespread::internal {

enum class FitOrder
{
  BestFit,
  WorstFit,
};

constexpr std::uint32_t kGridLevels = 128;
// Returns the level of an amount counted in units: one level per unit below 8 units, then 8 levels
// per doubling. The level never decreases as the amount grows and is below kGridLevels.
std::uint32_t GridLevel(std::int64_t aAmount, std::int64_t aUnit);
// Returns the level of the processor amount.
std::uint32_t CoreLevel(const Resources& aAmount);

// Not thread-safe. The order of results depends only on the sequence of calls.
class CapacityGrid
{
public:
  // Adds a worker or moves it to the cell of its new amount.
  void Put(WorkerIndex aWorker, const Resources& aAmount);
  void Remove(WorkerIndex aWorker);

  // Appends up to `aLimit` workers whose amount holds the demand. Stops after kMaxRejected workers
  // that are too small. Successive calls start at different positions of a cell, so that they reach
  // different workers of a cell that is larger than this limit.
  void Collect(const Resources& aDemand,
               std::size_t aLimit,
               FitOrder aOrder,
               std::vector<WorkerIndex>& aFound);

  static constexpr std::size_t kMaxRejected = 64;

private:
  // For 0, 1, 2 to 3, 4 to 7, 8 to 15, and 16 or more accelerators.
  static constexpr std::size_t kPlanes = 6;
  static constexpr std::size_t kWordsPerRow = kGridLevels / 64;
  using Bits = std::array<std::uint64_t, kWordsPerRow>;
  // Bitmaps of the occupied cells by core level (row) and memory level (column), and of the rows
  // that have an occupied cell.
  struct Plane
  {
    std::array<Bits, kGridLevels> rows{};
    Bits occupiedRows{};
  };
  struct Entry
  {
    Resources amount;
    std::uint32_t cell = kNone;
    std::uint32_t position = 0;
  };
  // The arguments and the progress of one call of Collect.
  struct Search;

  static std::size_t PlaneOf(std::int64_t aAccelerators);
  static std::uint32_t CellOf(const Resources& aAmount);
  void SetOccupied(std::uint32_t aCell, bool aOccupied);
  void CollectPlane(std::size_t aPlane, Search& aSearch);
  void CollectRow(std::size_t aPlane, std::uint32_t aRow, Search& aSearch);
  void CollectCell(std::uint32_t aCell, Search& aSearch);

  std::array<Plane, kPlanes> planes{};
  absl::flat_hash_map<std::uint32_t, std::vector<WorkerIndex>> cells;
  std::vector<Entry> entries;
  std::size_t nextStart = 0;
};

} // namespace oriolespread::internal
