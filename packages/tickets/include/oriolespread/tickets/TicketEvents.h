// What a TicketBook is told and what it has done: its events and effects.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"
#include "oriolespread/messages/ControlMessages.h"
#include "oriolespread/platform/CommitOutcome.h"
#include "oriolespread/platform/TableServicePort.h"
#include "oriolespread/tickets/ChangeTicket.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oriolespread {

// Joins an event that answers to the effect that asked, and an answer to the caller who asked.
using TicketCallId = std::uint64_t;

// Events.

// Time has passed; to be sent at NextWakeup() or later.
struct TicketTick
{};

// An operator submits a ticket. Exactly one SubmitAnswer with the same call follows.
struct SubmitTicket
{
  TicketCallId call = 0;
  ChangeTicket ticket;
};

// An operator asks for accepted tickets after a number. One LogAnswer follows.
struct ReadTicketLog
{
  TicketCallId call = 0;
  TicketNumber after;
  std::size_t limit = 100;
};

// An operator asks for the state at a number, replayed from the log. One StateAnswer follows.
struct ReplayTickets
{
  TicketCallId call = 0;
  TicketNumber number;
};

// Answers to the store calls of the effects.
struct TicketCommitResult
{
  TicketCallId call = 0;
  CommitOutcome outcome;
};
struct TicketFateResult
{
  TicketCallId call = 0;
  FateOutcome outcome;
};
struct TicketScanResult
{
  TicketCallId call = 0;
  absl::StatusOr<ScanPage> page;
};

// An agent's link is up or down.
struct TicketAgentConnected
{
  AgentId agent;
};
struct TicketAgentGone
{
  AgentId agent;
};
// The number in an agent's LoadReport.
struct TicketAgentReport
{
  AgentId agent;
  TicketNumber number;
};
// A TicketUpdate that an agent sent, in answer to a state request.
struct TicketAgentState
{
  AgentId agent;
  TicketUpdate state;
};

// Another process says that tickets up to this number are accepted.
struct TicketNumberSeen
{
  TicketNumber number;
};

using TicketEvent = std::variant<TicketTick,
                                 SubmitTicket,
                                 ReadTicketLog,
                                 ReplayTickets,
                                 TicketCommitResult,
                                 TicketFateResult,
                                 TicketScanResult,
                                 TicketAgentConnected,
                                 TicketAgentGone,
                                 TicketAgentReport,
                                 TicketAgentState,
                                 TicketNumberSeen>;

// Effects.

enum class SubmitOutcome
{
  // In force from now on with the answer's number.
  Accepted,
  // A touched key was set by a ticket after based_on; see conflicts.
  Conflict,
  // Refused with findings.
  Invalid,
  // Another ticket with the same id was accepted before; see number.
  IdReused,
  // The table service cannot be used now. This submission did not have the ticket accepted.
  StoreUnavailable,
  // Too many tickets are waiting. This submission did not have the ticket accepted.
  Busy,
  // Whether the ticket was accepted could not be found out in time; submit it again with its id.
  Unknown,
};

std::string_view ToString(SubmitOutcome aOutcome);

struct TicketConflict
{
  std::string key;
  // The ticket that set the key last.
  TicketNumber number;

  friend bool operator==(const TicketConflict&, const TicketConflict&) = default;
};

struct SubmitAnswer
{
  TicketCallId call = 0;
  TicketId ticket;
  SubmitOutcome outcome = SubmitOutcome::Unknown;
  TicketNumber number;
  std::vector<TicketConflict> conflicts;
  Findings findings;
};

struct NumberedTicket
{
  TicketNumber number;
  ChangeTicket ticket;
};

struct LogAnswer
{
  TicketCallId call = 0;
  absl::StatusOr<std::vector<NumberedTicket>> tickets;
};

struct StateAnswer
{
  TicketCallId call = 0;
  // OutOfRange when the number is not accepted yet.
  absl::StatusOr<std::vector<ConfigState>> states;
};

// Calls of the table service. Each is answered by the event of the same kind and call.
struct TicketCommitCall
{
  TicketCallId call = 0;
  Transaction transaction;
};
struct TicketFateCall
{
  TicketCallId call = 0;
  TransactionId transaction;
};
struct TicketScanCall
{
  TicketCallId call = 0;
  std::string prefix;
  std::string after;
  std::size_t limit = 0;
};
using TicketStoreCall = std::variant<TicketCommitCall, TicketFateCall, TicketScanCall>;

// The update is shared by all agents that get the same one, so that it can be encoded once.
struct AgentUpdate
{
  AgentId agent;
  std::shared_ptr<const TicketUpdate> update;
};

struct TicketEffects
{
  std::vector<TicketStoreCall> storeCalls;
  std::vector<SubmitAnswer> submitAnswers;
  std::vector<LogAnswer> logAnswers;
  std::vector<StateAnswer> stateAnswers;
  std::vector<AgentUpdate> agentUpdates;
  // Keys whose value changed in View().
  std::vector<std::string> changedKeys;
  // When not 0: tell the other entries that this number is accepted. It may be lost.
  TicketNumber notifyEntries;
};

} // namespace oriolespread
