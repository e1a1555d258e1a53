// What the parts of a TicketBook share.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/tickets/ConfigView.h"
#include "oriolespread/tickets/TicketBook.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::internal {

constexpr Instant kNever = Instant::max();

struct BookState
{
  TicketBookOptions options;
  Counters* counters = nullptr;

  ConfigView view;
  // Whether the view may be served at all.
  bool known = false;
  // Whether the view was read from the table service, so that the versions below are those of its
  // rows. A view that came from agents has no versions, and no ticket can be accepted on it.
  bool synced = false;
  RowVersion headVersion;
  absl::flat_hash_map<std::string, RowVersion> versions;
  bool storeReachable = true;
  TicketCallId lastCall = 0;

  TicketCallId NextCall() { return ++this->lastCall; }
  void Count(std::string_view aName, std::string_view aLabel)
  {
    this->counters->Add(aName, aLabel);
  }

  // Raises the view; the changed keys are added to the effects.
  void Apply(const TicketUpdate& aUpdate, TicketEffects& aEffects)
  {
    ApplyResult result = this->view.Apply(aUpdate);
    for (std::string& key : result.changedKeys) {
      aEffects.changedKeys.push_back(std::move(key));
    }
    if (!result.findings.empty()) {
      this->counters->Add("ticket_values_unreadable_total", "", result.findings.size());
    }
  }

  // Applies a ticket that directly follows the view.
  void ApplyTicket(const NumberedTicket& aTicket, RowVersion aVersion, TicketEffects& aEffects)
  {
    TicketUpdate update{ this->view.Number(), aTicket.number, {} };
    for (const auto& [key, value] : aTicket.ticket.changes) {
      update.states.push_back({ key, aTicket.number, value });
      this->versions[key] = aVersion;
    }
    this->headVersion = aVersion;
    this->Apply(update, aEffects);
  }
};

} // namespace oriolespread::internal
