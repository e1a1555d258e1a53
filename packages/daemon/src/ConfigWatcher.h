// Watches the operator's configuration in the store. Within one process the version never
// decreases.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace oriolespread::daemon {

class ConfigWatcher
{
public:
  using ChangeCallback = std::function<void(const cluster::ClusterConfig&)>;

  ConfigWatcher(asio::io_context& aContext,
                platformwire::StoreClient& aStore,
                Counters& aCounters,
                ChangeCallback aOnChanged);

  void Start();

  // Returns nothing until the first configuration has been read.
  const std::optional<cluster::ClusterConfig>& Config() const { return this->config; }
  // Returns when the store last confirmed that there is no newer configuration.
  Instant ConfirmedAt() const { return this->confirmedAt; }

private:
  void Read();
  void Watch();
  void ApplyRow(const cluster::StoredRow& aRow);
  void ScheduleRetry();

  platformwire::StoreClient& store;
  Counters& counters;
  ChangeCallback onChanged;
  asio::steady_timer timer;
  std::optional<cluster::ClusterConfig> config;
  std::uint64_t version = 0;
  Instant confirmedAt{};
};

} // namespace oriolespread::daemon
