// The expected waits of new work, which the leader publishes in its row for all entries.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolespread::cluster {

// The expected wait of new work of one service and priority.
struct ExpectedWait
{
  std::string service;
  int priority = 0;
  std::int64_t waitMs = 0;

  friend bool operator==(const ExpectedWait&, const ExpectedWait&) = default;
};

// A wait as an entry knows it.
struct PublishedWait
{
  std::int64_t waitMs = 0;
  // The latest time by which the leader is known to have led with this wait: when the read was
  // requested that first returned the row.
  Instant publishedAt{};
};

// The bounds keep the field below 4 KiB of the leadership row, which every transaction of the
// leader writes.
inline constexpr std::size_t kMaxExpectedWaits = 16;
inline constexpr std::size_t kMaxWaitServiceBytes = 128;
// Longer waits are published as this one; every job that can be refused is refused before.
inline constexpr std::int64_t kMaxExpectedWaitMs = 3'600'000;

// Returns the waits to publish, rounded to 100 ms: the longest ones if there are too many, in the
// order of service and priority. Those that round to zero, and those of services with longer names,
// are left out, which refuses no job.
std::vector<ExpectedWait> MakeExpectedWaits(
  const std::map<std::pair<std::string, int>, Duration>& aWaits);

// Returns the wait of the service and priority in milliseconds; empty if there is none.
std::optional<std::int64_t> FindWaitMs(const std::vector<ExpectedWait>& aWaits,
                                       std::string_view aService,
                                       int aPriority);

} // namespace oriolespread::cluster
