// Keeps this entry's row in the directory of entries and reads the rows of the others:
//
//   for (const Transaction& transaction : keeper.Renew(now)) { commit it }
//   keeper.OnRows(now, page);   // result of scanning EntryDirectoryKeeper::kPrefix
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/ControlMessages.h"
#include "oriolespread/platform/TableServicePort.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolespread {

struct DirectoryEntry
{
  EntryInfo info;
  std::string httpAddress;
};

// An entry counts as live while its row keeps changing: a row that has not changed for kExpiry on
// this process's clock is left out, and deleted after kRemoval. No clocks are compared between
// machines. Not thread-safe.
class EntryDirectoryKeeper
{
public:
  static constexpr const char* kPrefix = "entry/";
  static constexpr Duration kInterval = std::chrono::seconds(5);
  static constexpr Duration kExpiry = std::chrono::seconds(16);
  static constexpr Duration kRemoval = std::chrono::minutes(10);

  EntryDirectoryKeeper(DirectoryEntry aSelf, Incarnation aIncarnation);

  // Returns the transaction that renews this entry's row.
  Transaction Renew();
  // Takes all rows of the directory. Returns true when the list of live entries has changed.
  bool OnRows(Instant aNow, const std::vector<Row>& aRows);
  // Returns a transaction that deletes rows of entries that are long gone; no writes when none.
  Transaction Sweep(Instant aNow);

  // The live entries in order of id; always contains this one.
  std::vector<DirectoryEntry> Live() const;

private:
  struct Seen
  {
    DirectoryEntry entry;
    RowVersion version;
    Instant changed;
    bool live = true;
  };

  DirectoryEntry self;
  Incarnation incarnation;
  std::uint64_t renewals = 0;
  std::map<EntryId, Seen> seen;
};

} // namespace oriolespread
