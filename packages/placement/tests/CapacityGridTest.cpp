#include "CapacityGrid.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;
using namespace oriolespread::internal;

// Guards against levels that make a search miss a worker on which the demand fits.
TEST_CASE("GridLevel NeverDecreasesWithTheAmount")
{
  std::uint32_t previous = 0;
  for (std::int64_t amount = 0; amount < 2'000'000; amount += 37) {
    const std::uint32_t level = GridLevel(amount, 50);
    REQUIRE(level >= previous);
    REQUIRE(level < kGridLevels);
    previous = level;
  }
}

// Guards against a search that misses a fitting worker or returns one that does not fit.
TEST_CASE("CapacityGrid FindsAFittingWorkerWheneverThereIsOne")
{
  RandomSource random(7);
  CapacityGrid grid;
  std::vector<Resources> amounts(60);
  for (int step = 0; step < 20'000; ++step) {
    const auto worker = static_cast<WorkerIndex>(random.Below(amounts.size()));
    amounts[worker] = { static_cast<std::int64_t>(random.Below(64'000)),
                        static_cast<std::int64_t>(random.Below(256'000)),
                        static_cast<std::int64_t>(random.Below(9)) };
    grid.Put(worker, amounts[worker]);
    const Resources demand{ static_cast<std::int64_t>(random.Below(64'000)),
                            static_cast<std::int64_t>(random.Below(256'000)),
                            static_cast<std::int64_t>(random.Below(3)) };
    const bool fits = std::any_of(amounts.begin(), amounts.end(), [&](const Resources& aAmount) {
      return demand.FitsIn(aAmount);
    });
    std::vector<WorkerIndex> found;
    grid.Collect(demand, 4, random.Chance(0.5) ? FitOrder::BestFit : FitOrder::WorstFit, found);
    INFO("step " << step << " demand " << demand);
    // Workers that were never added have no capacity, so only the zero demand fits on them.
    REQUIRE((!found.empty() == fits || demand == Resources{}));
    REQUIRE(found.size() <= 4);
    for (const WorkerIndex index : found) {
      REQUIRE(demand.FitsIn(amounts[index]));
    }
  }
}

// Guards against scanning a whole cell of workers that are slightly too small.
TEST_CASE("CapacityGrid RejectsABoundedNumberOfWorkersPerSearch")
{
  CapacityGrid grid;
  for (WorkerIndex worker = 0; worker < 3000; ++worker) {
    grid.Put(worker, { 2000, 4096, 0 });
  }
  grid.Put(3000, { 2040, 4096, 0 });
  std::size_t hits = 0;
  for (int i = 0; i < 3001; ++i) {
    std::vector<WorkerIndex> found;
    grid.Collect({ 2030, 4096, 0 }, 4, FitOrder::BestFit, found);
    hits += found.size();
  }
  // Each search starts at a different position of the cell, so some of them find the worker.
  CHECK(hits > 0);
  CHECK(hits <= 2 * CapacityGrid::kMaxRejected);
}
