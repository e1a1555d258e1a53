#include "oriolespread/tasks/Explorer.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::sim;

namespace {

std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

// Returns a line with the seed and the violation for each failing seed.
std::string ExploreRange(std::uint64_t aFirst,
                         std::uint64_t aCount,
                         const InjectedDefects& aDefects)
{
  std::atomic<std::uint64_t> next{ aFirst };
  std::mutex mutex;
  std::map<std::uint64_t, std::string> failures;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < aFirst + aCount; seed = next++) {
      const ExplorerResult result = Explore(seed, aDefects);
      if (!result.violation.empty()) {
        const std::lock_guard lock(mutex);
        failures[seed] = result.violation;
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < std::min(4U, std::thread::hardware_concurrency()); ++index) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::string text;
  for (const auto& [seed, violation] : failures) {
    absl::StrAppend(&text, "seed ", seed, ": ", violation, "\n");
  }
  return text;
}

} // namespace

// Guards against grants that exceed the capacity of a worker (P1), tasks that run twice at once
// (P2), evicted tasks that do not resume exactly once from their checkpoint (P3), and tasks that
// never end, under the faults F1 to F11. Run a single seed with ORIOLESPREAD_SEED=n, and another
// number of seeds with ORIOLESPREAD_SEEDS=count.
TEST_CASE("Explorer FindsNoViolationOverManySeeds")
{
  const std::uint64_t first = FromEnvironment("ORIOLESPREAD_SEED", 1);
  const bool single = std::getenv("ORIOLESPREAD_SEED") != nullptr;
  const std::uint64_t count = FromEnvironment("ORIOLESPREAD_SEEDS", single ? 1 : 1000);
  const std::string failures = ExploreRange(first, count, {});
  INFO("reproduce a failure with ORIOLESPREAD_SEED=<seed>\n" << failures);
  CHECK(failures.empty());
}

// Guards against checks that miss the writes of a displaced owner. Such writes succeed if
// transactions have no condition on the owner row.
TEST_CASE("Explorer DetectsOwnersWithoutFencing")
{
  InjectedDefects defects;
  defects.dropConditions = true;
  CHECK_FALSE(ExploreRange(1, 200, defects).empty());
}

// Guards against simulations in which clock drift never makes two leases overlap.
TEST_CASE("Explorer DetectsLeasesWithoutDriftMargin")
{
  InjectedDefects defects;
  defects.driftMargin = 0.0;
  CHECK_FALSE(ExploreRange(1, 1000, defects).empty());
}

// Guards against checks that miss a write that is repeated under a new transaction id although the
// first one took effect.
TEST_CASE("Explorer DetectsRetriesOfCommitsWithUnknownOutcome")
{
  InjectedDefects defects;
  defects.retryUnknownCommits = true;
  CHECK_FALSE(ExploreRange(1, 200, defects).empty());
}
