// A stand-in store with a client, and a follower of the configuration that the test writes.
#pragma once

#include "ConfigFollower.h"

#include "oriolespread/platformwire_testing/StandInStore.h"

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
  std::vector<std::uint64_t> applied;
  ConfigFollower config{ context, *client, counters, [this](const cluster::ClusterConfig& aConfig) {
                          this->applied.push_back(aConfig.version);
                        } };

  // Writes a configuration with one queue "q" at host "h", path "/q/".
  void PutConfig(std::uint64_t aVersion)
  {
    this->store.Put("op",
                    "config",
                    R"({"version":)" + std::to_string(aVersion) +
                      R"(,"routes":[{"host":"h","path_prefix":"/q/","name":"q","service":"s",)"
                      R"("timeout_ms":2000,"max_attempts":3}],"services":[],"limits":{}})");
  }

  // Runs the loop until the condition holds; returns whether it does in time.
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
