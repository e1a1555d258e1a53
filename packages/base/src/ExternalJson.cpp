#include "oriolespread/base/ExternalJson.h"

#include <algorithm>
#include <string>

namespace oriolespread {

using nlohmann::json;

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

// Returns the position after the string that starts at the opening quote `aStart`.
std::size_t EndOfString(std::string_view aText, std::size_t aStart)
{
  for (std::size_t index = aStart + 1; index < aText.size(); ++index) {
    if (aText[index] == '\\') {
      ++index;
    } else if (aText[index] == '"') {
      return index + 1;
    }
  }
  return aText.size();
}

bool OpensNesting(char aChar)
{
  return aChar == '[' || aChar == '{';
}

bool ClosesNesting(char aChar)
{
  return aChar == ']' || aChar == '}';
}

// Returns the position after the array or object that starts at `aStart`.
std::size_t EndOfNesting(std::string_view aText, std::size_t aStart)
{
  std::size_t depth = 0;
  std::size_t index = aStart;
  while (index < aText.size()) {
    const char c = aText[index];
    index = c == '"' ? EndOfString(aText, index) : index + 1;
    if (OpensNesting(c)) {
      ++depth;
    } else if (ClosesNesting(c) && --depth == 0) {
      return index;
    }
  }
  return index;
}

// Returns whether the text nests too deeply. The text need not be valid JSON.
bool NestsTooDeeply(std::string_view aText)
{
  int depth = 0;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '"') {
      index = EndOfString(aText, index) - 1;
    } else if (OpensNesting(aText[index])) {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (ClosesNesting(aText[index])) {
      --depth;
    }
  }
  return false;
}

// Returns the position after the number, literal or other text that starts at `aStart`.
std::size_t EndOfScalar(std::string_view aText, std::size_t aStart)
{
  const std::size_t end = aText.find_first_of(",:[]{}\" \t\r\n", aStart + 1);
  return end == std::string_view::npos ? aText.size() : end;
}

bool IsFieldName(std::string_view aText, std::size_t aEnd)
{
  const std::size_t next = aText.find_first_not_of(kWhitespace, aEnd);
  return next != std::string_view::npos && aText[next] == ':';
}

// Returns the text with the values that ParseJsonList does not read replaced.
std::string ReplaceUnreadableValues(std::string_view aText)
{
  std::string replaced;
  replaced.reserve(aText.size());
  int depth = 0;
  std::size_t index = 0;
  while (index < aText.size()) {
    const char c = aText[index];
    std::size_t end = index + 1;
    std::string_view copied = aText.substr(index, 1);
    if (OpensNesting(c)) {
      if (depth == kMaxJsonDepth) {
        end = EndOfNesting(aText, index);
        copied = "null";
      } else {
        ++depth;
      }
    } else if (ClosesNesting(c)) {
      --depth;
    } else if (c != ',' && c != ':' && kWhitespace.find(c) == std::string_view::npos) {
      end = c == '"' ? EndOfString(aText, index) : EndOfScalar(aText, index);
      copied = aText.substr(index, end - index);
      // A value at the end of the text is cut off, unless the text is this value only.
      if (end < aText.size() && !json::accept(copied)) {
        copied = IsFieldName(aText, end) ? R"("")" : "null";
      }
    }
    replaced += copied;
    index = end;
  }
  return replaced;
}

// Accepts input whose arrays and maps nest at most kMaxJsonDepth deep; keeps nothing of it.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/) override { return true; }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool key(string_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aSize*/) override { return ++this->depth <= kMaxJsonDepth; }
  bool start_array(std::size_t /*aSize*/) override { return ++this->depth <= kMaxJsonDepth; }
  bool end_object() override { return this->depth-- > 0; }
  bool end_array() override { return this->depth-- > 0; }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const json::exception& /*aError*/) override
  {
    return false;
  }

private:
  int depth = 0;
};

} // namespace

absl::StatusOr<json> ParseJson(std::string_view aText)
{
  if (NestsTooDeeply(aText)) {
    return absl::InvalidArgumentError("nests deeper than 64 levels");
  }
  try {
    return json::parse(aText);
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

absl::StatusOr<json> ParseJsonList(std::string_view aText)
{
  auto parsed = ParseJson(aText);
  return parsed.ok() ? std::move(parsed) : ParseJson(ReplaceUnreadableValues(aText));
}

absl::StatusOr<json> ParseMessagePack(std::string_view aBytes)
{
  DepthCheck check;
  if (!json::sax_parse(aBytes, &check, json::input_format_t::msgpack)) {
    return absl::InvalidArgumentError("not MessagePack, or nests deeper than 64 levels");
  }
  json parsed = json::from_msgpack(aBytes, true, false);
  if (parsed.is_discarded()) {
    return absl::InvalidArgumentError("not MessagePack");
  }
  return parsed;
}

bool HasFloatingPoint(const json& aValue, std::initializer_list<std::string_view> aExcept)
{
  if (aValue.is_object()) {
    return std::any_of(aValue.items().begin(), aValue.items().end(), [&](const auto& aField) {
      return std::find(aExcept.begin(), aExcept.end(), aField.key()) == aExcept.end() &&
             HasFloatingPoint(aField.value(), aExcept);
    });
  }
  if (aValue.is_array()) {
    return std::any_of(aValue.begin(), aValue.end(), [&](const json& aItem) {
      return HasFloatingPoint(aItem, aExcept);
    });
  }
  return aValue.is_number_float();
}

} // namespace oriolespread
