// Follows the operator's configuration in the store. Versions never go back within one process.
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

  // Nothing before the first configuration was read.
  const std::optional<cluster::ClusterConfig>& Config() const { return this->config; }
  // When the store last confirmed that nothing newer was there.
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
