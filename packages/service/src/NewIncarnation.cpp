#include "NewIncarnation.h"

#include <chrono>
#include <random>

namespace oriolespread::internal {

Incarnation NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  // Random low bits keep two lives within one millisecond apart.
  std::random_device random;
  return Incarnation{ (static_cast<std::uint64_t>(milliseconds) << 8U) | (random() & 0xFFU) };
}

} // namespace oriolespread::internal
