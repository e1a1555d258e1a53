// Chooses the entries that an agent keeps links with:
//
//   selector.SetDirectory(directory);
//   std::vector<EntryInfo> wanted = selector.Wanted();
#pragma once

#include "oriolespread/messages/ControlMessages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolespread {

// The owner of the worker's shard comes first; the rest are chosen by rendezvous hashing, so that a
// change of one entry moves only the links of that entry. At least one entry of the agent's own
// data centre is among them where there is one. Not thread-safe.
class EntrySelector
{
public:
  EntrySelector(AgentId aAgent, WorkerId aWorker, DataCentreId aDataCentre, std::uint32_t aLinks);

  // Replaces the directory; an owner of a lower epoch than known for its shard is ignored, since
  // directories of several entries arrive in any order.
  void SetDirectory(const EntryDirectory& aDirectory);
  // Returns at most `aLinks` entries, best first; empty before the first directory.
  std::vector<EntryInfo> Wanted() const;

private:
  std::optional<EntryId> Owner() const;

  AgentId agent;
  WorkerId worker;
  DataCentreId dataCentre;
  std::uint32_t links;
  EntryDirectory directory;
  std::optional<ShardOwnerInfo> owner;
};

} // namespace oriolespread
