// The directory of entries in the store, and the secret key that authenticates links between
// entries and agents. The first entry creates the key; every process that can reach the store may
// join.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace oriolespread::daemon {

class EntryDirectory
{
public:
  // Link addresses by entry name.
  using Entries = std::map<std::string, std::string>;

  EntryDirectory(asio::io_context& aContext,
                 platformwire::StoreClient& aStore,
                 Counters& aCounters);

  // Writes this entry's row, and the key if there is none. Retries until the store has accepted
  // both.
  void Register(const std::string& aName, const std::string& aLinkAddress);

  // Calls `aOnChanged` with the key and the entries once they are known, and after each change.
  void Subscribe(std::function<void(const std::string& aLinkKey, const Entries&)> aOnChanged);

private:
  void WriteEntry(const std::string& aName, const std::string& aLinkAddress);
  void WriteLinkKey();
  void ReadAll();
  void Watch();
  void ApplyRow(const cluster::StoredRow& aRow);
  void NotifySubscriber();
  void RetryLater(std::function<void()> aCall, Duration aDelay);

  asio::io_context& context;
  platformwire::StoreClient& store;
  Counters& counters;
  std::function<void(const std::string&, const Entries&)> onChanged;
  std::string linkKey;
  Entries entries;
  std::uint64_t version = 0;
};

} // namespace oriolespread::daemon
