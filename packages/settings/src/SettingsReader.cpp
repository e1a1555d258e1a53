#include "SettingsReader.h"

#include "Units.h"
#include "absl/strings/str_cat.h"

#include <cmath>

namespace oriolespread::internal {

namespace {

constexpr std::string_view kNameForm =
  "1 to 128 characters out of letters, digits, '.', '_' and '-'";

std::string TypeName(const toml::node& aNode)
{
  switch (aNode.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a text";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a floating-point number";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

std::string AddressForm()
{
  return "an IP number and a port such as \"127.0.0.1:8080\" or \"[::1]:8080\"";
}

const toml::table& EmptyTable()
{
  static const toml::table sEmpty;
  return sEmpty;
}

} // namespace

SettingsReader::SettingsReader(const toml::table& aTable,
                               toml::source_position aOrigin,
                               std::string aPath,
                               const std::string& aSource,
                               Findings& aFindings)
  : table(&aTable)
  , origin(aOrigin)
  , path(std::move(aPath))
  , source(&aSource)
  , findings(&aFindings)
{
}

SettingsReader SettingsReader::Section(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = this->Take(aKey, aPresence, "a table");
  const toml::table* section = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr && section == nullptr) {
    this->Complain(aKey, "is " + TypeName(*node), "a table");
  }
  return { section == nullptr ? EmptyTable() : *section,
           section == nullptr ? this->origin : section->source().begin,
           this->PathOf(aKey),
           *this->source,
           *this->findings };
}

std::vector<SettingsReader> SettingsReader::Sections(std::string_view aKey)
{
  std::vector<SettingsReader> sections;
  const toml::node* node = this->Take(aKey, Presence::Optional, "an array of tables");
  if (node == nullptr) {
    return sections;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    this->Complain(aKey, "is " + TypeName(*node), "an array of tables");
    return sections;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const std::string itemPath = absl::StrCat(this->PathOf(aKey), "[", i, "]");
    const toml::node& item = *array->get(i);
    if (const toml::table* section = item.as_table(); section != nullptr) {
      sections.emplace_back(
        *section, section->source().begin, itemPath, *this->source, *this->findings);
    } else {
      this->findings->Add(
        this->PlaceAt(item.source().begin, itemPath), "is " + TypeName(item), "a table");
    }
  }
  return sections;
}

void SettingsReader::ReadText(std::string_view aKey, std::string& aTarget, Presence aPresence)
{
  const std::string* text = this->Text(aKey, aPresence, "a text");
  if (text != nullptr) {
    aTarget = *text;
  }
}

void SettingsReader::ReadDuration(std::string_view aKey, Duration& aTarget, Range<Duration> aRange)
{
  const std::string form = absl::StrCat(std::string(kDurationForm),
                                        " from ",
                                        DurationText(aRange.low),
                                        " to ",
                                        DurationText(aRange.high));
  const std::string* text = this->Text(aKey, Presence::Optional, form);
  if (text == nullptr) {
    return;
  }
  const auto duration = ParseDuration(*text);
  if (!duration.has_value() || *duration < aRange.low || *duration > aRange.high) {
    this->Complain(aKey, "is \"" + *text + "\"", form);
    return;
  }
  aTarget = *duration;
}

void SettingsReader::ReadSize(std::string_view aKey,
                              std::uint64_t& aTarget,
                              Range<std::uint64_t> aRange,
                              Presence aPresence)
{
  const std::string form = absl::StrCat(
    std::string(kSizeForm), " from ", SizeText(aRange.low), " to ", SizeText(aRange.high));
  const std::string* text = this->Text(aKey, aPresence, form);
  if (text == nullptr) {
    return;
  }
  const auto size = ParseSize(*text);
  if (!size.has_value() || *size < aRange.low || *size > aRange.high) {
    this->Complain(aKey, "is \"" + *text + "\"", form);
    return;
  }
  aTarget = *size;
}

void SettingsReader::ReadInteger(std::string_view aKey,
                                 std::uint32_t& aTarget,
                                 Range<std::uint32_t> aRange)
{
  const std::string form = absl::StrCat("an integer from ", aRange.low, " to ", aRange.high);
  const toml::node* node = this->Take(aKey, Presence::Optional, form);
  if (node == nullptr) {
    return;
  }
  const auto* number = node->as_integer();
  if (number == nullptr) {
    this->Complain(aKey, "is " + TypeName(*node), form);
  } else if (number->get() < aRange.low || number->get() > aRange.high) {
    this->Complain(aKey, absl::StrCat("is ", number->get()), form);
  } else {
    aTarget = static_cast<std::uint32_t>(number->get());
  }
}

void SettingsReader::ReadNumber(std::string_view aKey,
                                double& aTarget,
                                Range<double> aRange,
                                Presence aPresence)
{
  const std::string form = absl::StrCat("a number from ", aRange.low, " to ", aRange.high);
  const toml::node* node = this->Take(aKey, aPresence, form);
  if (node == nullptr) {
    return;
  }
  if (!node->is_number()) {
    this->Complain(aKey, "is " + TypeName(*node), form);
    return;
  }
  const double number = node->is_integer() ? static_cast<double>(node->as_integer()->get())
                                           : node->as_floating_point()->get();
  if (std::isnan(number) || number < aRange.low || number > aRange.high) {
    this->Complain(aKey, absl::StrCat("is ", number), form);
    return;
  }
  aTarget = number;
}

bool SettingsReader::ReadAddress(std::string_view aKey, SocketAddress& aTarget, Presence aPresence)
{
  const std::string* text = this->Text(aKey, aPresence, AddressForm());
  if (text == nullptr) {
    return false;
  }
  auto address = SocketAddress::Parse(*text);
  if (!address.has_value()) {
    this->Complain(aKey, "is \"" + *text + "\"", AddressForm());
    return false;
  }
  aTarget = *std::move(address);
  return true;
}

std::vector<std::pair<std::string, Place>> SettingsReader::ReadTexts(std::string_view aKey,
                                                                     Presence aPresence)
{
  std::vector<std::pair<std::string, Place>> texts;
  const toml::node* node = this->Take(aKey, aPresence, "an array of texts");
  if (node == nullptr) {
    return texts;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    this->Complain(aKey, "is " + TypeName(*node), "an array of texts");
    return texts;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const toml::node& item = *array->get(i);
    Place place = this->PlaceAt(item.source().begin, absl::StrCat(this->PathOf(aKey), "[", i, "]"));
    if (const auto* text = item.as_string(); text != nullptr) {
      texts.emplace_back(text->get(), std::move(place));
    } else {
      this->findings->Add(std::move(place), "is " + TypeName(item), "a text");
    }
  }
  return texts;
}

bool SettingsReader::Has(std::string_view aKey) const
{
  return this->table->contains(aKey);
}

std::vector<std::string> SettingsReader::Keys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, node] : *this->table) {
    keys.emplace_back(key.str());
  }
  return keys;
}

Place SettingsReader::PlaceOf(std::string_view aKey) const
{
  const toml::node* node = this->table->get(aKey);
  return this->PlaceAt(node == nullptr ? this->origin : node->source().begin, this->PathOf(aKey));
}

void SettingsReader::Complain(std::string_view aKey, std::string aProblem, std::string aExpected)
{
  this->findings->Add(this->PlaceOf(aKey), std::move(aProblem), std::move(aExpected));
}

void SettingsReader::ComplainAt(const Place& aPlace, std::string aProblem, std::string aExpected)
{
  this->findings->Add(aPlace, std::move(aProblem), std::move(aExpected));
}

void SettingsReader::Finish()
{
  for (const auto& [key, node] : *this->table) {
    if (!this->known.contains(key.str())) {
      std::string expected = "one of";
      for (const std::string& name : this->known) {
        expected += " " + name;
      }
      this->findings->Add(
        this->PlaceAt(key.source().begin, this->PathOf(key.str())), "is not a known key", expected);
    }
  }
}

const toml::node* SettingsReader::Take(std::string_view aKey,
                                       Presence aPresence,
                                       const std::string& aExpected)
{
  this->known.emplace(aKey);
  const toml::node* node = this->table->get(aKey);
  if (node == nullptr && aPresence == Presence::Required) {
    this->Complain(aKey, "is missing", aExpected);
  }
  return node;
}

const std::string* SettingsReader::Text(std::string_view aKey,
                                        Presence aPresence,
                                        const std::string& aExpected)
{
  const toml::node* node = this->Take(aKey, aPresence, aExpected);
  if (node == nullptr) {
    return nullptr;
  }
  const auto* text = node->as_string();
  if (text == nullptr) {
    this->Complain(aKey, "is " + TypeName(*node), aExpected);
    return nullptr;
  }
  return &text->get();
}

bool SettingsReader::ReadValidName(std::string_view aKey, std::string& aTarget, Presence aPresence)
{
  const std::string* text = this->Text(aKey, aPresence, std::string(kNameForm));
  if (text == nullptr) {
    return false;
  }
  if (!IsValidName(*text)) {
    this->Complain(aKey, "is \"" + *text + "\"", std::string(kNameForm));
    return false;
  }
  aTarget = *text;
  return true;
}

std::string SettingsReader::PathOf(std::string_view aKey) const
{
  return this->path.empty() ? std::string(aKey) : this->path + "." + std::string(aKey);
}

Place SettingsReader::PlaceAt(toml::source_position aPosition, std::string aPath) const
{
  return { *this->source, aPosition.line, aPosition.column, std::move(aPath) };
}

} // namespace oriolespread::internal
