#include "JsonReader.h"

#include "absl/strings/str_cat.h"

#include <cmath>
#include <limits>

namespace oriolespread::internal {

namespace {

constexpr double kMilliCoresPerCore = 1'000.0;
constexpr double kMaxCores = 100'000'000.0;
constexpr std::int64_t kMaxMemoryMiB = std::int64_t{ 1 } << 40U;
constexpr std::int64_t kMaxAccelerators = 10'000'000;

constexpr std::size_t kMaxShownName = 128;

std::string ShownName(std::string_view aName)
{
  std::string shown(aName.substr(0, kMaxShownName));
  for (char& c : shown) {
    c = c < ' ' || c > '~' ? '?' : c;
  }
  return shown;
}

} // namespace

std::string Describe(const nlohmann::json& aValue)
{
  switch (aValue.type()) {
    case nlohmann::json::value_t::string:
      return absl::StrCat("is a text of ", aValue.get_ref<const std::string&>().size(), " bytes");
    case nlohmann::json::value_t::object:
      return "is an object";
    case nlohmann::json::value_t::array:
      return absl::StrCat("is an array of ", aValue.size());
    case nlohmann::json::value_t::binary:
    case nlohmann::json::value_t::discarded:
      return "is not JSON";
    default:
      return absl::StrCat("is ", aValue.dump());
  }
}

JsonReader::JsonReader(const nlohmann::json& aValue, Place aPlace, Findings& aFindings)
  : object(aValue.is_object() ? &aValue : nullptr)
  , place(std::move(aPlace))
  , findings(&aFindings)
{
  if (this->object == nullptr) {
    this->findings->Add(this->place, Describe(aValue), "an object");
  }
}

const nlohmann::json* JsonReader::Require(const char* aName, std::string_view aExpected)
{
  const nlohmann::json* member = this->Take(aName);
  if (member == nullptr && this->object != nullptr) {
    this->Complain(aName, "is missing", std::string(aExpected));
  }
  return member;
}

const nlohmann::json* JsonReader::Take(const char* aName)
{
  this->known.emplace(aName);
  if (this->object == nullptr) {
    return nullptr;
  }
  const auto it = this->object->find(aName);
  return it == this->object->end() ? nullptr : &*it;
}

void JsonReader::ReadBool(const char* aName, bool& aTarget)
{
  const nlohmann::json* member = this->Take(aName);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    this->Complain(aName, Describe(*member), "true or false");
    return;
  }
  aTarget = member->get<bool>();
}

void JsonReader::ReadNumber(const char* aName, double& aTarget, Bounds<double> aBounds)
{
  const nlohmann::json* member = this->Take(aName);
  if (member == nullptr) {
    return;
  }
  const double number =
    member->is_number() ? member->get<double>() : std::numeric_limits<double>::quiet_NaN();
  if (!(number >= aBounds.low && number <= aBounds.high)) {
    this->Complain(
      aName, Describe(*member), absl::StrCat("a number from ", aBounds.low, " to ", aBounds.high));
    return;
  }
  aTarget = number;
}

void JsonReader::ReadInteger(const char* aName,
                             std::uint32_t& aTarget,
                             Bounds<std::uint32_t> aBounds)
{
  const auto number = this->WholeNumber(aName, aBounds.low, aBounds.high);
  if (number.has_value()) {
    aTarget = static_cast<std::uint32_t>(*number);
  }
}

void JsonReader::ReadInteger(const char* aName,
                             std::optional<std::uint32_t>& aTarget,
                             Bounds<std::uint32_t> aBounds)
{
  std::uint32_t number = 0;
  const std::size_t before = this->findings->size();
  this->ReadInteger(aName, number, aBounds);
  if (this->Take(aName) != nullptr && this->findings->size() == before) {
    aTarget = number;
  }
}

void JsonReader::ReadMilliseconds(const char* aName, Duration& aTarget, Bounds<Duration> aBounds)
{
  const auto number =
    this->WholeNumber(aName, ToMilliseconds(aBounds.low), ToMilliseconds(aBounds.high));
  if (number.has_value()) {
    aTarget = std::chrono::milliseconds(*number);
  }
}

void JsonReader::ReadResources(const char* aName, Resources& aTarget)
{
  const nlohmann::json* member = this->Take(aName);
  if (member == nullptr) {
    return;
  }
  JsonReader reader(*member, this->PlaceOf(aName), *this->findings);
  double cores = 0.0;
  Resources resources;
  reader.Require("cores", "a number of cores");
  reader.ReadNumber("cores", cores, { 0.0, kMaxCores });
  reader.Require("memory_mib", "a number of MiB");
  resources.memoryMiB = reader.WholeNumber("memory_mib", 0, kMaxMemoryMiB).value_or(0);
  resources.accelerators = reader.WholeNumber("accelerators", 0, kMaxAccelerators).value_or(0);
  reader.Finish();
  // The small addend undoes the rounding of decimal fractions such as 0.29.
  resources.milliCores = static_cast<std::int64_t>(std::floor(cores * kMilliCoresPerCore + 1e-6));
  aTarget = resources;
}

Place JsonReader::PlaceOf(std::string_view aName) const
{
  Place member = this->place;
  member.path += "." + ShownName(aName);
  return member;
}

void JsonReader::Complain(std::string_view aName, std::string aProblem, std::string aExpected)
{
  this->findings->Add(this->PlaceOf(aName), std::move(aProblem), std::move(aExpected));
}

void JsonReader::Finish()
{
  if (this->object == nullptr) {
    return;
  }
  std::string expected = "one of";
  for (const std::string& name : this->known) {
    expected += " " + name;
  }
  for (const auto& [name, value] : this->object->items()) {
    if (!this->known.contains(name)) {
      this->Complain(name, "is not a known member", expected);
    }
  }
}

std::optional<std::int64_t> JsonReader::WholeNumber(const char* aName,
                                                    std::int64_t aLow,
                                                    std::int64_t aHigh)
{
  const nlohmann::json* member = this->Take(aName);
  if (member == nullptr) {
    return std::nullopt;
  }
  const bool fits = member->is_number_integer() &&
                    (!member->is_number_unsigned() ||
                     member->get<std::uint64_t>() <= static_cast<std::uint64_t>(aHigh));
  const std::int64_t number = fits ? member->get<std::int64_t>() : 0;
  if (!fits || number < aLow || number > aHigh) {
    this->Complain(
      aName, Describe(*member), absl::StrCat("a whole number from ", aLow, " to ", aHigh));
    return std::nullopt;
  }
  return number;
}

} // namespace oriolespread::internal
