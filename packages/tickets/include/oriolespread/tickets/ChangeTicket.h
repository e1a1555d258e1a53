// A change ticket: the whole new state of every configuration key that it touches.
//
//   Findings findings;
//   const std::optional<ChangeTicket> ticket = ChangeTicket::Parse(body, findings);
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

// In JSON: {"id": "...", "based_on": 41, "author": "...", "changes": {"<key>": <value>, ...}}.
struct ChangeTicket
{
  static constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 10U;
  static constexpr std::size_t kMaxChanges = 256;

  // Chosen by the operator; a ticket that is sent again under the same id is accepted once.
  TicketId id;
  // The newest ticket that the author knew of. The ticket is refused when a key that it touches was
  // set by a later one.
  TicketNumber basedOn;
  std::string author;
  // Whole new values by key; null removes the key.
  std::map<std::string, nlohmann::json> changes;

  // Return the ticket, or nothing and all findings; the path of a finding is a JSON path such as
  // $.changes['organisation/acme'].weight. Accept any bytes or JSON; never throw.
  static std::optional<ChangeTicket> Parse(std::string_view aText, Findings& aFindings);
  static std::optional<ChangeTicket> FromJson(const nlohmann::json& aJson, Findings& aFindings);

  nlohmann::json ToJson() const;

  friend bool operator==(const ChangeTicket&, const ChangeTicket&) = default;
};

} // namespace oriolespread
