#include "StoreRows.h"

#include "absl/strings/str_format.h"

#include <charconv>
#include <string_view>

namespace oriolespread::internal {

namespace {

constexpr std::size_t kNumberDigits = 20;

std::optional<TicketNumber> NumberMember(const nlohmann::json& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto it = aValue.find("number");
  if (it == aValue.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return TicketNumber{ it->get<std::uint64_t>() };
}

std::optional<TicketNumber> NumberOfLogKey(std::string_view aKey)
{
  const std::string_view prefix = kLogPrefix;
  if (!aKey.starts_with(prefix) || aKey.size() != prefix.size() + kNumberDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = aKey.data() + aKey.size();
  const auto parsed = std::from_chars(aKey.data() + prefix.size(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return TicketNumber{ number };
}

const std::string* TextMember(const nlohmann::json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  return it == aObject.end() ? nullptr : it->get_ptr<const std::string*>();
}

} // namespace

std::string LogKey(TicketNumber aNumber)
{
  return absl::StrFormat("%s%020d", kLogPrefix, aNumber.Value());
}

std::string TicketIdKey(const TicketId& aId)
{
  return "ticket/id/" + aId.Value();
}

std::string ConfigRowKey(const std::string& aKey)
{
  return kConfigPrefix + aKey;
}

nlohmann::json NumberValue(TicketNumber aNumber)
{
  return { { "number", aNumber } };
}

nlohmann::json ConfigValueOf(TicketNumber aNumber, const nlohmann::json& aValue)
{
  return { { "number", aNumber }, { "value", aValue } };
}

std::optional<TicketNumber> NumberOfRow(const Row& aRow)
{
  return NumberMember(aRow.value);
}

std::optional<NumberedTicket> TicketOfRow(const Row& aRow)
{
  const auto number = NumberOfLogKey(aRow.key);
  if (!number.has_value() || !aRow.value.is_object()) {
    return std::nullopt;
  }
  const std::string* id = TextMember(aRow.value, "id");
  const std::string* author = TextMember(aRow.value, "author");
  const auto basedOn = aRow.value.find("based_on");
  const auto changes = aRow.value.find("changes");
  if (id == nullptr || author == nullptr || basedOn == aRow.value.end() ||
      !basedOn->is_number_unsigned() || changes == aRow.value.end() || !changes->is_object()) {
    return std::nullopt;
  }
  NumberedTicket ticket{ *number, { TicketId{ *id }, basedOn->get<TicketNumber>(), *author, {} } };
  for (const auto& [key, value] : changes->items()) {
    ticket.ticket.changes.emplace(key, value);
  }
  return ticket;
}

std::optional<ConfigState> ConfigStateOfRow(const Row& aRow)
{
  const std::string_view prefix = kConfigPrefix;
  const auto number = NumberMember(aRow.value);
  if (!number.has_value() || *number == TicketNumber{} || !aRow.key.starts_with(prefix) ||
      !aRow.value.contains("value")) {
    return std::nullopt;
  }
  return ConfigState{ aRow.key.substr(prefix.size()), *number, aRow.value["value"] };
}

Transaction TicketTransaction(const TransactionId& aId,
                              const NumberedTicket& aTicket,
                              const absl::flat_hash_map<std::string, RowVersion>& aVersions,
                              RowVersion aHeadVersion)
{
  const ChangeTicket& ticket = aTicket.ticket;
  Transaction transaction{ aId, { { TicketIdKey(ticket.id), RowVersion{} } }, {} };
  for (const auto& [key, value] : ticket.changes) {
    const auto version = aVersions.find(key);
    transaction.conditions.push_back(
      { ConfigRowKey(key), version == aVersions.end() ? RowVersion{} : version->second });
    transaction.writes.push_back({ ConfigRowKey(key), ConfigValueOf(aTicket.number, value) });
  }
  // Last, so that a conflict names the ticket's id or a touched key rather than the head's.
  transaction.conditions.push_back({ kHeadKey, aHeadVersion });
  // Holds whenever the head does; keeps an accepted ticket if the head's row is ever damaged.
  transaction.conditions.push_back({ LogKey(aTicket.number), RowVersion{} });
  transaction.writes.push_back({ TicketIdKey(ticket.id), NumberValue(aTicket.number) });
  transaction.writes.push_back({ LogKey(aTicket.number), ticket.ToJson() });
  transaction.writes.push_back({ kHeadKey, NumberValue(aTicket.number) });
  return transaction;
}

} // namespace oriolespread::internal
