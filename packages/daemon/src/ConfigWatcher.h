// Watches the operator's rows in the store: the configuration, and the requests to evacuate data
// centres. Within one process the version of the configuration never decreases.
#pragma once

#include "EvacuationRequests.h"

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::daemon {

class ConfigWatcher
{
public:
  using ChangeCallback = std::function<void(const cluster::ClusterConfig&)>;
  using EvacuationsCallback = std::function<void(const std::set<std::string>&)>;

  ConfigWatcher(asio::io_context& aContext,
                platformwire::StoreClient& aStore,
                Counters& aCounters,
                ChangeCallback aOnChanged);

  // Calls `aOnChanged` with the evacuated data centres once they have been read, and on changes.
  // `aKnownDataCentres` see EvacuationRequests. Called before Start.
  void SubscribeToEvacuations(std::set<std::string> aKnownDataCentres,
                              EvacuationsCallback aOnChanged);

  void Start();

  // Returns nothing until the first configuration has been read.
  const std::optional<cluster::ClusterConfig>& Config() const { return this->config; }
  // Returns when the store last confirmed that there is no newer configuration.
  Instant ConfirmedAt() const { return this->confirmedAt; }

private:
  // The rows of the pages of one read.
  struct Pages
  {
    Instant requestedAt{};
    // The lowest version of the pages. A watch from this version misses no later change.
    std::uint64_t version = 0;
    std::vector<cluster::StoredRow> rows;
  };

  void Read();
  // Reads the rows from this key on and adds them to `aPages`.
  void ReadPage(const std::string& aFrom, std::shared_ptr<Pages> aPages);
  void Watch();
  void ApplyRow(const cluster::StoredRow& aRow);
  // Tells the evacuated data centres unless they are as they were told last.
  void TellEvacuations();
  void ScheduleRetry();

  platformwire::StoreClient& store;
  Counters& counters;
  ChangeCallback onChanged;
  std::unique_ptr<EvacuationRequests> evacuations;
  EvacuationsCallback onEvacuationsChanged;
  // The evacuated data centres that were told last; empty before the first read.
  std::optional<std::set<std::string>> toldEvacuations;
  asio::steady_timer timer;
  std::optional<cluster::ClusterConfig> config;
  std::uint64_t version = 0;
  Instant confirmedAt{};
};

} // namespace oriolespread::daemon
