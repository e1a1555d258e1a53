// A stand-in store with a client, and a watcher of the configuration that the test writes to it.
#pragma once

#include "ConfigWatcher.h"

#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <string>

namespace oriolespread::daemon {

struct StoreFixture
{
  asio::io_context context{ 1 };
  Counters counters;
  platformwire_testing::StandInStore store{ context, 1 };
  std::size_t server = store.Serve("127.0.0.1", 0);
  std::unique_ptr<platformwire::StoreClient> client =
    *platformwire::StoreClient::Create(context,
                                       "127.0.0.1:" + std::to_string(store.PortOf(server)),
                                       counters);
  // The versions of the configurations that `config` has applied.
  std::vector<std::uint64_t> appliedVersions;
  ConfigWatcher config{ context, *client, counters, [this](const cluster::ClusterConfig& aConfig) {
                         this->appliedVersions.push_back(aConfig.version);
                       } };

  // Writes a configuration of this version with one queue, "q", at host "h" and path "/q/".
  void PutConfig(std::uint64_t aVersion)
  {
    cluster::ClusterConfig written;
    written.version = aVersion;
    cluster::QueueConfig& queue = written.queues.emplace_back();
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeoutMs = 2000;
    queue.policy.queue = "q";
    queue.policy.service = "s";
    this->PutConfig(platformwire_testing::EncodeConfig(written));
  }

  void PutConfig(const std::string& aValue)
  {
    this->store.Put(
      std::string(platformwire::kOperatorTable), std::string(platformwire::kConfigKey), aValue);
  }

  // Runs the event loop until the condition holds or the time is over. Returns whether it holds.
  template<typename Condition>
  bool RunUntil(Condition aCondition, Duration aTime = std::chrono::seconds(5))
  {
    const Instant until = BootClock::now() + aTime;
    while (!aCondition() && BootClock::now() < until) {
      this->context.run_one_for(std::chrono::milliseconds(5));
    }
    return aCondition();
  }

  void RunFor(Duration aTime)
  {
    this->RunUntil([] { return false; }, aTime);
  }
};

} // namespace oriolespread::daemon
