#include "oriolespread/settings/TomlDocument.h"

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace oriolespread::internal {

namespace {

// Dotted keys build one table for each dot and are not covered by TOML_MAX_NESTED_VALUES; a long
// one would overflow the stack when the tables are destroyed.
constexpr std::ptrdiff_t kMaxDotsPerLine = 256;

// Returns the number of the first line with too many dots, or 0.
std::uint32_t FindOverlongLine(std::string_view aText)
{
  std::uint32_t number = 1;
  while (!aText.empty()) {
    const std::string_view line = aText.substr(0, aText.find('\n'));
    if (std::count(line.begin(), line.end(), '.') > kMaxDotsPerLine) {
      return number;
    }
    aText.remove_prefix(std::min(line.size() + 1, aText.size()));
    ++number;
  }
  return 0;
}

} // namespace

std::optional<toml::table> ParseToml(std::string_view aText,
                                     const std::string& aSource,
                                     Findings& aFindings)
{
  if (aText.size() > kMaxDocumentBytes) {
    aFindings.Add({ aSource, 0, 0, {} },
                  absl::StrCat("has ", aText.size(), " bytes"),
                  absl::StrCat("at most ", kMaxDocumentBytes));
    return std::nullopt;
  }
  if (const std::uint32_t line = FindOverlongLine(aText); line != 0) {
    aFindings.Add({ aSource, line, 1, {} },
                  "has too many dots in one line",
                  absl::StrCat("at most ", kMaxDotsPerLine));
    return std::nullopt;
  }
  toml::parse_result result = toml::parse(aText, std::string_view(aSource));
  if (!result) {
    const toml::source_position place = result.error().source().begin;
    aFindings.Add({ aSource, place.line, place.column, {} },
                  std::string(result.error().description()),
                  "valid TOML");
    return std::nullopt;
  }
  return std::move(result).table();
}

absl::StatusOr<std::string> ReadFile(const std::string& aPath, std::size_t aMaxBytes)
{
  std::error_code error;
  if (!std::filesystem::is_regular_file(aPath, error)) {
    return absl::NotFoundError(absl::StrCat(aPath, ": is not a readable file"));
  }
  std::ifstream file(aPath, std::ios::binary);
  std::string content(aMaxBytes + 1, '\0');
  file.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (file.bad() || !file.is_open()) {
    return absl::NotFoundError(absl::StrCat(aPath, ": cannot be read"));
  }
  content.resize(static_cast<std::size_t>(file.gcount()));
  if (content.size() > aMaxBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat(aPath, ": is larger than ", aMaxBytes, " bytes"));
  }
  return content;
}

} // namespace oriolespread::internal
