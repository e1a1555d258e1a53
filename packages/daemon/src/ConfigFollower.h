// Follows the operator's configuration in the store. Versions never go back within one process.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace oriolespread::daemon {

class ConfigFollower
{
public:
  using Changed = std::function<void(const cluster::ClusterConfig&)>;

  ConfigFollower(asio::io_context& aContext,
                 platformwire::StoreClient& aStore,
                 Counters& aCounters,
                 Changed aChanged);

  void Start();

  // Nothing before the first configuration was read.
  const std::optional<cluster::ClusterConfig>& Config() const { return this->config; }
  // When the store last confirmed that nothing newer was there.
  Instant Confirmed() const { return this->confirmed; }

private:
  void Read();
  void Watch();
  void Apply(const cluster::StoredRow& aRow);
  void RetryLater();

  platformwire::StoreClient& store;
  Counters& counters;
  Changed changed;
  asio::steady_timer timer;
  std::optional<cluster::ClusterConfig> config;
  std::uint64_t version = 0;
  Instant confirmed{};
};

} // namespace oriolespread::daemon
