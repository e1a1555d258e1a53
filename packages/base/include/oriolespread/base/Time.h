// Time as the system counts it: monotonic and including suspend, so that a lease also lapses while
// its holder sleeps. Decision logic takes an Instant as an argument and never reads a clock.
#pragma once

#include <chrono>
#include <concepts>

namespace oriolespread {

using Duration = std::chrono::nanoseconds;

// Clock type of all instants. now() reads CLOCK_BOOTTIME of this machine; instants of different
// machines or boots are not comparable. Thread-safe.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using Instant = BootClock::time_point;

// A source of instants that never goes back.
template<typename T>
concept Clock = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<Instant>;
};

// The machine's clock behind the Clock concept.
struct SystemClock
{
  Instant Now() const { return BootClock::now(); }
};

// Returns the duration in whole milliseconds, rounded down.
constexpr std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace oriolespread
