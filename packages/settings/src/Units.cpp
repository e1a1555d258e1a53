#include "Units.h"

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace oriolespread::internal {

namespace {

using Unit = std::pair<std::string_view, std::uint64_t>;

// Largest first; a duration's unit is in nanoseconds, a size's in bytes.
constexpr std::array<Unit, 5> kDurationUnits = { Unit{ "h", 3'600'000'000'000 },
                                                 Unit{ "min", 60'000'000'000 },
                                                 Unit{ "s", 1'000'000'000 },
                                                 Unit{ "ms", 1'000'000 },
                                                 Unit{ "us", 1'000 } };
constexpr std::array<Unit, 4> kSizeUnits = { Unit{ "GiB", std::uint64_t{ 1 } << 30U },
                                             Unit{ "MiB", std::uint64_t{ 1 } << 20U },
                                             Unit{ "KiB", std::uint64_t{ 1 } << 10U },
                                             Unit{ "B", 1 } };

// Both kinds fit a signed 64-bit number.
constexpr std::uint64_t kMaxValue = std::numeric_limits<std::int64_t>::max();

template<std::size_t Count>
std::optional<std::uint64_t> ParseWithUnit(std::string_view aText,
                                           const std::array<Unit, Count>& aUnits)
{
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  if (aText.starts_with(' ')) {
    aText.remove_prefix(1);
  }
  for (const auto& [name, factor] : aUnits) {
    if (aText == name) {
      return number <= kMaxValue / factor ? std::optional(number * factor) : std::nullopt;
    }
  }
  return std::nullopt;
}

template<std::size_t Count>
std::string TextWithUnit(std::uint64_t aValue, const std::array<Unit, Count>& aUnits)
{
  for (const auto& [name, factor] : aUnits) {
    if (aValue != 0 && aValue % factor == 0) {
      return std::to_string(aValue / factor) + " " + std::string(name);
    }
  }
  const auto& [name, factor] = aUnits.back();
  return std::to_string(aValue / factor) + " " + std::string(name);
}

} // namespace

std::optional<Duration> ParseDuration(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kDurationUnits);
  if (!value.has_value()) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(*value));
}

std::optional<std::uint64_t> ParseSize(std::string_view aText)
{
  return ParseWithUnit(aText, kSizeUnits);
}

std::string DurationText(Duration aDuration)
{
  return TextWithUnit(static_cast<std::uint64_t>(aDuration.count()), kDurationUnits);
}

std::string SizeText(std::uint64_t aBytes)
{
  return TextWithUnit(aBytes, kSizeUnits);
}

} // namespace oriolespread::internal
