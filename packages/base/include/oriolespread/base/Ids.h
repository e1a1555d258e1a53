// The identifiers of the system. Text identifiers come from settings, tickets or callers and are
// validated where they enter (see IsValidName); numbers are allotted by the system.
#pragma once

#include "oriolespread/base/StrongType.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolespread {

using AgentId = StrongType<struct AgentIdTag, std::string>;
using DataCentreId = StrongType<struct DataCentreIdTag, std::string>;
using EntryId = StrongType<struct EntryIdTag, std::string>;
using JobId = StrongType<struct JobIdTag, std::string>;
using OrganisationId = StrongType<struct OrganisationIdTag, std::string>;
using RackId = StrongType<struct RackIdTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using TeamId = StrongType<struct TeamIdTag, std::string>;
using TicketId = StrongType<struct TicketIdTag, std::string>;
using TransactionId = StrongType<struct TransactionIdTag, std::string>;
using UpstreamId = StrongType<struct UpstreamIdTag, std::string>;
using WorkerId = StrongType<struct WorkerIdTag, std::string>;

// Identifies a shard of workers and jobs; numbered from 0.
using ShardId = StrongType<struct ShardIdTag, std::uint32_t>;
// Fencing number of a shard's ownership; every change of owner raises it. 0 means none.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
// Number of a call to a worker, which refuses calls with a lower number than it has seen.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
// Position of a change ticket in the total order; the first ticket has number 1, 0 means none.
using TicketNumber = StrongType<struct TicketNumberTag, std::uint64_t>;
// Distinguishes successive lives of one process; a later life has a higher number.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

constexpr std::size_t kMaxNameLength = 128;

// Returns whether `aName` may be used as a text identifier: 1 to kMaxNameLength characters out of
// letters, digits, '.', '_' and '-'. Slashes are excluded because names become parts of table keys.
bool IsValidName(std::string_view aName);

} // namespace oriolespread
