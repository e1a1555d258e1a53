// The rows of the table service that hold change tickets.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/messages/ControlMessages.h"
#include "oriolespread/platform/Transaction.h"
#include "oriolespread/tickets/ChangeTicket.h"
#include "oriolespread/tickets/TicketEvents.h"

#include <optional>
#include <string>

namespace oriolespread::internal {

constexpr const char* kHeadKey = "ticket/head";
constexpr const char* kLogPrefix = "ticket/log/";
constexpr const char* kConfigPrefix = "config/";

std::string LogKey(TicketNumber aNumber);
std::string TicketIdKey(const TicketId& aId);
std::string ConfigRowKey(const std::string& aKey);

nlohmann::json NumberValue(TicketNumber aNumber);
nlohmann::json ConfigValueOf(TicketNumber aNumber, const nlohmann::json& aValue);

// Return nothing for a row that does not have the expected form. Values within a ticket are not
// validated, because a later version may have accepted kinds that this one does not know.
std::optional<TicketNumber> NumberOfRow(const Row& aRow);
std::optional<NumberedTicket> TicketOfRow(const Row& aRow);
std::optional<ConfigState> ConfigStateOfRow(const Row& aRow);

// Returns the transaction that accepts a ticket under its number, provided that the head and every
// touched key still have the given versions and that no ticket with the same id was accepted.
Transaction TicketTransaction(const TransactionId& aId,
                              const NumberedTicket& aTicket,
                              const absl::flat_hash_map<std::string, RowVersion>& aVersions,
                              RowVersion aHeadVersion);

} // namespace oriolespread::internal
