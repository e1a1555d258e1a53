// The only place that includes toml++, so that every file compiles it with the same options.
#pragma once

// Errors are returned; nothing is thrown for any input.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
// The settings nest two levels. A small limit bounds the stack that a hostile document can use.
#define TOML_MAX_NESTED_VALUES 16

#include "absl/status/statusor.h"

#include "oriolespread/base/Findings.h"

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace oriolespread::internal {

constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1 } << 20U;

// Returns the document, or nothing and one finding when it is not TOML.
std::optional<toml::table> ParseToml(std::string_view aText,
                                     const std::string& aSource,
                                     Findings& aFindings);

// Returns the content of a regular file of at most `aMaxBytes`.
absl::StatusOr<std::string> ReadFile(const std::string& aPath, std::size_t aMaxBytes);

} // namespace oriolespread::internal
