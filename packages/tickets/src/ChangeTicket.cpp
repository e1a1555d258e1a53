#include "oriolespread/tickets/ChangeTicket.h"

#include "JsonReader.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/tickets/ConfigKey.h"
#include "oriolespread/tickets/ConfigValues.h"

#include <algorithm>
#include <set>
#include <vector>

namespace oriolespread {

namespace {

using internal::Describe;
using internal::JsonReader;

// Deeper values cannot be valid; the limit keeps recursion over a value bounded.
constexpr int kMaxDepth = 16;
constexpr std::size_t kMaxAuthorLength = 128;
constexpr std::string_view kAuthorForm = "1 to 128 printable characters";
constexpr std::string_view kKeyForm =
  "organisation/<name>, service/<organisation>/<name>, quota/<team>, worker/<id>, policy/requests "
  "or policy/tasks";

Place RootPlace()
{
  return { "ticket", 0, 0, "$" };
}

// Sees each name while a document is parsed, because the parser keeps only the last of two equal
// ones and a ticket with two states for one key must not be accepted.
class DuplicateNames
{
public:
  bool operator()(int aDepth, nlohmann::json::parse_event_t aEvent, const nlohmann::json& aParsed)
  {
    if (aDepth > kMaxDepth) {
      this->tooDeep = true;
      return false;
    }
    if (aEvent == nlohmann::json::parse_event_t::object_start) {
      this->open.emplace_back();
    } else if (aEvent == nlohmann::json::parse_event_t::object_end) {
      this->open.pop_back();
    } else if (aEvent == nlohmann::json::parse_event_t::key) {
      const auto& name = aParsed.get_ref<const std::string&>();
      if (!this->open.back().insert(name).second) {
        this->duplicates.push_back(name);
      }
    }
    return true;
  }

  void Report(Findings& aFindings) const
  {
    if (this->tooDeep) {
      aFindings.Add(
        RootPlace(), "nests too deeply", absl::StrCat("at most ", kMaxDepth, " levels"));
    }
    for (const std::string& name : this->duplicates) {
      aFindings.Add(RootPlace(),
                    absl::StrCat("has the name '", name.substr(0, kMaxNameLength), "' twice"),
                    "each name once in an object");
    }
  }

private:
  std::vector<std::set<std::string>> open;
  std::vector<std::string> duplicates;
  bool tooDeep = false;
};

void ReadId(JsonReader& aReader, TicketId& aTarget)
{
  constexpr std::string_view kForm = "1 to 128 characters out of letters, digits, '.', '_' and '-'";
  const nlohmann::json* member = aReader.Require("id", kForm);
  if (member == nullptr) {
    return;
  }
  const auto* text = member->get_ptr<const std::string*>();
  if (text == nullptr || !IsValidName(*text)) {
    aReader.Complain("id", Describe(*member), std::string(kForm));
    return;
  }
  aTarget = TicketId{ *text };
}

void ReadBasedOn(JsonReader& aReader, TicketNumber& aTarget)
{
  constexpr std::string_view kForm = "the number of a ticket, 0 for none";
  const nlohmann::json* member = aReader.Require("based_on", kForm);
  if (member == nullptr) {
    return;
  }
  if (!member->is_number_unsigned()) {
    aReader.Complain("based_on", Describe(*member), std::string(kForm));
    return;
  }
  aTarget = TicketNumber{ member->get<std::uint64_t>() };
}

void ReadAuthor(JsonReader& aReader, std::string& aTarget)
{
  const nlohmann::json* member = aReader.Require("author", kAuthorForm);
  if (member == nullptr) {
    return;
  }
  const auto* text = member->get_ptr<const std::string*>();
  const auto printable = [](char aChar) { return aChar >= ' ' && aChar <= '~'; };
  if (text == nullptr || text->empty() || text->size() > kMaxAuthorLength ||
      !std::all_of(text->begin(), text->end(), printable)) {
    aReader.Complain("author", Describe(*member), std::string(kAuthorForm));
    return;
  }
  aTarget = *text;
}

void ReadChange(const std::string& aKey,
                const nlohmann::json& aValue,
                ChangeTicket& aTicket,
                Findings& aFindings)
{
  const auto key = ConfigKey::Parse(aKey);
  if (!key.has_value()) {
    const nlohmann::json shown = aKey.substr(0, kMaxNameLength);
    aFindings.Add({ "ticket", 0, 0, "$.changes" },
                  "has the unknown key " +
                    shown.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace),
                  std::string(kKeyForm));
    return;
  }
  if (!aValue.is_null()) {
    ParseConfigValue(key->kind, aValue, { "ticket", 0, 0, "$.changes['" + aKey + "']" }, aFindings);
  }
  aTicket.changes.emplace(aKey, aValue);
}

void ReadChanges(JsonReader& aReader, ChangeTicket& aTicket, Findings& aFindings)
{
  const nlohmann::json* changes = aReader.Require("changes", "an object of whole values by key");
  if (changes == nullptr) {
    return;
  }
  if (!changes->is_object() || changes->empty() || changes->size() > ChangeTicket::kMaxChanges) {
    aReader.Complain("changes",
                     changes->is_object() ? absl::StrCat("has ", changes->size(), " keys")
                                          : Describe(*changes),
                     absl::StrCat("an object of 1 to ", ChangeTicket::kMaxChanges, " keys"));
    return;
  }
  for (const auto& [key, value] : changes->items()) {
    ReadChange(key, value, aTicket, aFindings);
  }
}

} // namespace

std::optional<ChangeTicket> ChangeTicket::Parse(std::string_view aText, Findings& aFindings)
{
  const std::size_t before = aFindings.size();
  if (aText.size() > kMaxBytes) {
    aFindings.Add(RootPlace(),
                  absl::StrCat("has ", aText.size(), " bytes"),
                  absl::StrCat("at most ", kMaxBytes));
    return std::nullopt;
  }
  DuplicateNames names;
  const auto callback =
    [&names](int aDepth, nlohmann::json::parse_event_t aEvent, const nlohmann::json& aParsed) {
      return names(aDepth, aEvent, aParsed);
    };
  const auto json = nlohmann::json::parse(aText, callback, false);
  names.Report(aFindings);
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  if (json.is_discarded()) {
    aFindings.Add(RootPlace(), "is not JSON", "one JSON object");
    return std::nullopt;
  }
  return ChangeTicket::FromJson(json, aFindings);
}

std::optional<ChangeTicket> ChangeTicket::FromJson(const nlohmann::json& aJson, Findings& aFindings)
{
  const std::size_t before = aFindings.size();
  ChangeTicket ticket;
  JsonReader reader(aJson, RootPlace(), aFindings);
  ReadId(reader, ticket.id);
  ReadBasedOn(reader, ticket.basedOn);
  ReadAuthor(reader, ticket.author);
  ReadChanges(reader, ticket, aFindings);
  reader.Finish();
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  return ticket;
}

nlohmann::json ChangeTicket::ToJson() const
{
  return { { "id", this->id },
           { "based_on", this->basedOn },
           { "author", this->author },
           { "changes", this->changes } };
}

} // namespace oriolespread
