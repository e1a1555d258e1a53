// Turns the messages of a link into bytes and back:
//
//   std::string bytes = EncodeMessage(Leave{...});
//   absl::StatusOr<LinkMessage> message = DecodeMessage(bytes);
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/messages/ControlMessages.h"
#include "oriolespread/messages/RequestMessages.h"
#include "oriolespread/messages/TaskMessages.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <string>
#include <string_view>
#include <variant>

namespace oriolespread {

using LinkMessage = std::variant<Announce,
                                 LoadReport,
                                 Leave,
                                 CreditGrant,
                                 CreditDemand,
                                 ServiceLatencyReport,
                                 Heartbeat,
                                 LeaseGrant,
                                 TaskEvent,
                                 TaskEventAck,
                                 StartTask,
                                 TaskCommand,
                                 UsageReport,
                                 TicketUpdate,
                                 EntryDirectory,
                                 WorkerReport,
                                 LeaseExtension,
                                 LeaderClaim,
                                 WorkerOrders>;

// Messages above this size are refused by DecodeMessage.
constexpr std::size_t kMaxMessageBytes = std::size_t{ 4 } << 20U;

// Returns the MessagePack form of a message.
std::string EncodeMessage(const LinkMessage& aMessage);

// Returns the message, or InvalidArgument saying what is wrong with the bytes. Accepts any input;
// never throws.
absl::StatusOr<LinkMessage> DecodeMessage(std::string_view aBytes);

// Returns the name of a message's type, as used in counters and logs.
std::string_view MessageName(const LinkMessage& aMessage);

} // namespace oriolespread
