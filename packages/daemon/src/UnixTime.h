// The time of day.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolespread::daemon {

// Returns the Unix time in milliseconds. It may go back when the clock is set.
inline std::int64_t CurrentUnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace oriolespread::daemon
