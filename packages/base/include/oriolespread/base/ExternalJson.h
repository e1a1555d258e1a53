// Parsers of JSON and MessagePack that another process has written.
//
// The JSON library recurses once for each level of nesting when it reads MessagePack and when it
// copies or writes a value. All parsers here therefore refuse input that nests deeper than
// kMaxJsonDepth, which would otherwise exhaust the stack.
#pragma once

#include "absl/status/statusor.h"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string_view>

namespace oriolespread {

// The greatest depth of nested arrays and objects that is accepted.
inline constexpr int kMaxJsonDepth = 64;

// Returns InvalidArgument if the text is not JSON or nests too deeply.
absl::StatusOr<nlohmann::json> ParseJson(std::string_view aText);

// Like ParseJson, but values that cannot be read are replaced by null: those that nest too deeply,
// numbers beyond the range of double, and strings that are not UTF-8. Names of fields that cannot
// be read become empty. For lists, in which one such entry must not hide the others.
absl::StatusOr<nlohmann::json> ParseJsonList(std::string_view aText);

// Returns InvalidArgument if the bytes are not one MessagePack value or nest too deeply.
absl::StatusOr<nlohmann::json> ParseMessagePack(std::string_view aBytes);

// Returns whether there is a floating-point number in the value, except in fields of the names
// `aExcept` and all that they contain. The library's conversion of such a number to an integer is
// undefined if the integer cannot hold it, so decoders refuse them before they read fields of
// integers.
bool HasFloatingPoint(const nlohmann::json& aValue,
                      std::initializer_list<std::string_view> aExcept = {});

} // namespace oriolespread
