// Values with a unit, as written in settings.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread::internal {

constexpr std::string_view kDurationForm = "a duration such as \"200 ms\", \"3 s\" or \"2 min\"";
constexpr std::string_view kSizeForm =
  "a size such as \"512 B\", \"64 KiB\", \"8 MiB\" or \"2 GiB\"";

// Return the value of a whole number, an optional space and a unit: us, ms, s, min, h or B, KiB,
// MiB, GiB. Nothing for any other form and for values that overflow.
std::optional<Duration> ParseDuration(std::string_view aText);
std::optional<std::uint64_t> ParseSize(std::string_view aText);

// Return a form that the functions above accept, in the largest unit that divides the value.
std::string DurationText(Duration aDuration);
std::string SizeText(std::uint64_t aBytes);

} // namespace oriolespread::internal
