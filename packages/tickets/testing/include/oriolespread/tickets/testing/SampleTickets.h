// Tickets for tests and measurements.
#pragma once

#include "oriolespread/tickets/ChangeTicket.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread::testing {

// Returns a valid ticket that gives each organisation the weight.
inline ChangeTicket MakeTicket(const std::string& aId,
                               std::uint64_t aBasedOn,
                               const std::vector<std::string>& aOrganisations,
                               double aWeight = 1.0)
{
  ChangeTicket ticket{ TicketId{ aId }, TicketNumber{ aBasedOn }, "operator@example", {} };
  for (const std::string& organisation : aOrganisations) {
    ticket.changes["organisation/" + organisation] = { { "weight", aWeight } };
  }
  return ticket;
}

} // namespace oriolespread::testing
