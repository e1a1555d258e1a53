// Amounts of processors, memory and accelerators, of a worker or of a task.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>

namespace oriolespread {

// Processors are counted in thousandths of a core and memory in MiB, so that sums are exact.
struct Resources
{
  std::int64_t milliCores = 0;
  std::int64_t memoryMiB = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  friend Resources operator+(Resources aLeft, const Resources& aRight) { return aLeft += aRight; }
  friend Resources operator-(Resources aLeft, const Resources& aRight) { return aLeft -= aRight; }

  // Returns whether every amount is at most that of `aCapacity`.
  bool FitsIn(const Resources& aCapacity) const;
  // Returns whether no amount is negative.
  bool IsNonNegative() const;
};

std::ostream& operator<<(std::ostream& aOut, const Resources& aResources);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, milliCores, memoryMiB, accelerators)

} // namespace oriolespread
