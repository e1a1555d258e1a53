#include "oriolespread/cluster/ClusterConfig.h"

#include <catch2/catch.hpp>

using namespace oriolespread::cluster;

namespace {

QueueConfig MakeQueue(const std::string& aHost,
                      const std::string& aPrefix,
                      const std::string& aName)
{
  QueueConfig queue;
  queue.host = aHost;
  queue.pathPrefix = aPrefix;
  queue.policy.queue = aName;
  return queue;
}

} // namespace

TEST_CASE("ClusterConfig FindsTheQueueWithTheLongestPrefixOfTheHost")
{
  ClusterConfig config;
  config.queues.push_back(MakeQueue("h.example", "/a/", "short"));
  config.queues.push_back(MakeQueue("h.example", "/a/b/", "long"));
  config.queues.push_back(MakeQueue("other.example", "/a/b/c/", "other"));
  REQUIRE(config.FindQueue("h.example", "/a/b/c/1") != nullptr);
  CHECK(config.FindQueue("h.example", "/a/b/c/1")->policy.queue == "long");
  CHECK(config.FindQueue("h.example:8080", "/a/1")->policy.queue == "short");
  CHECK(config.FindQueue("h.example", "/b/1") == nullptr);
  CHECK(config.FindQueue("unknown.example", "/a/1") == nullptr);
}
