// Messages that distribute the configuration: change tickets and the list of entries.
#pragma once

#include "oriolespread/base/Ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread {

// The state of one configuration key: its whole value, null when removed, and the number of the
// change ticket that set it.
struct ConfigState
{
  std::string key;
  TicketNumber number;
  nlohmann::json value;
};

// Entry to agent: the states that changed in (`from`, `number`]. With `from` 0 it is the whole
// state. A receiver below `from` asks for the whole state by its next LoadReport's number. With
// `number` 0 the sender has no state and asks for the receiver's, which comes back in this form.
struct TicketUpdate
{
  TicketNumber from;
  TicketNumber number;
  std::vector<ConfigState> states;
};

struct EntryInfo
{
  EntryId entry;
  DataCentreId dataCentre;
  // "address:port" of the entry's link listener.
  std::string linkAddress;
};

// The owner of one shard, so that the agents of its workers connect to it.
struct ShardOwnerInfo
{
  ShardId shard;
  Epoch epoch;
  EntryId entry;
};

// Entry to agent: the entries that an agent may connect to, and who owns which shard.
struct EntryDirectory
{
  std::uint32_t shardCount = 0;
  std::vector<EntryInfo> entries;
  std::vector<ShardOwnerInfo> owners;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigState, key, number, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TicketUpdate, from, number, states)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryInfo, entry, dataCentre, linkAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardOwnerInfo, shard, epoch, entry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryDirectory, shardCount, entries, owners)

} // namespace oriolespread
