#include "oriolespread/base/Time.h"

#include <ctime>

namespace oriolespread {

BootClock::time_point BootClock::now() noexcept
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace oriolespread
